package modelcheck

import (
	"strings"
	"testing"
)

// Two processes that are started from copies of one folder at the same moment can
// both be counted only as long as the group is cut into two sides that each hear
// one of them and never the other side: then each side has a majority, and both
// may lead. This is all that two copies can do, and they can do it. That nothing
// is broken without a cut is looked at by the scope "two copies at the same moment".
func TestTwoCopiesBothCountOnlyAcrossACut(t *testing.T) {
	for mask := 0; mask < 1<<4; mask++ {
		w := begin(&Setup{Replicas: 3, Twins: true})
		copies := []int{0, 3}
		split := mask>>copies[0]&1 != mask>>copies[1]&1 && mask>>1&1 != mask>>2&1
		for i := range w.daemons {
			for j := range w.daemons {
				if mask>>i&1 != mask>>j&1 {
					w.cuts = append(w.cuts, [2]int{i, j})
				}
			}
		}
		for n := 0; n < 400 && w.broken == ""; n++ {
			w.apply(Event{Kind: Step})
		}
		if both := strings.HasPrefix(w.broken, "one leader"); both != split || !both && w.broken != "" {
			t.Errorf("sides %04b, a copy and a member on each: %v; broken: %q", mask, split, w.broken)
		}
		if !split {
			continue
		}
		if mask&1 == 0 { // the other half of the masks are the same cuts
			continue
		}
		healed(t, w)
	}
}

// healed ends a cut: one of the copies at least is told of the other and has no
// voice from then on.
func healed(t *testing.T, w *world) {
	t.Helper()
	w.cuts, w.broken = nil, ""
	voices := func() (n int) {
		for _, i := range []int{0, 3} {
			if d := w.daemons[i]; d.self == w.daemons[0].self && d.partition.Replica.Superseded() == "" {
				n++
			}
		}
		return n
	}
	for n := 0; n < 400 && voices() > 1; n++ {
		w.step()
	}
	if voices() > 1 {
		t.Error("both copies have a voice long after the cut")
	}
}

// A copy that is put back is told so, has no voice, and comes back as an empty
// daemon; the others go on.
func TestAnOlderCopyIsSuperseded(t *testing.T) {
	for _, start := range []Kind{PutBack, Beside} {
		w := begin(&Setup{Replicas: 3, Standbys: 1, Copies: true})
		lead := -1
		for i, d := range w.daemons {
			if d.leads(w.now) {
				lead = i
			}
		}
		i := (lead + 1) % 3
		w.apply(Event{Kind: Copy, At: int8(i)})
		w.apply(Event{Kind: Write, At: int8(lead)})
		for range 2 { // what the others hear goes to their disks with the next save
			for range 12 {
				w.apply(Event{Kind: Step})
			}
			w.apply(Event{Kind: Write, At: int8(lead)})
		}
		w.apply(Event{Kind: Step})
		w.apply(Event{Kind: Step})
		if !w.older(i) {
			t.Fatal("the others never hear how far the copied one came")
		}
		was, size := w.daemons[i].self, len(w.daemons)
		w.apply(Event{Kind: start, At: int8(i)})
		at := i
		if start == Beside {
			at = size
		}
		for n := 0; n < 200 && w.daemons[at].self == was; n++ {
			w.apply(Event{Kind: Step})
		}
		if w.daemons[at].self == was || w.broken != "" {
			t.Errorf("start %d: still %s; %s", start, was.Ident, w.broken)
		}
		if start == Beside && (w.daemons[i].self != was || w.daemons[i].partition.Replica.Superseded() != "") {
			t.Error("the one that had gone on was superseded, too")
		}
	}
}
