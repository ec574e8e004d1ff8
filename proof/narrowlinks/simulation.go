// Package narrowlinks simulates how the records of a service's servers propagate to the daemons
// of one zone while the platform replaces the servers: the real leader, lease tree and
// dispatchers of many daemons over links of finite bandwidth, on a simulated clock. It shows how
// long daemons would still send to a server after it was listed as leaving, and whether they
// have servers to send to.
package narrowlinks

import (
	"math/rand"
	"time"

	"mulleinmast/control/daemon"
	"mulleinmast/control/membership"
	"mulleinmast/proof/eventqueue"
	"mulleinmast/wire/message"
	"mulleinmast/wire/transport"
)

const (
	service         = "models"
	partitionNumber = 1        // of the partition
	zone            = "zone-a" // of the daemons
	farZone         = "zone-b" // of the leader
	latency         = time.Millisecond
	stepsPerLease   = 32 // timer steps of a daemon per volume lease
	megabit         = 1_000_000 / 8
)

// Options configure a run.
type Options struct {
	Seed              int64
	Daemons           int           // of the zone, in addition to its control daemon
	Servers           int           // of the service
	DaemonMbps        int           // bandwidth of a daemon's link, in Mbit/s
	ControlMbps       int           // bandwidth of a control daemon's link, in Mbit/s
	HasControlDaemon  bool          // the zone has a control daemon
	ReplacedPerSecond int           // servers replaced per second during the release
	From, To          time.Duration // of the release
	FailedDaemons     int           // daemons of the zone that lose power at the start of the release
	ExtraLatency      time.Duration // additional latency of messages to one daemon during the release
	Length            time.Duration
	Bounds            daemon.Bounds
}

// Default returns a zone of sixty daemons with narrow links and a service of 256 servers, of
// which half are replaced, 28 per second.
//
// Example: r := narrowlinks.Run(narrowlinks.Default(1))
func Default(seed int64) Options {
	return Options{
		Seed: seed, Daemons: 60, Servers: 256, DaemonMbps: 10, ControlMbps: 100, HasControlDaemon: true,
		ReplacedPerSecond: 28, From: 8 * time.Second, To: 13 * time.Second, Length: 24 * time.Second,
		Bounds: daemon.Bounds{
			Plan: 3 * time.Second, Leave: 4 * time.Second, Evacuate: 5 * time.Second, Swap: 3 * time.Second,
			Recover: 15 * time.Second,
		},
	}
}

// Second counts the requests for a server made by daemons in one second.
type Second struct {
	Requests int // requests of all daemons
	Served   int // got a server immediately
}

// Share returns the fraction of the requests that got a server immediately.
//
// Example: r.Seconds[12].Share() > 0.95
func (s Second) Share() float64 { return float64(s.Served) / float64(max(1, s.Requests)) }

// Result is the result of a run.
type Result struct {
	Seconds []Second
	// LatestSend is the longest time after a server was listed as leaving at which a daemon
	// would still have sent to it.
	LatestSend time.Duration
	// BusiestLink is the highest utilization of a daemon's link in one direction within a second,
	// as a fraction of its bandwidth.
	BusiestLink float64
	Bytes       int // on all links; each message counts on two links
}

// simulation is a run.
type simulation struct {
	Options
	cfg      daemon.Config
	rng      *rand.Rand
	now      time.Duration
	queue    eventqueue.Queue
	platform platform
	root     *root
	nodes    []*node
	byIdent  map[string]*link
	view     *membership.View
	result   Result
}

// link is the network link of a machine; messages are queued in each direction.
type link struct {
	bytesPerSecond      float64
	outFreeAt, inFreeAt time.Duration
	carried             [2]map[int]int // bytes by second, out and in
	receive             func(message.Message)
	extraLatency        time.Duration // additional latency of incoming messages
	down                bool
}

func newLink(megabits int, receive func(message.Message)) *link {
	l := &link{bytesPerSecond: float64(megabits) * megabit, receive: receive}
	for i := range l.carried {
		l.carried[i] = map[int]int{}
	}
	return l
}

// transmit queues bytes in one direction of the link and returns when they have been sent.
func (l *link) transmit(way, size int, from time.Duration, freeAt *time.Duration) time.Duration {
	*freeAt = max(*freeAt, from) + time.Duration(float64(size)/l.bytesPerSecond*float64(time.Second))
	l.carried[way][int(*freeAt/time.Second)] += size
	return *freeAt
}

// Run simulates one run.
//
// Example: r := narrowlinks.Run(narrowlinks.Default(1)); r.LatestSend < 4*time.Second
func Run(o Options) Result {
	sim := &simulation{
		Options: o, cfg: daemon.Default(), rng: rand.New(rand.NewSource(o.Seed)), byIdent: map[string]*link{},
	}
	sim.cfg.Bounds = o.Bounds
	sim.result.Seconds = make([]Second, int(o.Length/time.Second))
	sim.platform.start(sim)
	sim.addDaemons()
	for sim.now < o.Length {
		at, do, ok := sim.queue.Next()
		if !ok {
			break
		}
		sim.now = at
		do()
	}
	sim.measureLinks()
	return sim.result
}

func (sim *simulation) after(d time.Duration, do func()) { sim.queue.Add(sim.now+max(0, d), do) }

// every calls do periodically, first at a random time within the interval.
func (sim *simulation) every(interval time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		sim.after(interval, again)
	}
	sim.after(time.Duration(sim.rng.Int63n(int64(interval))), again)
}

// send transmits a message over the links of its sender and its receiver.
func (sim *simulation) send(from message.Replica, e message.Envelope) {
	out, in := sim.byIdent[from.Ident], sim.byIdent[e.Message.To]
	if in == nil || out.down {
		return
	}
	size := frameSize(e.Message)
	e.Message.From, e.Message.Addr, e.Message.Epoch = from.Ident, from.Addr, 1
	left := out.transmit(0, size, sim.now, &out.outFreeAt)
	sim.after(left+latency-sim.now, func() {
		arrived := in.transmit(1, size, sim.now, &in.inFreeAt) + in.extraLatency
		sim.after(arrived-sim.now, func() {
			if !in.down {
				in.receive(e.Message)
			}
		})
	})
	sim.result.Bytes += 2 * size
}

// frameSize returns the approximate size of a message in a compact frame, which omits what
// earlier frames on the connection have said about the sender.
func frameSize(m message.Message) int {
	m.To = ""
	frame, err := transport.EncodeFrame(m)
	if err != nil {
		panic(err) // these messages can always be encoded
	}
	return len(frame)
}

// measureLinks computes the utilization of the busiest link.
func (sim *simulation) measureLinks() {
	for _, n := range sim.nodes {
		for _, way := range n.link.carried {
			for _, size := range way {
				sim.result.BusiestLink = max(sim.result.BusiestLink, float64(size)/n.link.bytesPerSecond)
			}
		}
	}
}
