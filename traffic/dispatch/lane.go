package dispatch

import (
	"maps"
	"slices"
	"time"

	"mulleinmast/control/interlock"
	"mulleinmast/control/tariff"
	"mulleinmast/traffic/slots"
	"mulleinmast/traffic/waybill"
	"mulleinmast/traffic/yard"
	"mulleinmast/wire/form"
)

// Lane is one service's queue, routes and trips on one daemon; its user holds
// the lock.
type Lane struct {
	cfg  Config
	svc  string
	part int
	src  Source
	term func() uint64

	q      *slots.Queue
	ack    uint64
	bucket waybill.Bucket
	seen   *yard.Prefixes
	shy    map[string]time.Duration
	rows   map[string]interlock.Berth // servers that may get new work now
	trips  map[string]*trip
	sheet  *Sheet
	list   roll
	berths map[string]parsed
	n      Counts
}

type parsed struct {
	ver   form.Ver
	berth interlock.Berth
	ok    bool
}

// roll is a service's list made ready for look-ups.
type roll struct {
	ver form.Ver
	by  map[string]tariff.Server
}

// New makes a service's lane; src reads records under valid leases, term is
// the ballot of the part's owner as far as known.
//
// Example: l := dispatch.New(cfg, "timetable", 3, cabin.Read, term)
func New(cfg Config, svc string, part int, src Source, term func() uint64) *Lane {
	return &Lane{cfg: cfg, svc: svc, part: part, src: src, term: term, q: slots.New(cfg.Queue), bucket: waybill.Bucket{Rate: cfg.Retry, Window: cfg.Window},
		seen: yard.NewPrefixes(cfg.Prefixes), shy: map[string]time.Duration{}, rows: map[string]interlock.Berth{}, trips: map[string]*trip{}, berths: map[string]parsed{}, n: Counts{Why: map[string]int64{}}}
}

// Service is the lane's service.
//
// Example: l.Service() == "timetable"
func (l *Lane) Service() string { return l.svc }

// Keys are the records that the lane reads, for the daemon to keep cached.
//
// Example: for _, k := range l.Keys() { cabin.Pin(part, k) }
func (l *Lane) Keys() []string {
	keys := []string{tariff.ListKey(l.svc)}
	for _, a := range slices.Sorted(maps.Keys(l.list.by)) {
		keys = append(keys, tariff.BerthKey(l.svc, a))
	}
	return keys
}

// Counts are the lane's numbers so far.
//
// Example: l.Counts().Served
func (l *Lane) Counts() Counts {
	c := l.n
	c.Why = maps.Clone(l.n.Why)
	return c
}

// Open is the number of trips under way.
//
// Example: l.Open() == 0
func (l *Lane) Open() int { return len(l.trips) }

// Report is the queue as the query shell shows it.
//
// Example: l.Report().Waiting
func (l *Lane) Report() slots.Report { return l.q.Peek() }

// Fresh tells whether the share stands.
//
// Example: if !l.Fresh(now) { ask() }
func (l *Lane) Fresh(now time.Duration) bool { return l.q.Valid(now) }

// Want is what the owner is told: what waits, what is in flight, what failed.
//
// Example: share, at, ok := cabin.Share(ctx, part, l.Want(), limit)
func (l *Lane) Want() interlock.Want {
	r := l.q.Report()
	return interlock.Want{Service: l.svc, Ack: l.ack, Read: r.Read, Make: r.Make, Held: r.Held, Fails: r.Fails, Like: r.Like}
}

// Shared takes a share, counted from when it was asked for.
//
// Example: out := l.Shared(now, share, askedAt)
func (l *Lane) Shared(now time.Duration, s interlock.Share, at time.Duration) (o Out) {
	l.ack = s.No
	l.look(now)
	l.q.Share(now, s.Slots, at+time.Duration(s.Len))
	l.settle(now, &o)
	return o
}

// Tick lets time pass.
//
// Example: out := l.Tick(now)
func (l *Lane) Tick(now time.Duration) (o Out) {
	l.look(now)
	l.q.Turn(now)
	l.settle(now, &o)
	for _, id := range slices.Sorted(maps.Keys(l.trips)) {
		if t := l.trips[id]; t != nil {
			l.tick(now, t, &o)
		}
	}
	l.settle(now, &o)
	return o
}

// look reads the routes from the lease cache; without valid leases there are
// none.
func (l *Lane) look(now time.Duration) {
	clear(l.rows)
	if rec, ok := l.src(l.part, tariff.ListKey(l.svc)); ok {
		l.listed(rec)
		for a := range l.list.by {
			if b, ok := l.berth(a); ok {
				l.rows[a] = b
			}
		}
	}
	for a, till := range l.shy {
		if now >= till {
			delete(l.shy, a)
		}
	}
}

func (l *Lane) listed(rec form.Rec) roll {
	if l.list.by == nil || l.list.ver != rec.Ver {
		l.list = roll{ver: rec.Ver, by: map[string]tariff.Server{}}
		for _, s := range tariff.OpenList(rec).Servers {
			l.list.by[s.Addr] = s
		}
	}
	return l.list
}

// berth is a server's record if it may get new work now: both leases valid,
// listed, in a part, not leaving, not excluded, its cell in service.
func (l *Lane) berth(addr string) (b interlock.Berth, ok bool) {
	rec, ok := l.src(l.part, tariff.BerthKey(l.svc, addr))
	if !ok {
		return b, false
	}
	p, known := l.berths[addr]
	if !known || p.ver != rec.Ver {
		p.ver = rec.Ver
		p.berth, p.ok = interlock.OpenBerth(rec)
		l.berths[addr] = p
	}
	b = p.berth
	if !p.ok || b.To != "" || b.Status != interlock.Up && b.Status != interlock.Warming {
		return b, false
	}
	list, ok := l.src(l.part, tariff.ListKey(l.svc))
	if !ok {
		return b, false
	}
	in, ok := l.listed(list).by[addr]
	cells, okCells := l.src(0, tariff.CellKey)
	plan, okPlan := l.src(0, tariff.PlanKey)
	if !ok || in.Leaving || !okCells || !okPlan || !cells.Dead && tariff.Cells(cells)[b.Cell] {
		return b, false
	}
	if l.sheet == nil || l.sheet.Ver != plan.Ver {
		l.sheet = NewSheet(plan)
	}
	return b, !l.sheet.out[l.svc][addr]
}

// standing tells whether the record and the share that work on a server rests
// on stand now.
func (l *Lane) standing(now time.Duration, addr, part string) (interlock.Berth, bool) {
	b, ok := l.berth(addr)
	return b, ok && b.Part == part && l.q.Valid(now)
}

// Standing is the last look before a call's first byte goes out.
//
// Example: if !l.Standing(now, act) { return Barred }
func (l *Lane) Standing(now time.Duration, a Act) bool {
	part := interlock.Reader
	if a.Kind == Decode {
		part = interlock.Maker
	}
	t := l.trips[a.Trip]
	if t == nil || t.stage != calling || t.no != a.No || now >= t.Due {
		return false
	}
	_, ok := l.standing(now, a.Addr, part)
	return ok
}
