package modelcheck

import (
	"slices"
	"time"

	"mulleinmast/control/lease"
	"mulleinmast/control/partition"
	"mulleinmast/wire/message"
)

// Bounds say how often each kind of event may come in one run of the explorer.
type Bounds struct {
	Write, Want                          int // changes asked for; wishes for another group
	Crash, Wipe, Stall                   int
	Drop, Double, Hold, Cut, Lapse, Tick int
	Copy, PutBack, Beside                int
}

// Kind is what happens.
type Kind uint8

// The kinds of events. Those below Step cost nothing.
const (
	Step    Kind = iota // what happens when nothing goes wrong
	Restart             // a daemon that is down starts with its disk
	Release             // a held message arrives
	Sync                // a stalled disk completes its oldest write
	Heal                // all cuts end
	Write               // somebody asks a leader for a change on the last acknowledged one
	Want                // another group is wished for
	Crash               // a daemon stops; what its disk had not completed is lost
	Wipe                // a daemon stops for good; an empty one takes its address
	Stall               // a disk stops completing writes
	Drop                // a message is lost
	Double              // a message arrives now, and again later
	Hold                // a message arrives later
	Cut                 // messages one way between two daemons are lost from now on
	Lapse               // time passes that ends every lease, and nobody looked
	Tick                // one daemon lets time pass
	Pass                // a little time passes
	Arrive              // any message arrives
	Copy                // a disk is copied
	PutBack             // a daemon stops and starts with the copy of its disk
	Beside              // the copy is started beside the daemon
)

// Event is one event: what, at which daemon, with which message or other daemon.
type Event struct {
	Kind Kind
	At   int8
	With int16
}

// count is the field of the bounds that an event draws on; nil: it is free.
func (b *Bounds) count(k Kind) *int {
	switch k {
	case Write:
		return &b.Write
	case Want:
		return &b.Want
	case Crash:
		return &b.Crash
	case Wipe:
		return &b.Wipe
	case Stall:
		return &b.Stall
	case Drop:
		return &b.Drop
	case Double:
		return &b.Double
	case Hold:
		return &b.Hold
	case Cut:
		return &b.Cut
	case Lapse:
		return &b.Lapse
	case Tick:
		return &b.Tick
	case Copy:
		return &b.Copy
	case PutBack:
		return &b.PutBack
	case Beside:
		return &b.Beside
	}
	return nil
}

func (b Bounds) sum() int {
	return b.Crash + b.Wipe + b.Stall + b.Drop + b.Double + b.Hold + b.Cut + b.Lapse + b.Tick +
		b.Write + b.Want + b.Copy + b.PutBack + b.Beside
}

// events lists what may happen next within the bounds. Their order is that in which
// states are visited.
func (w *world) events(most Bounds, total int) []Event {
	c := chooser{world: w, most: most, total: total}
	c.add(Step, 0, 0)
	for k, p := range w.packets {
		if p.isHeld {
			c.add(Release, 0, k)
		}
	}
	if len(w.cuts) > 0 {
		c.add(Heal, 0, 0)
	}
	for i, d := range w.daemons {
		c.addOfDaemon(i, d)
	}
	for i, d := range w.daemons {
		if d.hasDisk {
			c.addOfDisk(i, d)
		}
	}
	c.addOfMessages()
	c.addIf(c.may(Lapse), Lapse, 0)
	if c.may(Want) {
		c.addWanted()
	}
	return c.events
}

// chooser collects the events that may happen next.
type chooser struct {
	*world
	most   Bounds
	total  int // of all kinds together
	events []Event
}

// may reports whether an event of a bounded kind may still happen.
func (c *chooser) may(k Kind) bool {
	return c.spent.sum() < c.total && *c.spent.count(k) < *c.most.count(k)
}

func (c *chooser) add(k Kind, at, with int) {
	c.events = append(c.events, Event{k, int8(at), int16(with)})
}

func (c *chooser) addIf(holds bool, k Kind, at int) {
	if holds {
		c.add(k, at, 0)
	}
}

// addOfDaemon adds what may happen to a daemon.
func (c *chooser) addOfDaemon(i int, d *daemon) {
	if !d.isUp {
		c.add(Restart, i, 0)
		return
	}
	c.addIf(len(d.pendingSaves) > 0, Sync, i)
	c.addIf(c.may(Crash), Crash, i)
	c.addIf(c.may(Stall) && d.hasDisk && !d.isStalled, Stall, i)
	c.addIf(c.may(Tick), Tick, i)
	c.addIf(c.may(Write) && d.leads(c.now), Write, i)
	if !c.may(Cut) {
		return
	}
	for j := range c.daemons {
		if j != i && !slices.Contains(c.cuts, [2]int{i, j}) {
			c.add(Cut, i, j)
		}
	}
}

// addOfDisk adds what may happen to a daemon's disk.
func (c *chooser) addOfDisk(i int, d *daemon) {
	c.addIf(c.may(Wipe) && c.mayWipe(i), Wipe, i)
	c.addIf(c.may(Copy), Copy, i)
	for _, kind := range []Kind{PutBack, Beside} {
		c.addIf(d.diskCopy != nil && c.may(kind) && c.older(i), kind, i)
	}
}

// addOfMessages adds what may happen to the messages on their way.
func (c *chooser) addOfMessages() {
	for _, kind := range []Kind{Drop, Double, Hold} {
		for k, p := range c.packets {
			if !p.isHeld && c.may(kind) {
				c.add(kind, 0, k)
			}
		}
	}
}

// addWanted adds the groups that may be wished for next.
func (c *chooser) addWanted() {
	for out := range c.wantedReplicas {
		for in, d := range c.daemons {
			if d.hasDisk && !(message.Group{Replicas: c.wantedReplicas}).Has(d.self.Ident) {
				c.add(Want, out, in)
			}
		}
	}
}

// mayWipe reports whether the loss of this disk is one that the fleet must bear:
// no other disk was lost since the group was last whole.
func (w *world) mayWipe(int) bool {
	for _, d := range w.daemons {
		if !d.hasDisk {
			continue
		}
		for _, s := range d.disk.meta.Group.All() {
			if at := w.daemonOf(s.Ident); (at < 0 || w.daemons[at].isStale) && !w.isSettled() {
				return false
			}
		}
	}
	return true
}

// apply lets an event happen in this world and looks at the invariants.
func (w *world) apply(e Event) {
	if b := w.spent.count(e.Kind); b != nil {
		*b++
	}
	i, k := int(e.At), int(e.With)
	switch e.Kind {
	case Step:
		w.step()
	case Heal:
		w.log("cuts end")
		w.cuts = nil
	case Lapse:
		w.log("every lease lapses")
		w.now += quorumConfig.Wait(leaderLease)
	case Pass:
		w.now += timeStep * time.Duration(1+k) / 4
		w.log("it is %v", w.now-100*leaderLease)
	case Release, Arrive, Drop, Double, Hold:
		w.applyToMessage(e.Kind, k)
	case Cut:
		w.log("cut from %s to %s", w.daemons[i].self.Ident, w.daemons[k].self.Ident)
		w.cuts = append(w.cuts, [2]int{i, k})
	case Want:
		w.log("wanted: %s in place of %s", w.daemons[k].self.Ident, w.wantedReplicas[i].Ident)
		w.wantedReplicas = slices.Clone(w.wantedReplicas)
		w.wantedReplicas[i] = w.daemons[k].self
	default:
		w.applyToDaemon(e.Kind, i)
	}
	w.check()
}

// applyToMessage lets something happen to a message on its way.
func (w *world) applyToMessage(kind Kind, k int) {
	switch kind {
	case Release, Arrive:
		w.log("deliver %s", w.show(w.packets[k]))
		w.deliver(k)
	case Drop:
		w.log("lost: %s", w.show(w.packets[k]))
		w.packets = slices.Delete(w.packets, k, k+1)
	case Double:
		w.log("doubled: %s", w.show(w.packets[k]))
		p := w.packets[k]
		p.isHeld = true
		w.deliver(k)
		w.packets = append(w.packets, p)
	case Hold:
		w.log("held: %s", w.show(w.packets[k]))
		w.packets[k].isHeld = true
	}
}

// applyToDaemon lets something happen to a daemon or its disk.
func (w *world) applyToDaemon(kind Kind, i int) {
	ident := w.daemons[i].self.Ident
	switch kind {
	case Restart:
		w.log("%s restarts", ident)
		w.start(i)
	case Sync:
		w.log("the disk of %s completes a write", ident)
		w.mutable(i)
		w.sync(i)
	case Write:
		w.write(i)
	case Crash, Wipe:
		w.log("%s of %s", [...]string{"crash", "loss of the disk"}[kind-Crash], ident)
		w.crash(i, kind == Wipe)
	case Stall:
		w.log("the disk of %s stalls", ident)
		w.mutable(i).isStalled = true
	case Tick:
		w.log("%s lets time pass", ident)
		w.tick(i)
	case Copy:
		w.log("the disk of %s is copied", ident)
		w.copyDisk(i)
	case PutBack:
		w.log("%s starts from the copy of its disk", ident)
		w.putBack(i)
	case Beside:
		w.log("the copy of %s is started beside it", ident)
		w.beside(i)
	}
}

func (w *world) crash(i int, wipe bool) {
	d := *w.daemons[i]
	w.daemons[i] = &d
	d.isUp, d.partition, d.pendingSaves, d.cachedHash, d.isStalled = false, nil, nil, 0, false
	if wipe {
		d.disk, d.epoch, d.diskCopy, d.isStale = disk{}, 0, nil, false
		if w.setup.Plant != reusedIdentity {
			w.rename(i)
		}
	}
}

// write asks a leader for a change that names what was last read as its base, as
// two writers do that don't know of each other.
func (w *world) write(i int) {
	c := change{tag: byte('a' + len(w.changes)), base: len(w.lastRead)}
	w.changes = append(w.changes, c)
	w.log("change %c on base %d is asked of %s", c.tag, c.base, w.daemons[i].self.Ident)
	base := w.setup.Plant.base(c.base)
	j := partition.Job{Keys: []string{key}, Mergeable: true, Build: func(read lease.RecordSource) ([]message.Record, any) {
		cur := read(key)
		if base >= 0 && len(cur.Value) != base {
			return nil, nil
		}
		return []message.Record{{Key: key, Value: append(slices.Clone(cur.Value), c.tag)}}, nil
	}}
	w.do(i, func(d *daemon, now time.Duration) partition.Out {
		return d.partition.Submit(now, uint64(len(w.changes)), j)
	})
}
