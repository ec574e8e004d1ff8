package waybill

import (
	"testing"

	"pgregory.net/rapid"
)

// Whatever comes of the attempts, the ledger keeps the users' rules.
func TestLedgerKeepsTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Ledger{Once: rapid.Bool().Draw(t, "once"), Most: 3}
		sent, pieces, tries := 0, false, 0
		for step := 0; step < 40; step++ {
			m, again := l.Next()
			if again != (len(l.Attempts) > 0 && m != Wait && l.Attempts[len(l.Attempts)-1].Known != Handle && (m == DoPrefill || m == DoDecode)) && (m == DoPrefill || m == DoDecode) {
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
				p, outs := Prefill, []Known{NotSent, Shed, Handle, Lost}
				if m == DoDecode {
					p, outs = Decode, []Known{NotSent, Shed, Lapsed, Lost, First, Ended}
					if l.Attempts[len(l.Attempts)-1].Phase == Prefill && l.Attempts[len(l.Attempts)-1].Known != Handle {
						t.Fatal("a decode without a handle")
					}
				}
				k := rapid.SampledFrom(outs).Draw(t, "known")
				l.Add(p, "s")
				if m, _ := l.Next(); m != Wait {
					t.Fatal("a move while an attempt is open")
				}
				l.Learn(k, "")
				if p == Decode && (k == Lost || k == First || k == Ended) {
					sent++
				}
				pieces = pieces || k == First || k == Ended
				if l.Once && sent > 1 {
					t.Fatal("a once request reached a maker twice")
				}
			case Refuse:
				if sent > 0 {
					t.Fatal("shed, but it may have run")
				}
				return
			case Unsure:
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

func TestBucketBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Bucket{Rate: 0.2, Cap: 10}
		first, again := 0, 0
		for i := 0; i < 300; i++ {
			if rapid.Bool().Draw(t, "first") {
				b.Earn()
				first++
			} else if b.Take() {
				again++
			}
			if float64(again) > 0.2*float64(first)+1e-9 {
				t.Fatalf("%d retries over %d first tries", again, first)
			}
		}
	})
}
