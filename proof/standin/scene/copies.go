package scene

import (
	"context"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"mulleinmast/proof/standin/fleet"
)

// catchUp is catch-up-s of the settings, after which a restarted machine must have its
// votes again.
const catchUp = 4 * time.Second

// backUp restores one machine from a backup that lacks a later acknowledged change,
// while the only other machine with that change is down and the third never received it.
// No machine may return an older version, and the change must not be lost.
func backUp(ctx context.Context, w *World) {
	core := w.Fleet.Core()
	restored, down, behind := core[0], core[1], core[2]
	file := filepath.Join(w.Dir, "back-up.db")
	if err := w.Fleet.Post(restored, "/v1/backup?to="+file, nil); err != nil {
		w.Fail("%v", err)
		return
	}
	if err := w.Fleet.DisconnectCore(behind); err != nil {
		w.Fail("%v", err)
		return
	}
	w.Until(ctx, w.Bounds.Recovery, "a leader among the other two", func() bool { return w.Fleet.LeaderExcept(0, behind) != nil })
	if c := w.addRoute(ctx, "since-the-copy"); c.Status != 200 {
		w.Fail("a change was not acknowledged: status %d", c.Status)
		return
	}
	w.Fleet.Kill(restored)
	w.Fleet.Kill(down)
	if err := w.Fleet.RestoreBackup(restored, file); err != nil {
		w.Fail("%v", err)
		return
	}
	w.checkReadsDuring(ctx, []*fleet.Machine{restored, behind}, func() {
		if err := w.Fleet.Reconnect(behind); err != nil {
			w.Fail("%v", err)
		}
		w.restart(restored)
		w.Sleep(ctx, 6*time.Second) // long enough to elect a leader if the two formed a majority
	})
	w.restart(down)
	w.waitReady(ctx, "all are back")
	w.probe(ctx, "/since-the-copy/", true)
}

// restored loses all disks and restores each core machine from its backup, marked by the
// operator as the state left after the loss of a majority. The fleet continues from it.
func restored(ctx context.Context, w *World) {
	if c := w.addRoute(ctx, "before-the-copies"); c.Status != 200 {
		w.Fail("a change was not acknowledged: status %d", c.Status)
		return
	}
	file := func(m *fleet.Machine) string { return filepath.Join(w.Dir, m.Name+"-back-up.db") }
	for _, m := range w.Fleet.Core() {
		if err := w.Fleet.Post(m, "/v1/backup?to="+file(m), nil); err != nil {
			w.Fail("%v", err)
			return
		}
	}
	w.Fleet.KillAll(w.Fleet.Machines())
	for _, m := range w.Fleet.Core() {
		if err := w.Fleet.RestoreBackup(m, file(m)); err != nil {
			w.Fail("%v", err)
		}
		if err := w.Fleet.MarkMajorityLost(m); err != nil {
			w.Fail("%v", err)
		}
	}
	for _, m := range w.Fleet.Machines() {
		w.restart(m)
	}
	w.waitReady(ctx, "all are back")
	w.probe(ctx, "/before-the-copies/", true)
	if c := w.addRoute(ctx, "after-all"); c.Status != 200 {
		w.Fail("a change was not acknowledged: status %d", c.Status)
	}
}

// stopBesideLoss replaces a core machine permanently and at that moment stops a second one
// with SIGTERM. The third loses its disk while the second is down. Only one disk is lost at
// a time, so once all machines are back the fleet serves and all have their votes.
func stopBesideLoss(ctx context.Context, w *World) {
	successor, err := w.Fleet.Add(Zones[0], true)
	if err != nil {
		w.Fail("%v", err)
		return
	}
	w.waitReady(ctx, "the replacement is ready")
	stopped := w.Fleet.Leader(0) // its leaderships move to a machine that does not know yet which peers respond
	if stopped == nil {
		w.Fail("the configuration has no leader")
		return
	}
	others := slices.DeleteFunc(w.Fleet.Core(), func(m *fleet.Machine) bool { return m == stopped || m == successor })
	gone, wiped := others[0], others[1]
	w.Fleet.Remove(gone)
	w.Fleet.Term(stopped)
	w.Until(ctx, w.Bounds.Grace+time.Second, stopped.Name+" has ended", func() bool { return !stopped.Up() })
	w.waitForVotes(ctx, successor)
	w.Sleep(ctx, catchUp)
	w.Fleet.Kill(wiped)
	if err := w.Fleet.Wipe(wiped); err != nil {
		w.Fail("%v", err)
	}
	w.restart(wiped)
	w.restart(stopped)
	w.waitReady(ctx, "all are back")
	w.waitForVotes(ctx, w.Fleet.Core()...)
	if c := w.addRoute(ctx, "after-all"); c.Status != 200 {
		w.Fail("a change was not acknowledged: status %d", c.Status)
	}
	w.WaitServed(ctx, int(w.Rate))
}

// HasVotes reports whether a core machine has a vote in every partition and no membership
// change is in progress.
//
// Example: w.Until(ctx, w.Bounds.Recovery, m.Name+" votes", func() bool { return w.HasVotes(m) })
func (w *World) HasVotes(m *fleet.Machine) bool {
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

// waitForVotes waits until core machines have a vote in every partition.
func (w *World) waitForVotes(ctx context.Context, list ...*fleet.Machine) {
	for _, m := range list {
		w.Until(ctx, w.Bounds.Recovery, m.Name+" has a vote in every partition", func() bool { return w.HasVotes(m) })
	}
}

// checkReadsDuring reads the configuration from machines repeatedly while a function runs.
func (w *World) checkReadsDuring(ctx context.Context, list []*fleet.Machine, during func()) {
	ctx, end := context.WithCancel(ctx)
	var wait sync.WaitGroup
	for _, m := range list {
		wait.Go(func() { w.checkReads(ctx, m) })
	}
	during()
	end()
	wait.Wait()
}

// restart starts a machine's daemon again.
func (w *World) restart(m *fleet.Machine) {
	if err := w.Fleet.Restart(m); err != nil {
		w.Fail("%v", err)
	}
}
