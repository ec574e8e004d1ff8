package modelcheck

import (
	"slices"
	"time"

	"mulleinmast/control/lease"
	"mulleinmast/control/partition"
	"mulleinmast/wire/message"
)

// Bounds are the numbers of events of each kind in one run of the explorer.
type Bounds struct {
	Write, Replace                                  int // requested changes; requested replacements of a replica
	Crash, Wipe, Stall                              int
	Drop, Duplicate, Delay, Cut, ExpireLeases, Tick int
	Copy, RestoreCopy, StartCopy                    int
}

// Kind is the kind of an event.
type Kind uint8

// The kinds of events. Kinds without a field in Bounds are unlimited.
const (
	Step         Kind = iota // all messages in flight arrive, or else time passes; no faults
	Restart                  // a stopped daemon starts from its disk
	Release                  // a delayed message arrives
	Sync                     // a stalled disk completes its oldest write
	Heal                     // all cut links are restored
	Write                    // a client requests a change based on the last one acknowledged or read
	Replace                  // an operator requests the replacement of a replica
	Crash                    // a daemon stops; pending disk writes are lost
	Wipe                     // a daemon loses its disk; an empty one takes its address
	Stall                    // a disk stops completing writes
	Drop                     // a message is lost
	Duplicate                // a message arrives now and again later
	Delay                    // a message is delayed until it is released
	Cut                      // messages from one daemon to another are lost until the cut heals
	ExpireLeases             // enough time passes that every lease expires, without any tick
	Tick                     // one daemon runs its periodic work
	AdvanceTime              // a little time passes
	Deliver                  // a chosen message arrives, in any order
	Copy                     // a disk is copied
	RestoreCopy              // a daemon restarts from the copy of its disk
	StartCopy                // a second daemon starts from the copy
)

// Event is one event: its kind, the daemon that it concerns, and the message or other daemon
// involved.
type Event struct {
	Kind Kind
	At   int8
	With int16
}

// count returns the field of the bounds for a kind of event; nil: the kind is unlimited.
func (b *Bounds) count(k Kind) *int {
	switch k {
	case Write:
		return &b.Write
	case Replace:
		return &b.Replace
	case Crash:
		return &b.Crash
	case Wipe:
		return &b.Wipe
	case Stall:
		return &b.Stall
	case Drop:
		return &b.Drop
	case Duplicate:
		return &b.Duplicate
	case Delay:
		return &b.Delay
	case Cut:
		return &b.Cut
	case ExpireLeases:
		return &b.ExpireLeases
	case Tick:
		return &b.Tick
	case Copy:
		return &b.Copy
	case RestoreCopy:
		return &b.RestoreCopy
	case StartCopy:
		return &b.StartCopy
	}
	return nil
}

func (b Bounds) sum() int {
	return b.Crash + b.Wipe + b.Stall + b.Drop + b.Duplicate + b.Delay + b.Cut + b.ExpireLeases + b.Tick +
		b.Write + b.Replace + b.Copy + b.RestoreCopy + b.StartCopy
}

// nextEvents returns the events that may happen next within the bounds, in the order in which
// their states are visited.
func (w *world) nextEvents(bounds Bounds, total int) []Event {
	c := eventLister{world: w, bounds: bounds, total: total}
	c.add(Step, 0, 0)
	for k, p := range w.packets {
		if p.isDelayed {
			c.add(Release, 0, k)
		}
	}
	if len(w.cuts) > 0 {
		c.add(Heal, 0, 0)
	}
	for i, d := range w.daemons {
		c.addDaemonEvents(i, d)
	}
	for i, d := range w.daemons {
		if d.hasDisk {
			c.addDiskEvents(i, d)
		}
	}
	c.addMessageEvents()
	c.addIf(c.isAllowed(ExpireLeases), ExpireLeases, 0)
	if c.isAllowed(Replace) {
		c.addReplacements()
	}
	return c.events
}

// eventLister collects the events that may happen next.
type eventLister struct {
	*world
	bounds Bounds
	total  int // bound for all kinds together
	events []Event
}

// isAllowed reports whether the bounds allow another event of a bounded kind.
func (c *eventLister) isAllowed(k Kind) bool {
	return c.used.sum() < c.total && *c.used.count(k) < *c.bounds.count(k)
}

func (c *eventLister) add(k Kind, at, with int) {
	c.events = append(c.events, Event{k, int8(at), int16(with)})
}

func (c *eventLister) addIf(holds bool, k Kind, at int) {
	if holds {
		c.add(k, at, 0)
	}
}

// addDaemonEvents adds the events that may happen to a daemon.
func (c *eventLister) addDaemonEvents(i int, d *daemon) {
	if !d.isUp {
		c.add(Restart, i, 0)
		return
	}
	c.addIf(len(d.pendingSaves) > 0, Sync, i)
	c.addIf(c.isAllowed(Crash), Crash, i)
	c.addIf(c.isAllowed(Stall) && d.hasDisk && !d.isStalled, Stall, i)
	c.addIf(c.isAllowed(Tick), Tick, i)
	c.addIf(c.isAllowed(Write) && d.isLeader(c.now), Write, i)
	if !c.isAllowed(Cut) {
		return
	}
	for j := range c.daemons {
		if j != i && !slices.Contains(c.cuts, [2]int{i, j}) {
			c.add(Cut, i, j)
		}
	}
}

// addDiskEvents adds the events that may happen to a daemon's disk.
func (c *eventLister) addDiskEvents(i int, d *daemon) {
	c.addIf(c.isAllowed(Wipe) && c.mayWipe(i), Wipe, i)
	c.addIf(c.isAllowed(Copy), Copy, i)
	for _, kind := range []Kind{RestoreCopy, StartCopy} {
		c.addIf(d.diskCopy != nil && c.isAllowed(kind) && c.mayStartCopy(i), kind, i)
	}
}

// addMessageEvents adds the events that may happen to messages in flight.
func (c *eventLister) addMessageEvents() {
	for _, kind := range []Kind{Drop, Duplicate, Delay} {
		for k, p := range c.packets {
			if !p.isDelayed && c.isAllowed(kind) {
				c.add(kind, 0, k)
			}
		}
	}
}

// addReplacements adds the replacements of a replica that may be requested next.
func (c *eventLister) addReplacements() {
	for out := range c.wantedReplicas {
		for in, d := range c.daemons {
			if d.hasDisk && !(message.Group{Replicas: c.wantedReplicas}).Has(d.self.Ident) {
				c.add(Replace, out, in)
			}
		}
	}
}

// mayWipe reports whether the fleet must tolerate the loss of a disk now: no other disk was
// lost since the group was last complete.
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

// apply applies an event to this world and checks the invariants.
func (w *world) apply(e Event) {
	if b := w.used.count(e.Kind); b != nil {
		*b++
	}
	i, k := int(e.At), int(e.With)
	switch e.Kind {
	case Step:
		w.step()
	case Heal:
		w.log("cuts heal")
		w.cuts = nil
	case ExpireLeases:
		w.log("every lease expires")
		w.now += quorumConfig.Wait(leaderLease)
	case AdvanceTime:
		w.now += timeStep * time.Duration(1+k) / 4
		w.log("time is %v", w.now-100*leaderLease)
	case Release, Deliver, Drop, Duplicate, Delay:
		w.applyToMessage(e.Kind, k)
	case Cut:
		w.log("cut from %s to %s", w.daemons[i].self.Ident, w.daemons[k].self.Ident)
		w.cuts = append(w.cuts, [2]int{i, k})
	case Replace:
		w.log("requested: %s replaces %s", w.daemons[k].self.Ident, w.wantedReplicas[i].Ident)
		w.wantedReplicas = slices.Clone(w.wantedReplicas)
		w.wantedReplicas[i] = w.daemons[k].self
	default:
		w.applyToDaemon(e.Kind, i)
	}
	w.checkInvariants()
}

// applyToMessage applies an event to a message in flight.
func (w *world) applyToMessage(kind Kind, k int) {
	switch kind {
	case Release, Deliver:
		w.log("deliver %s", w.describe(w.packets[k]))
		w.deliver(k)
	case Drop:
		w.log("lost: %s", w.describe(w.packets[k]))
		w.packets = slices.Delete(w.packets, k, k+1)
	case Duplicate:
		w.log("duplicated: %s", w.describe(w.packets[k]))
		p := w.packets[k]
		p.isDelayed = true
		w.deliver(k)
		w.packets = append(w.packets, p)
	case Delay:
		w.log("delayed: %s", w.describe(w.packets[k]))
		w.packets[k].isDelayed = true
	}
}

// applyToDaemon applies an event to a daemon or its disk.
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
		w.log("%s ticks", ident)
		w.tick(i)
	case Copy:
		w.log("the disk of %s is copied", ident)
		w.copyDisk(i)
	case RestoreCopy:
		w.log("%s starts from the copy of its disk", ident)
		w.restoreCopy(i)
	case StartCopy:
		w.log("a second daemon starts from the copy of %s", ident)
		w.startCopy(i)
	}
}

// crash stops a daemon. With wipe set it also loses its disk and gets a new identity.
func (w *world) crash(i int, wipe bool) {
	d := *w.daemons[i]
	w.daemons[i] = &d
	d.isUp, d.partition, d.pendingSaves, d.cachedHash, d.isStalled = false, nil, nil, 0, false
	if wipe {
		d.disk, d.epoch, d.diskCopy, d.isStale = disk{}, 0, nil, false
		if w.setup.Fault != reusedIdentity {
			w.assignIdentity(i)
		}
	}
}

// write requests a change from a leader, based on the last state that was read. Two such
// changes model two writers that don't know of each other.
func (w *world) write(i int) {
	c := change{tag: byte('a' + len(w.changes)), base: len(w.lastRead)}
	w.changes = append(w.changes, c)
	w.log("change %c on base %d is requested from %s", c.tag, c.base, w.daemons[i].self.Ident)
	base := w.setup.Fault.base(c.base)
	j := partition.Job{Keys: []string{key}, Mergeable: true, Build: func(read lease.RecordSource) ([]message.Record, any) {
		cur := read(key)
		if base >= 0 && len(cur.Value) != base {
			return nil, nil
		}
		return []message.Record{{Key: key, Value: append(slices.Clone(cur.Value), c.tag)}}, nil
	}}
	w.input(i, func(d *daemon, now time.Duration) partition.Out {
		return d.partition.Submit(now, uint64(len(w.changes)), j)
	})
}
