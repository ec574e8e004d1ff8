package sim

import (
	"maps"
	"time"

	"mulleinmast/control/incarnation"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// Copies of data folders: a disk may be copied at any time, also while its daemon runs.
// Later the copy replaces the disk's contents, or a second daemon starts from it under the
// same identity. Either counts as the loss of a disk.

// clone returns a copy of a folder's current state.
func (f *folder) clone() *folder {
	out := &folder{
		ident:         f.ident,
		epoch:         f.epoch,
		metaOf:        maps.Clone(f.metaOf),
		records:       map[int]map[string]message.Record{},
		recordSums:    maps.Clone(f.recordSums),
		partitionSums: maps.Clone(f.partitionSums),
		corrupted:     f.corrupted,
	}
	for p, recs := range f.records {
		out.records[p] = maps.Clone(recs)
	}
	return out
}

// latestSave returns the newest save point in a folder.
func (f *folder) latestSave() (s message.SavePoint) {
	for _, m := range f.metaOf {
		if later(m.State, s) {
			s = m.State
		}
	}
	return s
}

// later reports whether save point a comes after b.
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
	diskCopy := n.disk.clone()
	w.schedule(time.Second+w.exp(6*time.Second), func() { w.startCopy(n, diskCopy, beside, 40) })
}

// startCopy starts an older copy once all other voters know a later state of its identity,
// which is the condition under which the incarnation guard must detect the copy.
func (w *world) startCopy(n *node, diskCopy *folder, beside bool, tries int) {
	if w.faultsEnded || w.diskLost || n.removed || n.disk == nil || n.disk.ident != diskCopy.ident || tries == 0 {
		return
	}
	if !w.othersKnowLater(n, diskCopy) {
		w.schedule(250*time.Millisecond, func() { w.startCopy(n, diskCopy, beside, tries-1) })
		return
	}
	w.diskLost = true
	if beside {
		w.result.Faults["copybeside"]++
		w.trace("FAULT copy of %s beside it", n.name)
		m := w.addNode(n.zone, true, len(w.nodes))
		m.disk = diskCopy
		m.start()
		return
	}
	w.result.Faults["copyback"]++
	w.trace("FAULT older copy at %s", n.name)
	n.kill()
	n.disk = diskCopy
	w.startLater(n)
}

// othersKnowLater reports whether every other voter's disk records a later state of a
// daemon than the copy of its folder has.
func (w *world) othersKnowLater(n *node, diskCopy *folder) bool {
	if w.options.Sabotage == "unguarded" { // no replica knows the others' incarnations
		return true
	}
	copied := diskCopy.latestSave()
	for p, m := range n.disk.metaOf {
		for _, r := range m.Group.All() {
			if r.Ident != diskCopy.ident && !w.knowsLater(r.Ident, p, diskCopy.ident, copied) {
				return false
			}
		}
	}
	return true
}

// knowsLater reports whether a voter's disk records a later state of another replica.
func (w *world) knowsLater(voter string, p int, of string, than message.SavePoint) bool {
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

// superseded stops a superseded daemon and restarts it with an empty disk, as the
// production daemon does.
func (n *node) superseded(why string) {
	w := n.world
	w.trace("%s is superseded: %s", n.name, why)
	w.result.Superseded++
	starts := n.starts
	w.schedule(50*time.Millisecond, func() {
		if n.starts == starts && n.up {
			n.kill()
			n.disk = nil
			w.startLater(n)
		}
	})
}

// metas returns the metadata of all replicas in a folder.
func (f *folder) metas() (out []quorum.Meta) {
	for _, m := range f.metaOf {
		out = append(out, m)
	}
	return out
}
