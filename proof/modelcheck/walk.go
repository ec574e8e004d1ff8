package modelcheck

import (
	"math/rand"
	"slices"

	"mulleinmast/control/partition"
	"mulleinmast/wire/message"
)

// mood is how rough a stretch of a walk is.
type mood struct{ crash, lose, late, cut, stall, rush, wish, wipe int }

func newMood(rng *rand.Rand) mood {
	pick := func(of ...int) int { return of[rng.Intn(len(of))] }
	return mood{
		crash: pick(0, 2, 8), lose: pick(0, 10, 60), late: pick(0, 40, 200), cut: pick(0, 2, 10),
		stall: pick(0, 4, 20), rush: pick(1, 2, 4), wish: pick(1, 5, 20), wipe: pick(0, 2, 6),
	}
}

// chance draws the next event of a walk; not every draw is one that can happen.
func (w *world) chance(rng *rand.Rand, m mood) (Event, bool) {
	i := rng.Intn(len(w.daemons))
	d := w.daemons[i]
	n := rng.Intn(1000)
	in := func(width int) bool {
		n -= width
		return n < 0
	}
	switch {
	case in(m.crash):
		return Event{Crash, int8(i), 0}, d.isUp
	case in(20):
		return Event{Restart, int8(i), 0}, !d.isUp
	case in(m.cut):
		j := rng.Intn(len(w.daemons))
		return Event{Cut, int8(i), int16(j)}, i != j && len(w.cuts) < 4 && !slices.Contains(w.cuts, [2]int{i, j})
	case in(5):
		return Event{Heal, 0, 0}, len(w.cuts) > 0
	case in(m.stall):
		return Event{Stall, int8(i), 0}, d.isUp && d.hasDisk && !d.isStalled
	case in(20):
		return Event{Sync, int8(i), 0}, len(d.pendingSaves) > 0
	case in(m.wipe):
		return Event{Wipe, int8(i), 0}, d.hasDisk && w.mayWipe(i)
	case w.setup.Copies && in(m.wish):
		return Event{Copy, int8(i), 0}, d.hasDisk && d.diskCopy == nil
	case w.setup.Copies && in(m.wish):
		return Event{PutBack, int8(i), 0}, w.older(i)
	case w.setup.Copies && in(m.wish/2):
		return Event{Beside, int8(i), 0}, len(w.daemons) < 8 && w.older(i)
	case in(m.wish):
		return w.wish(rng)
	case in(25):
		return Event{Write, int8(i), 0}, d.leads(w.now) && len(w.changes) < 200
	case in(2):
		return Event{Lapse, 0, 0}, true
	case in(m.lose):
		k, ok := w.any(rng)
		return Event{Drop, 0, int16(k)}, ok
	case in(m.lose / 2):
		k, ok := w.any(rng)
		return Event{Double, 0, int16(k)}, ok
	case in(m.late):
		k, ok := w.any(rng)
		return Event{Arrive, 0, int16(k)}, ok
	case in(15 * m.rush):
		return Event{Pass, 0, int16(rng.Intn(4))}, true
	case in(40 * m.rush):
		return Event{Tick, int8(i), 0}, d.isUp
	}
	k := w.head()
	return Event{Arrive, 0, int16(k)}, k >= 0
}

func (w *world) any(rng *rand.Rand) (int, bool) {
	if len(w.packets) == 0 {
		return 0, false
	}
	return rng.Intn(len(w.packets)), true
}

// wish wants one replica exchanged: rather one whose disk is lost.
func (w *world) wish(rng *rand.Rand) (Event, bool) {
	out := rng.Intn(len(w.wantedReplicas))
	for i, s := range w.wantedReplicas {
		if w.daemonOf(s.Ident) < 0 {
			out = i
		}
	}
	in := rng.Intn(len(w.daemons))
	d := w.daemons[in]
	return Event{Want, int8(out), int16(in)}, d.hasDisk && !(message.Group{Replicas: w.wantedReplicas}).Has(d.self.Ident)
}

func (w *world) acknowledgedCount() (n int) {
	for _, c := range w.changes {
		if c.outcome == partition.Done {
			n++
		}
	}
	return n
}
