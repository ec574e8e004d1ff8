// Package master is one part on one daemon, with the works of its owner: it
// takes calls, keeps the group's seats filled, lets old once keys go and holds
// the servers. A plain state machine round control/section; the daemon and the
// simulator drive the same one.
package master

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"mulleinmast/control/errand"
	"mulleinmast/control/interlock"
	"mulleinmast/control/notary"
	"mulleinmast/control/purge"
	"mulleinmast/control/section"
	"mulleinmast/control/tariff"
	"mulleinmast/wire/form"
)

// Config holds the bounds of an owner's works.
type Config struct {
	Works interlock.Config
	Keep  time.Duration // once keys are kept this long
}

// Line is something for the ring.
type Line struct{ Kind, Text string }

// Out is what a step asks for, beside what its section does.
type Out struct {
	section.Out
	Polls  []string // keys of berths whose servers are to be polled
	Orders []interlock.Order
	Lines  []Line
}

func (o *Out) say(kind, how string, args ...any) {
	o.Lines = append(o.Lines, Line{kind, fmt.Sprintf(how, args...)})
}

// Sight is what this daemon sees of the configuration under valid leases.
type Sight struct {
	Plan, Cells, Seats       form.Rec
	OkPlan, OkCells, OkSeats bool
	// Strain tells how hard a server is pressed, as far as this daemon heard.
	Strain func(service, server string) interlock.Strain
	// Vacant names a standby for a seat whose daemon is gone.
	Vacant func([]form.Seat) ([]form.Seat, bool)
}

// mark is the last version that had been written at some time.
type mark struct {
	at  time.Duration
	ver form.Ver
}

// Master is the state machine.
type Master struct {
	cfg  Config
	part int
	me   form.Seat
	sec  *section.Section

	tags  uint64
	acts  map[uint64]func(section.Result)
	backs []form.Send

	plans  tariff.Reader
	holder *interlock.Holder
	wants  map[string][2]uint64 // life and number of a daemon's last report for a service
	dirty  bool
	seen   [2]form.Ver // plan and cells that the holder works by
	group  uint64
	marks  []mark // versions written so far under this duty, and when
}

// New puts a master over a section.
//
// Example: m := master.New(cfg, 3, me, section.New(3, me, epoch, seat, node))
func New(cfg Config, part int, me form.Seat, sec *section.Section) *Master {
	return &Master{cfg: cfg, part: part, me: me, sec: sec, acts: map[uint64]func(section.Result){}, wants: map[string][2]uint64{}, dirty: true}
}

// Section is the part underneath.
//
// Example: rec, ok := m.Section().Node.Get(now, key)
func (m *Master) Section() *section.Section { return m.sec }

// Owner tells whether this daemon holds the part's duty now.
//
// Example: if m.Owner(now) { work() }
func (m *Master) Owner(now time.Duration) bool { return m.sec.Owner(now) }

// wrap hands out the results of a section's step.
func (m *Master) wrap(s section.Out) (o Out) {
	for _, r := range s.Results {
		if f := m.acts[r.Tag]; f != nil {
			delete(m.acts, r.Tag)
			f(r)
		}
	}
	s.Results = nil
	s.Sends = append(s.Sends, m.backs...)
	m.backs = nil
	if s.Lost {
		m.holder = nil
	}
	if s.Won {
		m.holder, m.marks, m.wants = nil, nil, map[string][2]uint64{}
		o.say("duty", "part %d: owner with ballot %d", m.part, m.sec.Seat.Num())
	}
	o.Out = s
	return o
}

func (o *Out) add(p Out) {
	o.Sends = append(o.Sends, p.Sends...)
	o.Saves = append(o.Saves, p.Saves...)
	o.Fresh = append(o.Fresh, p.Fresh...)
	o.Gone = append(o.Gone, p.Gone...)
	o.Won, o.Lost, o.Orphan = o.Won || p.Won, o.Lost || p.Lost, o.Orphan || p.Orphan
	if p.Steer.Ident != "" {
		o.Steer = p.Steer
	}
	o.Polls = append(o.Polls, p.Polls...)
	o.Orders = append(o.Orders, p.Orders...)
	o.Lines = append(o.Lines, p.Lines...)
}

// Hear takes a note: a lease's, a ballot's or a call.
//
// Example: out := m.Hear(now, note)
func (m *Master) Hear(now time.Duration, n form.Note) Out {
	if n.Kind == form.Call {
		return m.called(now, n)
	}
	return m.wrap(m.sec.Hear(now, n))
}

// Saved tells that a save is on disk.
//
// Example: out := m.Saved(now, ticket)
func (m *Master) Saved(now time.Duration, ticket uint64) Out {
	return m.wrap(m.sec.Saved(now, ticket))
}

// Tick lets time pass.
//
// Example: out := m.Tick(now)
func (m *Master) Tick(now time.Duration) Out { return m.wrap(m.sec.Tick(now)) }

// Found makes the first group.
//
// Example: out := m.Found(now, group)
func (m *Master) Found(now time.Duration, g form.Group) Out { return m.wrap(m.sec.Found(now, g)) }

// Adopt sets the parent in the tree.
//
// Example: out := m.Adopt(now, seat)
func (m *Master) Adopt(now time.Duration, p form.Seat) Out { return m.wrap(m.sec.Adopt(now, p)) }

// Pin keeps a record wanted here.
//
// Example: out := m.Pin(now, "plan/now")
func (m *Master) Pin(now time.Duration, key string) Out { return m.wrap(m.sec.Pin(now, key)) }

// Do runs a write and tells its fate.
//
// Example: out := m.Do(now, job, func(r section.Result) { log(r.Fate) })
func (m *Master) Do(now time.Duration, j section.Job, then func(section.Result)) Out {
	m.tags++
	m.acts[m.tags] = then
	return m.wrap(m.sec.Do(now, m.tags, j))
}

func (m *Master) back(n form.Note, code int, body []byte) {
	m.backs = append(m.backs, form.Send{Addr: n.Addr, Note: form.Note{Kind: form.Back, Part: m.part, To: n.From, Ref: n.No, Code: code, Body: body}})
}

// called carries out a call if this daemon is the owner.
func (m *Master) called(now time.Duration, n form.Note) Out {
	if n.Op == "want" {
		m.wanted(now, n)
		return m.wrap(section.Out{})
	}
	j, fault := job(&m.plans, callOf(n), n.Op, n.Body)
	if fault != "" {
		m.back(n, http.StatusBadRequest, errand.Pack(errand.Word{Result: "broken", Faults: []string{fault}}))
		return m.wrap(section.Out{})
	}
	line := Line{}
	o := m.Do(now, j, func(r section.Result) {
		m.dirty = m.dirty || n.Op == "servers" // once keys come by the hundred and concern no server
		switch r.Fate {
		case section.NotOwner:
			m.back(n, errand.Other, nil)
			return
		case section.Uncertain:
			m.back(n, errand.Uncertain, nil)
			return
		}
		switch w := r.Word.(type) {
		case tariff.Verdict:
			line = Line{"plan", fmt.Sprintf("%s: %s, version %d", n.Op, w.Result, w.Version)}
			m.back(n, map[string]int{"taken": 200, "beaten": 409, "broken": 400}[w.Result], errand.Pack(w))
		case errand.Word:
			m.back(n, map[string]int{"done": 200, "duplicate": 409, "beaten": 409, "not done": 409}[w.Result], errand.Pack(w))
		default:
			panic("job without a word: " + n.Op)
		}
	})
	if line.Kind != "" {
		o.Lines = append(o.Lines, line)
	}
	return o
}

// wanted gives a daemon its share of the slots; shares live in memory only.
func (m *Master) wanted(now time.Duration, n form.Note) {
	var w interlock.Want
	switch err := json.Unmarshal(n.Body, &w); {
	case err != nil:
		m.back(n, http.StatusBadRequest, errand.Pack(errand.Word{Result: "broken", Faults: []string{err.Error()}}))
	case !m.sec.Owner(now) || m.holder == nil || now < m.sec.Calm(): // an earlier owner's shares may stand
		m.back(n, errand.Other, nil)
	case m.overtaken(n, w.Service):
		m.back(n, errand.Other, nil)
	default:
		m.back(n, http.StatusOK, errand.Pack(m.holder.Asked(now, n.From, w, m.sec.Seat.Lease()-now)))
	}
}

// overtaken tells whether a later report of the same daemon came before this
// one: what it says is in flight is no longer so.
func (m *Master) overtaken(n form.Note, service string) bool {
	if n.Ref == 0 { // a build that doesn't number its calls
		return false
	}
	id := service + "/" + n.From
	last, now := m.wants[id], [2]uint64{n.Epoch, n.Ref}
	if slices.Compare(now[:], last[:]) <= 0 {
		return true
	}
	m.wants[id] = now
	return false
}

// Works runs the owner's systems over its group, its once keys and its servers.
//
// Example: out := m.Works(now, sight)
func (m *Master) Works(now time.Duration, s Sight) (o Out) {
	if !m.sec.Owner(now) {
		m.holder = nil
		return o
	}
	m.regroup(now, s, &o)
	if m.part == 0 {
		return o
	}
	if m.holder == nil {
		m.holder, m.dirty = interlock.New(m.cfg.Works, m.sec.Seat.Num(), m.sec.Seat.Since()), true
	}
	m.floor(now, &o)
	h := m.holder
	h.Strain = s.Strain
	if s.OkPlan && s.OkCells && (m.dirty || m.seen != [2]form.Ver{s.Plan.Ver, s.Cells.Ver}) {
		h.Plan(m.plans.Open(s.Plan), tariff.Cells(s.Cells))
		m.seen = [2]form.Ver{s.Plan.Ver, s.Cells.Ver}
		m.dirty = !m.load(now)
	}
	t := h.Tick(now)
	for _, text := range t.Notes {
		o.say("servers", "%s", text)
	}
	for _, w := range t.Writes {
		o.add(m.writeBerth(now, h, w))
	}
	o.Polls, o.Orders = append(o.Polls, t.Polls...), append(o.Orders, t.Orders...)
	return o
}

// Term is the ballot of the holder at work here, 0 if none.
//
// Example: term := m.Term()
func (m *Master) Term() uint64 {
	if m.holder == nil {
		return 0
	}
	return m.sec.Seat.Num()
}

// MayOrder looks once more, just before an order goes out.
//
// Example: if m.MayOrder(now, order.Term) { send(order) }
func (m *Master) MayOrder(now time.Duration, term uint64) bool {
	return m.holder != nil && m.sec.Owner(now) && m.sec.Seat.Num() == term
}

// Polled takes a server's reply to a poll of this term, or its silence.
//
// Example: m.Polled(now, term, key, usage, true)
func (m *Master) Polled(now time.Duration, term uint64, key string, u interlock.Usage, ok bool) {
	if m.Term() == term && m.holder != nil {
		m.holder.Polled(now, key, u, ok)
	}
}

// Ordered takes a server's reply to an order.
//
// Example: m.Ordered(now, order, true)
func (m *Master) Ordered(now time.Duration, ord interlock.Order, ok bool) {
	if m.Term() == ord.Term && m.holder != nil {
		m.holder.Ordered(now, ord.Key, ord, ok)
	}
}

// Rows is the holder's table of servers.
//
// Example: for _, r := range m.Rows(now) { show(r) }
func (m *Master) Rows(now time.Duration) []interlock.Row {
	if m.holder == nil {
		return nil
	}
	return m.holder.Rows(now)
}

// floor lets once keys go that are older than the retention. What an earlier
// owner wrote counts as written when this one took over.
func (m *Master) floor(now time.Duration, o *Out) {
	if n := len(m.marks); n == 0 || now-m.marks[n-1].at > m.cfg.Keep/8 {
		m.marks = append(m.marks, mark{now, m.sec.Seat.Seq()})
	}
	if now-m.marks[0].at <= m.cfg.Keep {
		return
	}
	val := errand.Pack(m.marks[0].ver)
	m.marks = m.marks[1:]
	o.add(m.Do(now, section.Job{Keys: []string{notary.FloorKey}, Make: func(purge.Source) ([]form.Rec, any) {
		return []form.Rec{{Key: notary.FloorKey, Val: val}}, nil
	}}, nil))
}

// load hands the committed lists and berths of this part to the holder; it
// says false if one is being written just now.
func (m *Master) load(now time.Duration) bool {
	whole := true
	lists := map[string]tariff.List{}
	berths := map[string]map[string]interlock.Berth{}
	for r := range m.sec.Seat.Book().All() {
		kind, rest, _ := strings.Cut(r.Key, "/")
		if kind != "list" && kind != "berth" {
			continue
		}
		cur, ok := m.sec.Node.Get(now, r.Key)
		whole = whole && ok
		if !ok || cur.Dead {
			continue
		}
		svc, _, _ := strings.Cut(rest, "/")
		if kind == "list" {
			lists[svc] = tariff.OpenList(cur)
		} else if b, ok := interlock.OpenBerth(cur); ok {
			if berths[svc] == nil {
				berths[svc] = map[string]interlock.Berth{}
			}
			berths[svc][r.Key] = b
		}
	}
	for svc, l := range lists {
		m.holder.Load(now, svc, l, berths[svc])
	}
	return whole
}

func (m *Master) writeBerth(now time.Duration, h *interlock.Holder, w interlock.Write) Out {
	return m.Do(now, section.Job{Keys: []string{w.Key}, Make: func(purge.Source) ([]form.Rec, any) {
		return []form.Rec{{Key: w.Key, Val: w.Val, Dead: w.Gone}}, nil
	}}, func(r section.Result) {
		b, _ := interlock.OpenBerth(form.Rec{Key: w.Key, Val: w.Val, Dead: w.Gone})
		m.dirty = true
		if m.holder == h {
			h.Wrote(w.Key, b, r.Fate == section.Done)
		}
	})
}

// regroup keeps the wanted seats of all parts (kept in one record) and moves
// this part's group towards them.
func (m *Master) regroup(now time.Duration, s Sight, o *Out) {
	if !s.OkSeats {
		return
	}
	want := openSeats(s.Seats)
	seat := m.sec.Seat
	if g := seat.Group(); g.Num != m.group {
		m.group = g.Num
		o.say("seats", "part %d: group %d is %v next %v", m.part, g.Num, g.Seats, g.Next)
	}
	if m.part == 0 {
		next, change := want, false
		if len(want) == 0 {
			next, change = seat.Group().Seats, true
		} else if len(seat.Group().Next) == 0 {
			next, change = s.Vacant(want)
		}
		if change {
			o.say("seats", "wanted seats become %v", next)
			val := errand.Pack(next)
			o.add(m.Do(now, section.Job{Keys: []string{tariff.SeatKey}, Make: func(read purge.Source) ([]form.Rec, any) {
				if cur := read(tariff.SeatKey); cur.Ver != s.Seats.Ver {
					return nil, nil
				}
				return []form.Rec{{Key: tariff.SeatKey, Val: val}}, nil
			}}, nil))
			return
		}
	}
	if n := len(want); n > 0 && n == len(seat.Group().Seats) {
		o.add(m.wrap(m.sec.Regroup(now, want)))
	}
}
