// Package cabin is the daemon: it drives the state machines with real time,
// wire and disk. Each part is a shard under its own lock.
package cabin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
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

// planSeen is the plan in force, parsed once a version.
type planSeen struct {
	ver  form.Ver
	id   string
	plan uint64
}

// Plan names the plan in force here, if it is under valid leases.
//
// Example: id, version, ok := c.Plan()
func (c *Cabin) Plan() (id string, version uint64, ok bool) {
	rec, ok := c.Read(0, tariff.PlanKey)
	if !ok {
		return "", 0, false
	}
	p := c.plan.Load()
	if p == nil || p.ver != rec.Ver {
		now := tariff.Open(rec)
		p = &planSeen{rec.Ver, now.ID, now.Version}
		c.plan.Store(p)
	}
	return p.id, p.plan, true
}

// Error is the class of start-up errors; InUse marks an address that can't be used.
var (
	Error = errs.Class("signalbox")
	InUse = errs.Class("address")
)

type shard struct {
	mu   sync.Mutex
	part int
	*master.Master
	guide roster.Guide
}

// Cabin is one daemon.
type Cabin struct {
	Cfg   Config
	Book  *daybook.Book
	Line  *telegraph.Line
	Hands *yard.Hands
	Mux   *http.ServeMux
	More  func() map[string]any // what traffic adds to the state dump

	clock  *regulator.Clock
	arch   *archive.Archive
	me     form.Seat
	epoch  uint64
	shards []*shard
	view   atomic.Pointer[roster.View]
	rmu    sync.Mutex
	rost   *roster.Roster
	stop   atomic.Bool
	stopAt atomic.Int64
	plan   atomic.Pointer[planSeen]
	ready  atomic.Bool

	dmu   sync.Mutex
	dq    []notary.Save
	dwake chan struct{}
	stall atomic.Int64 // test switch: every disk write takes this long more

	cmu   sync.Mutex
	runs  *errand.Errands
	calls map[uint64]chan errand.Done

	nmu  sync.Mutex
	news chan struct{}

	web net.Listener
}

// Open readies a daemon: data folder, addresses, machines. Nothing runs yet.
//
// Example: c, err := cabin.Open(cfg, book)
func Open(cfg Config, book *daybook.Book) (*Cabin, error) {
	c := &Cabin{Cfg: cfg, Book: book, Mux: http.NewServeMux(), Hands: yard.NewHands(part(cfg.Bounds.Plan, 0.25)), clock: regulator.New(), epoch: 1,
		dwake: make(chan struct{}, 1), calls: map[uint64]chan errand.Done{}, news: make(chan struct{})}
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

func (c *Cabin) member() form.Member {
	empty := c.arch != nil
	for _, s := range c.shards {
		s.mu.Lock()
		if s.Section().Seat != nil && s.Section().Seat.Group().Num > 0 {
			empty = false
		}
		s.mu.Unlock()
	}
	if c.shards == nil && c.arch != nil {
		for _, h := range c.arch.Parts {
			if h.Meta.Group.Num > 0 {
				empty = false
			}
		}
	}
	return form.Member{Ident: c.me.Ident, Epoch: c.epoch, Addr: c.me.Addr, Web: c.Cfg.Web, Cell: c.Cfg.Cell, Disk: c.arch != nil, Ready: c.ready.Load(), Empty: empty, Build: Build}
}

// Run runs the daemon until the context ends.
//
// Example: err := c.Run(ctx)
func (c *Cabin) Run(ctx context.Context) error {
	defer c.close()
	sup := suture.New("signalbox", suture.Spec{EventHook: func(e suture.Event) { c.Book.Trouble("supervisor", "%s", e.String()) }})
	sup.Add(c.Line)
	sup.Add(service(c.serveWeb))
	sup.Add(service(c.tickRoster))
	for _, s := range c.shards {
		s := s
		sup.Add(service(func(ctx context.Context) error { return c.tickShard(ctx, s) }))
	}
	if c.arch != nil {
		sup.Add(service(c.serveDisk))
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

// step runs one input through a shard and carries out what it asks for.
func (c *Cabin) step(s *shard, f func(*master.Master, time.Duration) master.Out) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.carry(s, f(s.Master, c.Now()))
}

func (c *Cabin) carry(s *shard, o master.Out) {
	if len(o.Saves) > 0 {
		c.toDisk(o.Saves)
	}
	for _, m := range o.Sends {
		c.send(m)
	}
	for _, l := range o.Lines {
		c.Book.Note(l.Kind, "%s", l.Text)
	}
	if o.Lost {
		c.Book.Trouble("duty", "part %d: duty lost", s.part)
	}
	if o.Orphan {
		s.guide.Orphaned(c.Now())
		c.Book.Note("tree", "part %d: parent %s can't serve", s.part, s.Section().Node.Parent().Addr)
	}
	if o.Steer.Ident != "" {
		s.guide.Steered(c.Now(), o.Steer)
		c.Book.Note("tree", "part %d: steered to %s", s.part, o.Steer.Addr)
	}
	if len(o.Fresh)+len(o.Gone) > 0 || o.Won || o.Lost {
		c.tellNews()
	}
}

// send puts a note on the line; one to ourselves never leaves the daemon.
func (c *Cabin) send(m form.Send) {
	if m.Note.To == c.me.Ident {
		m.Note.From, m.Note.Epoch, m.Note.Addr = c.me.Ident, c.epoch, c.me.Addr
		go c.hear(m.Note) // the shard's lock is held here
		return
	}
	// A seat is known by its identity; its machine may have a new address.
	if at, ok := c.View().Find(m.Note.To); ok {
		m.Addr = at.Addr
	}
	c.Line.Send(m)
}

func (c *Cabin) tellNews() {
	c.nmu.Lock()
	close(c.news)
	c.news = make(chan struct{})
	c.nmu.Unlock()
}

// News is closed when any record changes here.
//
// Example: <-c.News()
func (c *Cabin) News() <-chan struct{} {
	c.nmu.Lock()
	defer c.nmu.Unlock()
	return c.news
}

func (c *Cabin) hear(n form.Note) {
	switch {
	case n.Kind >= form.Hello && n.Kind <= form.Count:
		c.rmu.Lock()
		o := c.rost.Hear(c.Now(), n)
		c.rmu.Unlock()
		for _, m := range o.Sends {
			c.Line.Send(m)
		}
	case n.Kind == form.Back:
		c.cmu.Lock()
		o := c.runs.Hear(c.Now(), n)
		c.errands(o)
		c.cmu.Unlock()
	case n.Part < 0 || n.Part >= len(c.shards):
		c.Book.Trouble("wire", "%s: %s for part %d, which isn't one of %d", n.Addr, n.Kind, n.Part, len(c.shards))
	default:
		c.step(c.shards[n.Part], func(s *master.Master, now time.Duration) master.Out { return s.Hear(now, n) })
	}
}

// Read serves a record from this daemon's cache if both leases are valid now.
//
// Example: rec, ok := c.Read(0, tariff.PlanKey)
func (c *Cabin) Read(part int, key string) (form.Rec, bool) {
	s := c.shards[part]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Section().Node.Get(c.Now(), key)
}

// Pin keeps a record wanted here.
//
// Example: c.Pin(p, tariff.ListKey("timetable"))
func (c *Cabin) Pin(part int, key string) {
	c.step(c.shards[part], func(s *master.Master, now time.Duration) master.Out { return s.Pin(now, key) })
}

// Await waits for a record to be servable.
//
// Example: rec, ok := c.Await(ctx, 0, tariff.PlanKey)
func (c *Cabin) Await(ctx context.Context, part int, key string) (form.Rec, bool) {
	pinned := false
	for {
		news := c.News()
		if r, ok := c.Read(part, key); ok {
			return r, true
		}
		if !pinned {
			c.Pin(part, key)
			pinned = true
		}
		select {
		case <-ctx.Done():
			return form.Rec{}, false
		case <-news:
		case <-time.After(c.Cfg.Vol() / 16): // volume leases come without news
		}
	}
}

// Term is the ballot of a part's owner as far as known; attempts carry it.
//
// Example: term := c.Term(p)
func (c *Cabin) Term(part int) uint64 { return c.View().Owns[part].Num }

func (c *Cabin) tickRoster(ctx context.Context) error {
	t := time.NewTicker(c.Cfg.Sessions().Beat / 4)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		var owns []form.Own
		for _, s := range c.shards {
			s.mu.Lock()
			if s.Section().Seat != nil {
				if s.Owner(c.Now()) {
					owns = append(owns, form.Own{Part: s.part, Num: s.Section().Seat.Num(), Seat: c.me})
				} else if h := s.Section().Seat.Hint(); h.Num > 0 {
					owns = append(owns, h)
				}
			}
			s.mu.Unlock()
		}
		c.ready.Store(c.isReady())
		me := c.member() // takes the shards' locks, so before the roster's
		c.rmu.Lock()
		o := c.rost.Tick(c.Now(), me, owns)
		v := c.rost.View()
		c.rmu.Unlock()
		c.view.Store(v)
		for _, m := range o.Sends {
			c.Line.Send(m)
		}
		if o.Found != nil {
			c.found(o.Found)
		}
	}
}

// found makes the first group of every part, in one transaction.
func (c *Cabin) found(seats []form.Seat) {
	c.Book.Note("fleet", "every seed is empty: founding the fleet with %v", seats)
	var saves []notary.Save
	var sends []form.Send
	for _, s := range c.shards {
		s.mu.Lock()
		o := s.Found(c.Now(), form.Group{Num: 1, Seats: seats})
		s.mu.Unlock()
		saves, sends = append(saves, o.Saves...), append(sends, o.Sends...)
	}
	c.toDisk(saves)
	for _, m := range sends {
		c.Line.Send(m)
	}
}

func (c *Cabin) isReady() bool {
	if c.stop.Load() || !c.View().Live {
		return false
	}
	_, a := c.Read(0, tariff.PlanKey)
	_, b := c.Read(0, tariff.CellKey)
	return a && b
}

// toDisk queues saves; what is queued together is one transaction.
func (c *Cabin) toDisk(list []notary.Save) {
	c.dmu.Lock()
	c.dq = append(c.dq, list...)
	c.dmu.Unlock()
	select {
	case c.dwake <- struct{}{}:
	default:
	}
}

func (c *Cabin) serveDisk(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.dwake:
		}
		c.dmu.Lock()
		list := c.dq
		c.dq = nil
		c.dmu.Unlock()
		for len(list) > 0 {
			if d := c.stall.Load(); d > 0 {
				pause(ctx, time.Duration(d))
			}
			err := c.arch.Write(list)
			if err == nil {
				break
			}
			// Nothing was said to anybody yet; try until it works or we are stopped.
			c.Book.Trouble("disk", "%v", err)
			if !pause(ctx, c.Cfg.Vol()/4) {
				return ctx.Err()
			}
		}
		for _, x := range list {
			c.step(c.shards[x.Part], func(s *master.Master, now time.Duration) master.Out { return s.Saved(now, x.Ticket) })
		}
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// tickShard lets time pass in one part: leases, duty, parent, servers.
func (c *Cabin) tickShard(ctx context.Context, s *shard) error {
	t := time.NewTicker(c.Cfg.Vol() / 64)
	defer t.Stop()
	slow := c.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
		v := c.View()
		now := c.Now()
		s.mu.Lock()
		c.carry(s, s.Tick(now))
		if p := s.guide.Parent(now, v); p != s.Section().Node.Parent() && !s.Section().Node.Root() {
			c.carry(s, s.Adopt(now, p))
		}
		for _, m := range s.guide.Hints(s.Section().Node.Live(now), s.Section().Node.Mark(), v) {
			c.Line.Send(m)
		}
		s.mu.Unlock()
		if s.part == 0 {
			c.cmu.Lock()
			c.errands(c.runs.Tick(c.Now(), c.ownerOf))
			c.cmu.Unlock()
		}
		if now-slow >= c.Cfg.Vol()/16 {
			slow = now
			c.works(ctx, s)
		}
	}
}

// works runs the owner's systems over its servers and its group.
func (c *Cabin) works(ctx context.Context, s *shard) {
	var sight master.Sight
	sight.Plan, sight.OkPlan = c.Read(0, tariff.PlanKey)
	sight.Cells, sight.OkCells = c.Read(0, tariff.CellKey)
	if c.arch != nil {
		sight.Seats, sight.OkSeats = c.Read(0, tariff.SeatKey)
	}
	sight.Vacant = func(seats []form.Seat) ([]form.Seat, bool) {
		c.rmu.Lock()
		defer c.rmu.Unlock()
		return c.rost.Vacant(c.Now(), seats, part(c.Cfg.Bounds.Recover, 1.5))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.Works(c.Now(), sight)
	term := s.Term()
	c.carry(s, o)
	for _, key := range o.Polls {
		go c.poll(ctx, s, term, key)
	}
	for _, ord := range o.Orders {
		go c.order(ctx, s, ord)
	}
}

func (c *Cabin) poll(ctx context.Context, s *shard, term uint64, key string) {
	ctx, done := context.WithTimeout(ctx, 2*c.Cfg.Works().Poll)
	defer done()
	u, err := c.Hands.Usage(ctx, key[strings.LastIndexByte(key, '/')+1:])
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Polled(c.Now(), term, key, u, err == nil)
}

// order sends an order; the duty lease is looked at once more just before its
// first byte.
func (c *Cabin) order(ctx context.Context, s *shard, o interlock.Order) {
	ctx, done := context.WithTimeout(ctx, part(c.Cfg.Bounds.Swap, 0.2))
	defer done()
	err := c.Hands.Order(ctx, o, c.me.Ident, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.MayOrder(c.Now(), o.Term)
	})
	if err != nil {
		c.Book.Note("servers", "order to %s: %v", o.Addr, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Ordered(c.Now(), o, err == nil)
}
