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
	return b.Crash + b.Wipe + b.Stall + b.Drop + b.Double + b.Hold + b.Cut + b.Lapse + b.Tick + b.Write + b.Want + b.Copy + b.PutBack + b.Beside
}

// events lists what may happen next within the bounds.
func (w *world) events(most Bounds, total int) (out []Event) {
	may := func(k Kind) bool {
		return w.spent.sum() < total && *w.spent.count(k) < *most.count(k)
	}
	add := func(k Kind, at, with int) { out = append(out, Event{k, int8(at), int16(with)}) }
	add(Step, 0, 0)
	for k, p := range w.net {
		if p.held {
			add(Release, 0, k)
		}
	}
	if len(w.cut) > 0 {
		add(Heal, 0, 0)
	}
	for i, d := range w.daemons {
		if !d.up {
			add(Restart, i, 0)
			continue
		}
		if len(d.pend) > 0 {
			add(Sync, i, 0)
		}
		if may(Crash) {
			add(Crash, i, 0)
		}
		if may(Stall) && d.store && !d.stalled {
			add(Stall, i, 0)
		}
		if may(Tick) {
			add(Tick, i, 0)
		}
		if may(Write) && d.leads(w.now) {
			add(Write, i, 0)
		}
		if may(Cut) {
			for j := range w.daemons {
				if j != i && !slices.Contains(w.cut, [2]int{i, j}) {
					add(Cut, i, j)
				}
			}
		}
	}
	for i, d := range w.daemons {
		if d.store && may(Wipe) && w.maywipe(i) {
			add(Wipe, i, 0)
		}
		if d.store && may(Copy) {
			add(Copy, i, 0)
		}
		for _, kind := range []Kind{PutBack, Beside} {
			if d.copied != nil && may(kind) && w.older(i) {
				add(kind, i, 0)
			}
		}
	}
	for _, kind := range []Kind{Drop, Double, Hold} {
		for k, p := range w.net {
			if !p.held && may(kind) {
				add(kind, 0, k)
			}
		}
	}
	if may(Lapse) {
		add(Lapse, 0, 0)
	}
	if may(Want) {
		for out := range w.want {
			for in, d := range w.daemons {
				if d.store && !(message.Group{Replicas: w.want}).Has(d.me.Ident) {
					add(Want, out, in)
				}
			}
		}
	}
	return out
}

// maywipe tells whether the loss of this disk is one that the fleet must bear:
// no other disk was lost since the group was last whole.
func (w *world) maywipe(int) bool {
	for _, d := range w.daemons {
		if !d.store {
			continue
		}
		for _, s := range d.disk.meta.Group.All() {
			if at := w.find(s.Ident); (at < 0 || w.daemons[at].stale) && !w.settled() {
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
	case Restart:
		w.say("%s restarts", w.daemons[i].me.Ident)
		w.start(i)
	case Release, Arrive:
		w.say("deliver %s", w.show(w.net[k]))
		w.deliver(k)
	case Sync:
		w.say("the disk of %s completes a write", w.daemons[i].me.Ident)
		w.own(i)
		w.sync(i)
	case Heal:
		w.say("cuts end")
		w.cut = nil
	case Write:
		w.write(i)
	case Want:
		w.say("wanted: %s in place of %s", w.daemons[k].me.Ident, w.want[i].Ident)
		w.want = slices.Clone(w.want)
		w.want[i] = w.daemons[k].me
	case Crash, Wipe:
		w.say("%s of %s", [...]string{"crash", "loss of the disk"}[e.Kind-Crash], w.daemons[i].me.Ident)
		w.crash(i, e.Kind == Wipe)
	case Stall:
		w.say("the disk of %s stalls", w.daemons[i].me.Ident)
		w.own(i).stalled = true
	case Drop:
		w.say("lost: %s", w.show(w.net[k]))
		w.net = slices.Delete(w.net, k, k+1)
	case Double:
		w.say("doubled: %s", w.show(w.net[k]))
		p := w.net[k]
		p.held = true
		w.deliver(k)
		w.net = append(w.net, p)
	case Hold:
		w.say("held: %s", w.show(w.net[k]))
		w.net[k].held = true
	case Cut:
		w.say("cut from %s to %s", w.daemons[i].me.Ident, w.daemons[k].me.Ident)
		w.cut = append(w.cut, [2]int{i, k})
	case Lapse:
		w.say("every lease lapses")
		w.now += votes.Wait(lead)
	case Tick:
		w.say("%s lets time pass", w.daemons[i].me.Ident)
		w.tick(i)
	case Copy:
		w.say("the disk of %s is copied", w.daemons[i].me.Ident)
		w.copyDisk(i)
	case PutBack:
		w.say("%s starts from the copy of its disk", w.daemons[i].me.Ident)
		w.putBack(i)
	case Beside:
		w.say("the copy of %s is started beside it", w.daemons[i].me.Ident)
		w.beside(i)
	case Pass:
		w.now += grid * time.Duration(1+k) / 4
		w.say("it is %v", w.now-100*lead)
	}
	w.check()
}

func (w *world) crash(i int, wipe bool) {
	d := *w.daemons[i]
	w.daemons[i] = &d
	d.up, d.sec, d.pend, d.sum, d.stalled = false, nil, nil, 0, false
	if wipe {
		d.disk, d.epoch, d.copied, d.stale = disk{}, 0, nil, false
		if w.setup.Plant != sameName {
			w.rename(i)
		}
	}
}

// write asks a leader for a change that names what was last read as its base, as
// two writers do that don't know of each other.
func (w *world) write(i int) {
	c := change{tag: byte('a' + len(w.changes)), base: len(w.seen)}
	w.changes = append(w.changes, c)
	w.say("change %c on base %d is asked of %s", c.tag, c.base, w.daemons[i].me.Ident)
	base := w.setup.Plant.base(c.base)
	j := partition.Job{Keys: []string{key}, Mergeable: true, Build: func(read lease.RecordSource) ([]message.Record, any) {
		cur := read(key)
		if base >= 0 && len(cur.Value) != base {
			return nil, nil
		}
		return []message.Record{{Key: key, Value: append(slices.Clone(cur.Value), c.tag)}}, nil
	}}
	w.do(i, func(d *daemon, now time.Duration) partition.Out { return d.sec.Submit(now, uint64(len(w.changes)), j) })
}
