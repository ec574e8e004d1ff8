package sim

import (
	"maps"
	"time"

	"mulleinmast/control/incarnation"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// Copies of folders: a disk is copied at any moment, also while its daemon runs, and
// later the copy is put in the place of what the disk holds, or started beside it
// under the same identity. It counts as the loss of a disk.

// clone is a folder as it is now.
func (f *folder) clone() *folder {
	out := &folder{
		ident:         f.ident,
		epoch:         f.epoch,
		metaOf:        maps.Clone(f.metaOf),
		records:       map[int]map[string]message.Record{},
		recordSums:    maps.Clone(f.recordSums),
		partitionSums: maps.Clone(f.partitionSums),
		rotten:        f.rotten,
	}
	for p, recs := range f.records {
		out.records[p] = maps.Clone(recs)
	}
	return out
}

// latest is the stamp of a folder's state.
func (f *folder) latest() (s message.SavePoint) {
	for _, m := range f.metaOf {
		if later(m.State, s) {
			s = m.State
		}
	}
	return s
}

// later tells whether one state of a folder came after another.
func later(a, b message.SavePoint) bool {
	return incarnation.Starts(a.Epoch) > incarnation.Starts(b.Epoch) || a.Epoch == b.Epoch && a.Saves > b.Saves
}

// copyFolder copies a control daemon's disk, and starts the copy some time later.
func (w *world) copyFolder(n *node, beside bool) {
	for n.removed || !n.hasDisk || n.disk == nil {
		n = w.nodes[w.rng.Intn(len(w.nodes))]
	}
	if len(n.disk.metaOf) == 0 {
		return
	}
	kept := n.disk.clone()
	w.at(time.Second+w.exp(6*time.Second), func() { w.startCopy(n, kept, beside, 40) })
}

// startCopy starts an older copy once all others know of a later state of its
// identity; that is all that the replicas' guard asks for.
func (w *world) startCopy(n *node, kept *folder, beside bool, tries int) {
	if w.calm || w.diskLost || n.removed || n.disk == nil || n.disk.ident != kept.ident || tries == 0 {
		return
	}
	if !w.outrun(n, kept) {
		w.at(250*time.Millisecond, func() { w.startCopy(n, kept, beside, tries-1) })
		return
	}
	w.diskLost = true
	if beside {
		w.result.Faults["copybeside"]++
		w.trace("FAULT copy of %s beside it", n.name)
		m := w.add(n.zone, true, len(w.nodes))
		m.disk = kept
		m.start()
		return
	}
	w.result.Faults["copyback"]++
	w.trace("FAULT older copy at %s", n.name)
	n.kill()
	n.disk = kept
	w.startLater(n)
}

// outrun tells whether every other voter has on its disk that a machine came
// further than a copy of its folder.
func (w *world) outrun(n *node, kept *folder) bool {
	if w.options.Sabotage == "unguarded" { // nobody hears of anything
		return true
	}
	was := kept.latest()
	for p, m := range n.disk.metaOf {
		for _, r := range m.Group.All() {
			if r.Ident != kept.ident && !w.heardOf(r.Ident, p, kept.ident, was) {
				return false
			}
		}
	}
	return true
}

// heardOf tells whether a voter's disk has a later state of another one.
func (w *world) heardOf(voter string, p int, of string, than message.SavePoint) bool {
	for _, n := range w.nodes {
		if n.disk == nil || n.disk.ident != voter {
			continue
		}
		for _, known := range n.disk.metaOf[p].Peers {
			if known.Ident == of && later(known.State, than) {
				return true
			}
		}
	}
	return false
}

// superseded has a daemon that lost its voice end and start empty, as the real one
// does.
func (n *node) superseded(why string) {
	w := n.world
	w.trace("%s is superseded: %s", n.name, why)
	w.result.Superseded++
	life := n.starts
	w.at(50*time.Millisecond, func() {
		if n.starts == life && n.up {
			n.kill()
			n.disk = nil
			w.startLater(n)
		}
	})
}

// metas are what a folder's replicas hold.
func (f *folder) metas() (out []quorum.Meta) {
	for _, m := range f.metaOf {
		out = append(out, m)
	}
	return out
}
