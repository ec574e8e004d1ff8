// Package overload simulates the request path of a fleet: the real dispatchers
// (traffic/forward) and load reports (traffic/loadreport) of several daemons in front of
// prefill and decode servers, under load and temporary faults, on a simulated clock. It
// shows whether overload persists after a fault has ended. The control plane is not
// simulated: records are either readable or, during a fault, not.
package overload

import (
	"fmt"
	"math/rand"
	"time"

	"mulleinmast/control/daemon"
	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/placement"
	"mulleinmast/proof/eventqueue"
	"mulleinmast/traffic/forward"
	"mulleinmast/traffic/gateway"
	"mulleinmast/traffic/loadreport"
	"mulleinmast/wire/message"
)

// Class is a kind of request.
type Class struct {
	Name                 string
	PerSecond            float64
	TTFTTarget, Deadline time.Duration
	InterTokenTarget     time.Duration
	Urgency              int
	SharedTokens         []int // lengths of the shared prompt parts
	SharedVariants       []int // number of variants of each shared part
	OwnTokens            int   // mean length of the request's own prompt part
	OutputTokens         int   // mean length of the answer
	Attempts             int
}

// Fault is a temporary fault of the deployment.
type Fault struct {
	At, For       time.Duration
	LoadFactor    float64 // multiplies the request rate; 0: no change
	ClearCaches   bool    // all servers drop their prompt caches at At
	ServersDown   float64 // fraction of the servers that is down
	LeasesInvalid bool    // the daemons have no valid leases
	ResetConns    bool    // all connections to servers are reset at At
}

// Options configure a run.
type Options struct {
	Seed           int64
	Daemons        int
	PrefillServers int
	DecodeServers  int
	Slots          int // answers that a server decodes at a time
	TokensPerEvent int // of an answer
	Classes        []Class
	Faults         []Fault
	Length         time.Duration
	AdmitRatio     float64 // as in the daemon's config
}

// Default returns a deployment of eight daemons and twelve servers at half of their
// capacity, with two classes of requests: long prompts with short answers, and short
// prompts with long answers.
//
// Example: r := overload.Run(overload.Default(1))
func Default(seed int64) Options {
	long := Class{
		Name: "long", PerSecond: 34, TTFTTarget: 500 * time.Millisecond, Deadline: 3 * time.Second,
		InterTokenTarget: 300 * time.Millisecond, SharedTokens: []int{2520, 3780}, SharedVariants: []int{4, 64},
		OwnTokens: 2890, OutputTokens: 52, Attempts: 2,
	}
	short := Class{
		Name: "short", PerSecond: 43, TTFTTarget: 600 * time.Millisecond, Deadline: 8 * time.Second,
		InterTokenTarget: 300 * time.Millisecond, Urgency: 1, SharedTokens: []int{119, 79}, SharedVariants: []int{10, 120},
		OwnTokens: 628, OutputTokens: 290, Attempts: 1,
	}
	return Options{
		Seed: seed, Daemons: 8, PrefillServers: 5, DecodeServers: 7, Slots: 64, TokensPerEvent: 14,
		Classes: []Class{long, short}, Length: 40 * time.Second, AdmitRatio: daemon.Default().AdmitRatio,
	}
}

// Second counts the results of the requests that clients started in one second.
type Second struct {
	Started, OnTime, Late, Refused, Failed int
	Attempts                               int // including retries
}

// Served returns the fraction of the requests that were answered.
//
// Example: s.Served() > 0.95
func (s Second) Served() float64 { return float64(s.OnTime+s.Late) / float64(max(1, s.Started)) }

// Timely returns the fraction of the requests that met their TTFT target.
//
// Example: s.Timely() > 0.9
func (s Second) Timely() float64 { return float64(s.OnTime) / float64(max(1, s.Started)) }

// Result is the result of a run.
type Result struct {
	Seconds         []Second
	PrefilledTokens int // prompt tokens processed by servers
	Rejected        int // calls rejected by servers
	WastedTokens    int // prompt tokens processed for requests that were not answered
	Dialed          int // new connections
}

// Sum adds up the seconds from..to, excluding to.
//
// Example: before := r.Sum(5, 10).Served()
func (r Result) Sum(from, to int) (s Second) {
	for _, x := range r.Seconds[from:to] {
		s.add(x)
	}
	return s
}

func (s *Second) add(x Second) {
	s.Started += x.Started
	s.OnTime += x.OnTime
	s.Late += x.Late
	s.Refused += x.Refused
	s.Failed += x.Failed
	s.Attempts += x.Attempts
}

// RecoveryTime returns the time from a moment to the first second with at least the given
// served fraction, or a negative value if there is none.
//
// Example: r.RecoveryTime(18*time.Second, 0.95)
func (r Result) RecoveryTime(after time.Duration, share float64) time.Duration {
	from := int(after / time.Second)
	for n := from; n < len(r.Seconds); n++ {
		if r.Seconds[n].Started > 0 && r.Seconds[n].Served() >= share {
			return time.Duration(n-from) * time.Second
		}
	}
	return -1
}

const (
	service        = "models"
	networkLatency = time.Millisecond // one-way, between any two machines
)

// simulation is a run.
type simulation struct {
	Options
	cfg              daemon.Config
	rng              *rand.Rand
	now              time.Duration
	queue            eventqueue.Queue
	servers          []*server
	byRecordKey      map[string]*server
	daemons          []*front
	recordGeneration uint64
	lastID           int
	result           Result
}

// Run simulates one run.
//
// Example: r := overload.Run(overload.Default(1)); r.Seconds[7].Served()
func Run(o Options) Result {
	sim := &simulation{
		Options: o, cfg: daemon.Default(), rng: rand.New(rand.NewSource(o.Seed)), recordGeneration: 1,
		byRecordKey: map[string]*server{},
	}
	sim.cfg.AdmitRatio = o.AdmitRatio
	sim.cfg.Bounds.Plan = 2500 * time.Millisecond
	sim.result.Seconds = make([]Second, int(o.Length/time.Second))
	for i := range o.PrefillServers + o.DecodeServers {
		sim.addServer(i)
	}
	for i := range o.Daemons {
		sim.daemons = append(sim.daemons, sim.newFront(i))
	}
	for _, f := range sim.daemons {
		f.tick()
	}
	for _, t := range o.Faults {
		sim.after(t.At, func() { sim.inject(t) })
	}
	for _, c := range o.Classes {
		sim.scheduleRequests(c)
	}
	for sim.now < o.Length {
		at, do, ok := sim.queue.Next()
		if !ok {
			break
		}
		sim.now = at
		do()
	}
	return sim.result
}

// addServer adds a server; the first PrefillServers prefill.
func (sim *simulation) addServer(i int) {
	s := &server{
		sim: sim, key: fmt.Sprintf("server-%02d", i), zone: zoneOf(i), part: placement.Decode, up: true,
		cached: map[uint64]bool{}, idleConns: map[*front]int{},
	}
	if i < sim.PrefillServers {
		s.part = placement.Prefill
	}
	sim.servers = append(sim.servers, s)
	sim.byRecordKey[fleetconfig.ServerRecordKey(service, s.key)] = s
}

func zoneOf(i int) string { return fmt.Sprint("zone-", i%3) }

func (sim *simulation) after(d time.Duration, do func()) {
	sim.queue.Add(sim.now+max(0, d), do)
}

// scheduleRequests schedules the next request of a class and those after it.
func (sim *simulation) scheduleRequests(c Class) {
	rate := c.PerSecond
	for _, t := range sim.Faults {
		if t.LoadFactor > 0 && sim.now >= t.At && sim.now < t.At+t.For {
			rate *= t.LoadFactor
		}
	}
	sim.after(time.Duration(sim.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		sim.startRequest(c)
		sim.scheduleRequests(c)
	})
}

// inject starts a fault and schedules its end.
func (sim *simulation) inject(t Fault) {
	if t.ClearCaches {
		for _, s := range sim.servers {
			clear(s.cached)
			s.cacheOrder = nil
		}
	}
	if t.ResetConns {
		for _, s := range sim.servers {
			clear(s.idleConns)
		}
	}
	if t.LeasesInvalid {
		sim.recordGeneration++
		for _, f := range sim.daemons {
			f.leasesInvalidUntil = sim.now + t.For
		}
		sim.after(t.For, func() { sim.recordGeneration++ })
	}
	for i, s := range sim.servers {
		if float64(i%4) < 4*t.ServersDown {
			s.stop()
			sim.after(t.For, s.restart)
		}
	}
}

// newFront returns a daemon with its dispatcher and load reporter.
func (sim *simulation) newFront(i int) *front {
	me := message.Member{
		Ident: fmt.Sprint("daemon-", i), Addr: fmt.Sprintf("10.0.0.%d:1", i), Zone: zoneOf(i), Build: daemon.Build,
	}
	f := &front{sim: sim, me: me, reporter: loadreport.New(gateway.LoadReportConfig(sim.cfg))}
	c := gateway.Config(sim.cfg)
	c.Zone, c.RetrySlack = f.me.Zone, 200
	f.dispatcher = forward.New(c, service, 1, f, loadHints{f})
	return f
}
