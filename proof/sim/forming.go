package sim

import "time"

// Faults while a new fleet forms its first group.

// formingTime is how long after the start of a run such faults occur.
const formingTime = 3 * time.Second

// firstStartTime is how long the first starts of a run may take. A later start isn't one of the fleet's first.
const firstStartTime = time.Second

// saysFirstStart reports whether the platform marks the first start of each daemon.
func (o Options) saysFirstStart() bool { return o.DisklessSeeds || o.MarksFirstStart }

// isFirstStart reports whether this start of the daemon is its first, and one of the fleet's first.
func (n *node) isFirstStart() bool { return n.starts == 1 && n.world.now < firstStartTime }

// scheduleFormingFaults schedules the faults while the fleet forms: kills of one or all control daemons, and
// the loss of a seed.
func (w *world) scheduleFormingFaults() {
	w.killBeforeVotes()
	for range w.options.FormingKills {
		w.schedule(time.Second/2+time.Duration(w.rng.Int63n(int64(formingTime))), func() {
			if w.rng.Intn(2) == 0 {
				w.killControlDaemons(nil)
				return
			}
			n := w.pickControlDaemon(nil)
			n.kill()
			w.startLater(n)
		})
	}
	if w.options.LostSeed {
		w.schedule(time.Second/2+time.Duration(w.rng.Int63n(int64(formingTime))), w.loseSeed)
	}
}

// killBeforeVotes makes the scheduled start of some control daemons their second one. The first has left no trace.
func (w *world) killBeforeVotes() {
	for _, n := range w.nodes {
		if n.hasDisk && w.options.EarlyKillShare > 0 && w.rng.Float64() < w.options.EarlyKillShare {
			w.injectFault("killed early", n)
			n.starts++
		}
	}
}

// loseSeed removes a control daemon for good. An empty one at another address takes its place.
func (w *world) loseSeed() {
	n := w.pickControlDaemon(nil)
	w.injectFault("gone", n)
	n.kill()
	n.removed = true
	successor := w.addNode(n.zone, true, len(w.nodes))
	w.schedule(w.exp(2*time.Second), successor.start)
}
