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

// dispatcher is one service's shard: the state machine under its lock.
type dispatcher struct {
	partition int
	pressure  atomic.Pointer[map[string]placement.Pressure] // by server, as last measured

	mu sync.Mutex // guards all below
	*forward.Dispatcher
	pinned map[string]bool // records, by key
}

// dispatcherOf is the dispatcher of a service.
func (g *Gateway) dispatcherOf(service string) *dispatcher {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.dispatchers[service]
	if d == nil {
		partition := g.daemon.Partition(service)
		d = &dispatcher{
			partition: partition, pinned: map[string]bool{},
			Dispatcher: forward.New(g.cfg, service, partition, source{g.daemon}, serviceLoads{g, service}),
		}
		g.setDaemons(d)
		g.dispatchers[service] = d
	}
	return d
}

// setDaemons has a dispatcher know which daemons there are.
func (g *Gateway) setDaemons(d *dispatcher) {
	v := g.daemon.View()
	daemons := make([]string, 0, len(v.Members))
	for _, m := range v.Members {
		daemons = append(daemons, m.Addr)
	}
	d.SetDaemons(g.daemon.Now(), v.Self.Addr, daemons)
}

// pinRecords has the daemon keep the records cached that a dispatcher reads, and no others.
func (g *Gateway) pinRecords(d *dispatcher) {
	fresh, stale := d.changePins()
	for _, key := range fresh {
		g.daemon.Pin(d.partition, key)
	}
	for _, key := range stale {
		g.daemon.Unpin(d.partition, key)
	}
}

// changePins takes the records that the dispatcher reads for those that are pinned; it lists
// those that weren't before, and those that were and are no longer read.
func (d *dispatcher) changePins() (fresh, stale []string) {
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

// measure takes what changes all the time: the daemons, and the servers' pressure.
func (g *Gateway) measure(d *dispatcher, service fleetconfig.Service) {
	servers := g.measurePressure(d, service)
	g.loadMu.Lock()
	defer g.loadMu.Unlock()
	for _, s := range servers {
		g.loads.SetCacheSize(loadreport.ServerID(service.Name, s.Key), service.MemoryTokens)
	}
}

// measurePressure takes the pressure on a dispatcher's servers and lists them.
func (g *Gateway) measurePressure(d *dispatcher, service fleetconfig.Service) []forward.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	g.setDaemons(d)
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

// pressure reports to the servers' controller how hard one of them is pressed. The
// controller asks under its partition's lock, and a dispatcher reads that partition under
// its own: so this is what was last measured, read without the dispatcher's lock.
func (g *Gateway) pressure(service, key string) placement.Pressure {
	if all := g.dispatcherOf(service).pressure.Load(); all != nil {
		return (*all)[key]
	}
	return placement.Pressure{}
}

// loadReported takes what a server reports of its load with an answer.
func (g *Gateway) loadReported(service, key string, load forward.Load) {
	d := g.dispatcherOf(service)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.LoadReported(g.daemon.Now(), key, load)
}

// receiveLoadReport takes another daemon's load report.
func (g *Gateway) receiveLoadReport(m message.Message) {
	g.loadMu.Lock()
	defer g.loadMu.Unlock()
	g.loads.Step(g.daemon.Now(), m)
}

// sendLoadReports sends the load reports whose time has come.
func (g *Gateway) sendLoadReports() {
	v := g.daemon.View()
	g.loadMu.Lock()
	out := g.loads.Tick(g.daemon.Now(), v.Self, v.Members)
	g.loadMu.Unlock()
	g.daemon.SendAll(out)
}

// step runs one input through a dispatcher.
func (g *Gateway) step(d *dispatcher, input func(now time.Duration) forward.Decision) forward.Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return input(g.daemon.Now())
}

// streamStarted records that the first event of an answer goes out; fixed says that the
// answer can't be resumed at another server.
func (d *dispatcher) streamStarted(now time.Duration, id string, fixed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.StreamStarted(now, id)
	if fixed {
		d.DisableResume(id)
	}
}

// eventSent records that one more event goes out, so long after the last.
func (d *dispatcher) eventSent(id string, sinceLast time.Duration, fixed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.EventSent(id, sinceLast)
	if fixed {
		d.DisableResume(id)
	}
}
