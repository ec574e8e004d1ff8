package sim

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leadercall"
	"mulleinmast/proof/history"
	"mulleinmast/wire/message"
)

func sortedKeys[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }

// read is a record as a daemon has it, whatever its leases.
func (w *world) read(n *node, key string) message.Record {
	r, _ := n.partition(0).Node.Get(n.local(), key)
	return r
}

// rebase is the sabotage that takes every change as if on the current plan, with
// a number of its own or none.
func rebase(body []byte, ver uint64, free bool) []byte {
	var c fleetconfig.Changes
	if json.Unmarshal(body, &c) != nil {
		return body
	}
	c.Base = ver
	if free {
		c.Number = 0
	}
	return leadercall.MustMarshal(c)
}

// operate is what operators and the platform do through the day.
func (w *world) operate() {
	if w.now > w.options.Length-6*time.Second {
		return
	}
	w.at(w.exp(w.options.Orders), w.operate)
	switch w.rng.Intn(8) {
	case 0:
		w.evacuate()
	case 1:
		w.leave()
	case 2:
		w.selfLeave()
	default:
		w.change()
	}
}

// change sends a named change; at times two operators at once on one base, an
// old base, or a broken one.
func (w *world) change() {
	n := w.pick("")
	if !n.up || n.frozenUntil > w.now {
		return
	}
	rec, ok := n.partition(0).Node.Get(n.local(), fleetconfig.PlanKey)
	if !ok {
		return
	}
	base := fleetconfig.MustReadPlan(rec).Version
	switch w.rng.Intn(6) {
	case 0, 1:
		w.set(n, base, 4)
		w.set(w.pick(""), base, 5)
	case 2:
		w.set(n, base-1, 4)
	case 3:
		w.set(n, base, 77)
	default:
		w.set(n, base, 4)
	}
}

// newest is the newest plan that any daemon has.
func (w *world) newest() (version uint64) {
	for _, n := range w.nodes {
		if rec, ok := n.partition(0).Node.Get(n.local(), fleetconfig.PlanKey); ok && n.up {
			version = max(version, fleetconfig.MustReadPlan(rec).Version)
		}
	}
	return version
}

// changeAt sends one change through a daemon, whatever that knows.
func (w *world) changeAt(n *node, base uint64) {
	if n.up && n.frozenUntil <= w.now {
		w.set(n, base, 4)
	}
}

// set sends a named change on a base.
func (w *world) set(n *node, base uint64, prio int) {
	w.tags++
	id, start := fmt.Sprintf("c%d", w.tags), w.now
	c := fleetconfig.Changes{ID: id, Base: base, Changes: []fleetconfig.Change{w.tenantChange(prio)}}
	w.control(n, 0, "changes", leadercall.MustMarshal(c), func(code int, rep []byte) {
		w.recordVerdict(id, base, start, code, rep)
	})
}

// tenantChange is a change of one tenant, with a timeout that tells it from others.
func (w *world) tenantChange(priority int) fleetconfig.Change {
	return fleetconfig.Change{Op: "set-tenant", Tenant: &fleetconfig.Tenant{
		Name: "regular", Priority: priority, TimeoutMillis: 4000 + int(w.tags%1000), QueueFraction: 0.6,
	}}
}

// spares tells whether a server may be taken out of service. In the calm at the end
// one at a time is, and none beside a zone that is out: that the fleet serves again in
// time is asked of it only while there are servers for both sides.
func (w *world) spares() bool {
	if !w.calm {
		return true
	}
	for _, d := range w.fakeServers {
		if d.leaving || slices.Contains(leavers(w.lists[d.service]), d.addr) {
			return false
		}
	}
	return w.evacuatedZone == ""
}

// evacuate takes a zone out, if none is, and later brings it back.
func (w *world) evacuate() {
	if w.evacuatedZone != "" || len(w.options.Zones) < 2 || !w.spares() {
		return
	}
	zone := fmt.Sprintf("zone-%d", w.rng.Intn(len(w.options.Zones)))
	if w.options.Moves > 0 { // again and again the same, so that a late call meets another's work
		zone = "zone-1"
	}
	w.evacuatedZone = zone
	from := w.now
	w.control(w.pick(""), 0, "evacuate", []byte(zone), func(code int, _ []byte) {
		if code == 200 { // known from when it was asked, unless that took long
			at := from
			if w.now-from > 2*time.Second {
				at = w.now
			}
			w.jot(history.Event{At: int64(at), Ev: "evacuated", Zone: zone})
			w.result.Faults["evacuated"]++
		}
		w.at(6*time.Second+w.exp(2*time.Second), func() { w.bringBack(zone) })
	})
}

func (w *world) bringBack(zone string) {
	w.jot(history.Event{Ev: "returned", Zone: zone})
	w.control(w.pick(""), 0, "return", []byte(zone), func(code int, _ []byte) {
		if code != 200 {
			w.at(300*time.Millisecond, func() { w.bringBack(zone) })
			return
		}
		w.evacuatedZone = ""
	})
}

func (w *world) someFakeServer() *fakeServer { return w.fakeServers[w.addrs[w.rng.Intn(len(w.addrs))]] }

// leave marks a server as leaving in the platform's list, and takes it back.
func (w *world) leave() {
	d := w.someFakeServer()
	if d.removed || slices.Contains(leavers(w.lists[d.service]), d.addr) || !w.spares() {
		return
	}
	mark := func(on bool) {
		l := w.lists[d.service]
		l.Servers = append([]fleetconfig.Server(nil), l.Servers...)
		for i := range l.Servers {
			if l.Servers[i].Addr == d.addr {
				l.Servers[i].Leaving = on
			}
		}
		w.lists[d.service] = l
	}
	mark(true)
	w.list(d.service, func(ok bool) {
		if ok { // an older list that is acknowledged late says nothing any more
			if slices.Contains(leavers(w.lists[d.service]), d.addr) {
				d.jot(history.Event{Ev: "leaving"})
				w.result.Faults["leaving"]++
			}
		}
		w.at(4*time.Second+w.exp(2*time.Second), func() {
			if d.removed {
				return
			}
			mark(false)
			d.jot(history.Event{Ev: "staying"})
			w.list(d.service, nil)
		})
	})
}

// selfLeave has a server say itself that it leaves.
func (w *world) selfLeave() {
	d := w.someFakeServer()
	if !d.up || d.leaving || d.removed || !w.spares() {
		return
	}
	d.leaving = true
	w.result.Faults["selfleave"]++
	w.at(4*time.Second+w.exp(2*time.Second), func() { d.leaving = false })
}

// serverFaultKinds are the kinds of failures that serverFault knows.
var serverFaultKinds = []string{
	"crash", "dark", "lapse", "cross", "break", "drop", "skip", "twice", "sluggish", "link", "roll",
}

// serverFault brings one failure of a server about, or of all.
func (w *world) serverFault(kind string) {
	d := w.someFakeServer()
	switch kind {
	case "crash":
		if d.up {
			d.crash()
			w.healServerLater(d.boot)
		}
	case "roll":
		w.replaceServer(d)
	case "dark":
		w.raiseForAWhile(&d.dark)
	case "lapse":
		w.lapseAllHandles()
	case "cross":
		w.raiseForAWhile(&d.cross)
	case "break":
		w.raiseForAWhile(&d.breaks)
	case "drop":
		w.raiseForAWhile(&d.drops)
	case "skip":
		w.raiseForAWhile(&d.skip)
	case "twice":
		w.raiseForAWhile(&d.twice)
	case "sluggish":
		d.slow = 2 + w.rng.Intn(6)
		w.healServerLater(func() { d.slow = 1 })
	case "link":
		d.linkDelay = w.exp(300 * time.Millisecond)
		w.healServerLater(func() { d.linkDelay = 0 })
	}
}

// healServerLater ends a failure of a server some time later.
func (w *world) healServerLater(heal func()) {
	w.at(300*time.Millisecond+w.exp(2*time.Second), heal)
}

// raiseForAWhile sets one of a server's failures, and clears it some time later.
func (w *world) raiseForAWhile(failure *bool) {
	*failure = true
	w.healServerLater(func() { *failure = false })
}

// lapseAllHandles has every handle of every server be gone at once.
func (w *world) lapseAllHandles() {
	for _, addr := range w.addrs {
		w.fakeServers[addr].caches = map[string]cache{}
		w.fakeServers[addr].lapseAll = true
	}
	w.healServerLater(func() {
		for _, addr := range w.addrs {
			w.fakeServers[addr].lapseAll = false
		}
	})
}

// replaceServer puts another server in the place of one, which ends when the platform's
// list has been without it for a while.
func (w *world) replaceServer(d *fakeServer) {
	if d.removed {
		return
	}
	list := w.lists[d.service]
	var rest []fleetconfig.Server
	for _, s := range list.Servers {
		if s.Addr != d.addr {
			rest = append(rest, s)
		}
	}
	list.Servers = rest
	w.lists[d.service] = list
	w.fakeServer(d.service, d.zone)
	d.removed = true
	w.list(d.service, func(ok bool) {
		if ok {
			d.jot(history.Event{Ev: "leaving"})
		}
		w.at(3*time.Second, func() {
			if d.up {
				d.crash()
			}
		})
	})
}

// loseZone kills every daemon and server of a zone; they come back later.
func (w *world) loseZone(zone string) {
	for _, n := range w.nodes {
		if n.zone == zone && n.up {
			n.kill()
			w.at(3*time.Second+w.exp(2*time.Second), n.start)
		}
	}
	for _, a := range w.addrs {
		if d := w.fakeServers[a]; d.zone == zone && d.up {
			d.crash()
			w.at(3*time.Second+w.exp(2*time.Second), d.boot)
		}
	}
}

// healServers brings every server back, whole, at the start of the calm.
func (w *world) healServers() {
	if w.options.Calls == 0 {
		return
	}
	for _, a := range w.addrs {
		d := w.fakeServers[a]
		d.dark, d.lapseAll, d.cross, d.breaks, d.drops, d.skip, d.twice = false, false, false, false, false, false, false
		d.slow, d.linkDelay = 1, 0
		back := time.Duration(0)
		if w.options.Sabotage == "lateback" {
			d.crash()
			back = 14 * time.Second
		}
		w.at(back, d.boot)
	}
	w.jot(history.Event{Ev: "mended"})
}
