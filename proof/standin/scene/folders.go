package scene

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"mulleinmast/proof/standin/fleet"
)

// Data folders that are copied by other means than a daemon's own back-up, and
// started later or beside the one that they were copied from.

// changes adds so many routes, each acknowledged.
func (w *World) changes(ctx context.Context, name string, n int) {
	for i := range n {
		if c := w.another(ctx, fmt.Sprintf("%s-%d", name, i)); c.Status != 200 {
			w.Fail("a change was not taken: %d", c.Status)
		}
	}
}

// oldCopy: one machine's folder is copied at rest; after many changes the copy is put
// in the place of what the machine has by then, while the only other copy of the
// last change is away and the third machine missed it. Nothing older is shown by
// anybody and nothing is lost; the machine has no vote and comes back empty.
func oldCopy(ctx context.Context, w *World) {
	core := w.Fleet.Core()
	copied, away, behind := core[0], core[1], core[2]
	folder := filepath.Join(w.Dir, "copied-folder")
	w.Fleet.Kill(copied)
	if err := w.Fleet.CopyFolder(copied, folder); err != nil {
		w.Fail("%v", err)
		return
	}
	w.up(copied)
	w.ready(ctx, copied.Name+" is back")
	w.changes(ctx, "hours-later", 12)
	if err := w.Fleet.Cut(behind); err != nil {
		w.Fail("%v", err)
		return
	}
	w.Until(ctx, w.Bounds.Recovery, "a leader among the other two", func() bool { return w.Fleet.LeaderBut(0, behind) != nil })
	w.changes(ctx, "missed", 1)
	w.Fleet.Kill(copied)
	w.Fleet.Kill(away)
	if err := w.Fleet.PutFolder(copied, folder); err != nil {
		w.Fail("%v", err)
		return
	}
	w.watched(ctx, []*fleet.Machine{copied, behind}, func() {
		if err := w.Fleet.Join(behind); err != nil {
			w.Fail("%v", err)
		}
		w.up(copied)
		w.Until(ctx, w.Bounds.Recovery, copied.Name+" says that it is superseded and ends", func() bool { return w.superseded(copied) && !copied.Up() })
	})
	w.up(copied)
	w.up(away)
	w.ready(ctx, "all are back")
	w.untilCount(ctx, w.Fleet.Core()...)
	w.probe(ctx, "/missed-0/", true)
	w.changes(ctx, "after-all", 1)
}

// copyBeside: a running machine's folder is copied and the copy started on another
// machine, under the same identity, while the first goes on.
func copyBeside(ctx context.Context, w *World) {
	copied := w.Fleet.Core()[0]
	folder := filepath.Join(w.Dir, "copied-folder")
	w.changes(ctx, "before-the-copy", 2)
	w.Fleet.Freeze(copied) // a copy of a folder as it stands
	err := w.Fleet.CopyFolder(copied, folder)
	w.Fleet.Thaw(copied)
	if err != nil {
		w.Fail("%v", err)
		return
	}
	w.ready(ctx, copied.Name+" goes on")
	w.changes(ctx, "since-the-copy", 4)
	w.Pass(ctx, w.Bounds.Apply) // the others hear how far the first one came
	var twin *fleet.Machine
	w.watched(ctx, w.Fleet.Machines(), func() {
		if twin, err = w.Fleet.AddFrom(Zones[0], folder); err != nil {
			w.Fail("%v", err)
			return
		}
		w.Until(ctx, w.Bounds.Recovery, "one of the two says that it is superseded and ends", func() bool { return w.superseded(twin) && !twin.Up() })
		w.changes(ctx, "beside", 2)
	})
	if w.superseded(copied) {
		w.Fail("%s is superseded by an older copy of its folder", copied.Name)
	}
	w.up(twin)
	w.ready(ctx, "all are in, the copy as an empty machine")
	w.probe(ctx, "/since-the-copy-3/", true)
	w.changes(ctx, "after-all", 1)
}

// oldMajority: two machines of three get older copies of their folders put back. As
// long as the third, which knows better, is there, they have no votes. That is the
// loss of a majority: an operator says so beside one of the two, which then goes by
// what the third has, and the other comes back empty.
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
		w.up(m)
		w.ready(ctx, m.Name+" is back")
	}
	w.changes(ctx, "hours-later", 4)
	w.Pass(ctx, w.Bounds.Apply)
	w.Fleet.KillAll(old)
	for _, m := range old {
		if err := w.Fleet.PutFolder(m, folder(m)); err != nil {
			w.Fail("%v", err)
			return
		}
	}
	w.watched(ctx, w.Fleet.Machines(), func() {
		for _, m := range old {
			w.up(m)
		}
		w.Until(ctx, w.Bounds.Recovery, "both say that they are superseded and end", func() bool {
			return w.superseded(old[0]) && w.superseded(old[1]) && !old[0].Up() && !old[1].Up()
		})
		if err := w.Fleet.SayMajorityLost(old[0]); err != nil {
			w.Fail("%v", err)
		}
		w.up(old[0])
		w.Until(ctx, w.Bounds.Recovery, "a leader", func() bool { return w.Fleet.Leader(0) != nil })
		w.up(old[1])
		w.ready(ctx, "all are back")
	})
	w.untilCount(ctx, w.Fleet.Core()...)
	w.probe(ctx, "/hours-later-3/", true)
	w.changes(ctx, "after-all", 1)
}

// moved: a machine is gone and its disk goes on in another one, at another address.
// It is the same replica: nothing is lost and nobody is superseded.
func moved(ctx context.Context, w *World) {
	from := w.Fleet.Core()[0]
	folder := filepath.Join(w.Dir, "moved-folder")
	w.changes(ctx, "before", 2)
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
	w.ready(ctx, to.Name+" is in")
	w.untilCount(ctx, to)
	if w.superseded(to) {
		w.Fail("%s is superseded", to.Name)
	}
	w.changes(ctx, "after", 1)
	w.probe(ctx, "/before-1/", true)
}

// superseded tells whether a machine's log says that its state is superseded.
func (w *World) superseded(m *fleet.Machine) bool {
	text, err := os.ReadFile(w.Fleet.LogOf(m))
	return err == nil && strings.Contains(string(text), "is superseded and has no vote")
}
