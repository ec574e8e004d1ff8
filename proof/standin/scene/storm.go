package scene

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"time"

	"mulleinmast/proof/standin/operator"
	"mulleinmast/proof/standin/record"
	"mulleinmast/proof/standin/server"
	"mulleinmast/proof/standin/wire"
)

// storm applies random faults and changes that overlap.
func storm(ctx context.Context, w *World) {
	s := &stormRun{w: w, rng: rand.New(rand.NewSource(w.Seed))}
	acts := []struct {
		name string
		do   func(context.Context)
	}{
		{"a daemon is killed", s.kill},
		{"a daemon is stopped", s.term},
		{"a daemon freezes", s.freeze},
		{"the seeds change", s.changeSeeds},
		{"a server is replaced", s.replace},
		{"a server crashes", s.crash},
		{"servers misbehave", s.misbehave},
		{"the configuration changes", s.change},
		{"an invalid configuration", s.invalidConfig},
		{"a zone is evacuated", s.evacuate},
		{"the list is down", s.listDown},
	}
	steps := 30
	if w.Short {
		steps = 12
	}
	var wait sync.WaitGroup
	for range steps {
		a := acts[s.rng.Intn(len(acts))]
		w.Note("%s", a.name)
		wait.Go(func() { a.do(ctx) })
		w.Sleep(ctx, time.Duration(200+s.rng.Intn(1500))*time.Millisecond)
	}
	wait.Wait()
	w.waitReady(ctx, "all are back")
	w.WaitServed(ctx, int(2*w.Rate))
}

// stormRun serializes the faults of each kind.
type stormRun struct {
	w       *World
	mu      sync.Mutex // over rng
	rng     *rand.Rand
	daemons sync.Mutex
	servers sync.Mutex
	orders  sync.Mutex
	zone    sync.Mutex
	n       int
}

func (s *stormRun) intn(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Intn(n)
}

// disrupt disrupts one daemon and waits until all are ready again. The fleet tolerates one
// unavailable daemon at a time.
func (s *stormRun) disrupt(ctx context.Context, by func(n int)) {
	s.daemons.Lock()
	defer s.daemons.Unlock()
	by(s.intn(len(s.w.Fleet.Machines())))
	s.w.waitReady(ctx, "a daemon is back")
}

func (s *stormRun) kill(ctx context.Context) {
	s.disrupt(ctx, func(n int) {
		m := s.w.Fleet.Machines()[n]
		s.w.Fleet.Kill(m)
		s.w.Sleep(ctx, time.Duration(s.intn(1500))*time.Millisecond)
		if err := s.w.Fleet.Restart(m); err != nil {
			s.w.Fail("%v", err)
		}
	})
}

func (s *stormRun) term(ctx context.Context) {
	s.disrupt(ctx, func(n int) {
		m := s.w.Fleet.Machines()[n]
		s.w.Fleet.Term(m)
		s.w.Until(ctx, s.w.Bounds.Grace, m.Name+" has ended", func() bool { return !m.Up() })
		if err := s.w.Fleet.Restart(m); err != nil {
			s.w.Fail("%v", err)
		}
	})
}

func (s *stormRun) freeze(ctx context.Context) {
	s.disrupt(ctx, func(n int) {
		m := s.w.Fleet.Machines()[n]
		s.w.Fleet.Freeze(m)
		s.w.Sleep(ctx, time.Duration(300+s.intn(4000))*time.Millisecond)
		s.w.Fleet.Thaw(m)
	})
}

func (s *stormRun) changeSeeds(context.Context) {
	all := s.w.Fleet.Machines()
	n := s.intn(len(all))
	if err := s.w.Fleet.SetSeeds(append(all[n:], all[:n]...)[:3]); err != nil {
		s.w.Fail("%v", err)
	}
}

// pickServer returns a random server.
func (s *stormRun) pickServer() *server.Server {
	all := s.w.Servers("")
	return all[s.intn(len(all))]
}

func (s *stormRun) replace(ctx context.Context) {
	s.servers.Lock()
	defer s.servers.Unlock()
	old := s.pickServer()
	if _, err := s.w.Serve(old.Service, old.Zone, old.Phase, 2*time.Second); err != nil {
		s.w.Fail("%v", err)
	}
	s.w.Release(ctx, old)
}

func (s *stormRun) crash(ctx context.Context) {
	s.servers.Lock()
	defer s.servers.Unlock()
	old := s.pickServer()
	s.w.Crash(ctx, old)
	if _, err := s.w.Serve(old.Service, old.Zone, old.Phase, time.Second); err != nil {
		s.w.Fail("%v", err)
	}
	s.w.Sleep(ctx, s.w.Bounds.InTouch)
	if other := []string{"plain", "other"}[s.intn(2)]; other != old.Service {
		if _, err := s.w.ServeAt(old.Address, other, old.Zone, "", 0); err != nil {
			s.w.Fail("%v", err)
		}
	}
}

func (s *stormRun) misbehave(context.Context) {
	for range 4 {
		s.pickServer().InjectFault(server.Fault(1+s.intn(int(server.Unwarned))), 1+s.intn(3))
	}
}

func (s *stormRun) change(ctx context.Context) {
	s.orders.Lock()
	defer s.orders.Unlock()
	s.n++
	on := s.w.Op.Now()
	ch := wire.Change{Version: on.Version + 1 + s.intn(4)}
	r := s.w.Routes[s.intn(2)]
	r.Service = []string{"plain", "other"}[s.intn(2)]
	extra := s.w.Routes[0]
	extra.Name, extra.Start = fmt.Sprintf("r-storm-%d", s.n%3), fmt.Sprintf("/storm%d/", s.n%3)
	ch.Replace.Routes = []wire.Route{r, extra}
	ch.Remove.Routes = []string{fmt.Sprintf("r-storm-%d", (s.n+1)%3)}
	c := s.w.Op.Patch(ctx, ch, on)
	if c.Status != 200 && c.Status != 0 {
		s.w.Fail("a change was not acknowledged: status %d", c.Status)
	}
	for _, d := range s.w.Fleet.Daemons() { // probes show which version each daemon uses
		s.w.Load.Probe(ctx, d, extra.Host, extra.Start, extra)
		s.w.Load.Probe(ctx, d, extra.Host, fmt.Sprintf("/storm%d/", (s.n+1)%3), wire.Route{})
	}
	s.w.Load.SetRequestKinds(s.w.Menu(s.w.Op.Now().Routes))
}

func (s *stormRun) invalidConfig(ctx context.Context) {
	s.orders.Lock()
	defer s.orders.Unlock()
	if c := s.w.Op.PutInvalid(ctx, s.intn(operator.InvalidKinds)); c.Status/100 == 2 {
		s.w.Fail("an invalid configuration was acknowledged")
	}
}

func (s *stormRun) evacuate(ctx context.Context) {
	s.zone.Lock()
	defer s.zone.Unlock()
	e := s.w.Op.Evacuate(ctx, Zones[s.intn(len(Zones))])
	acked := s.w.Log.Count(func(*record.All) int { return int(e.Acked) }) > 0
	if !acked {
		s.w.Fail("an evacuation was not acknowledged")
	}
	s.w.Sleep(ctx, s.w.Bounds.Evacuate+time.Second)
	if !s.w.Op.CancelEvacuation(ctx, e) {
		s.w.Fail("a return of a zone was not acknowledged")
	}
}

func (s *stormRun) listDown(ctx context.Context) {
	s.servers.Lock() // the fleet can't see that a server ends while the list is down, so no server may end then
	defer s.servers.Unlock()
	s.w.Cloud.SetDown(true)
	s.w.Sleep(ctx, time.Duration(500+s.intn(2000))*time.Millisecond)
	s.w.Cloud.SetDown(false)
}
