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

// read returns a record as a daemon has it under its leases; it is empty otherwise.
func (w *world) read(n *node, key string) message.Record {
	r, _ := n.partition(0).Node.Get(n.local(), key)
	return r
}

// rebase is the sabotage that treats every change as based on the given plan version. With
// free set it also removes the change's number.
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

// runOperators sends the random calls of operators and the platform.
func (w *world) runOperators() {
	if w.now > w.options.Length-6*time.Second {
		return
	}
	w.schedule(w.exp(w.options.OperatorInterval), w.runOperators)
	switch w.rng.Intn(8) {
	case 0:
		w.evacuate()
	case 1:
		w.markLeaving()
	case 2:
		w.announceLeaving()
	default:
		w.sendRandomChange()
	}
}

// sendRandomChange sends a change: of one operator, of two at once on the same base, on an
// old base, or an invalid one.
func (w *world) sendRandomChange() {
	n := w.pickNode("")
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
		w.sendChange(n, base, 4)
		w.sendChange(w.pickNode(""), base, 5)
	case 2:
		w.sendChange(n, base-1, 4)
	case 3:
		w.sendChange(n, base, 77)
	default:
		w.sendChange(n, base, 4)
	}
}

// newestPlanVersion returns the newest plan version at any running daemon.
func (w *world) newestPlanVersion() (version uint64) {
	for _, n := range w.nodes {
		if rec, ok := n.partition(0).Node.Get(n.local(), fleetconfig.PlanKey); ok && n.up {
			version = max(version, fleetconfig.MustReadPlan(rec).Version)
		}
	}
	return version
}

// sendChangeThrough sends a change on the given base through a daemon, if that is running.
func (w *world) sendChangeThrough(n *node, base uint64) {
	if n.up && n.frozenUntil <= w.now {
		w.sendChange(n, base, 4)
	}
}

// sendChange sends a change of a tenant's priority on a base.
func (w *world) sendChange(n *node, base uint64, prio int) {
	w.tags++
	id, start := fmt.Sprintf("c%d", w.tags), w.now
	c := fleetconfig.Changes{ID: id, Base: base, Changes: []fleetconfig.Change{w.tenantChange(prio)}}
	w.controlCall(n, 0, "changes", leadercall.MustMarshal(c), func(code int, rep []byte) {
		w.recordVerdict(id, base, start, code, rep)
	})
}

// tenantChange returns a change of one tenant; its timeout distinguishes it from others.
func (w *world) tenantChange(priority int) fleetconfig.Change {
	return fleetconfig.Change{Op: "set-tenant", Tenant: &fleetconfig.Tenant{
		Name: "regular", Priority: priority, TimeoutMillis: 4000 + int(w.tags%1000), QueueFraction: 0.6,
	}}
}

// mayTakeServerOut reports whether a server may be taken out of service. After the last
// fault only one may be out at a time, and none while a zone is evacuated: the bound on
// recovery applies only while both roles have enough servers.
func (w *world) mayTakeServerOut() bool {
	if !w.faultsEnded {
		return true
	}
	for _, d := range w.fakeServers {
		if d.leaving || slices.Contains(leavers(w.lists[d.service]), d.addr) {
			return false
		}
	}
	return w.evacuatedZone == ""
}

// evacuate evacuates a zone, unless one is evacuated, and later brings it back.
func (w *world) evacuate() {
	if w.evacuatedZone != "" || len(w.options.Zones) < 2 || !w.mayTakeServerOut() {
		return
	}
	zone := fmt.Sprintf("zone-%d", w.rng.Intn(len(w.options.Zones)))
	if w.options.EvacuationInterval > 0 { // always the same zone, so that a delayed call meets a later evacuation
		zone = "zone-1"
	}
	w.evacuatedZone = zone
	from := w.now
	w.controlCall(w.pickNode(""), 0, "evacuate", []byte(zone), func(code int, _ []byte) {
		if code == 200 { // counts from the request, unless the answer took long
			at := from
			if w.now-from > 2*time.Second {
				at = w.now
			}
			w.writeJournal(history.Event{At: int64(at), Ev: "evacuated", Zone: zone})
			w.result.Faults["evacuated"]++
		}
		w.schedule(6*time.Second+w.exp(2*time.Second), func() { w.bringBack(zone) })
	})
}

func (w *world) bringBack(zone string) {
	w.writeJournal(history.Event{Ev: "returned", Zone: zone})
	w.controlCall(w.pickNode(""), 0, "return", []byte(zone), func(code int, _ []byte) {
		if code != 200 {
			w.schedule(300*time.Millisecond, func() { w.bringBack(zone) })
			return
		}
		w.evacuatedZone = ""
	})
}

func (w *world) randomFakeServer() *fakeServer {
	return w.fakeServers[w.addrs[w.rng.Intn(len(w.addrs))]]
}

// markLeaving marks a server as leaving in the platform's list, and later clears the mark.
func (w *world) markLeaving() {
	d := w.randomFakeServer()
	if d.removed || slices.Contains(leavers(w.lists[d.service]), d.addr) || !w.mayTakeServerOut() {
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
	w.sendServerList(d.service, func(ok bool) {
		if ok { // a late acknowledgement may be for an outdated list
			if slices.Contains(leavers(w.lists[d.service]), d.addr) {
				d.writeJournal(history.Event{Ev: "leaving"})
				w.result.Faults["leaving"]++
			}
		}
		w.schedule(4*time.Second+w.exp(2*time.Second), func() {
			if d.removed {
				return
			}
			mark(false)
			d.writeJournal(history.Event{Ev: "staying"})
			w.sendServerList(d.service, nil)
		})
	})
}

// announceLeaving makes a server report itself as leaving for a while.
func (w *world) announceLeaving() {
	d := w.randomFakeServer()
	if !d.up || d.leaving || d.removed || !w.mayTakeServerOut() {
		return
	}
	d.leaving = true
	w.result.Faults["selfleave"]++
	w.schedule(4*time.Second+w.exp(2*time.Second), func() { d.leaving = false })
}

// serverFaultKinds are the kinds of faults that serverFault injects.
var serverFaultKinds = []string{
	"crash", "dark", "lapse", "cross", "break", "drop", "skip", "twice", "sluggish", "link", "roll",
}

// serverFault injects a fault into a random server, or into all of them for kind lapse.
func (w *world) serverFault(kind string) {
	d := w.randomFakeServer()
	switch kind {
	case "crash":
		if d.up {
			d.crash()
			w.healServerLater(d.boot)
		}
	case "roll":
		w.replaceServer(d)
	case "dark":
		w.setTemporarily(&d.dark)
	case "lapse":
		w.expireAllHandles()
	case "cross":
		w.setTemporarily(&d.crosses)
	case "break":
		w.setTemporarily(&d.breaks)
	case "drop":
		w.setTemporarily(&d.drops)
	case "skip":
		w.setTemporarily(&d.skips)
	case "twice":
		w.setTemporarily(&d.repeats)
	case "sluggish":
		d.slow = 2 + w.rng.Intn(6)
		w.healServerLater(func() { d.slow = 1 })
	case "link":
		d.linkDelay = w.exp(300 * time.Millisecond)
		w.healServerLater(func() { d.linkDelay = 0 })
	}
}

// healServerLater ends a server's fault after a random time.
func (w *world) healServerLater(heal func()) {
	w.schedule(300*time.Millisecond+w.exp(2*time.Second), heal)
}

// setTemporarily sets a server's fault flag and clears it after a random time.
func (w *world) setTemporarily(failure *bool) {
	*failure = true
	w.healServerLater(func() { *failure = false })
}

// expireAllHandles drops all handles of all servers.
func (w *world) expireAllHandles() {
	for _, addr := range w.addrs {
		w.fakeServers[addr].caches = map[string]cache{}
		w.fakeServers[addr].expired = true
	}
	w.healServerLater(func() {
		for _, addr := range w.addrs {
			w.fakeServers[addr].expired = false
		}
	})
}

// replaceServer replaces a server by a new one. The old server stops some time after the
// platform's list without it was accepted.
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
	w.addFakeServer(d.service, d.zone)
	d.removed = true
	w.sendServerList(d.service, func(ok bool) {
		if ok {
			d.writeJournal(history.Event{Ev: "leaving"})
		}
		w.schedule(3*time.Second, func() {
			if d.up {
				d.crash()
			}
		})
	})
}

// loseZone kills every daemon and server in a zone; they restart later.
func (w *world) loseZone(zone string) {
	for _, n := range w.nodes {
		if n.zone == zone && n.up {
			n.kill()
			w.schedule(3*time.Second+w.exp(2*time.Second), n.start)
		}
	}
	for _, a := range w.addrs {
		if d := w.fakeServers[a]; d.zone == zone && d.up {
			d.crash()
			w.schedule(3*time.Second+w.exp(2*time.Second), d.boot)
		}
	}
}

// healServers restarts all servers and clears their faults.
func (w *world) healServers() {
	if w.options.RequestInterval == 0 {
		return
	}
	for _, a := range w.addrs {
		d := w.fakeServers[a]
		d.dark, d.expired, d.crosses, d.breaks, d.drops, d.skips, d.repeats = false, false, false, false, false, false, false
		d.slow, d.linkDelay = 1, 0
		back := time.Duration(0)
		if w.options.Sabotage == "lateback" {
			d.crash()
			back = 14 * time.Second
		}
		w.schedule(back, d.boot)
	}
	w.writeJournal(history.Event{Ev: "mended"})
}
