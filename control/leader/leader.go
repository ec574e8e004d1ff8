// Package leader is one partition on one daemon, with the works of its leader: it
// takes calls, keeps the group's replicas filled, lets old once keys go and holds
// the servers. A plain state machine round control/partition; the daemon and the
// simulator drive the same one.
package leader

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leadercall"
	"mulleinmast/control/lease"
	"mulleinmast/control/partition"
	"mulleinmast/control/placement"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// Config holds the bounds of a leader's works.
type Config struct {
	Placement        placement.Config
	OnceKeyRetention time.Duration // once keys are kept this long
	RepeatWindow     time.Duration // for how long a caller may send an order again
	// ReadableFormat tells the format of plans that all daemons of the fleet read; none: no
	// plan is turned away for what it needs.
	ReadableFormat func() int
}

// Event is something for the ring.
type Event struct{ Kind, Text string }

// Out is what a step asks for, beside what its partition does.
type Out struct {
	partition.Out
	Polls  []string // keys of server records whose servers are to be polled
	Orders []placement.Order
	Events []Event
}

func (o *Out) say(kind, how string, args ...any) {
	o.Events = append(o.Events, Event{kind, fmt.Sprintf(how, args...)})
}

// ClusterView is what this daemon sees of the configuration under valid leases.
type ClusterView struct {
	Plan, Zones, Replicas                message.Record
	PlanValid, ZonesValid, ReplicasValid bool
	// Pressure tells how hard a server is pressed, as far as this daemon heard.
	Pressure func(service, server string) placement.Pressure
	// ControlDaemons lists the daemons with a disk that are in the fleet now.
	ControlDaemons []message.Member
}

// mark is the last version that had been written at some time.
type mark struct {
	at  time.Duration
	ver message.Version
}

// Controller is the state machine.
type Controller struct {
	cfg       Config
	partition int
	me        message.Replica
	sec       *partition.Partition

	tags  uint64
	acts  map[uint64]func(partition.Result)
	backs []message.Envelope

	plans  fleetconfig.PlanReader
	holder *placement.Controller
	orders orders
	wants  map[string][2]uint64 // life and number of a daemon's last report for a service
	dirty  bool
	seen   [2]message.Version // plan and zones that the holder works by
	group  uint64
	marks  []mark // versions written so far under this leadership, and when
}

// New puts a controller over a partition.
//
// Example: m := leader.New(cfg, 3, me, partition.New(3, me, epoch, replica, node))
func New(cfg Config, number int, me message.Replica, sec *partition.Partition) *Controller {
	return &Controller{cfg: cfg, partition: number, me: me, sec: sec, orders: orders{again: cfg.RepeatWindow, at: map[string]time.Duration{}}, acts: map[uint64]func(partition.Result){}, wants: map[string][2]uint64{}, dirty: true}
}

// Partition is the partition underneath.
//
// Example: rec, ok := m.Partition().Node.Get(now, key)
func (m *Controller) Partition() *partition.Partition { return m.sec }

// IsLeader tells whether this daemon holds the partition's leadership now.
//
// Example: if m.IsLeader(now) { work() }
func (m *Controller) IsLeader(now time.Duration) bool { return m.sec.Leader(now) }

// wrap hands out the results of a partition's step.
func (m *Controller) wrap(s partition.Out) (o Out) {
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
		m.orders.since, m.orders.at = m.sec.Replica.LeaderSince(), map[string]time.Duration{}
		o.say("leader", "partition %d: leader with term %d", m.partition, m.sec.Replica.Term())
	}
	o.Out = s
	return o
}

func (o *Out) add(p Out) {
	o.Sends = append(o.Sends, p.Sends...)
	o.Saves = append(o.Saves, p.Saves...)
	o.Readable = append(o.Readable, p.Readable...)
	o.Withdrawn = append(o.Withdrawn, p.Withdrawn...)
	o.Won, o.Lost, o.Orphaned = o.Won || p.Won, o.Lost || p.Lost, o.Orphaned || p.Orphaned
	if p.Redirect.Ident != "" {
		o.Redirect = p.Redirect
	}
	if p.Superseded != "" {
		o.Superseded = p.Superseded
	}
	o.Polls = append(o.Polls, p.Polls...)
	o.Orders = append(o.Orders, p.Orders...)
	o.Events = append(o.Events, p.Events...)
}

// Step takes a message: a lease's, a term's or a call.
//
// Example: out := m.Step(now, message)
func (m *Controller) Step(now time.Duration, n message.Message) Out {
	if n.Kind == message.KindCall {
		return m.called(now, n)
	}
	return m.wrap(m.sec.Step(now, n))
}

// Saved tells that a save is on disk.
//
// Example: out := m.Saved(now, ticket)
func (m *Controller) Saved(now time.Duration, ticket uint64) Out {
	return m.wrap(m.sec.Saved(now, ticket))
}

// Tick lets time pass.
//
// Example: out := m.Tick(now)
func (m *Controller) Tick(now time.Duration) Out {
	m.orders.now = now
	return m.wrap(m.sec.Tick(now))
}

// Bootstrap makes the first group.
//
// Example: out := m.Bootstrap(now, group)
func (m *Controller) Bootstrap(now time.Duration, g message.Group) Out {
	return m.wrap(m.sec.Bootstrap(now, g))
}

// Supersede takes this daemon's copy its voice.
//
// Example: out := m.Supersede(now, why)
func (m *Controller) Supersede(now time.Duration, why string) Out {
	return m.wrap(m.sec.Supersede(now, why))
}

// SetParent sets the parent in the tree.
//
// Example: out := m.SetParent(now, replica)
func (m *Controller) SetParent(now time.Duration, p message.Replica) Out {
	return m.wrap(m.sec.SetParent(now, p))
}

// Pin keeps a record wanted here.
//
// Example: out := m.Pin(now, "plan/now")
func (m *Controller) Pin(now time.Duration, key string) Out { return m.wrap(m.sec.Pin(now, key)) }

// Do runs a write and tells its fate.
//
// Example: out := m.Do(now, job, func(r partition.Result) { log(r.Fate) })
func (m *Controller) Do(now time.Duration, j partition.Job, then func(partition.Result)) Out {
	m.tags++
	m.acts[m.tags] = then
	return m.wrap(m.sec.Submit(now, m.tags, j))
}

func (m *Controller) back(n message.Message, code int, body []byte) {
	m.backs = append(m.backs, message.Envelope{Addr: n.Addr, Message: message.Message{Kind: message.KindCallResult, Partition: m.partition, To: n.From, ResponseTo: n.RequestID, Status: code, Body: body}})
}

// called carries out a call if this daemon is the leader.
func (m *Controller) called(now time.Duration, n message.Message) Out {
	if n.Op == "want" {
		m.wanted(now, n)
		return m.wrap(partition.Out{})
	}
	if !m.sec.Leader(now) { // whether a call is at fault is the leader's to say
		m.back(n, leadercall.StatusNotLeader, nil)
		return m.wrap(partition.Out{})
	}
	m.orders.now = now
	by := askOf(n, &m.orders)
	by.reads = m.cfg.ReadableFormat
	j, fault := job(&m.plans, by, n.Op, n.Body, m.replicas()...)
	if fault != "" {
		m.back(n, http.StatusBadRequest, leadercall.Pack(leadercall.Response{Result: "broken", Faults: []string{fault}}))
		return m.wrap(partition.Out{})
	}
	line := Event{}
	o := m.Do(now, j, func(r partition.Result) {
		m.dirty = m.dirty || n.Op == "servers" // once keys come by the hundred and concern no server
		switch r.Outcome {
		case partition.NotLeader:
			m.back(n, leadercall.StatusNotLeader, nil)
			return
		case partition.Uncertain:
			m.back(n, leadercall.StatusUncertain, nil)
			return
		}
		switch w := r.Answer.(type) {
		case fleetconfig.Verdict:
			line = Event{"plan", fmt.Sprintf("%s: %s, version %d", n.Op, w.Result, w.Version)}
			m.back(n, map[string]int{"taken": 200, "beaten": 409, "broken": 400}[w.Result], leadercall.Pack(w))
		case leadercall.Response:
			if w.Result == resultNotClear {
				line = Event{"call", fmt.Sprintf("%s: %s, %s", n.Op, w.Result, w.Reason)}
			}
			m.back(n, map[string]int{"done": 200, "duplicate": 409, "beaten": 409, "not done": 409, resultNotClear: leadercall.StatusNotDone}[w.Result], leadercall.Pack(w))
		case behind:
			m.back(n, leadercall.StatusBehind, nil)
			m.backs[len(m.backs)-1].Message.Version = w.on
		default:
			panic("job without a word: " + n.Op)
		}
	})
	if line.Kind != "" {
		o.Events = append(o.Events, line)
	}
	return o
}

// Reconcile runs the leader's systems over its group, its once keys and its servers.
//
// Example: out := m.Reconcile(now, sight)
func (m *Controller) Reconcile(now time.Duration, s ClusterView) (o Out) {
	if !m.sec.Leader(now) {
		m.holder = nil
		return o
	}
	m.regroup(now, s, &o)
	m.lapse(now, &o)
	if m.partition == 0 {
		return o
	}
	if m.holder == nil {
		m.holder, m.dirty = placement.New(m.cfg.Placement, m.sec.Replica.Term(), m.sec.Replica.LeaderSince()), true
	}
	m.floor(now, &o)
	h := m.holder
	h.Pressure = s.Pressure
	if s.PlanValid && s.ZonesValid && (m.dirty || m.seen != [2]message.Version{s.Plan.Version, s.Zones.Version}) {
		h.SetPlan(m.plans.Open(s.Plan), fleetconfig.OpenZones(s.Zones))
		m.seen = [2]message.Version{s.Plan.Version, s.Zones.Version}
		m.dirty = !m.load(now)
	}
	t := h.Reconcile(now)
	for _, text := range t.Notes {
		o.say("servers", "%s", text)
	}
	for _, w := range t.Writes {
		o.add(m.writeServerRecord(now, h, w))
	}
	o.Polls, o.Orders = append(o.Polls, t.Polls...), append(o.Orders, t.Orders...)
	return o
}

// Term is the term of the holder at work here, 0 if none.
//
// Example: term := m.Term()
func (m *Controller) Term() uint64 {
	if m.holder == nil {
		return 0
	}
	return m.sec.Replica.Term()
}

// MayOrder looks once more, just before an order goes out.
//
// Example: if m.MayOrder(now, order.Term) { send(order) }
func (m *Controller) MayOrder(now time.Duration, term uint64) bool {
	return m.holder != nil && m.sec.Leader(now) && m.sec.Replica.Term() == term
}

// HandlePoll takes a server's answer to a poll of this term, or its silence.
//
// Example: m.HandlePoll(now, term, key, usage, true)
func (m *Controller) HandlePoll(now time.Duration, term uint64, key string, u placement.Usage, ok bool) {
	if m.Term() == term && m.holder != nil {
		m.holder.HandlePoll(now, key, u, ok)
	}
}

// HandleOrdered takes a server's answer to an order.
//
// Example: m.HandleOrdered(now, order, true)
func (m *Controller) HandleOrdered(now time.Duration, ord placement.Order, ok bool) {
	if m.Term() == ord.Term && m.holder != nil {
		m.holder.HandleOrdered(now, ord.Key, ord, ok)
	}
}

// Rows is the holder's table of servers.
//
// Example: for _, r := range m.Rows(now) { show(r) }
func (m *Controller) Rows(now time.Duration) []placement.Row {
	if m.holder == nil {
		return nil
	}
	return m.holder.Rows(now)
}

// floor lets once keys go that are older than the retention. What an earlier
// leader wrote counts as written when this one took over.
func (m *Controller) floor(now time.Duration, o *Out) {
	if n := len(m.marks); n == 0 || now-m.marks[n-1].at > m.cfg.OnceKeyRetention/8 {
		m.marks = append(m.marks, mark{now, m.sec.Replica.LastWritten()})
	}
	if now-m.marks[0].at <= m.cfg.OnceKeyRetention {
		return
	}
	val := leadercall.Pack(m.marks[0].ver)
	m.marks = m.marks[1:]
	o.add(m.Do(now, partition.Job{Keys: []string{quorum.FloorKey}, Build: func(lease.RecordSource) ([]message.Record, any) {
		return []message.Record{{Key: quorum.FloorKey, Value: val}}, nil
	}}, nil))
}

// load hands the committed lists and server records of this partition to the holder; it
// says false if one is being written just now.
func (m *Controller) load(now time.Duration) bool {
	whole := true
	lists := map[string]fleetconfig.List{}
	serverRecords := map[string]map[string]placement.ServerRecord{}
	for r := range m.sec.Replica.Records().All() {
		kind, rest, _ := strings.Cut(r.Key, "/")
		if kind != "list" && kind != "berth" {
			continue
		}
		cur, ok := m.sec.Node.Get(now, r.Key)
		whole = whole && ok
		if !ok || cur.Deleted {
			continue
		}
		svc, _, _ := strings.Cut(rest, "/")
		if kind == "list" {
			if l, err := fleetconfig.ReadList(cur); err == nil { // else the next one that its source tells
				lists[svc] = l
			}
		} else if b, ok, err := placement.ReadServerRecord(cur); ok && err == nil { // else it is made anew
			if serverRecords[svc] == nil {
				serverRecords[svc] = map[string]placement.ServerRecord{}
			}
			serverRecords[svc][r.Key] = b
		}
	}
	for svc, l := range lists {
		m.holder.LoadService(now, svc, l, serverRecords[svc])
	}
	return whole
}

func (m *Controller) writeServerRecord(now time.Duration, h *placement.Controller, w placement.Write) Out {
	return m.Do(now, partition.Job{Keys: []string{w.Key}, Build: func(lease.RecordSource) ([]message.Record, any) {
		return []message.Record{{Key: w.Key, Value: w.Value, Deleted: w.Delete}}, nil
	}}, func(r partition.Result) {
		b, _ := placement.OpenServerRecord(message.Record{Key: w.Key, Value: w.Value, Deleted: w.Delete})
		m.dirty = true
		if m.holder == h {
			h.HandleWritten(w.Key, b, r.Outcome == partition.Done)
		}
	})
}
