// Package overload plays the request path of a fleet by itself: the real decisions
// (traffic/forward) and hints (traffic/loadreport) of several daemons before model
// servers of two halves, under load and troubles that come and go, on a simulated
// clock. It shows what a trouble leaves behind when it is over. The control plane
// is not in it: records are there, or for a while they aren't.
package overload

import (
	"fmt"
	"math/rand"
	"time"

	"mulleinmast/control/daemon"
	"mulleinmast/control/placement"
	"mulleinmast/proof/eventqueue"
	"mulleinmast/traffic/forward"
	"mulleinmast/traffic/gateway"
	"mulleinmast/traffic/loadreport"
	"mulleinmast/wire/message"
)

// Class is a kind of request.
type Class struct {
	Name          string
	PerSecond     float64
	Aim, Deadline time.Duration
	Gap           time.Duration
	Urgency       int
	Shared        []int // tokens of the parts that others have in common
	Things        []int // how many there are of each
	Own           int   // tokens of the request's own part, in the mean
	Out           int   // tokens of the answer, in the mean
	Tries         int
}

// Trouble is what befalls the deployment.
type Trouble struct {
	At, For time.Duration
	Crowd   float64 // times as many requests
	Cold    bool    // at At the servers forget the prompts that they kept
	Gone    float64 // part of the servers that is away
	Blind   bool    // the daemons' leases don't stand
	Reset   bool    // at At all connections to servers are reset
}

// Options shape a run.
type Options struct {
	Seed     int64
	Daemons  int
	Prefill  int // servers that read
	Decode   int // servers that write
	Classes  []Class
	Troubles []Trouble
	Length   time.Duration
	Admit    float64 // as in the daemon's config
}

// Default is a deployment of eight daemons and twelve servers at half of what these
// bear, with two kinds of requests: long prompts with few tokens out, and short
// ones with many.
//
// Example: r := overload.Run(overload.Default(1))
func Default(seed int64) Options {
	return Options{Seed: seed, Daemons: 8, Prefill: 5, Decode: 7, Length: 40 * time.Second, Admit: daemon.Default().AdmitRatio, Classes: []Class{
		{Name: "long", PerSecond: 34, Aim: 500 * time.Millisecond, Deadline: 3 * time.Second, Gap: 300 * time.Millisecond, Shared: []int{2520, 3780}, Things: []int{4, 64}, Own: 2890, Out: 52, Tries: 2},
		{Name: "short", PerSecond: 43, Aim: 600 * time.Millisecond, Deadline: 8 * time.Second, Gap: 300 * time.Millisecond, Urgency: 1, Shared: []int{119, 79}, Things: []int{10, 120}, Own: 628, Out: 290, Tries: 1},
	}}
}

// Second is what became of the requests that clients began in one second.
type Second struct {
	Asked, InAim, Late, Refused, Failed int
	Tries                               int // that clients made, further ones too
}

// Served is the part of what was asked for that was answered at all.
//
// Example: s.Served() > 0.95
func (s Second) Served() float64 { return float64(s.InAim+s.Late) / float64(max(1, s.Asked)) }

// Timely is the part that was answered inside its aim.
//
// Example: s.Timely() > 0.9
func (s Second) Timely() float64 { return float64(s.InAim) / float64(max(1, s.Asked)) }

// Result is what a run came to.
type Result struct {
	Seconds []Second
	Read    int // prompt tokens that servers read
	Turned  int // arrivals that servers turned away
	Wasted  int // tokens read for requests that were never answered
	Dialled int // new connections
}

// Sum adds seconds up, from and up to the given ones.
//
// Example: before := r.Sum(5, 10).Served()
func (r Result) Sum(from, to int) (s Second) {
	for _, x := range r.Seconds[from:to] {
		s.add(x)
	}
	return s
}

func (s *Second) add(x Second) {
	s.Asked += x.Asked
	s.InAim += x.InAim
	s.Late += x.Late
	s.Refused += x.Refused
	s.Failed += x.Failed
	s.Tries += x.Tries
}

// Recovered is how long after a moment the first second begins in which as large a
// part is served as is asked for; below 0: it never is.
//
// Example: r.Recovered(18*time.Second, 0.95)
func (r Result) Recovered(after time.Duration, share float64) time.Duration {
	from := int(after / time.Second)
	for n := from; n < len(r.Seconds); n++ {
		if r.Seconds[n].Asked > 0 && r.Seconds[n].Served() >= share {
			return time.Duration(n-from) * time.Second
		}
	}
	return -1
}

const (
	service = "models"
	hop     = time.Millisecond // one way, everywhere
)

// world is a run.
type world struct {
	Options
	cfg     daemon.Config
	rng     *rand.Rand
	now     time.Duration
	queue   eventqueue.Queue
	servers []*server
	daemons []*front
	gen     uint64
	ids     int
	result  Result
}

// Run makes one run.
//
// Example: r := overload.Run(overload.Default(1)); r.Seconds[7].Served()
func Run(o Options) Result {
	w := &world{Options: o, cfg: daemon.Default(), rng: rand.New(rand.NewSource(o.Seed)), gen: 1}
	w.cfg.AdmitRatio = o.Admit
	w.cfg.Bounds.Plan = 2500 * time.Millisecond
	w.result.Seconds = make([]Second, int(o.Length/time.Second))
	for i := range o.Prefill + o.Decode {
		part := placement.Decode
		if i < o.Prefill {
			part = placement.Prefill
		}
		w.servers = append(w.servers, &server{w: w, key: fmt.Sprintf("server-%02d", i), zone: zoneOf(i), part: part, up: true, kept: map[uint64]bool{}, idle: map[*front]int{}})
	}
	for i := range o.Daemons {
		w.daemons = append(w.daemons, w.newFront(i))
	}
	for _, f := range w.daemons {
		f.beat()
	}
	for _, t := range o.Troubles {
		w.after(t.At, func() { w.begin(t) })
	}
	for _, c := range o.Classes {
		w.arrive(c)
	}
	for w.now < o.Length {
		at, do, ok := w.queue.Next()
		if !ok {
			break
		}
		w.now = at
		do()
	}
	return w.result
}

func zoneOf(i int) string { return fmt.Sprint("zone-", i%3) }

func (w *world) after(d time.Duration, do func()) {
	w.queue.Add(w.now+max(0, d), do)
}

// arrive brings the next request of a class, and the one after it.
func (w *world) arrive(c Class) {
	rate := c.PerSecond
	for _, t := range w.Troubles {
		if t.Crowd > 0 && w.now >= t.At && w.now < t.At+t.For {
			rate *= t.Crowd
		}
	}
	w.after(time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		w.ask(c)
		w.arrive(c)
	})
}

// begin lets a trouble come, and end.
func (w *world) begin(t Trouble) {
	if t.Cold {
		for _, s := range w.servers {
			clear(s.kept)
			s.order = nil
		}
	}
	if t.Reset {
		for _, s := range w.servers {
			clear(s.idle)
		}
	}
	if t.Blind {
		w.gen++
		for _, f := range w.daemons {
			f.blind = w.now + t.For
		}
		w.after(t.For, func() { w.gen++ })
	}
	for i, s := range w.servers {
		if float64(i%4) < 4*t.Gone {
			s.leave()
			w.after(t.For, s.comeBack)
		}
	}
}

// newFront makes a daemon with its lane and its board.
func (w *world) newFront(i int) *front {
	f := &front{w: w, me: message.Member{Ident: fmt.Sprint("daemon-", i), Addr: fmt.Sprintf("10.0.0.%d:1", i), Zone: zoneOf(i), Build: daemon.Build}, board: loadreport.New(gateway.LoadReportConfig(w.cfg))}
	c := gateway.Config(w.cfg)
	c.Zone, c.RetrySlack = f.me.Zone, 200
	f.lane = forward.New(c, service, 1, f, hints{f})
	return f
}
