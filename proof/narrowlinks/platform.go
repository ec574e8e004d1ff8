package narrowlinks

import (
	"fmt"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/placement"
)

const (
	prefillShare = 0.36            // of the servers
	warmUp       = 3 * time.Second // of a new server
	goneAfter    = 3 * time.Second // a leaving server is listed for this time; the bound on leaving is 4 s
)

// platform is the simulated platform: it replaces servers and lists them.
type platform struct {
	list    []fleetconfig.Server // of the existing servers
	leaving map[string]time.Duration
	started int
}

// start creates the initial servers and schedules the release.
func (p *platform) start(sim *simulation) {
	p.leaving = map[string]time.Duration{}
	for range sim.Servers {
		p.add(false)
	}
	for at := sim.From; at < sim.To; at += time.Second {
		sim.after(at, func() { p.replace(sim, sim.ReplacedPerSecond) })
	}
}

// add starts a server.
func (p *platform) add(isWarming bool) string {
	p.started++
	s := fleetconfig.Server{
		ID: fmt.Sprintf("i-%010x", p.started*0x9e3779b1), Addr: fmt.Sprintf("10.2.%d.%d:8129", p.started/250, p.started%250),
		Zone: zone, Capacity: 16, Role: placement.Decode, Warming: isWarming,
	}
	if float64(p.started%100) < 100*prefillShare {
		s.Role = placement.Prefill
	}
	p.list = append(p.list, s)
	return s.ID
}

// replace starts count servers and marks as many of the oldest as leaving.
func (p *platform) replace(sim *simulation, count int) {
	for _, s := range p.list {
		if count == 0 {
			return
		}
		if s.Leaving || s.Warming {
			continue
		}
		count--
		p.change(s.ID, func(s *fleetconfig.Server) { s.Leaving = true })
		p.leaving[s.ID] = sim.now
		sim.after(goneAfter, func() { p.remove(s.ID) })
		id := p.add(true)
		sim.after(warmUp, func() { p.change(id, func(s *fleetconfig.Server) { s.Warming = false }) })
	}
}

func (p *platform) change(id string, do func(*fleetconfig.Server)) {
	for i := range p.list {
		if p.list[i].ID == id {
			do(&p.list[i])
		}
	}
}

func (p *platform) remove(id string) {
	for i, s := range p.list {
		if s.ID == id {
			p.list = append(p.list[:i:i], p.list[i+1:]...)
			return
		}
	}
}
