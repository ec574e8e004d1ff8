// Package cabin is the daemon: it drives the state machines with real time,
// wire and disk. Each part is a shard under its own lock.
package cabin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"
	"github.com/zeebo/errs"

	"mulleinmast/control/archive"
	"mulleinmast/control/daybook"
	"mulleinmast/control/errand"
	"mulleinmast/control/interlock"
	"mulleinmast/control/master"
	"mulleinmast/control/notary"
	"mulleinmast/control/purge"
	"mulleinmast/control/regulator"
	"mulleinmast/control/roster"
	"mulleinmast/control/section"
	"mulleinmast/control/survey"
	"mulleinmast/control/tariff"
	"mulleinmast/traffic/yard"
	"mulleinmast/wire/form"
	"mulleinmast/wire/telegraph"
)

// Build names this build to others.
const Build = "1"

const writeBuffer = 64 << 10

// Error is the class of start-up errors; InUse marks an address that can't be used.
var (
	Error = errs.Class("signalbox")
	InUse = errs.Class("address")
)

// Cabin is one daemon.
type Cabin struct {
	Cfg   Config
	Book  *daybook.Book
	Line  *telegraph.Line
	Hands *yard.Hands
	Mux   *http.ServeMux
	More  func() map[string]any // what traffic adds to the state dump
	// Orders gives servers their orders; Hands unless a driver says otherwise.
	Orders Orders
	// Strain tells how hard a server is pressed; none: nobody knows.
	Strain func(service, server string) interlock.Strain
	// Hint takes what other daemons tell of the servers' load.
	Hint func(form.Note)
	// Source tells which servers there are; none: the platform PUTs the lists.
	Source Source

	clock   *regulator.Clock
	arch    *archive.Archive
	me      form.Seat
	epoch   uint64
	shards  []*shard
	view    atomic.Pointer[roster.View]
	rmu     sync.Mutex
	rost    *roster.Roster
	stop    atomic.Bool
	stopAt  atomic.Int64
	plans   tariff.Reader
	ready   atomic.Bool
	begun   atomic.Bool  // it was ready once
	readyAt atomic.Int64 // when it was last

	dmu   sync.Mutex
	dq    []notary.Save
	dwake chan struct{}
	stall atomic.Int64 // test switch: every disk write takes this long more

	cmu   sync.Mutex
	runs  *errand.Errands
	calls map[uint64]chan errand.Done

	nmu  sync.Mutex
	news chan struct{}

	web   net.Listener
	extra []suture.Service
}

// Orders gives a server an order; may is asked just before the first byte goes
// out. An error means that the server may or may not have taken it.
type Orders interface {
	Order(ctx context.Context, o interlock.Order, holder string, may func() bool) error
}

// Open readies a daemon: data folder, addresses, machines. Nothing runs yet.
//
// Example: c, err := cabin.Open(cfg, book)
func Open(cfg Config, book *daybook.Book) (*Cabin, error) {
	c := &Cabin{Cfg: cfg, Book: book, Mux: http.NewServeMux(), Hands: yard.NewHands(part(cfg.Bounds.Plan, 0.25)), clock: regulator.New(), epoch: 1,
		dwake: make(chan struct{}, 1), calls: map[uint64]chan errand.Done{}, news: make(chan struct{})}
	c.Orders = c.Hands
	c.me = form.Seat{Ident: archive.NewIdent(), Addr: cfg.Wire}
	if cfg.Data != "" {
		a, err := archive.Open(cfg.Data, cfg.Fleet)
		if err != nil {
			return nil, err
		}
		c.arch, c.me.Ident, c.epoch = a, a.Ident, a.Epoch
		if a.Moved != "" {
			book.Say("disk", "state was damaged; set aside as %s, starting empty as %s", a.Moved, a.Ident)
		}
		if a.Spoilt > 0 {
			book.Say("disk", "%d records are spoilt and count as missing; the other copies have them", a.Spoilt)
		}
		for p := range a.Parts {
			if p > cfg.Parts {
				a.Close()
				return nil, archive.Error.New("%s: holds part %d, but parts is %d", cfg.Data, p, cfg.Parts)
			}
		}
	}
	c.Line = &telegraph.Line{Fleet: cfg.Fleet, Me: c.me, Epoch: c.epoch, Hear: c.hear, Bad: func(from string, err error) { c.Book.Trouble("wire", "%s: %v", from, err) }}
	if err := c.Line.Listen(cfg.Wire); err != nil {
		c.close()
		return nil, InUse.Wrap(err)
	}
	ln, err := net.Listen("tcp", cfg.Web)
	if err != nil {
		c.close()
		return nil, InUse.Wrap(err)
	}
	c.web = ln
	c.runs = errand.New(errand.Config{Try: cfg.Vol() / 2, Pause: cfg.Vol() / 32, After: cfg.Bounds.Plan}) // calls may be sent twice: each is known by its id
	c.rost = roster.New(cfg.Sessions(), c.member(), cfg.Seeds)
	if c.arch != nil {
		for _, h := range c.arch.Parts {
			for _, seat := range h.Meta.Group.All() {
				c.rost.Know(seat.Addr)
			}
		}
	}
	c.view.Store(c.rost.View())
	now := c.Now()
	for p := 0; p <= cfg.Parts; p++ {
		var seat *notary.Seat
		if c.arch != nil {
			h, ok := c.arch.Parts[p]
			if !ok {
				h = archive.Held{Book: survey.NewBook()}
			}
			seat = notary.New(cfg.Duty(), p, c.me, h.Meta, h.Book, now, h.Meta.Group.Num == 0)
		}
		node := purge.New(cfg.Leases(), p, c.me, c.epoch)
		p := p
		node.Relay = func(id string) form.Seat {
			v := c.View()
			if m, ok := v.Find(id); ok {
				return v.Relay(p, m.Cell)
			}
			return form.Seat{}
		}
		m := master.New(master.Config{Works: cfg.Works(), Keep: cfg.Keep()}, p, c.me, section.New(p, c.me, c.epoch, seat, node))
		c.shards = append(c.shards, &shard{part: p, Master: m, guide: roster.Guide{Part: p, Vol: cfg.Vol()}})
	}
	c.Pin(0, tariff.PlanKey)
	c.Pin(0, tariff.CellKey)
	if c.arch != nil {
		c.Pin(0, tariff.SeatKey)
	}
	c.operate()
	return c, nil
}

func (c *Cabin) close() {
	if c.arch != nil {
		c.arch.Close()
	}
}

// Now is the daemon's time, suspended time included; no decision uses any other.
//
// Example: if c.Now() < till { serve() }
func (c *Cabin) Now() time.Duration { return c.clock.Now() }

// Ident is this daemon's identity.
//
// Example: id := c.Ident()
func (c *Cabin) Ident() string { return c.me.Ident }

// View is the fleet as last heard.
//
// Example: for _, m := range c.View().Members { ... }
func (c *Cabin) View() *roster.View { return c.view.Load() }

// Part is the part that holds a service's records; part 0 is configuration.
//
// Example: p := c.Part("timetable")
func (c *Cabin) Part(svc string) int { return tariff.PartOf(svc, c.Cfg.Parts) }

// Run runs the daemon until the context ends.
//
// Example: err := c.Run(ctx)
func (c *Cabin) Run(ctx context.Context) error {
	defer c.close()
	sup := suture.New("signalbox", suture.Spec{EventHook: func(e suture.Event) { c.Book.Trouble("supervisor", "%s", e.String()) }})
	sup.Add(c.Line)
	sup.Add(service(c.serveWeb))
	sup.Add(service(c.tickRoster))
	sup.Add(service(c.tickShards))
	if c.arch != nil {
		sup.Add(service(c.serveDisk))
		if c.Source != nil {
			sup.Add(service(c.tickSource))
		}
	}
	for _, s := range c.extra {
		sup.Add(s)
	}
	err := sup.Serve(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

type service func(context.Context) error

// Serve runs the service; suture calls it.
//
// Example: sup.Add(service(c.tickRoster))
func (s service) Serve(ctx context.Context) error { return s(ctx) }

func (c *Cabin) serveWeb(ctx context.Context) error {
	// A small buffer: what a requester doesn't read must not pile up here.
	small := func(ctx context.Context, conn net.Conn) context.Context {
		if t, ok := conn.(*net.TCPConn); ok {
			_ = t.SetWriteBuffer(writeBuffer)
		}
		return ctx
	}
	srv := &http.Server{Handler: c.Mux, ConnContext: small, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 64 << 10}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	err := srv.Serve(c.web)
	if ctx.Err() != nil || errors.Is(err, http.ErrServerClosed) {
		return ctx.Err()
	}
	return err
}

// Closed tells whether the daemon was told to go so long ago that the platform
// has seen it is not ready; until then it still takes requests.
//
// Example: if c.Closed() { shed() }
func (c *Cabin) Closed() bool {
	return c.stop.Load() && c.Now()-time.Duration(c.stopAt.Load()) >= c.Cfg.Bounds.Plan
}

// Leave makes the daemon not ready and lets its duties lapse.
//
// Example: c.Leave(); waitForStreams()
func (c *Cabin) Leave() {
	c.stopAt.Store(int64(c.Now()))
	c.stop.Store(true)
	c.ready.Store(false)
	c.Book.Note("stop", "asked to stop")
	for _, s := range c.shards {
		s.mu.Lock()
		if s.Section().Seat != nil {
			s.Section().Seat.Resign()
		}
		s.mu.Unlock()
	}
}
