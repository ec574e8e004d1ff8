// Package interlock is the owner's hold on its servers: it polls their usage,
// decides which part each plays and which makers a reader hands to, orders
// them, and divides their slots among the daemons. It is the only holder; a
// new one gives no order until the swap bound has passed. A plain state
// machine, run once a tick over a table of servers and a table of daemons.
package interlock

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"mulleinmast/control/tariff"
	"mulleinmast/wire/form"
)

// Config holds the bounds the holder works by.
type Config struct {
	Swap  time.Duration // no order before this has passed since an older holder could act
	Poll  time.Duration
	Warm  time.Duration // a warming server's slots ramp up over this
	Share time.Duration // length of a slot share
	Drift float64
	Margin,
	Dwell time.Duration // least time between shifts of part in a service
	Window time.Duration // usage is averaged over this
	Drain  time.Duration // in-flight work of a leaving part is waited for this long
	Slow   time.Duration // a link slower than this loses its pair
	Dark   int           // failed polls that make a server dark
	High   float64       // usage above which a side is short
	Low    float64       // usage below which a side can spare a server
}

// The parts that a server plays.
const (
	Reader = "reader"
	Maker  = "maker"
)

// The statuses of a server.
const (
	Warming = "warming"
	Up      = "up"
	Dark    = "dark"
	Leaving = "leaving" // it leaves its part: no new work
)

// Berth is the record of one server.
type Berth struct {
	Addr   string   `json:"addr"`
	Cell   string   `json:"cell"`
	Cap    int      `json:"cap"`
	Part   string   `json:"part"`
	To     string   `json:"to,omitempty"` // the part it shifts to
	Status string   `json:"status"`
	Pairs  []string `json:"pairs,omitempty"`
}

// OpenBerth reads a berth record.
//
// Example: b, ok := interlock.OpenBerth(rec)
func OpenBerth(r form.Rec) (b Berth, ok bool) {
	if r.Dead || len(r.Val) == 0 {
		return b, false
	}
	if err := json.Unmarshal(r.Val, &b); err != nil {
		panic(fmt.Sprintf("berth record %q can't be read: %v", r.Key, err))
	}
	return b, true
}

// Usage is what a server reports of itself.
type Usage struct {
	Active  int            `json:"active"`
	Queued  int            `json:"queued"`
	Uptime  int64          `json:"uptime_ms"`
	Leaving bool           `json:"leaving"`
	Warming bool           `json:"warming,omitempty"`  // by its own word still warming up
	Links   map[string]int `json:"links_ms,omitempty"` // seen when handing KV caches over
}

// Want is a daemon's report and wish for one service.
type Want struct {
	Service string         `json:"s"`
	Ack     uint64         `json:"a"`
	Read    [10]int        `json:"r"` // waiting for or holding a reader, by priority
	Make    [10]int        `json:"m"`
	Held    map[string]int `json:"h"` // in flight, by server
	Fails   map[string]int `json:"f,omitempty"`
	Like    map[string]int `json:"l,omitempty"` // waiting requests whose prefix a reader holds
}

// Share is the slots a daemon may fill.
type Share struct {
	No    uint64         `json:"n"`
	Len   int64          `json:"t"`
	Slots map[string]int `json:"s"`
}

// Order tells a server which part to play.
type Order struct {
	Addr string `json:"-"`
	Part string `json:"part"`
	Term uint64 `json:"term"`
	No   uint64 `json:"no"`
	Why  string `json:"why"`
}

// Write is a berth to be written; Gone removes it.
type Write struct {
	Key  string
	Val  []byte
	Gone bool
}

// Out is what a tick asks for.
type Out struct {
	Polls  []string
	Orders []Order
	Writes []Write
	Notes  []string // what was decided and why, for the ring
}

type server struct {
	Berth
	svc      string
	listed   bool
	out      bool // leaves by the list, the plan or an evacuation
	usage    Usage
	seen     bool
	pollAt   time.Duration
	polling  bool
	fails    int
	busy     float64 // smoothed usage
	warmAt   time.Duration
	leftAt   time.Duration
	ordered  string
	ordering bool
	writing  bool
	orderAt  time.Duration
}

// leaving: nothing new goes there, whoever said so.
func (s *server) leaving() bool { return s.out || s.seen && s.usage.Leaving }

type grant struct {
	no    uint64
	till  time.Duration
	slots map[string]int
}

type daemon struct {
	want   Want
	at     time.Duration
	grants []grant
	no     uint64
}

// Holder is the state machine for the services of one part.
type Holder struct {
	cfg     Config
	term    uint64
	since   time.Duration
	servers map[string]*server // by berth key
	daemons map[string]*daemon // by service and identity
	moved   map[string]time.Duration
	short   map[string]time.Duration // since when a side of a service is short
	no      uint64
	plan    map[string]tariff.Service
	out     map[string]bool // evacuated cells
}

// New makes the holder of a new term; since is when no older one could act.
//
// Example: h := interlock.New(cfg, seat.Num(), seat.Since())
func New(cfg Config, term uint64, since time.Duration) *Holder {
	return &Holder{cfg: cfg, term: term, since: since, servers: map[string]*server{}, daemons: map[string]*daemon{},
		moved: map[string]time.Duration{}, short: map[string]time.Duration{}, plan: map[string]tariff.Service{}, out: map[string]bool{}}
}

// Plan tells the holder of the plan and the evacuated cells in force.
//
// Example: h.Plan(plan, cells)
func (h *Holder) Plan(p tariff.Plan, out map[string]bool) {
	h.plan = map[string]tariff.Service{}
	for _, s := range p.Services {
		h.plan[s.Name] = s
	}
	h.out = out
}

// Load tells the holder a service's list and berths as they are committed.
//
// Example: h.Load(now, "timetable", list, berths)
func (h *Holder) Load(now time.Duration, svc string, list tariff.List, berths map[string]Berth) {
	skip := map[string]bool{}
	for _, a := range h.plan[svc].Exclude {
		skip[a] = true
	}
	for _, s := range h.servers {
		if s.svc == svc {
			s.listed = false
		}
	}
	for _, e := range list.Servers {
		key := tariff.BerthKey(svc, e.Addr)
		s := h.servers[key]
		if s == nil {
			s = &server{svc: svc, warmAt: now}
			h.servers[key] = s
		}
		s.listed = true
		s.out = e.Leaving || skip[e.Addr] || h.out[e.Cell]
		if b, ok := berths[key]; ok {
			if !s.writing {
				s.Berth = b
			}
		} else if !s.writing {
			s.Berth = Berth{}
		}
		s.Addr, s.Cell, s.Cap = e.Addr, e.Cell, e.Capacity
	}
	for key, b := range berths {
		if h.servers[key] == nil {
			h.servers[key] = &server{Berth: b, svc: svc}
		}
	}
}

// Polled takes a server's reply to a poll, or its silence.
//
// Example: h.Polled(now, key, usage, true)
func (h *Holder) Polled(now time.Duration, key string, u Usage, ok bool) {
	s := h.servers[key]
	if s == nil {
		return
	}
	s.polling = false
	if !ok {
		s.fails++
		return
	}
	if s.seen && u.Uptime < s.usage.Uptime {
		s.ordered, s.warmAt, s.fails = "", now, h.cfg.Dark // it started anew: what it played is gone
		s.usage = u
		return
	}
	if s.fails >= h.cfg.Dark {
		s.warmAt = now
	}
	s.fails, s.seen, s.usage = 0, true, u
	part := float64(h.cfg.Poll) / float64(h.cfg.Window)
	s.busy += (float64(u.Active)/float64(max(1, s.Cap)) - s.busy) * min(1, part)
}

// Ordered takes a server's reply to an order.
//
// Example: h.Ordered(now, key, order, true)
func (h *Holder) Ordered(now time.Duration, key string, o Order, ok bool) {
	if s := h.servers[key]; s != nil {
		s.ordering = false
		if ok {
			s.ordered = o.Part
		}
	}
}

// Wrote takes the fate of a write.
//
// Example: h.Wrote(key, berth, true)
func (h *Holder) Wrote(key string, b Berth, ok bool) {
	if s := h.servers[key]; s != nil {
		s.writing = false
		if ok {
			c := s.Cap
			s.Berth = b
			s.Cap = c
		}
	}
}

func (h *Holder) write(o *Out, key string, s *server, b Berth, why string) {
	s.writing = true
	val, _ := json.Marshal(b)
	o.Writes = append(o.Writes, Write{Key: key, Val: val})
	o.Notes = append(o.Notes, fmt.Sprintf("%s %s: %s/%s to=%q (%s)", s.svc, b.Addr, b.Part, b.Status, b.To, why))
}

// Tick runs the systems over the tables.
//
// Example: out := h.Tick(now)
func (h *Holder) Tick(now time.Duration) (o Out) {
	by := map[string][]string{}
	for key, s := range h.servers {
		by[s.svc] = append(by[s.svc], key)
	}
	for _, svc := range sorted(by) {
		keys := by[svc]
		sort.Strings(keys)
		h.poll(now, keys, &o)
		h.status(now, keys, &o)
		keys = slices.DeleteFunc(keys, func(k string) bool { return h.servers[k] == nil }) // gone for good
		h.parts(now, svc, keys, &o)
		h.pairs(keys, &o)
	}
	for id, d := range h.daemons {
		if now-d.at > 10*h.cfg.Share {
			delete(h.daemons, id)
		}
	}
	return o
}

func sorted[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }

func (h *Holder) poll(now time.Duration, keys []string, o *Out) {
	for _, key := range keys {
		s := h.servers[key]
		if s.listed && !s.polling && now-s.pollAt >= h.cfg.Poll {
			s.polling, s.pollAt = true, now
			o.Polls = append(o.Polls, key)
		}
	}
}

// status writes what the polls and the list say, and removes what left.
func (h *Holder) status(now time.Duration, keys []string, o *Out) {
	for _, key := range keys {
		s := h.servers[key]
		if s.writing {
			continue
		}
		if !s.listed {
			if s.Part == "" && s.Status == "" {
				delete(h.servers, key)
				continue
			}
			s.writing = true
			o.Writes = append(o.Writes, Write{Key: key, Gone: true})
			o.Notes = append(o.Notes, fmt.Sprintf("%s %s: no longer listed", s.svc, s.Addr))
			continue
		}
		if s.Part == "" {
			continue
		}
		b := s.Berth
		switch {
		case s.fails >= h.cfg.Dark && s.Status != Dark:
			b.Status, b.To = Dark, ""
			h.write(o, key, s, b, "polls fail or it started anew")
		case s.fails == 0 && s.seen && s.Status == Dark && s.ordered == s.Part:
			s.warmAt = now
			b.Status = Warming
			h.write(o, key, s, b, "back")
		case s.leaving() && s.To == "" && (s.Status == Up || s.Status == Warming):
			b.Status = Leaving
			h.write(o, key, s, b, "leaving")
		case !s.leaving() && s.To == "" && s.Status == Leaving:
			s.warmAt = now
			b.Status = Warming
			h.write(o, key, s, b, "stays")
		case s.Status == Warming && now-s.warmAt >= h.cfg.Warm && s.fails == 0 && s.seen && !s.usage.Warming:
			b.Status = Up
			h.write(o, key, s, b, "warm")
		}
	}
}

// mayOrder: a new holder waits until the older one surely stopped.
func (h *Holder) mayOrder(now time.Duration) bool { return now-h.since >= h.cfg.Swap }

func (h *Holder) order(now time.Duration, key string, s *server, part, why string, o *Out) {
	if !h.mayOrder(now) || s.ordering || now-s.orderAt < h.cfg.Poll {
		return
	}
	h.no++
	s.ordering, s.orderAt = true, now
	o.Orders = append(o.Orders, Order{Addr: s.Addr, Part: part, Term: h.term, No: h.no, Why: why})
	o.Notes = append(o.Notes, fmt.Sprintf("%s %s: ordered to be %s (%s)", s.svc, s.Addr, part, why))
}

// OrderKey finds the berth key an order is for.
//
// Example: key := h.OrderKey(order)
func (h *Holder) OrderKey(a string) string {
	for k, s := range h.servers {
		if s.Addr == a {
			return k
		}
	}
	return ""
}

// parts gives new servers a part and shifts servers between the sides.
func (h *Holder) parts(now time.Duration, svc string, keys []string, o *Out) {
	count := map[string]int{}
	busy := map[string]float64{}
	moving := false
	for _, key := range keys {
		s := h.servers[key]
		if !s.listed {
			continue
		}
		part := s.Part
		if s.To != "" {
			moving = true
			part = s.To
		}
		if part != "" && s.Status != Dark && !s.leaving() {
			count[part]++
			busy[part] += s.busy
		}
	}
	for _, key := range keys {
		s := h.servers[key]
		if !s.listed || s.writing || s.fails > 0 && s.Part == "" {
			continue
		}
		switch {
		case s.Part == "": // new: order first, then write
			if !s.seen || s.leaving() {
				continue
			}
			if s.ordered == "" {
				to := Reader
				if count[Reader] > count[Maker] {
					to = Maker
				}
				count[to]++
				h.order(now, key, s, to, "new", o)
			} else {
				s.warmAt = now
				h.write(o, key, s, Berth{Addr: s.Addr, Cell: s.Cell, Cap: s.Cap, Part: s.ordered, Status: Warming}, "took its first order")
			}
		case s.To != "": // leaving its part; the purge is complete
			if s.ordered == s.To {
				b := s.Berth
				b.Part, b.To, b.Status, b.Pairs = s.To, "", Warming, nil
				s.warmAt = now
				h.write(o, key, s, b, "shifted")
			} else if s.usage.Active == 0 && h.held(svc, s.Addr) == 0 || now-s.leftAt > h.cfg.Drain {
				h.order(now, key, s, s.To, "shift", o)
			}
		case s.ordered != s.Part && s.fails%max(1, h.cfg.Dark) == 0 && s.seen:
			// A holder that is new, or a server that is: say it again.
			if s.polling && s.fails > 0 {
				continue
			}
			h.order(now, key, s, s.Part, "again", o)
		}
	}
	h.shift(now, svc, keys, count, busy, moving, o)
}

func (h *Holder) held(svc, addr string) int {
	n := 0
	for id, d := range h.daemons {
		if d.want.Service == svc && id != "" {
			n += d.want.Held[addr]
		}
	}
	return n
}

// demand is what waits for or holds each side, over all daemons.
func (h *Holder) demand(svc string) (read, mk int) {
	for _, d := range h.daemons {
		if d.want.Service == svc {
			for p := range d.want.Read {
				read += d.want.Read[p]
				mk += d.want.Make[p]
			}
		}
	}
	return read, mk
}

// shift moves one server from the side that can spare it to the one that has
// been short for a whole window; never the last, never below the plan.
func (h *Holder) shift(now time.Duration, svc string, keys []string, count map[string]int, busy map[string]float64, moving bool, o *Out) {
	if moving || now-h.moved[svc] < h.cfg.Dwell || now-h.since < h.cfg.Swap {
		return
	}
	caps := map[string]int{}
	for _, key := range keys {
		if s := h.servers[key]; s.listed && !s.leaving() && s.Status != Dark {
			caps[s.Part] += s.Cap
		}
	}
	read, mk := h.demand(svc)
	need := map[string]float64{Reader: float64(read) / float64(max(1, caps[Reader])), Maker: float64(mk) / float64(max(1, caps[Maker]))}
	least := map[string]int{Reader: max(1, h.plan[svc].Readers), Maker: max(1, h.plan[svc].Makers)}
	for _, to := range []string{Reader, Maker} {
		from := Maker
		if to == Maker {
			from = Reader
		}
		key := svc + "/" + to
		spare := count[from] > least[from]
		under := count[to] < least[to] && count[from] > 1
		if !(spare && need[to] > h.cfg.High && need[from] < h.cfg.Low || under) {
			delete(h.short, key)
			continue
		}
		if _, ok := h.short[key]; !ok {
			h.short[key] = now
		}
		if now-h.short[key] < h.cfg.Window && !under {
			continue
		}
		var pick *server
		at := ""
		for _, k := range keys {
			s := h.servers[k]
			if s.listed && !s.writing && s.Part == from && s.To == "" && s.Status == Up && !s.leaving() && s.ordered == s.Part &&
				(pick == nil || s.usage.Active < pick.usage.Active) {
				pick, at = s, k
			}
		}
		if pick == nil {
			continue
		}
		delete(h.short, key)
		h.moved[svc] = now
		pick.leftAt = now
		b := pick.Berth
		b.To, b.Status, b.Pairs = to, Leaving, nil
		h.write(o, at, pick, b, fmt.Sprintf("%s side needs %.2f of its slots, %s side %.2f", to, need[to], from, need[from]))
		return
	}
}

// pairs keeps for each reader the makers that it may hand to: the same cell
// first, fast links only, at least two where there are two.
func (h *Holder) pairs(keys []string, o *Out) {
	var makers []*server
	for _, k := range keys {
		if s := h.servers[k]; s.listed && s.Part == Maker && s.To == "" && s.Status != Dark && !s.leaving() {
			makers = append(makers, s)
		}
	}
	for _, k := range keys {
		s := h.servers[k]
		if !s.listed || s.writing || s.Part != Reader || s.To != "" {
			continue
		}
		rank := func(m *server) int {
			n := 0
			if m.Cell != s.Cell {
				n = 1
			}
			if ms, ok := s.usage.Links[m.Addr]; ok && time.Duration(ms)*time.Millisecond > h.cfg.Slow {
				n += 2
			}
			return n
		}
		list := append([]*server(nil), makers...)
		sort.SliceStable(list, func(i, j int) bool { return rank(list[i]) < rank(list[j]) })
		var pairs []string
		for i, m := range list {
			if rank(m) < 2 || i < 1 {
				pairs = append(pairs, m.Addr)
			}
		}
		sort.Strings(pairs)
		if fmt.Sprint(pairs) != fmt.Sprint(s.Pairs) {
			b := s.Berth
			b.Pairs = pairs
			h.write(o, k, s, b, fmt.Sprintf("pairs with %d makers", len(pairs)))
		}
	}
}

// total is how many slots of a server may be out at daemons now.
func (h *Holder) total(now time.Duration, s *server) int {
	if !s.listed || s.leaving() || s.To != "" || s.Status == Dark || s.fails >= h.cfg.Dark || s.Part == "" {
		return 0
	}
	n := s.Cap
	if s.Status == Warming {
		n = max(1, int(float64(s.Cap)*min(1, float64(now-s.warmAt)/float64(h.cfg.Warm))/2))
	}
	// Work that no daemon accounts for still fills the server.
	if stray := s.usage.Active - h.held(s.svc, s.Addr); s.seen && stray > 0 {
		n -= stray
	}
	return max(0, n)
}

// out is the most slots of a server that a daemon may be filling.
func (d *daemon) out(now time.Duration, addr string) int {
	n := d.want.Held[addr]
	for _, g := range d.grants {
		if now < g.till {
			n = max(n, g.slots[addr])
		}
	}
	return n
}

// Asked takes a daemon's want and returns its share, as many slots as the
// urgent demand over the whole fleet leaves it, never more than are free.
//
// Example: share := h.Asked(now, ident, want, left)
func (h *Holder) Asked(now time.Duration, ident string, w Want, left time.Duration) Share {
	id := w.Service + "/" + ident
	d := h.daemons[id]
	if d == nil {
		d = &daemon{}
		h.daemons[id] = d
	}
	d.want, d.at = w, now
	// Calls that failed under daemons' hands count like failed polls, and bring
	// the next poll on at once.
	for addr := range w.Fails {
		if s := h.servers[tariff.BerthKey(w.Service, addr)]; s != nil && now-s.pollAt > h.cfg.Poll/8 {
			s.fails++
			s.pollAt = now - h.cfg.Poll
		}
	}
	keep := d.grants[:0]
	for _, g := range d.grants {
		if g.no >= w.Ack && now < g.till {
			keep = append(keep, g)
		}
	}
	d.grants = keep
	length := min(h.cfg.Share, left)
	sh := Share{Slots: map[string]int{}, Len: int64(max(0, length))}
	if length > 0 {
		h.divide(now, id, d, w.Service, Reader, sh.Slots)
		h.divide(now, id, d, w.Service, Maker, sh.Slots)
	}
	d.no++
	sh.No = h.term<<32 | d.no
	d.grants = append(d.grants, grant{no: sh.No, till: now + length + time.Duration(float64(length)*h.cfg.Drift) + h.cfg.Margin, slots: sh.Slots})
	return sh
}

// quota is a daemon's part of n slots: by priority first, within one priority
// by demand, and half of what nobody needs in equal parts. The other half is
// kept so that new demand finds something at once. What doesn't divide evenly
// goes round among the daemons, so that none waits for ever.
func (h *Holder) quota(now time.Duration, svc, id, part string, n int) int {
	var ids []string
	for k, d := range h.daemons {
		if d.want.Service == svc {
			ids = append(ids, k)
		}
	}
	sort.Strings(ids)
	need := func(k string, p int) int {
		if part == Maker {
			return h.daemons[k].want.Make[p]
		}
		return h.daemons[k].want.Read[p]
	}
	left, mine := n, 0
	for p := 0; p < 10 && left > 0; p++ {
		sum := 0
		for _, k := range ids {
			sum += need(k, p)
		}
		give := min(left, sum)
		if sum == 0 {
			continue
		}
		mine += apportion(give, sum, ids, id, int(now/h.cfg.Share), func(k string) int { return need(k, p) })
		left -= give
	}
	return mine + apportion(left/2, len(ids), ids, id, 0, func(string) int { return 1 })
}

// apportion is one's whole part of give by weight; the rest goes round from a
// place that moves with the turn.
func apportion(give, sum int, ids []string, id string, turn int, weight func(string) int) int {
	rest, mine := give, 0
	for _, k := range ids {
		n := give * weight(k) / max(1, sum)
		rest -= n
		if k == id {
			mine = n
		}
	}
	for i := range ids {
		k := ids[(i+turn)%len(ids)]
		if rest == 0 {
			break
		}
		if give*weight(k)%max(1, sum) > 0 {
			rest--
			if k == id {
				mine++
			}
		}
	}
	return mine
}

func (h *Holder) divide(now time.Duration, id string, d *daemon, svc, part string, slots map[string]int) {
	type row struct {
		addr string
		free int
	}
	var rows []row
	all := 0
	for _, key := range sorted(h.servers) {
		s := h.servers[key]
		if s.svc != svc || s.Part != part {
			continue
		}
		n := h.total(now, s)
		all += n
		for k, o := range h.daemons {
			if k != id && o.want.Service == svc {
				n -= o.out(now, s.Addr)
			}
		}
		rows = append(rows, row{s.Addr, max(0, n)})
	}
	if len(rows) == 0 {
		return
	}
	left := h.quota(now, svc, id, part, all)
	// What is in flight counts first, then the readers that hold a wanted
	// prefix, then round and round from a place of the daemon's own.
	give := func(i, n int) {
		n = min(n, rows[i].free, left)
		if n > 0 {
			slots[rows[i].addr] += n
			rows[i].free -= n
			left -= n
		}
	}
	for i := range rows {
		give(i, d.want.Held[rows[i].addr])
	}
	for i := range rows {
		give(i, d.want.Like[rows[i].addr])
	}
	at := 0
	for _, c := range id {
		at = at*31 + int(c)
	}
	at = (at%len(rows) + len(rows)) % len(rows)
	for idle := 0; left > 0 && idle < len(rows); at = (at + 1) % len(rows) {
		if rows[at].free == 0 {
			idle++
			continue
		}
		idle = 0
		give(at, 1)
	}
}

// Row is one server as the query shell shows it.
type Row struct {
	Berth
	Service string  `json:"service"`
	Active  int     `json:"active"`
	Busy    float64 `json:"busy"`
	Fails   int     `json:"fails"`
	Total   int     `json:"total"`
	Out     int     `json:"out"`
	Leaves  bool    `json:"leaves"`
}

// Rows snapshots the table of servers.
//
// Example: for _, r := range h.Rows(now) { ... }
func (h *Holder) Rows(now time.Duration) []Row {
	var out []Row
	for _, key := range sorted(h.servers) {
		s := h.servers[key]
		r := Row{Berth: s.Berth, Service: s.svc, Active: s.usage.Active, Busy: s.busy, Fails: s.fails, Total: h.total(now, s), Leaves: s.leaving()}
		for _, d := range h.daemons {
			if d.want.Service == s.svc {
				r.Out += d.out(now, s.Addr)
			}
		}
		out = append(out, r)
	}
	return out
}
