package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/placement"
	"mulleinmast/traffic/forward"
	"mulleinmast/traffic/loadreport"
	"mulleinmast/wire/message"
)

// dispatcher is the forwarding state machine of one service, with its lock.
type dispatcher struct {
	partition int
	pressure  atomic.Pointer[map[string]placement.Pressure] // by server, as last measured

	mu sync.Mutex // guards the fields below
	*forward.Dispatcher
	pinned map[string]bool // keys of the records pinned in the daemon's cache
}

// dispatcherFor returns the dispatcher of a service, creating it if necessary.
func (g *Gateway) dispatcherFor(service string) *dispatcher {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.dispatchers[service]
	if d == nil {
		partition := g.daemon.Partition(service)
		d = &dispatcher{
			partition: partition, pinned: map[string]bool{},
			Dispatcher: forward.New(g.cfg, service, partition, source{g.daemon}, serviceLoads{g, service}),
		}
		g.updateDaemons(d)
		g.dispatchers[service] = d
	}
	return d
}

// updateDaemons passes the current members of the fleet to a dispatcher.
func (g *Gateway) updateDaemons(d *dispatcher) {
	v := g.daemon.View()
	daemons := make([]string, 0, len(v.Members))
	for _, m := range v.Members {
		daemons = append(daemons, m.Addr)
	}
	d.SetDaemons(g.daemon.Now(), v.Self.Addr, daemons)
}

// pinRecords pins the records that a dispatcher reads in the daemon's cache and unpins those
// that it no longer reads.
func (g *Gateway) pinRecords(d *dispatcher) {
	fresh, stale := d.updatePins()
	for _, key := range fresh {
		g.daemon.Pin(d.partition, key)
	}
	for _, key := range stale {
		g.daemon.Unpin(d.partition, key)
	}
}

// updatePins marks the records that the dispatcher reads as pinned. It returns the keys
// that were not pinned before and the pinned keys that are no longer read.
func (d *dispatcher) updatePins() (fresh, stale []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	wanted := map[string]bool{}
	for _, key := range d.Keys() {
		wanted[key] = true
		if !d.pinned[key] {
			fresh = append(fresh, key)
		}
	}
	for key := range d.pinned {
		if !wanted[key] {
			stale = append(stale, key)
		}
	}
	d.pinned = wanted
	return fresh, stale
}

func (d *dispatcher) hasPins() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.pinned) > 0
}

// updateMeasurements refreshes the daemons, the servers' pressure and their cache sizes.
func (g *Gateway) updateMeasurements(d *dispatcher, service fleetconfig.Service) {
	servers := g.measurePressure(d, service)
	g.loadMu.Lock()
	defer g.loadMu.Unlock()
	for _, s := range servers {
		g.loads.SetCacheSize(loadreport.ServerID(service.Name, s.Key), service.MemoryTokens)
	}
}

// measurePressure stores the current pressure on a dispatcher's servers and returns the servers.
func (g *Gateway) measurePressure(d *dispatcher, service fleetconfig.Service) []forward.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	g.updateDaemons(d)
	d.Refresh(g.daemon.Now())
	warmUp := g.daemon.Cfg.WarmUp
	d.SetWarmupLimit(forward.WarmupLimit{Rate: service.WarmUpRate, Over: warmUp.Over, Slack: warmUp.Slack})
	servers := d.Servers()
	pressures := make(map[string]placement.Pressure, len(servers))
	for _, s := range servers {
		prefill, decode := d.Pressure(g.daemon.Now(), s.Key)
		pressures[s.Key] = placement.Pressure{Prefill: prefill, Decode: decode}
	}
	d.pressure.Store(&pressures)
	return servers
}

// pressure returns the last measured pressure on a server, for the placement controller. It
// must not take the dispatcher's lock: the controller calls it under its partition's lock,
// and the dispatcher reads that partition under its own lock.
func (g *Gateway) pressure(service, key string) placement.Pressure {
	if all := g.dispatcherFor(service).pressure.Load(); all != nil {
		return (*all)[key]
	}
	return placement.Pressure{}
}

// onServerLoad processes the load that a server reports with an answer.
func (g *Gateway) onServerLoad(service, key string, load forward.Load) {
	d := g.dispatcherFor(service)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.LoadReported(g.daemon.Now(), key, load)
}

// receiveLoadReport processes another daemon's load report.
func (g *Gateway) receiveLoadReport(m message.Message) {
	g.loadMu.Lock()
	defer g.loadMu.Unlock()
	g.loads.Step(g.daemon.Now(), m)
}

// sendLoadReports sends the load reports that are due.
func (g *Gateway) sendLoadReports() {
	v := g.daemon.View()
	g.loadMu.Lock()
	out := g.loads.Tick(g.daemon.Now(), v.Self, v.Members)
	g.loadMu.Unlock()
	g.daemon.SendAll(out)
}

// step applies one input to a dispatcher under its lock.
func (g *Gateway) step(d *dispatcher, input func(now time.Duration) forward.Decision) forward.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return input(g.daemon.Now())
}

// streamStarted records that the first event of an answer is sent to the client; fixed means
// that the answer can't be resumed at another server.
func (d *dispatcher) streamStarted(now time.Duration, id string, fixed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.StreamStarted(now, id)
	if fixed {
		d.DisableResume(id)
	}
}

// eventSent records that one more event is sent to the client, sinceLast after the previous
// one.
func (d *dispatcher) eventSent(id string, sinceLast time.Duration, fixed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.EventSent(id, sinceLast)
	if fixed {
		d.DisableResume(id)
	}
}
