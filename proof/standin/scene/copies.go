package scene

import (
	"context"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"mulleinmast/proof/standin/fleet"
)

// catchUp is catch-up-s of the settings: after it a machine counts again.
const catchUp = 4 * time.Second

// backUp: one machine gets a back-up of its disk put back that is older than what
// was acknowledged since, while the only other copy of that is away and the third
// missed it. Nothing older is shown by anybody, and nothing is lost.
func backUp(ctx context.Context, w *World) {
	core := w.Fleet.Core()
	restored, away, behind := core[0], core[1], core[2]
	file := filepath.Join(w.Dir, "back-up.db")
	if err := w.Fleet.Test(restored, "/v1/backup?to="+file, nil); err != nil {
		w.Fail("%v", err)
		return
	}
	if err := w.Fleet.Cut(behind); err != nil {
		w.Fail("%v", err)
		return
	}
	w.Until(ctx, w.Bounds.Recovery, "a leader among the other two", func() bool { return w.Fleet.LeaderBut(0, behind) != nil })
	if c := w.another(ctx, "since-the-copy"); c.Status != 200 {
		w.Fail("a change was not taken: %d", c.Status)
		return
	}
	w.Fleet.Kill(restored)
	w.Fleet.Kill(away)
	if err := w.Fleet.PutBack(restored, file); err != nil {
		w.Fail("%v", err)
		return
	}
	w.watched(ctx, []*fleet.Machine{restored, behind}, func() {
		if err := w.Fleet.Join(behind); err != nil {
			w.Fail("%v", err)
		}
		w.up(restored)
		w.Pass(ctx, 6*time.Second) // time enough to elect a leader, if two make a majority
	})
	w.up(away)
	w.ready(ctx, "all are back")
	w.probe(ctx, "/since-the-copy/", true)
}

// restored: all disks are lost; each machine gets its back-up put back, with the
// operator's word that the majority is lost, and the fleet goes on from there.
func restored(ctx context.Context, w *World) {
	if c := w.another(ctx, "before-the-copies"); c.Status != 200 {
		w.Fail("a change was not taken: %d", c.Status)
		return
	}
	file := func(m *fleet.Machine) string { return filepath.Join(w.Dir, m.Name+"-back-up.db") }
	for _, m := range w.Fleet.Core() {
		if err := w.Fleet.Test(m, "/v1/backup?to="+file(m), nil); err != nil {
			w.Fail("%v", err)
			return
		}
	}
	w.Fleet.KillAll(w.Fleet.Machines())
	for _, m := range w.Fleet.Core() {
		if err := w.Fleet.PutBack(m, file(m)); err != nil {
			w.Fail("%v", err)
		}
		if err := w.Fleet.SayMajorityLost(m); err != nil {
			w.Fail("%v", err)
		}
	}
	for _, m := range w.Fleet.Machines() {
		w.up(m)
	}
	w.ready(ctx, "all are back")
	w.probe(ctx, "/before-the-copies/", true)
	if c := w.another(ctx, "after-all"); c.Status != 200 {
		w.Fail("a change was not taken: %d", c.Status)
	}
}

// stopBesideLoss: a core machine is gone for good and another one has come for it,
// just as a second one is told to end; the third loses its disk while that one is
// down. One disk is lost at a time: once all are back the fleet serves and counts.
func stopBesideLoss(ctx context.Context, w *World) {
	successor, err := w.Fleet.Add(Zones[0], true)
	if err != nil {
		w.Fail("%v", err)
		return
	}
	w.ready(ctx, "the successor is in")
	stopped := w.Fleet.Leader(0) // what it leads goes to another one, that knows nothing yet of who answers
	if stopped == nil {
		w.Fail("the configuration has no leader")
		return
	}
	others := slices.DeleteFunc(w.Fleet.Core(), func(m *fleet.Machine) bool { return m == stopped || m == successor })
	gone, wiped := others[0], others[1]
	w.Fleet.Remove(gone)
	w.Fleet.Term(stopped)
	w.Until(ctx, w.Bounds.Grace+time.Second, stopped.Name+" has ended", func() bool { return !stopped.Up() })
	w.untilCount(ctx, successor)
	w.Pass(ctx, catchUp)
	w.Fleet.Kill(wiped)
	if err := w.Fleet.Wipe(wiped); err != nil {
		w.Fail("%v", err)
	}
	w.up(wiped)
	w.up(stopped)
	w.ready(ctx, "all are back")
	w.untilCount(ctx, w.Fleet.Core()...)
	if c := w.another(ctx, "after-all"); c.Status != 200 {
		w.Fail("a change was not taken: %d", c.Status)
	}
	w.Served(ctx, int(w.Rate))
}

// Counts tells whether a machine with a disk has a vote in every partition, and no
// group is half changed.
//
// Example: w.Until(ctx, w.Bounds.Recovery, m.Name+" counts", func() bool { return w.Counts(m) })
func (w *World) Counts(m *fleet.Machine) bool {
	st, ok := w.Fleet.State(m)
	if !ok {
		return false
	}
	for _, p := range st.Partitions {
		if len(p.Group.Next) > 0 || !p.Group.Has(st.Me.Ident) {
			return false
		}
	}
	return true
}

// untilCount waits until machines with a disk have a vote in every partition.
func (w *World) untilCount(ctx context.Context, list ...*fleet.Machine) {
	for _, m := range list {
		w.Until(ctx, w.Bounds.Recovery, m.Name+" counts", func() bool { return w.Counts(m) })
	}
}

// watched has machines asked for the configuration all the time while something
// goes on.
func (w *World) watched(ctx context.Context, list []*fleet.Machine, meanwhile func()) {
	ctx, end := context.WithCancel(ctx)
	var wait sync.WaitGroup
	for _, m := range list {
		wait.Go(func() { w.readsBack(ctx, m) })
	}
	meanwhile()
	end()
	wait.Wait()
}

// up starts a machine's daemon again.
func (w *World) up(m *fleet.Machine) {
	if err := w.Fleet.Up(m); err != nil {
		w.Fail("%v", err)
	}
}
