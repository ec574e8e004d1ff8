package modelcheck

import (
	"math/rand"
	"slices"

	"mulleinmast/control/partition"
	"mulleinmast/wire/message"
)

// eventWeights holds the weights of the kinds of events in a section of a walk.
type eventWeights struct{ crash, drop, reorder, cut, stall, speed, replace, wipe int }

// newEventWeights draws the weights at random.
func newEventWeights(rng *rand.Rand) eventWeights {
	pick := func(of ...int) int { return of[rng.Intn(len(of))] }
	return eventWeights{
		crash: pick(0, 2, 8), drop: pick(0, 10, 60), reorder: pick(0, 40, 200), cut: pick(0, 2, 10),
		stall: pick(0, 4, 20), speed: pick(1, 2, 4), replace: pick(1, 5, 20), wipe: pick(0, 2, 6),
	}
}

// randomEvent draws the next event of a walk. It reports false if that event is not possible.
func (w *world) randomEvent(rng *rand.Rand, weights eventWeights) (Event, bool) {
	i := rng.Intn(len(w.daemons))
	d := w.daemons[i]
	n := rng.Intn(1000)
	in := func(width int) bool {
		n -= width
		return n < 0
	}
	switch {
	case in(weights.crash):
		return Event{Crash, int8(i), 0}, d.isUp
	case in(20):
		return Event{Restart, int8(i), 0}, !d.isUp
	case in(weights.cut):
		j := rng.Intn(len(w.daemons))
		return Event{Cut, int8(i), int16(j)}, i != j && len(w.cuts) < 4 && !slices.Contains(w.cuts, [2]int{i, j})
	case in(5):
		return Event{Heal, 0, 0}, len(w.cuts) > 0
	case in(weights.stall):
		return Event{Stall, int8(i), 0}, d.isUp && d.hasDisk && !d.isStalled
	case in(20):
		return Event{Sync, int8(i), 0}, len(d.pendingSaves) > 0
	case in(weights.wipe):
		return Event{Wipe, int8(i), 0}, d.hasDisk && w.mayWipe(i)
	case w.setup.Copies && in(weights.replace):
		return Event{Copy, int8(i), 0}, d.hasDisk && d.diskCopy == nil
	case w.setup.Copies && in(weights.replace):
		return Event{RestoreCopy, int8(i), 0}, w.mayStartCopy(i)
	case w.setup.Copies && in(weights.replace/2):
		return Event{StartCopy, int8(i), 0}, len(w.daemons) < 8 && w.mayStartCopy(i)
	case in(weights.replace):
		return w.randomReplacement(rng)
	case in(25):
		return Event{Write, int8(i), 0}, d.isLeader(w.now) && len(w.changes) < 200
	case in(2):
		return Event{ExpireLeases, 0, 0}, true
	case in(weights.drop):
		k, ok := w.randomPacket(rng)
		return Event{Drop, 0, int16(k)}, ok
	case in(weights.drop / 2):
		k, ok := w.randomPacket(rng)
		return Event{Duplicate, 0, int16(k)}, ok
	case in(weights.reorder):
		k, ok := w.randomPacket(rng)
		return Event{Deliver, 0, int16(k)}, ok
	case in(15 * weights.speed):
		return Event{AdvanceTime, 0, int16(rng.Intn(4))}, true
	case in(40 * weights.speed):
		return Event{Tick, int8(i), 0}, d.isUp
	}
	k := w.nextPacket()
	return Event{Deliver, 0, int16(k)}, k >= 0
}

// randomPacket draws a message in flight.
func (w *world) randomPacket(rng *rand.Rand) (int, bool) {
	if len(w.packets) == 0 {
		return 0, false
	}
	return rng.Intn(len(w.packets)), true
}

// randomReplacement draws the replacement of a replica, preferably of one whose disk is lost.
func (w *world) randomReplacement(rng *rand.Rand) (Event, bool) {
	out := rng.Intn(len(w.wantedReplicas))
	for i, s := range w.wantedReplicas {
		if w.daemonOf(s.Ident) < 0 {
			out = i
		}
	}
	in := rng.Intn(len(w.daemons))
	d := w.daemons[in]
	return Event{Replace, int8(out), int16(in)}, d.hasDisk &&
		!(message.Group{Replicas: w.wantedReplicas}).Has(d.self.Ident)
}

// acknowledgedCount returns the number of acknowledged changes.
func (w *world) acknowledgedCount() (n int) {
	for _, c := range w.changes {
		if c.outcome == partition.Done {
			n++
		}
	}
	return n
}
