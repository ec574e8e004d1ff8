package modelcheck

import (
	"slices"

	"mulleinmast/control/incarnation"
	"mulleinmast/wire/message"
)

// Copies of data folders. A disk may be copied at any time. The copy may replace the disk's
// contents, or be started as a second daemon, once every other replica's disk records a
// later state of the copied replica: that is the condition under which the incarnation guard
// must detect the copy. A superseded daemon restarts empty, as the production daemon does.

// precedes reports whether save point a comes before b or is concurrent with it. It does not
// use the machines' own comparison, since that is under test.
func precedes(a, b message.SavePoint) bool {
	if b.Epoch == 0 {
		return false
	}
	if a.Epoch == b.Epoch {
		return a.Saves < b.Saves
	}
	return incarnation.Starts(a.Epoch) <= incarnation.Starts(b.Epoch)
}

// knownPeer returns the incarnation of another replica that a disk records.
func (d disk) knownPeer(ident string) (p message.PeerIncarnation) {
	if i := slices.IndexFunc(d.meta.Peers, func(p message.PeerIncarnation) bool { return p.Ident == ident }); i >= 0 {
		p = d.meta.Peers[i]
	}
	return p
}

// mayStartCopy reports whether a copy of this daemon's disk may be started: all other
// voters know of a later state, and no other disk is lost.
func (w *world) mayStartCopy(i int) bool {
	d := w.daemons[i]
	hasCopy := d.hasDisk && d.diskCopy != nil && d.diskCopy.meta.Group.Number != 0
	if !hasCopy || !w.mayWipe(i) || w.daemonOf(d.self.Ident) != i {
		return false
	}
	if w.setup.Fault == noIncarnationGuard { // no replica knows the others' incarnations
		return w.isVoter(d.self.Ident)
	}
	for _, o := range w.daemons {
		isOtherVoter := o.hasDisk && o.self.Ident != d.self.Ident && w.isVoter(o.self.Ident)
		if isOtherVoter && !precedes(d.diskCopy.meta.State, o.disk.knownPeer(d.self.Ident).State) {
			return false
		}
	}
	return w.isVoter(d.self.Ident)
}

// isVoter reports whether the group on any disk has a replica with this identity.
func (w *world) isVoter(ident string) bool {
	return slices.ContainsFunc(w.daemons, func(d *daemon) bool { return d.hasDisk && d.disk.meta.Group.Has(ident) })
}

// copyDisk copies a daemon's disk.
func (w *world) copyDisk(i int) {
	d := *w.daemons[i]
	w.daemons[i] = &d
	kept := d.disk
	d.diskCopy, d.cachedHash = &kept, 0
}

// restoreCopy replaces the disk's contents by the copy, and restarts the daemon.
func (w *world) restoreCopy(i int) {
	w.crash(i, false)
	d := *w.daemons[i]
	w.daemons[i] = &d
	d.disk, d.epoch, d.isStale = *d.diskCopy, d.diskCopy.meta.State.Epoch, true
	w.start(i)
}

// startCopy starts the copy as another process, while the original keeps running.
func (w *world) startCopy(i int) {
	of := w.daemons[i]
	d := &daemon{
		self: of.self, epoch: of.diskCopy.meta.State.Epoch, hasDisk: true, disk: *of.diskCopy,
		clockRate: of.clockRate, isStale: true,
	}
	w.daemons = append(w.daemons, d)
	w.start(len(w.daemons) - 1)
}

// restartSuperseded restarts a superseded daemon with an empty disk.
func (w *world) restartSuperseded(i int) {
	if d := w.daemons[i]; d.isUp && d.partition.Replica != nil && d.partition.Replica.Superseded() != "" {
		w.log("%s is superseded: %s", d.self.Ident, d.partition.Replica.Superseded())
		w.crash(i, true)
		w.start(i)
	}
}

// admits reports whether a replica in state by accepts messages from a replica in state of.
func admits(by, of replicaState) bool {
	i := slices.IndexFunc(by.peers, func(p message.PeerIncarnation) bool { return p.Ident == of.ident })
	if i < 0 {
		return true
	}
	known := by.peers[i]
	switch incarnation.Compare(of.epoch, known.Epoch) {
	case incarnation.Same:
		return true
	case incarnation.Later:
		return !precedes(of.base, known.State)
	}
	return false
}

// startsAs returns the incarnation that a daemon has, or will have at its next start, and the
// state from which it starts.
func (d *daemon) startsAs() (epoch uint64, base message.SavePoint) {
	if !d.isUp {
		return incarnation.Number(incarnation.Starts(d.epoch)+1, 0), d.disk.meta.State
	}
	m := d.partition.Replica.Meta()
	if m.State.Epoch != d.epoch {
		return d.epoch, m.State
	}
	if len(m.History) > 0 {
		base = m.History[len(m.History)-1]
	}
	return d.epoch, base
}
