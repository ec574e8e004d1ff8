package attempt

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever comes of the attempts, the ledger keeps the users' rules.
func TestLedgerKeepsTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Ledger{AtMostOnce: rapid.Bool().Draw(t, "once"), MaxPerPhase: 3}
		sent, pieces, tries := 0, false, 0
		for step := 0; step < 40; step++ {
			m, again := l.Next()
			sends := m == DoPrefill || m == DoDecode
			followsFailure := len(l.Attempts) > 0 && l.Attempts[len(l.Attempts)-1].Known != Prefilled
			if sends && again != followsFailure {
				t.Fatalf("a retry that isn't counted as one: %v %v", m, l.Attempts)
			}
			switch m {
			case DoPrefill, DoDecode:
				if pieces {
					t.Fatal("a move after the first piece went out")
				}
				if again {
					tries++
				}
				p, outs := Prefill, []Known{NotSent, Refused, Prefilled, Lost}
				if m == DoDecode {
					p, outs = Decode, []Known{NotSent, Refused, HandleLost, Lost, First, Ended}
					if l.Attempts[len(l.Attempts)-1].Phase == Prefill && l.Attempts[len(l.Attempts)-1].Known != Prefilled {
						t.Fatal("a decode without a handle")
					}
				}
				k := rapid.SampledFrom(outs).Draw(t, "known")
				l.Add(p, "s")
				if m, _ := l.Next(); m != Wait {
					t.Fatal("a move while an attempt is open")
				}
				l.Record(k, "")
				if p == Decode && (k == Lost || k == First || k == Ended) {
					sent++
				}
				pieces = pieces || k == First || k == Ended
				if l.AtMostOnce && sent > 1 {
					t.Fatal("a once request reached a decode server twice")
				}
			case Refuse:
				if sent > 0 {
					t.Fatal("refused, but it may have run")
				}
				return
			case Unknown:
				if sent == 0 {
					t.Fatal("uncertain, but nothing can have run")
				}
				return
			case Break:
				if !pieces {
					t.Fatal("broken before a piece went out")
				}
				return
			case Finish:
				if l.Attempts[len(l.Attempts)-1].Known != Ended {
					t.Fatal("finished without an end")
				}
				return
			}
		}
		t.Fatalf("no end after 40 moves: %v", l.Attempts)
	})
}

// In every window, wherever it ends, retries stay within the fraction; what
// quiet times earned is not spent in one failure.
func TestBucketBoundsRetriesInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Bucket{Ratio: 0.2, Window: 16 * time.Second}
		var first, again []time.Duration
		now := 30 * time.Second
		for i := 0; i < 400; i++ {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			if rapid.IntRange(0, 2).Draw(t, "first") > 0 {
				b.Earn(now)
				first = append(first, now)
				continue
			}
			if !b.Take(now) {
				continue
			}
			again = append(again, now)
			count := func(list []time.Duration) (n int) {
				for _, at := range list {
					if at > now-b.Window {
						n++
					}
				}
				return n
			}
			if float64(count(again)) > 0.2*float64(count(first))+1e-9 {
				t.Fatalf("%d retries over %d first tries in the window that ends at %v", count(again), count(first), now)
			}
		}
	})
}
