package attempt

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// For random outcomes, a request that may run at most once reaches a decode server at most once, no call
// is made after the first piece, and the final move agrees with whether the request may have run.
func TestLedgerUpholdsRequestGuarantees(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Ledger{AtMostOnce: rapid.Bool().Draw(t, "once"), MaxPerPhase: 3}
		mayHaveRun, pieces, retries := 0, false, 0
		for step := 0; step < 40; step++ {
			m, isRetry := l.Next()
			sends := m == DoPrefill || m == DoDecode
			followsFailure := len(l.Attempts) > 0 && l.Attempts[len(l.Attempts)-1].State != Prefilled
			if sends && isRetry != followsFailure {
				t.Fatalf("isRetry is wrong for move %v after %v", m, l.Attempts)
			}
			switch m {
			case DoPrefill, DoDecode:
				if pieces {
					t.Fatal("new attempt after the first piece was sent")
				}
				if isRetry {
					retries++
				}
				p, outcomes := Prefill, []State{NotSent, Refused, Prefilled, Lost}
				if m == DoDecode {
					p, outcomes = Decode, []State{NotSent, Refused, HandleLost, Lost, Streaming, Ended}
					if l.Attempts[len(l.Attempts)-1].Phase == Prefill && l.Attempts[len(l.Attempts)-1].State != Prefilled {
						t.Fatal("decode without a handle")
					}
				}
				k := rapid.SampledFrom(outcomes).Draw(t, "known")
				l.Add(p, "s")
				if m, _ := l.Next(); m != Wait {
					t.Fatal("move while an attempt is open")
				}
				l.Record(k, "")
				if p == Decode && (k == Lost || k == Streaming || k == Ended) {
					mayHaveRun++
				}
				pieces = pieces || k == Streaming || k == Ended
				if l.AtMostOnce && mayHaveRun > 1 {
					t.Fatal("at-most-once request reached a decode server twice")
				}
			case Refuse:
				if mayHaveRun > 0 {
					t.Fatal("refused although it may have run")
				}
				return
			case Unknown:
				if mayHaveRun == 0 {
					t.Fatal("uncertain although it can't have run")
				}
				return
			case Break:
				if !pieces {
					t.Fatal("broken off before a piece was sent")
				}
				return
			case Finish:
				if l.Attempts[len(l.Attempts)-1].State != Ended {
					t.Fatal("finished before the complete answer was sent")
				}
				return
			}
		}
		t.Fatalf("no final move after 40 moves: %v", l.Attempts)
	})
}

// In every window, wherever it ends, retries stay within the ratio: retries earned
// during a quiet period can't all be spent on one outage.
func TestBucketBoundsRetriesInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Bucket{Ratio: 0.2, Window: 16 * time.Second}
		var firstSends, retries []time.Duration
		now := 30 * time.Second
		for i := 0; i < 400; i++ {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			if rapid.IntRange(0, 2).Draw(t, "first") > 0 {
				b.Earn(now)
				firstSends = append(firstSends, now)
				continue
			}
			if !b.Take(now) {
				continue
			}
			retries = append(retries, now)
			countInWindow := func(list []time.Duration) (n int) {
				for _, at := range list {
					if at > now-b.Window {
						n++
					}
				}
				return n
			}
			if float64(countInWindow(retries)) > 0.2*float64(countInWindow(firstSends))+1e-9 {
				t.Fatalf("%d retries for %d first sends in the window that ends at %v", countInWindow(retries), countInWindow(firstSends), now)
			}
		}
	})
}
