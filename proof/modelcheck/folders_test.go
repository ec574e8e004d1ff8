package modelcheck

import (
	"slices"
	"strings"
	"testing"
)

// Two processes started from copies of one folder at the same time can both be counted as
// voters only while the network is split and each side has one of them: each side then has a
// majority, so both may lead. This known limitation is the only one: the scope "two copies at
// the same moment" checks that no invariant is violated without a cut.
func TestTwoCopiesBothCountOnlyAcrossNetworkSplit(t *testing.T) {
	for mask := 0; mask < 1<<4; mask++ {
		w := newWorld(&Setup{Replicas: 3, DuplicateStart: true})
		copies := []int{0, 3}
		split := mask>>copies[0]&1 != mask>>copies[1]&1 && mask>>1&1 != mask>>2&1
		w.cutSides(mask)
		for n := 0; n < 400 && w.violation == ""; n++ {
			w.apply(Event{Kind: Step})
		}
		if both := strings.HasPrefix(w.violation, "one leader"); both != split || !both && w.violation != "" {
			t.Errorf("sides %04b, a copy and a member on each: %v; violation: %q", mask, split, w.violation)
		}
		if split && mask&1 == 1 { // the other masks with split set give the same cuts
			checkHealed(t, w)
		}
	}
}

// cutSides cuts off the daemons whose bit is set in mask from the others.
func (w *world) cutSides(mask int) {
	for i := range w.daemons {
		for j := range w.daemons {
			if mask>>i&1 != mask>>j&1 {
				w.cuts = append(w.cuts, [2]int{i, j})
			}
		}
	}
}

// leader returns the index of the leader, or -1.
func (w *world) leader() int {
	return slices.IndexFunc(w.daemons, func(d *daemon) bool { return d.isLeader(w.now) })
}

// checkHealed heals a cut and checks that at least one of the copies is superseded then.
func checkHealed(t *testing.T, w *world) {
	t.Helper()
	w.cuts, w.violation = nil, ""
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
		t.Error("neither copy is superseded although the cut healed long ago")
	}
}

// A daemon started from an older copy is superseded and restarts empty; the others keep
// running.
func TestOlderCopyIsSuperseded(t *testing.T) {
	for _, start := range []Kind{RestoreCopy, StartCopy} {
		w := newWorld(&Setup{Replicas: 3, Standbys: 1, Copies: true})
		lead := w.leader()
		i := (lead + 1) % 3
		w.apply(Event{Kind: Copy, At: int8(i)})
		w.apply(Event{Kind: Write, At: int8(lead)})
		for range 2 { // the others write what they learn of it with their next save
			for range 12 {
				w.apply(Event{Kind: Step})
			}
			w.apply(Event{Kind: Write, At: int8(lead)})
		}
		w.apply(Event{Kind: Step})
		w.apply(Event{Kind: Step})
		if !w.mayStartCopy(i) {
			t.Fatal("the others never learn of the later state of the copied daemon")
		}
		before, size := w.daemons[i].self, len(w.daemons)
		w.apply(Event{Kind: start, At: int8(i)})
		at := i
		if start == StartCopy {
			at = size
		}
		for n := 0; n < 200 && w.daemons[at].self == before; n++ {
			w.apply(Event{Kind: Step})
		}
		if w.daemons[at].self == before || w.violation != "" {
			t.Errorf("start kind %d: still running as %s; violation: %q", start, before.Ident, w.violation)
		}
		if start == StartCopy && (w.daemons[i].self != before || w.daemons[i].partition.Replica.Superseded() != "") {
			t.Error("the original was superseded too")
		}
	}
}
