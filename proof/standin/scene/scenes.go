package scene

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/proof/standin/fleet"
	"mulleinmast/proof/standin/record"
	"mulleinmast/proof/standin/server"
	"mulleinmast/proof/standin/wire"
	"mulleinmast/proof/track"
)

// Scene applies faults and changes to a deployment under load.
type Scene func(ctx context.Context, w *World)

// Scenes are the scenes by name.
var Scenes = map[string]Scene{
	"calm": calm, "roll": roll, "kill-leader": killLeader, "freeze-leader": freezeLeader, "lost-disk": lostDisk, "seeds": seeds, "end": closing,
	"release": release, "crash": crash, "dark": dark, "garble": garble, "lapse": lapse, "stale-list": staleList, "pressed": pressed, "cold": cold,
	"evacuate": evacuate, "config": config, "race": race, "repeats": repeats, "storm": storm, "cut-off": cutOff, "answers": answers, "back-up": backUp, "restored": restored, "old-copy": oldCopy, "copy-beside": copyBeside, "old-majority": oldMajority, "moved": moved, "stop-beside-loss": stopBesideLoss, "tenants": tenants,
}

// Names returns the sorted names of the scenes.
//
// Example: for _, n := range scene.Names() { fmt.Println(n) }
func Names() []string { return slices.Sorted(maps.Keys(Scenes)) }

// calm applies no faults. Nearly all requests are served, no prompt handles are left on
// servers, and calls to the server list stay within its rate.
func calm(ctx context.Context, w *World) {
	w.WaitServed(ctx, int(4*w.Rate))
	all, served, ends := w.countTries()
	if served*100 < all*98 {
		w.Fail("only %d of %d requests were served without faults: %v", served, all, ends)
	}
	if calls, denied := w.Cloud.Calls(); denied > 0 {
		w.Fail("%d of %d calls to the list were over its rate", denied, calls)
	}
	w.Until(ctx, 10*time.Second, "unused handles are released", func() bool {
		for _, s := range w.Servers("gen") {
			if s.Handles() > s.Busy()+2 {
				return false
			}
		}
		return true
	})
}

// waitReady waits until all machines are ready.
func (w *World) waitReady(ctx context.Context, what string) bool {
	return w.Until(ctx, w.Bounds.Recovery+10*time.Second, what, func() bool { return w.Entry.InRotation() == len(w.Fleet.Machines()) })
}

// roll restarts daemons with SIGTERM, one after another.
func roll(ctx context.Context, w *World) {
	list := w.Fleet.Machines()
	if w.Short { // the leader of the configuration and two others
		list = slices.Compact([]*fleet.Machine{w.Fleet.Leader(0), list[len(list)-1], list[0]})
	}
	for _, m := range list {
		if m == nil {
			w.Fail("the configuration has no leader")
			return
		}
		from := time.Now()
		w.Fleet.Term(m)
		if !track.Until(ctx, w.Bounds.Grace, func() bool { return !m.Up() }) {
			w.Fail("%s still runs %v after the SIGTERM", m.Name, w.Bounds.Grace)
			m.Kill()
		}
		w.Note("%s ended %.1fs after the SIGTERM", m.Name, time.Since(from).Seconds())
		if err := w.Fleet.Restart(m); err != nil {
			w.Fail("%v", err)
			return
		}
		w.waitReady(ctx, m.Name+" is back")
	}
}

// killLeader kills the leader of each of three partitions, the configuration's first.
func killLeader(ctx context.Context, w *World) {
	for partition := range 3 {
		m := w.Fleet.Leader(partition)
		if m == nil {
			w.Fail("partition %d has no leader", partition)
			return
		}
		from := time.Now()
		w.Fleet.Kill(m)
		w.Until(ctx, w.Bounds.Recovery, "another leader", func() bool { return w.Fleet.Leader(partition) != nil })
		w.Note("partition %d: another leader %.1fs after the kill of %s", partition, time.Since(from).Seconds(), m.Name)
		w.WaitServed(ctx, int(w.Rate/2))
		if err := w.Fleet.Restart(m); err != nil {
			w.Fail("%v", err)
			return
		}
		w.waitReady(ctx, m.Name+" is back")
		if w.Short {
			return
		}
	}
}

// freezeLeader freezes the configuration leader until another machine leads.
func freezeLeader(ctx context.Context, w *World) {
	m := w.Fleet.Leader(0)
	if m == nil {
		w.Fail("the configuration has no leader")
		return
	}
	w.Fleet.Freeze(m)
	w.Until(ctx, w.Bounds.Recovery, "another leader", func() bool {
		for _, o := range w.Fleet.Core() {
			if o == m {
				continue
			}
			if st, ok := w.Fleet.State(o); ok && st.Partitions[0].LedHere {
				return true
			}
		}
		return false
	})
	w.WaitServed(ctx, int(w.Rate))
	w.Fleet.Thaw(m)
	w.waitReady(ctx, m.Name+" is back")
}

// addRoute adds a route.
func (w *World) addRoute(ctx context.Context, name string) *record.Change {
	ch := wire.Change{Version: w.Op.Now().Version + 3}
	r := w.Routes[0]
	r.Name, r.Start = "r-"+name, "/"+name+"/"
	ch.Replace.Routes = []wire.Route{r}
	return w.Op.Patch(ctx, ch, w.Op.Now())
}

// lostDisk kills the configuration leader right after an acknowledgement and loses its disk.
func lostDisk(ctx context.Context, w *World) {
	m := w.Fleet.Leader(0)
	if m == nil {
		w.Fail("the configuration has no leader")
		return
	}
	c := w.addRoute(ctx, "before-loss")
	w.Fleet.Kill(m)
	if c.Status != 200 {
		w.Fail("a change was not acknowledged: status %d", c.Status)
	}
	if err := w.Fleet.Wipe(m); err != nil {
		w.Fail("%v", err)
	}
	w.WaitServed(ctx, int(w.Rate))
	if err := w.Fleet.Restart(m); err != nil {
		w.Fail("%v", err)
		return
	}
	w.waitReady(ctx, m.Name+" is back with an empty disk")
	w.probe(ctx, "/before-loss/", true)
}

// seeds makes other machines the seeds in the settings of the running daemons and
// permanently removes one of the first seeds. A daemon that restarts finds the fleet by
// the new seeds.
func seeds(ctx context.Context, w *World) {
	m, err := w.Fleet.Add(Zones[0], true)
	if err != nil {
		w.Fail("%v", err)
		return
	}
	w.waitReady(ctx, "a new machine is ready")
	all := w.Fleet.Machines()
	if err := w.Fleet.SetSeeds([]*fleet.Machine{all[len(all)-1], all[len(all)-2], all[len(all)-3]}); err != nil {
		w.Fail("%v", err)
	}
	w.WaitServed(ctx, int(w.Rate))
	last := all[3]
	w.Fleet.Kill(last) // it must find the fleet by the new seeds
	w.Fleet.Remove(w.Fleet.Core()[0])
	if err := w.Fleet.Restart(last); err != nil {
		w.Fail("%v", err)
		return
	}
	w.waitReady(ctx, "all are back by other seeds")
	w.Note("%s joined, %s came back by other seeds", m.Name, last.Name)
	w.addRoute(ctx, "after-seeds")
}

// closing kills all daemons right after an acknowledgement and restarts them.
func closing(ctx context.Context, w *World) {
	e := w.Op.Evacuate(ctx, Zones[2])
	c := w.addRoute(ctx, "before-end")
	if e.Acked == 0 || c.Status != 200 {
		w.Fail("a call was not acknowledged: evacuation %v, change %d", e.Acked, c.Status)
	}
	w.Log.Do(func(a *record.All) { a.Fault = w.Log.Now() })
	w.Fleet.KillAll(w.Fleet.Machines())
	for _, m := range w.Fleet.Machines() {
		if err := w.Fleet.Restart(m); err != nil {
			w.Fail("%v", err)
		}
	}
	w.Log.Do(func(a *record.All) { a.Back = w.Log.Now() })
	from := time.Now()
	w.waitReady(ctx, "all are back")
	w.WaitServed(ctx, int(w.Rate/2))
	w.Note("served again %.1fs after all were killed", time.Since(from).Seconds())
	end := w.Log.Now() + w.Bounds.Recovery + w.Bounds.Evacuate
	w.Until(ctx, w.Bounds.Recovery+w.Bounds.Evacuate+5*time.Second, "time passes", func() bool { return w.Log.Now() > end })
	w.probe(ctx, "/before-end/", true)
}

// release replaces servers one after another.
func release(ctx context.Context, w *World) {
	list := w.Servers("gen")
	if w.Short {
		list = []*server.Server{list[0], list[3]}
	}
	list = append(list, w.Servers("plain")[0])
	var wait sync.WaitGroup
	for _, s := range list {
		if _, err := w.Serve(s.Service, s.Zone, s.Phase, 2*time.Second); err != nil {
			w.Fail("%v", err)
		}
		wait.Go(func() { w.Release(ctx, s) })
		w.WaitServed(ctx, int(w.Rate/4))
	}
	wait.Wait()
}

// crash crashes servers and starts servers of another service at their addresses while the
// list still shows the crashed ones.
func crash(ctx context.Context, w *World) {
	for i, svc := range []string{"gen", "plain", "gen", "plain"} {
		s := w.Servers(svc)[i%3]
		w.removeServer(s)
		s.Crash()
		if _, err := w.ServeAt(s.Address, map[string]string{"gen": "plain", "plain": "other"}[svc], s.Zone, "", 0); err != nil {
			w.Fail("%v", err)
		}
		w.WaitServed(ctx, int(w.Rate/2))
		w.Cloud.Remove(s.ID)
		if _, err := w.Serve(svc, s.Zone, s.Phase, time.Second); err != nil {
			w.Fail("%v", err)
		}
		w.WaitServed(ctx, int(w.Rate/2))
	}
}

// dark makes servers stop answering while they stay on the list.
func dark(ctx context.Context, w *World) {
	a, b, c := w.Servers("gen")[0], w.Servers("gen")[4], w.Servers("plain")[1]
	for _, s := range []*server.Server{a, b, c} {
		s.Hang()
	}
	w.WaitServed(ctx, int(3*w.Rate))
	for _, s := range []*server.Server{a, b, c} {
		w.Crash(ctx, s)
		if _, err := w.Serve(s.Service, s.Zone, s.Phase, time.Second); err != nil {
			w.Fail("%v", err)
		}
	}
	w.WaitServed(ctx, int(w.Rate))
}

// garble makes servers misbehave with one kind of fault after another.
func garble(ctx context.Context, w *World) {
	for _, f := range []server.Fault{server.Break, server.Garble, server.Extra, server.Late, server.NoSeal, server.Encoded, server.Close, server.Forget, server.Unwarned, server.Full} {
		for i, s := range w.Servers("") {
			if i%2 == int(f)%2 {
				s.InjectFault(f, 2)
			}
		}
		w.WaitServed(ctx, int(w.Rate/2))
	}
	w.Servers("gen")[3].InjectFault(server.Slow, 2)
	w.Servers("plain")[0].InjectFault(server.Silent, 1)
	w.WaitServed(ctx, int(w.Rate))
}

// lapse makes prompt handles expire at once.
func lapse(ctx context.Context, w *World) {
	for _, s := range w.Servers("gen") {
		s.InjectFault(server.Lapse, -1)
	}
	w.WaitServed(ctx, int(2*w.Rate))
	for _, s := range w.Servers("gen") {
		s.InjectFault(server.Lapse, 0)
	}
	w.WaitServed(ctx, int(w.Rate))
}

// pressed sends long prompts, so that servers are ordered to switch to prefill, and kills the
// leader that orders them.
func pressed(ctx context.Context, w *World) {
	long := w.Menu(w.Routes[2:3])
	long[0].In, long[0].Out, long[0].Shared = 9000, 2, nil
	w.Load.SetRequestKinds(long)
	orders := func() int { return w.Log.Count(func(a *record.All) int { return len(a.Orders) }) }
	w.Until(ctx, 20*time.Second, "a server is ordered to switch to prefill", func() bool { return orders() > 0 })
	before := orders()
	if m := w.Fleet.Leader(fleetconfig.PartitionOf("gen", 8)); m != nil {
		w.Fleet.Kill(m)
		w.WaitServed(ctx, int(w.Rate/2))
		if err := w.Fleet.Restart(m); err != nil {
			w.Fail("%v", err)
		}
		w.waitReady(ctx, m.Name+" is back")
	}
	w.Load.SetRequestKinds(w.Menu(w.Routes))
	w.WaitServed(ctx, int(2*w.Rate))
	w.Note("%d orders, %d before the kill", orders(), before)
}

// cold crashes all servers of a service, whose replacements are cold.
func cold(ctx context.Context, w *World) {
	var wait sync.WaitGroup
	for _, s := range w.Servers("plain") {
		if _, err := w.Serve("plain", s.Zone, "", 3*time.Second); err != nil {
			w.Fail("%v", err)
		}
		wait.Go(func() { w.Crash(ctx, s) })
	}
	wait.Wait()
	w.WaitServed(ctx, int(2*w.Rate))
	w.Sleep(ctx, 2*time.Second)
	w.WaitServed(ctx, int(w.Rate))
}

// staleList makes the server list unavailable for a while.
func staleList(ctx context.Context, w *World) {
	w.Cloud.SetDown(true)
	w.WaitServed(ctx, int(2*w.Rate))
	w.Cloud.SetDown(false)
	w.WaitServed(ctx, int(w.Rate))
}
