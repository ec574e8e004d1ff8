package scene

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"mulleinmast/proof/standin/fleet"
)

// Scenes in which a data folder is copied file by file, instead of by the daemon's own
// backup, and the copy is started later or alongside the original.

// addRoutes adds n routes, each of which must be acknowledged.
func (w *World) addRoutes(ctx context.Context, name string, n int) {
	for i := range n {
		if c := w.addRoute(ctx, fmt.Sprintf("%s-%d", name, i)); c.Status != 200 {
			w.Fail("a change was not acknowledged: status %d", c.Status)
		}
	}
}

// oldCopy copies the data folder of a stopped machine and restores the copy after many
// changes, while the only other machine with the last change is down and the third never
// received it. No machine may return an older version and no change may be lost. The
// restored machine must not vote, and restarts with an empty disk.
func oldCopy(ctx context.Context, w *World) {
	core := w.Fleet.Core()
	copied, down, behind := core[0], core[1], core[2]
	folder := filepath.Join(w.Dir, "copied-folder")
	w.Fleet.Kill(copied)
	if err := w.Fleet.CopyFolder(copied, folder); err != nil {
		w.Fail("%v", err)
		return
	}
	w.restart(copied)
	w.waitReady(ctx, copied.Name+" is back")
	w.addRoutes(ctx, "hours-later", 12)
	if err := w.Fleet.DisconnectCore(behind); err != nil {
		w.Fail("%v", err)
		return
	}
	w.Until(ctx, w.Bounds.Recovery, "a leader among the other two", func() bool { return w.Fleet.LeaderExcept(0, behind) != nil })
	w.addRoutes(ctx, "missed", 1)
	w.Fleet.Kill(copied)
	w.Fleet.Kill(down)
	if err := w.Fleet.RestoreFolder(copied, folder); err != nil {
		w.Fail("%v", err)
		return
	}
	w.checkReadsDuring(ctx, []*fleet.Machine{copied, behind}, func() {
		if err := w.Fleet.Reconnect(behind); err != nil {
			w.Fail("%v", err)
		}
		w.restart(copied)
		w.Until(ctx, w.Bounds.Recovery, copied.Name+" logs that it is superseded and ends", func() bool { return w.superseded(copied) && !copied.Up() })
	})
	w.restart(copied)
	w.restart(down)
	w.waitReady(ctx, "all are back")
	w.waitForVotes(ctx, w.Fleet.Core()...)
	w.probe(ctx, "/missed-0/", true)
	w.addRoutes(ctx, "after-all", 1)
}

// copyBeside starts a copy of a running machine's data folder on another machine, with the
// same identity, while the original continues to run.
func copyBeside(ctx context.Context, w *World) {
	copied := w.Fleet.Core()[0]
	folder := filepath.Join(w.Dir, "copied-folder")
	w.addRoutes(ctx, "before-the-copy", 2)
	w.Fleet.Freeze(copied) // for a consistent copy of the folder
	err := w.Fleet.CopyFolder(copied, folder)
	w.Fleet.Thaw(copied)
	if err != nil {
		w.Fail("%v", err)
		return
	}
	w.waitReady(ctx, copied.Name+" is ready again")
	w.addRoutes(ctx, "since-the-copy", 4)
	w.Sleep(ctx, w.Bounds.Apply) // the others learn the version that the original has reached
	var twin *fleet.Machine
	w.checkReadsDuring(ctx, w.Fleet.Machines(), func() {
		if twin, err = w.Fleet.AddFrom(Zones[0], folder); err != nil {
			w.Fail("%v", err)
			return
		}
		w.Until(ctx, w.Bounds.Recovery, "the copy logs that it is superseded and ends", func() bool { return w.superseded(twin) && !twin.Up() })
		w.addRoutes(ctx, "beside", 2)
	})
	if w.superseded(copied) {
		w.Fail("%s is superseded by an older copy of its folder", copied.Name)
	}
	w.restart(twin)
	w.waitReady(ctx, "all are ready, the copy as an empty machine")
	w.probe(ctx, "/since-the-copy-3/", true)
	w.addRoutes(ctx, "after-all", 1)
}

// oldMajority restores older copies of their data folders on two of three machines. While
// the third, which has later state, runs, the two must not vote, so the majority is lost.
// The operator marks this on one of the two, which then takes over the third machine's
// state; the other restarts with an empty disk.
func oldMajority(ctx context.Context, w *World) {
	core := w.Fleet.Core()
	old := core[:2]
	folder := func(m *fleet.Machine) string { return filepath.Join(w.Dir, m.Name+"-copied-folder") }
	for _, m := range old {
		w.Fleet.Kill(m)
		if err := w.Fleet.CopyFolder(m, folder(m)); err != nil {
			w.Fail("%v", err)
			return
		}
		w.restart(m)
		w.waitReady(ctx, m.Name+" is back")
	}
	w.addRoutes(ctx, "hours-later", 4)
	w.Sleep(ctx, w.Bounds.Apply)
	w.Fleet.KillAll(old)
	for _, m := range old {
		if err := w.Fleet.RestoreFolder(m, folder(m)); err != nil {
			w.Fail("%v", err)
			return
		}
	}
	w.checkReadsDuring(ctx, w.Fleet.Machines(), func() {
		for _, m := range old {
			w.restart(m)
		}
		w.Until(ctx, w.Bounds.Recovery, "both log that they are superseded and end", func() bool {
			return w.superseded(old[0]) && w.superseded(old[1]) && !old[0].Up() && !old[1].Up()
		})
		if err := w.Fleet.MarkMajorityLost(old[0]); err != nil {
			w.Fail("%v", err)
		}
		w.restart(old[0])
		w.Until(ctx, w.Bounds.Recovery, "a leader", func() bool { return w.Fleet.Leader(0) != nil })
		w.restart(old[1])
		w.waitReady(ctx, "all are back")
	})
	w.waitForVotes(ctx, w.Fleet.Core()...)
	w.probe(ctx, "/hours-later-3/", true)
	w.addRoutes(ctx, "after-all", 1)
}

// moved removes a machine and starts its disk in another one at another address. It is the
// same replica: nothing is lost and no replica is superseded.
func moved(ctx context.Context, w *World) {
	from := w.Fleet.Core()[0]
	folder := filepath.Join(w.Dir, "moved-folder")
	w.addRoutes(ctx, "before", 2)
	w.Fleet.Remove(from)
	if err := w.Fleet.CopyFolder(from, folder); err != nil {
		w.Fail("%v", err)
		return
	}
	to, err := w.Fleet.AddFrom(from.Zone, folder)
	if err != nil {
		w.Fail("%v", err)
		return
	}
	w.waitReady(ctx, to.Name+" is ready")
	w.waitForVotes(ctx, to)
	if w.superseded(to) {
		w.Fail("%s is superseded", to.Name)
	}
	w.addRoutes(ctx, "after", 1)
	w.probe(ctx, "/before-1/", true)
}

// superseded reports whether a machine's log contains that its state is superseded.
func (w *World) superseded(m *fleet.Machine) bool {
	text, err := os.ReadFile(w.Fleet.LogOf(m))
	return err == nil && strings.Contains(string(text), "is superseded and has no vote")
}
