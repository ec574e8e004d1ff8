// Package narrowlinks plays how a service's servers reach the daemons of one zone while the
// platform replaces them: the real leader, lease tree and dispatchers of many daemons over
// links of finite bandwidth, on a simulated clock. It shows how long after a server said that
// it leaves a daemon would still send to it, and whether daemons have servers to send to.
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
	service = "models"
	number  = 1        // of the partition
	zone    = "zone-a" // of the daemons
	farZone = "zone-b" // of the leader
	latency = time.Millisecond
	stepGap = 32 // steps of a daemon's timers in a volume lease
	megabit = 1_000_000 / 8
)

// Options shape a run.
type Options struct {
	Seed     int64
	Daemons  int           // of the zone, beside its control daemon
	Servers  int           // of the service
	Narrow   int           // megabits a second of a daemon's link
	Wide     int           // and of a control daemon's
	Control  bool          // the zone has a control daemon
	Replaced int           // servers a second, while the release goes on
	From, To time.Duration // of the release
	Dead     int           // daemons of the zone that lose power as the release begins
	Late     time.Duration // later than usual all reaches one daemon, while the release goes on
	Length   time.Duration
	Bounds   daemon.Bounds
}

// Default is a zone of sixty daemons with narrow links before 256 servers, of which half
// are replaced, 28 a second.
//
// Example: r := narrowlinks.Run(narrowlinks.Default(1))
func Default(seed int64) Options {
	return Options{
		Seed: seed, Daemons: 60, Servers: 256, Narrow: 10, Wide: 100, Control: true, Replaced: 28,
		From: 8 * time.Second, To: 13 * time.Second, Length: 24 * time.Second,
		Bounds: daemon.Bounds{
			Plan: 3 * time.Second, Leave: 4 * time.Second, Evacuate: 5 * time.Second, Swap: 3 * time.Second,
			Recover: 15 * time.Second,
		},
	}
}

// Second is what daemons found when they looked for a server, in one second.
type Second struct {
	Looks  int // of all daemons
	Served int // had one at once
}

// Share is the part of the looks that found a server.
//
// Example: r.Seconds[12].Share() > 0.95
func (s Second) Share() float64 { return float64(s.Served) / float64(max(1, s.Looks)) }

// Result is what a run came to.
type Result struct {
	Seconds []Second
	// LatestSend is how long after the platform's list showed that a server leaves a daemon
	// would have sent to it, at most.
	LatestSend time.Duration
	// BusiestLink is the most bytes that a daemon's link carried one way in a second, in parts of
	// what it can carry.
	BusiestLink float64
	Bytes       int // on all links, both ends counted
}

// world is a run.
type world struct {
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

// link is a machine's link: what goes out and what comes in wait their turns.
type link struct {
	bytesPerSecond      float64
	outFreeAt, inFreeAt time.Duration
	carried             [2]map[int]int // bytes by second, out and in
	receive             func(message.Message)
	late                time.Duration // that what comes in takes longer
	down                bool
}

func newLink(megabits int, receive func(message.Message)) *link {
	l := &link{bytesPerSecond: float64(megabits) * megabit, receive: receive}
	for i := range l.carried {
		l.carried[i] = map[int]int{}
	}
	return l
}

// carry puts bytes on one way of the link and tells when they are through.
func (l *link) carry(way, size int, from time.Duration, freeAt *time.Duration) time.Duration {
	*freeAt = max(*freeAt, from) + time.Duration(float64(size)/l.bytesPerSecond*float64(time.Second))
	l.carried[way][int(*freeAt/time.Second)] += size
	return *freeAt
}

// Run makes one run.
//
// Example: r := narrowlinks.Run(narrowlinks.Default(1)); r.LatestSend < 4*time.Second
func Run(o Options) Result {
	w := &world{
		Options: o, cfg: daemon.Default(), rng: rand.New(rand.NewSource(o.Seed)), byIdent: map[string]*link{},
	}
	w.cfg.Bounds = o.Bounds
	w.result.Seconds = make([]Second, int(o.Length/time.Second))
	w.platform.begin(w)
	w.addDaemons()
	for w.now < o.Length {
		at, do, ok := w.queue.Next()
		if !ok {
			break
		}
		w.now = at
		do()
	}
	w.sumUp()
	return w.result
}

func (w *world) after(d time.Duration, do func()) { w.queue.Add(w.now+max(0, d), do) }

// every runs something again and again, first at a random moment of the interval.
func (w *world) every(interval time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		w.after(interval, again)
	}
	w.after(time.Duration(w.rng.Int63n(int64(interval))), again)
}

// send takes a message over both links.
func (w *world) send(from message.Replica, e message.Envelope) {
	out, in := w.byIdent[from.Ident], w.byIdent[e.Message.To]
	if in == nil || out.down {
		return
	}
	size := frameSize(e.Message)
	e.Message.From, e.Message.Addr, e.Message.Epoch = from.Ident, from.Addr, 1
	left := out.carry(0, size, w.now, &out.outFreeAt)
	w.after(left+latency-w.now, func() {
		arrived := in.carry(1, size, w.now, &in.inFreeAt) + in.late
		w.after(arrived-w.now, func() {
			if !in.down {
				in.receive(e.Message)
			}
		})
	})
	w.result.Bytes += 2 * size
}

// frameSize is about what a message takes in a compact frame, which leaves out what the frames
// before it on a connection said of the sender.
func frameSize(m message.Message) int {
	m.To = ""
	frame, err := transport.EncodeFrame(m)
	if err != nil {
		panic(err) // our own messages always pack
	}
	return len(frame)
}

// sumUp looks how busy the links were.
func (w *world) sumUp() {
	for _, n := range w.nodes {
		for _, way := range n.link.carried {
			for _, size := range way {
				w.result.BusiestLink = max(w.result.BusiestLink, float64(size)/n.link.bytesPerSecond)
			}
		}
	}
}
