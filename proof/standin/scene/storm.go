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

// storm: many things befall the deployment at once, by chance.
func storm(ctx context.Context, w *World) {
	s := &weather{w: w, rng: rand.New(rand.NewSource(w.Seed))}
	acts := []struct {
		name string
		do   func(context.Context)
	}{
		{"a daemon is killed", s.kill},
		{"a daemon is stopped", s.term},
		{"a daemon freezes", s.freeze},
		{"the seeds are told anew", s.hup},
		{"a server is replaced", s.replace},
		{"a server crashes", s.crash},
		{"servers misbehave", s.misbehave},
		{"the configuration changes", s.change},
		{"an invalid configuration", s.bad},
		{"a zone is evacuated", s.evacuate},
		{"the list is down", s.list},
	}
	steps := 30
	if w.Short {
		steps = 12
	}
	var wait sync.WaitGroup
	for range steps {
		a := acts[s.rng.Intn(len(acts))]
		w.Say("%s", a.name)
		wait.Go(func() { a.do(ctx) })
		w.Pass(ctx, time.Duration(200+s.rng.Intn(1500))*time.Millisecond)
	}
	wait.Wait()
	w.ready(ctx, "all are back")
	w.Served(ctx, int(2*w.Rate))
}

// weather keeps what goes on apart: one thing of a kind at a time.
type weather struct {
	w       *World
	mu      sync.Mutex // over rng
	rng     *rand.Rand
	daemons sync.Mutex
	servers sync.Mutex
	orders  sync.Mutex
	zone    sync.Mutex
	n       int
}

func (s *weather) dice(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Intn(n)
}

// down has one daemon go by some means and come back; one at a time is what the
// fleet bears.
func (s *weather) down(ctx context.Context, by func(n int)) {
	s.daemons.Lock()
	defer s.daemons.Unlock()
	by(s.dice(len(s.w.Fleet.Machines())))
	s.w.ready(ctx, "a daemon is back")
}

func (s *weather) kill(ctx context.Context) {
	s.down(ctx, func(n int) {
		m := s.w.Fleet.Machines()[n]
		s.w.Fleet.Kill(m)
		s.w.Pass(ctx, time.Duration(s.dice(1500))*time.Millisecond)
		if err := s.w.Fleet.Up(m); err != nil {
			s.w.Fail("%v", err)
		}
	})
}

func (s *weather) term(ctx context.Context) {
	s.down(ctx, func(n int) {
		m := s.w.Fleet.Machines()[n]
		s.w.Fleet.Term(m)
		s.w.Until(ctx, s.w.Bounds.Grace, m.Name+" ends", func() bool { return !m.Up() })
		if err := s.w.Fleet.Up(m); err != nil {
			s.w.Fail("%v", err)
		}
	})
}

func (s *weather) freeze(ctx context.Context) {
	s.down(ctx, func(n int) {
		m := s.w.Fleet.Machines()[n]
		s.w.Fleet.Freeze(m)
		s.w.Pass(ctx, time.Duration(300+s.dice(4000))*time.Millisecond)
		s.w.Fleet.Thaw(m)
	})
}

func (s *weather) hup(context.Context) {
	all := s.w.Fleet.Machines()
	n := s.dice(len(all))
	if err := s.w.Fleet.Seed(append(all[n:], all[:n]...)[:3]); err != nil {
		s.w.Fail("%v", err)
	}
}

// some picks a server.
func (s *weather) some() *server.Server {
	all := s.w.Servers("")
	return all[s.dice(len(all))]
}

func (s *weather) replace(ctx context.Context) {
	s.servers.Lock()
	defer s.servers.Unlock()
	old := s.some()
	if _, err := s.w.Serve(old.Service, old.Zone, old.Phase, 2*time.Second); err != nil {
		s.w.Fail("%v", err)
	}
	s.w.Release(ctx, old)
}

func (s *weather) crash(ctx context.Context) {
	s.servers.Lock()
	defer s.servers.Unlock()
	old := s.some()
	s.w.Crash(ctx, old)
	if _, err := s.w.Serve(old.Service, old.Zone, old.Phase, time.Second); err != nil {
		s.w.Fail("%v", err)
	}
	s.w.Pass(ctx, s.w.Bounds.InTouch)
	if other := []string{"plain", "other"}[s.dice(2)]; other != old.Service {
		if _, err := s.w.ServeAt(old.Address, other, old.Zone, "", 0); err != nil {
			s.w.Fail("%v", err)
		}
	}
}

func (s *weather) misbehave(context.Context) {
	for range 4 {
		s.some().Misbehave(server.Fault(1+s.dice(int(server.Unwarned))), 1+s.dice(3))
	}
}

func (s *weather) change(ctx context.Context) {
	s.orders.Lock()
	defer s.orders.Unlock()
	s.n++
	on := s.w.Op.Now()
	ch := wire.Change{Version: on.Version + 1 + s.dice(4)}
	r := s.w.Routes[s.dice(2)]
	r.Service = []string{"plain", "other"}[s.dice(2)]
	extra := s.w.Routes[0]
	extra.Name, extra.Start = fmt.Sprintf("r-storm-%d", s.n%3), fmt.Sprintf("/storm%d/", s.n%3)
	ch.Replace.Routes = []wire.Route{r, extra}
	ch.Remove.Routes = []string{fmt.Sprintf("r-storm-%d", (s.n+1)%3)}
	c := s.w.Op.Patch(ctx, ch, on)
	if c.Status != 200 && c.Status != 0 {
		s.w.Fail("a change was not taken: %d", c.Status)
	}
	for _, d := range s.w.Fleet.Daemons() { // they show what is in force
		s.w.Load.Probe(ctx, d, extra.Host, extra.Start, extra)
		s.w.Load.Probe(ctx, d, extra.Host, fmt.Sprintf("/storm%d/", (s.n+1)%3), wire.Route{})
	}
	s.w.Load.Menu(s.w.Menu(s.w.Op.Now().Routes))
}

func (s *weather) bad(ctx context.Context) {
	s.orders.Lock()
	defer s.orders.Unlock()
	if c := s.w.Op.Bad(ctx, s.dice(operator.Kinds)); c.Status/100 == 2 {
		s.w.Fail("an invalid configuration was taken")
	}
}

func (s *weather) evacuate(ctx context.Context) {
	s.zone.Lock()
	defer s.zone.Unlock()
	e := s.w.Op.Evacuate(ctx, Zones[s.dice(len(Zones))])
	acked := s.w.Log.Count(func(*record.All) int { return int(e.Acked) }) > 0
	if !acked {
		s.w.Fail("an evacuation was not acknowledged")
	}
	s.w.Pass(ctx, s.w.Bounds.Evacuate+time.Second)
	if !s.w.Op.Return(ctx, e) {
		s.w.Fail("a return was not acknowledged")
	}
}

func (s *weather) list(ctx context.Context) {
	s.servers.Lock() // a server that ends unseen would be none of the fleet's faults
	defer s.servers.Unlock()
	s.w.Cloud.Down(true)
	s.w.Pass(ctx, time.Duration(500+s.dice(2000))*time.Millisecond)
	s.w.Cloud.Down(false)
}
