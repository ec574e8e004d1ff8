package modelcheck

import (
	"slices"
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
		w.cutSides(mask)
		for n := 0; n < 400 && w.broken == ""; n++ {
			w.apply(Event{Kind: Step})
		}
		if both := strings.HasPrefix(w.broken, "one leader"); both != split || !both && w.broken != "" {
			t.Errorf("sides %04b, a copy and a member on each: %v; broken: %q", mask, split, w.broken)
		}
		if split && mask&1 == 1 { // the other half of the masks are the same cuts
			checkHealed(t, w)
		}
	}
}

// cutSides cuts the daemons whose bit is set off from the others.
func (w *world) cutSides(mask int) {
	for i := range w.daemons {
		for j := range w.daemons {
			if mask>>i&1 != mask>>j&1 {
				w.cuts = append(w.cuts, [2]int{i, j})
			}
		}
	}
}

// leader is the daemon that leads; -1: none.
func (w *world) leader() int {
	return slices.IndexFunc(w.daemons, func(d *daemon) bool { return d.leads(w.now) })
}

// checkHealed ends a cut: one of the copies at least learns of the other and is
// superseded from then on.
func checkHealed(t *testing.T, w *world) {
	t.Helper()
	w.cuts, w.broken = nil, ""
	notSuperseded := func() (n int) {
		for _, i := range []int{0, 3} {
			if d := w.daemons[i]; d.self == w.daemons[0].self && d.partition.Replica.Superseded() == "" {
				n++
			}
		}
		return n
	}
	for n := 0; n < 400 && notSuperseded() > 1; n++ {
		w.step()
	}
	if notSuperseded() > 1 {
		t.Error("neither copy is superseded long after the cut")
	}
}

// A copy that is put back learns of it, is superseded, and comes back as an empty
// daemon; the others go on.
func TestAnOlderCopyIsSuperseded(t *testing.T) {
	for _, start := range []Kind{PutBack, Beside} {
		w := begin(&Setup{Replicas: 3, Standbys: 1, Copies: true})
		lead := w.leader()
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
		before, size := w.daemons[i].self, len(w.daemons)
		w.apply(Event{Kind: start, At: int8(i)})
		at := i
		if start == Beside {
			at = size
		}
		for n := 0; n < 200 && w.daemons[at].self == before; n++ {
			w.apply(Event{Kind: Step})
		}
		if w.daemons[at].self == before || w.broken != "" {
			t.Errorf("start %d: still %s; %s", start, before.Ident, w.broken)
		}
		if start == Beside && (w.daemons[i].self != before || w.daemons[i].partition.Replica.Superseded() != "") {
			t.Error("the one that had gone on was superseded, too")
		}
	}
}
