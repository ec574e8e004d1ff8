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

// precedes tells whether a state lies before another one, or beside it. It is
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

// older tells whether a copy of this daemon's disk may be started: all other
// voters know of a later state, and no other disk is lost.
func (w *world) older(i int) bool {
	d := w.daemons[i]
	if !d.store || d.copied == nil || d.copied.meta.Group.Number == 0 || !w.maywipe(i) || w.find(d.me.Ident) != i {
		return false
	}
	if w.setup.Plant == unguarded { // nobody hears of anything
		return w.votes(d.me.Ident)
	}
	for _, o := range w.daemons {
		if o.store && o.me.Ident != d.me.Ident && w.votes(o.me.Ident) && !precedes(d.copied.meta.State, o.disk.heardOf(d.me.Ident).State) {
			return false
		}
	}
	return w.votes(d.me.Ident)
}

// votes tells whether any disk's group has an identity.
func (w *world) votes(ident string) bool {
	return slices.ContainsFunc(w.daemons, func(d *daemon) bool { return d.store && d.disk.meta.Group.Has(ident) })
}

// copyDisk takes a copy of what a disk holds.
func (w *world) copyDisk(i int) {
	d := *w.daemons[i]
	w.daemons[i] = &d
	kept := d.disk
	d.copied, d.sum = &kept, 0
}

// putBack puts the copy in the place of what the disk holds, and starts it.
func (w *world) putBack(i int) {
	w.crash(i, false)
	d := *w.daemons[i]
	w.daemons[i] = &d
	d.disk, d.epoch, d.stale = *d.copied, d.copied.meta.State.Epoch, true
	w.start(i)
}

// beside starts the copy as another process, while the first one goes on.
func (w *world) beside(i int) {
	of := w.daemons[i]
	d := &daemon{me: of.me, epoch: of.copied.meta.State.Epoch, store: true, disk: *of.copied, rate: of.rate, stale: true}
	w.daemons = append(w.daemons, d)
	w.start(len(w.daemons) - 1)
}

// empty has a daemon that is superseded start again with nothing.
func (w *world) empty(i int) {
	if d := w.daemons[i]; d.up && d.sec.Replica != nil && d.sec.Replica.Superseded() != "" {
		w.say("%s is superseded: %s", d.me.Ident, d.sec.Replica.Superseded())
		w.crash(i, true)
		w.start(i)
	}
}

// admits tells whether a replica that holds one copy counts what one with another
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
	if !d.up {
		return incarnation.Number(incarnation.Starts(d.epoch)+1, 0), d.disk.meta.State
	}
	m := d.sec.Replica.Meta()
	if m.State.Epoch != d.epoch {
		return d.epoch, m.State
	}
	if len(m.History) > 0 {
		base = m.History[len(m.History)-1]
	}
	return d.epoch, base
}
