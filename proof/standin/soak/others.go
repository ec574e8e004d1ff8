package soak

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"

	"mulleinmast/proof/standin/client"
	"mulleinmast/proof/standin/operator"
	"mulleinmast/proof/standin/record"
	"mulleinmast/proof/standin/scene"
	"mulleinmast/proof/standin/server"
	"mulleinmast/proof/standin/wire"
)

// serverTroubles affect the model servers and their list.
func serverTroubles() []trouble {
	return []trouble{
		{"server replaced", 4, (*run).replace}, {"server crashes", 4, (*run).crash}, {"server dark", 2, (*run).dark}, {"servers misbehave", 6, (*run).misbehave}, {"list down", 2, (*run).listDown},
	}
}

// callerTroubles come from the operator and from clients.
func callerTroubles() []trouble {
	return []trouble{
		{"change", 8, (*run).change}, {"changes in a row", 2, (*run).changesInARow}, {"changes at once", 3, (*run).race}, {"invalid change", 2, (*run).invalid}, {"evacuation", 3, (*run).evacuate}, {"answers to the operator lost", 3, (*run).lostAnswers}, {"clients misbehave", 10, (*run).clients},
	}
}

// server returns a random server; there is always at least one.
func (r *run) server(rng *rand.Rand) *server.Server {
	all := r.Servers("")
	return all[rng.Intn(len(all))]
}

func (r *run) serve(service, zone, phase string, cold time.Duration) {
	if _, err := r.Serve(service, zone, phase, cold); err != nil {
		r.Fail("%v", err)
	}
}

func (r *run) replace(ctx context.Context, rng *rand.Rand) {
	r.servers.Lock()
	defer r.servers.Unlock()
	old := r.server(rng)
	r.Note("%s is replaced", old.ID)
	r.serve(old.Service, old.Zone, old.Phase, 2*time.Second)
	r.Release(ctx, old)
}

// crash crashes a server; a server of another service may then start at its address.
func (r *run) crash(ctx context.Context, rng *rand.Rand) {
	r.servers.Lock()
	defer r.servers.Unlock()
	old := r.server(rng)
	r.Note("%s crashes", old.ID)
	r.Crash(ctx, old)
	r.serve(old.Service, old.Zone, old.Phase, time.Second)
	r.Sleep(ctx, between(rng, time.Second, r.Bounds.InTouch))
	if other := []string{"plain", "other"}[rng.Intn(2)]; other != old.Service {
		if _, err := r.ServeAt(old.Address, other, old.Zone, "", 0); err != nil {
			r.Fail("%v", err)
		}
	}
}

func (r *run) dark(ctx context.Context, rng *rand.Rand) {
	r.servers.Lock()
	defer r.servers.Unlock()
	old := r.server(rng)
	r.Note("%s stops answering", old.ID)
	old.Hang()
	r.Sleep(ctx, between(rng, time.Second, 4*time.Second))
	r.Crash(ctx, old)
	r.serve(old.Service, old.Zone, old.Phase, time.Second)
}

func (r *run) misbehave(_ context.Context, rng *rand.Rand) {
	for range 1 + rng.Intn(5) {
		r.server(rng).InjectFault(server.Fault(1+rng.Intn(int(server.Early))), 1+rng.Intn(4))
	}
}

func (r *run) listDown(ctx context.Context, rng *rand.Rand) {
	r.servers.Lock() // the fleet can't see that a server ends while the list is down, so no server may end then
	defer r.servers.Unlock()
	r.Note("the list is down")
	r.Cloud.SetDown(true)
	r.Sleep(ctx, between(rng, 300*time.Millisecond, 4*time.Second))
	r.Cloud.SetDown(false)
}

// change sends one configuration change.
func (r *run) change(ctx context.Context, rng *rand.Rand) {
	r.orders.Lock()
	defer r.orders.Unlock()
	ch, added, gone := r.nextChange(rng)
	r.send(ctx, ch, 1+rng.Intn(4))
	r.probeChange(ctx, added, gone)
}

// changesInARow sends many configuration changes, one after another.
func (r *run) changesInARow(ctx context.Context, rng *rand.Rand) {
	r.orders.Lock()
	defer r.orders.Unlock()
	many := 5 + rng.Intn(20)
	r.Note("%d changes in a row", many)
	for range many {
		ch, _, _ := r.nextChange(rng)
		if r.send(ctx, ch, 1+rng.Intn(4)); r.unclear {
			break // the outcome is unknown: the core may be unavailable
		}
	}
	r.Load.SetRequestKinds(r.Menu(r.Op.Now().Routes))
}

// race sends two changes of the same version at once. At most one may win; without answers
// the winner may be unknown.
func (r *run) race(ctx context.Context, rng *rand.Rand) {
	r.orders.Lock()
	defer r.orders.Unlock()
	on := r.Op.Now()
	var sent [2]*record.Change
	var wait sync.WaitGroup
	for i := range sent {
		ch, _, _ := r.nextChange(rng)
		ch.Version = on.Version + 1 + i + 2*rng.Intn(3)
		wait.Go(func() { sent[i] = r.Op.Patch(ctx, ch, on) })
	}
	wait.Wait()
	r.Note("two changes of version %d at once: %d and %d", on.Version, sent[0].Status, sent[1].Status)
	one, other := min(sent[0].Status, sent[1].Status), max(sent[0].Status, sent[1].Status)
	switch {
	case one == http.StatusOK && other == http.StatusPreconditionFailed:
		r.unclear = false
	case one == 0 && (other == 0 || other == http.StatusOK || other == http.StatusPreconditionFailed), other == http.StatusPreconditionFailed && r.unclear:
		r.unclear = true
		r.Op.Learn(ctx)
	default:
		r.Fail("two changes of one version at once got %d and %d", one, other)
	}
	r.Load.SetRequestKinds(r.Menu(r.Op.Now().Routes))
}

// nextChange returns a change that adds a route, removes another and moves a third one to
// another service.
func (r *run) nextChange(rng *rand.Rand) (ch wire.Change, added wire.Route, gone string) {
	r.changes++
	moved := r.Routes[rng.Intn(2)]
	moved.Service = []string{"plain", "other"}[rng.Intn(2)]
	added = r.Routes[0]
	added.Name, added.Start = fmt.Sprintf("r-soak-%d", r.changes%3), fmt.Sprintf("/soak%d/", r.changes%3)
	gone = fmt.Sprint((r.changes + 1) % 3)
	ch.Replace.Routes = []wire.Route{moved, added}
	ch.Remove.Routes = []string{"r-soak-" + gone}
	return ch, added, gone
}

// probeChange sends requests that show which version each daemon uses.
func (r *run) probeChange(ctx context.Context, added wire.Route, gone string) {
	for _, d := range r.Fleet.Daemons() {
		r.Load.Probe(ctx, d, added.Host, added.Start, added)
		r.Load.Probe(ctx, d, added.Host, "/soak"+gone+"/", wire.Route{})
	}
	r.Load.SetRequestKinds(r.Menu(r.Op.Now().Routes))
}

// send sends a change of the current version. A change without a clear answer may have been
// applied, or be applied while the next one is in progress: then the operator reads the
// current version and bases the change on that. Any other refusal is a failure.
func (r *run) send(ctx context.Context, ch wire.Change, step int) {
	for {
		on := r.Op.Now()
		ch.Version = on.Version + step
		c := r.Op.Patch(ctx, ch, on)
		switch {
		case c.Status == http.StatusOK:
			r.unclear = false
			return
		case c.Status == 0:
			r.Note("version %d got no clear answer", ch.Version)
			r.unclear = true
			r.Op.Learn(ctx)
			return
		case c.Status == http.StatusPreconditionFailed && r.unclear:
			r.Note("version %d conflicts with one that got no clear answer", ch.Version)
			r.unclear = !r.Op.Learn(ctx)
		default:
			r.Fail("a change was not acknowledged: status %d", c.Status)
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
}

func (r *run) invalid(ctx context.Context, rng *rand.Rand) {
	r.orders.Lock()
	defer r.orders.Unlock()
	if c := r.Op.PutInvalid(ctx, rng.Intn(operator.InvalidKinds)); c.Status/100 == 2 {
		r.Fail("an invalid configuration was acknowledged")
	}
}

// maxEvacuations is how often a zone is evacuated in a row, without a pause between its return and the next time.
const maxEvacuations = 3

// evacuate takes a zone out of service and returns it, and may do so again at once. While the core is unavailable
// neither has to be acknowledged.
func (r *run) evacuate(ctx context.Context, rng *rand.Rand) {
	r.zone.Lock()
	defer r.zone.Unlock()
	zone := scene.Zones[rng.Intn(len(scene.Zones))]
	for range 1 + rng.Intn(maxEvacuations) {
		r.evacuateOnce(ctx, rng, zone)
	}
}

func (r *run) evacuateOnce(ctx context.Context, rng *rand.Rand, zone string) {
	r.Note("%s is evacuated", zone)
	e := r.Op.Evacuate(ctx, zone)
	acknowledged := r.Log.Count(func(*record.All) int { return int(e.Acked) }) > 0
	if acknowledged && rng.Intn(2) == 0 { // else it is taken back at once
		r.Sleep(ctx, r.Bounds.Evacuate+between(rng, 0, 2*time.Second))
	}
	for !r.Op.CancelEvacuation(ctx, e) && ctx.Err() == nil {
		r.Note("the return of %s was not acknowledged", zone)
	}
}

// lostAnswers drops a fraction of the answers to the operator for a while.
func (r *run) lostAnswers(ctx context.Context, rng *rand.Rand) {
	r.list.Lock()
	defer r.list.Unlock()
	fraction := 0.3 + 0.6*rng.Float64()
	r.Note("%.0f%% of the answers to the operator are lost", 100*fraction)
	r.Op.SetLossRate(fraction, rng.Int63())
	r.Sleep(ctx, between(rng, time.Second, 5*time.Second))
	r.Op.SetLossRate(0, 0)
}

func (r *run) clients(ctx context.Context, rng *rand.Rand) {
	manner := client.Manner(rng.Intn(int(client.ManyManners)))
	m := r.machine(rng, rng.Intn(2) == 0)
	r.Note("clients at %s: %s", m.Name, manner)
	r.Load.Misbehave(ctx, manner, r.daemonOf(m), rng, between(rng, 500*time.Millisecond, 4*time.Second))
}
