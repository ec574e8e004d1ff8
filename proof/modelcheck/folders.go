package modelcheck

import (
	"slices"

	"mulleinmast/control/incarnation"
	"mulleinmast/wire/message"
)

// Copies of folders. A copy is taken of a disk at any moment. It may be put in the
// place of what the disk holds by now, or be started beside it, once every other
// replica has on its own disk that the copied one came further: that is all that
// the replicas' guard asks for. A daemon that is superseded starts again empty, as
// the real one does.

// precedes reports whether a state lies before another one, or beside it. It is
// written here anew: the machines' own judgement is what is looked at.
func precedes(a, b message.SavePoint) bool {
	if b.Epoch == 0 {
		return false
	}
	if a.Epoch == b.Epoch {
		return a.Saves < b.Saves
	}
	return incarnation.Starts(a.Epoch) <= incarnation.Starts(b.Epoch)
}

// heardOf is what a disk has of another replica.
func (d disk) heardOf(ident string) (p message.PeerIncarnation) {
	if i := slices.IndexFunc(d.meta.Peers, func(p message.PeerIncarnation) bool { return p.Ident == ident }); i >= 0 {
		p = d.meta.Peers[i]
	}
	return p
}

// older reports whether a copy of this daemon's disk may be started: all other
// voters know of a later state, and no other disk is lost.
func (w *world) older(i int) bool {
	d := w.daemons[i]
	hasCopy := d.hasDisk && d.diskCopy != nil && d.diskCopy.meta.Group.Number != 0
	if !hasCopy || !w.mayWipe(i) || w.daemonOf(d.self.Ident) != i {
		return false
	}
	if w.setup.Plant == noIncarnationGuard { // nobody hears of anything
		return w.votes(d.self.Ident)
	}
	for _, o := range w.daemons {
		isOtherVoter := o.hasDisk && o.self.Ident != d.self.Ident && w.votes(o.self.Ident)
		if isOtherVoter && !precedes(d.diskCopy.meta.State, o.disk.heardOf(d.self.Ident).State) {
			return false
		}
	}
	return w.votes(d.self.Ident)
}

// votes reports whether any disk's group has an identity.
func (w *world) votes(ident string) bool {
	return slices.ContainsFunc(w.daemons, func(d *daemon) bool { return d.hasDisk && d.disk.meta.Group.Has(ident) })
}

// copyDisk takes a copy of what a disk holds.
func (w *world) copyDisk(i int) {
	d := *w.daemons[i]
	w.daemons[i] = &d
	kept := d.disk
	d.diskCopy, d.cachedHash = &kept, 0
}

// putBack puts the copy in the place of what the disk holds, and starts it.
func (w *world) putBack(i int) {
	w.crash(i, false)
	d := *w.daemons[i]
	w.daemons[i] = &d
	d.disk, d.epoch, d.isStale = *d.diskCopy, d.diskCopy.meta.State.Epoch, true
	w.start(i)
}

// beside starts the copy as another process, while the first one goes on.
func (w *world) beside(i int) {
	of := w.daemons[i]
	d := &daemon{
		self: of.self, epoch: of.diskCopy.meta.State.Epoch, hasDisk: true, disk: *of.diskCopy,
		clockRate: of.clockRate, isStale: true,
	}
	w.daemons = append(w.daemons, d)
	w.start(len(w.daemons) - 1)
}

// empty has a daemon that is superseded start again with nothing.
func (w *world) empty(i int) {
	if d := w.daemons[i]; d.isUp && d.partition.Replica != nil && d.partition.Replica.Superseded() != "" {
		w.log("%s is superseded: %s", d.self.Ident, d.partition.Replica.Superseded())
		w.crash(i, true)
		w.start(i)
	}
}

// admits reports whether a replica that holds one copy counts what one with another
// copy says.
func admits(by, of copyOf) bool {
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

// startsAs is the incarnation that a daemon has, or will have at its next start,
// and the state that it starts from.
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
