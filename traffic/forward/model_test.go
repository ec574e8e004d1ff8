package forward

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/placement"
	"mulleinmast/wire/message"
)

// records stands for the daemon's leased records.
type records struct {
	now   *time.Duration
	until time.Duration
	gen   uint64
	list  []fleetconfig.Server
	out   map[string]bool
	part  map[string]string
	held  bool // the list is being written
}

func (r *records) Generation(int) uint64   { return r.gen }
func (r *records) Until(int) time.Duration { return r.until }

func (r *records) Read(partition int, key string) (message.Record, bool) {
	if *r.now >= r.until {
		return message.Record{}, false
	}
	pack := func(v any) (message.Record, bool) {
		b, err := json.Marshal(v)
		if err != nil {
			panic(err)
		}
		h := fnv.New64a() // as in the fleet, no two values of a record share a version
		_, _ = h.Write(b)
		return message.Record{Key: key, Version: message.Version{Term: 1, Seq: h.Sum64()}, Value: b}, true
	}
	switch {
	case partition == 0 && key == fleetconfig.ZoneKey:
		return message.Record{Key: key, Value: fleetconfig.EncodeZones(r.out)}, true
	case key == fleetconfig.ListKey("s"):
		if r.held {
			return message.Record{}, false
		}
		return pack(fleetconfig.List{Servers: r.list})
	}
	for _, s := range r.list {
		if key == fleetconfig.ServerRecordKey("s", s.Key()) && r.part[s.ID] != "" {
			return pack(placement.ServerRecord{Addr: s.Addr, Zone: s.Zone, Capacity: s.Capacity, Role: r.part[s.ID], Status: placement.Up})
		}
	}
	return message.Record{Key: key, Deleted: true}, true
}

// may tells whether a request may be sent there now.
func (r *records) may(key, part string) bool {
	for _, s := range r.list {
		if s.ID == key {
			return *r.now < r.until && !r.held && !s.Leaving && !r.out[s.Zone] && r.part[key] == part
		}
	}
	return false
}

// tally stands for the load: it counts what is under way.
type tally map[string]*[2]int

func (b tally) AddLoad(server string, tokens, writing int) {
	if b[server] == nil {
		b[server] = &[2]int{}
	}
	b[server][0] += tokens
	b[server][1] += writing
}

func (b tally) Load(_ time.Duration, server string) (tokens, writing int, pause time.Duration) {
	if n := b[server]; n != nil {
		return n[0], n[1], time.Duration(n[1]) * time.Millisecond
	}
	return 0, 0, 0
}

func (b tally) CallEnded(time.Duration, string, bool)          {}
func (b tally) IsDown(_ time.Duration, server string) bool     { return rendezvousWeight(7, server)%8 == 0 }
func (b tally) ObserveInterTokenLatency(string, time.Duration) {}
func (b tally) RecordPrefix(uint64, string, int)               {}
func (b tally) HasPrefix(prefix uint64, server string) bool {
	return rendezvousWeight(prefix, server)%4 == 0
}

// journey is what a test knows of one request: what became of each send.
type journey struct {
	Request
	m       Decision
	at      time.Duration // of the move
	begun   bool          // the client has a head
	ran     bool          // it may have run
	writes  int           // that arrived
	reads   int           // that arrived and were not turned away
	away    int           // reads that were turned away
	tried   map[string]bool
	handles map[string]string // by id: kept, sent (it may have been taken), turned (a decode server turned it away)
	over    bool
}

// extra are the arrivals after the first; the first reading is not counted.
func (j *journey) extra() int { return max(0, j.sends()-1) }
func (j *journey) sends() int { return j.writes + max(0, j.reads-1) + j.away }

// model drives a dispatcher as the gateway does, with outcomes by chance, and checks
// each move.
type model struct {
	t       *rapid.T
	l       *Dispatcher
	r       *records
	load    tally
	now     time.Duration
	pending map[string]*journey
	no      int
	begun   []time.Duration            // requests
	extra   []time.Duration            // arrivals after a request's first
	check   func(m *model, j *journey) // of a finished request
}

func newModel(t *rapid.T, cfg Config) *model {
	m := &model{t: t, load: tally{}, now: time.Minute, pending: map[string]*journey{}}
	m.r = &records{now: &m.now, until: m.now + rapid.SampledFrom([]time.Duration{100 * time.Millisecond, time.Hour}).Draw(t, "lease"), gen: 1, out: map[string]bool{}, part: map[string]string{}}
	n := rapid.IntRange(1, 8).Draw(t, "servers")
	for i := range n {
		id := fmt.Sprint("i-", i)
		m.r.list = append(m.r.list, fleetconfig.Server{ID: id, Addr: fmt.Sprint("10.0.0.", i, ":1"), Zone: fmt.Sprint("zone-", i%2), Capacity: 4})
		m.r.part[id] = []string{placement.Decode, placement.Prefill}[i%2]
	}
	m.l = New(cfg, "s", 3, m.r, m.load)
	return m
}

func (m *model) begin() {
	t := m.t
	m.no++
	c := Request{
		ID: fmt.Sprint("r", m.no), Service: "s", Repeatable: rapid.Bool().Draw(t, "repeat"), Disaggregated: rapid.IntRange(0, 3).Draw(t, "split") > 0, MaxAttempts: rapid.IntRange(1, 4).Draw(t, "tries"),
		TTFTTarget: 400 * time.Millisecond, Deadline: m.now + rapid.SampledFrom([]time.Duration{20 * time.Second, 3 * time.Second, 3 * time.Second, 100 * time.Millisecond, 0}).Draw(t, "left"), InputTokens: rapid.SampledFrom([]int{9000, 9000, 9000, 1000, 0}).Draw(t, "in"), MaxOutputTokens: 50,
		ContinuesStream: rapid.IntRange(0, 9).Draw(t, "after") == 0, Parts: []Part{{Key: 7, Tokens: 900}, {Key: uint64(m.no), Tokens: 100}},
	}
	c.Resumable = c.Repeatable && rapid.Bool().Draw(t, "resume")
	j := &journey{Request: c, tried: map[string]bool{}, handles: map[string]string{}}
	m.pending[c.ID] = j
	m.begun = append(m.begun, m.now)
	m.take(j, m.l.Start(m.now, c))
}

// take checks a move of a request.
func (m *model) take(j *journey, next Decision) {
	t := m.t
	if j.over {
		t.Fatalf("%s: a move after its end: %v", j.ID, next.Action)
	}
	j.m, j.at = next, m.now
	switch next.Action {
	case Wait:
		if next.Until <= m.now || next.Until > j.Deadline {
			t.Fatalf("%s: waits until %v at %v, due %v", j.ID, next.Until, m.now, j.Deadline)
		}
	case Prefill, Decode:
		part := map[Action]string{Prefill: placement.Prefill, Decode: placement.Decode}[next.Action]
		at := part + next.Server.Key
		switch {
		case j.ran && !j.Repeatable:
			t.Fatalf("%s may have run, may not be repeated, and is sent again", j.ID)
		case j.begun && !(j.Repeatable && j.Resumable):
			t.Fatalf("%s has begun, can't be resumed, and is sent again", j.ID)
		case next.Action == Prefill && (j.begun || j.ContinuesStream):
			t.Fatalf("%s goes on with a stream and is read", j.ID)
		case !m.r.may(next.Server.Key, part):
			t.Fatalf("%s: %v at %s, which may not get it", j.ID, next.Action, next.Server.Key)
		case j.tried[at]:
			t.Fatalf("%s: %v at %s again", j.ID, next.Action, next.Server.Key)
		case next.Until > j.Deadline || next.Until <= m.now:
			t.Fatalf("%s: given up at %v, now %v, due %v", j.ID, next.Until, m.now, j.Deadline)
		}
		if h := next.Handle; h != nil {
			if j.handles[h.ID] != "kept" && j.handles[h.ID] != "turned" || h.RequestID != j.ID {
				t.Fatalf("%s: given the handle %+v, which is %q", j.ID, *h, j.handles[h.ID])
			}
		}
	case Refuse:
		if j.ran || j.begun || next.RetryAfter <= 0 {
			t.Fatalf("%s refused: ran %v, begun %v, back %v (%s)", j.ID, j.ran, j.begun, next.RetryAfter, next.Reason)
		}
	case Unknown:
		if j.begun || !j.ran {
			t.Fatalf("%s unknown: ran %v, begun %v (%s)", j.ID, j.ran, j.begun, next.Reason)
		}
	}
	if !next.Action.Final() {
		return
	}
	j.over = true
	delete(m.pending, j.ID)
	freed := map[string]bool{}
	for _, h := range next.ReleaseHandles {
		if freed[h.ID] || j.handles[h.ID] == "" || j.handles[h.ID] == "taken" {
			t.Fatalf("%s: frees %s, which is %q", j.ID, h.ID, j.handles[h.ID])
		}
		freed[h.ID] = true
	}
	for id, is := range j.handles {
		if is == "kept" && !freed[id] {
			t.Fatalf("%s: handle %s was not taken and is not freed", j.ID, id)
		}
	}
	if m.check != nil {
		m.check(m, j)
	}
}

// went counts an arrival at a server, a little after the move.
func (m *model) went(j *journey, n *int) {
	was := j.extra()
	*n++
	for range j.extra() - was {
		m.extra = append(m.extra, j.at+rapid.SampledFrom([]time.Duration{0, 300 * time.Millisecond}).Draw(m.t, "dials"))
	}
}

// carry brings the move of a request to some end.
func (m *model) carry(j *journey) {
	t := m.t
	if rapid.IntRange(0, 19).Draw(t, "leaves") == 0 {
		next := m.l.ClientGone(m.now, j.ID, j.m.Action != Wait)
		if j.m.Action == Decode && j.m.Handle != nil {
			j.handles[j.m.Handle.ID] = "sent"
		}
		m.take(j, next)
		return
	}
	mv := j.m
	if mv.Action != Wait && rapid.IntRange(0, 19).Draw(t, "withdrawn") == 0 {
		next := m.l.Withdraw(m.now, j.ID, "its key was taken away")
		if !next.Action.Final() {
			t.Fatalf("%s: withdrawn, and then %v", j.ID, next.Action)
		}
		m.take(j, next)
		return
	}
	if mv.Action == Wait {
		if rapid.Bool().Draw(t, "waits") {
			m.now = max(m.now, mv.Until)
		}
		m.take(j, m.l.Continue(m.now, j.ID))
		return
	}
	if !m.l.MaySend(m.now, j.ID, mv) {
		if mv.Action == Prefill {
			m.take(j, m.l.PrefillDone(m.now, j.ID, Blocked, Handle{}, ""))
		} else {
			m.take(j, m.l.DecodeDone(m.now, j.ID, Blocked, ""))
		}
		return
	}
	if part := map[Action]string{Prefill: placement.Prefill, Decode: placement.Decode}[mv.Action]; !m.r.may(mv.Server.Key, part) {
		t.Fatalf("%s: the last look lets it go to %s, which may not get it", j.ID, mv.Server.Key)
	}
	m.now += rapid.SampledFrom([]time.Duration{0, time.Millisecond, 300 * time.Millisecond}).Draw(t, "takes")
	if mv.Action == Prefill {
		m.read(j, mv)
	} else {
		m.write(j, mv)
	}
}

func (m *model) read(j *journey, mv Decision) {
	t := m.t
	j.tried[placement.Prefill+mv.Server.Key] = true
	out := rapid.SampledFrom([]Outcome{OK, OK, OK, NotSent, Overloaded, WrongServer, Lost}).Draw(t, "read")
	h := Handle{ID: fmt.Sprint("h-", j.ID, "-", mv.Attempt), RequestID: j.ID, Attempt: mv.Attempt, Server: mv.Server, Tokens: 1000}
	switch out {
	case OK:
		m.went(j, &j.reads)
		switch rapid.IntRange(0, 9).Draw(t, "handle") {
		case 0:
			h.RequestID = "another"
		case 1:
			h.Attempt++
		case 2:
			h.Server.Key = "another"
		case 3:
			h.ID = ""
		default:
			j.handles[h.ID] = "kept"
		}
	case Lost:
		m.went(j, &j.reads)
	case Overloaded, WrongServer:
		m.went(j, &j.away)
	}
	m.take(j, m.l.PrefillDone(m.now, j.ID, out, h, "why"))
}

func (m *model) write(j *journey, mv Decision) {
	t := m.t
	j.tried[placement.Decode+mv.Server.Key] = true
	all := []Outcome{OK, OK, NotSent, Overloaded, WrongServer, Lost, Lost}
	if mv.Handle != nil {
		all = append(all, HandleLost)
	}
	out := rapid.SampledFrom(all).Draw(t, "write")
	if out != NotSent {
		m.went(j, &j.writes)
	}
	if out == OK || out == Lost {
		j.ran = true
		if out == OK || rapid.Bool().Draw(t, "begins") {
			if !j.begun {
				m.l.StreamStarted(m.now, j.ID)
			}
			j.begun = true
		}
	}
	if mv.Handle != nil && out != NotSent {
		j.handles[mv.Handle.ID] = map[Outcome]string{OK: "taken", Lost: "sent", Overloaded: "turned", WrongServer: "turned", HandleLost: "gone"}[out]
	}
	next := m.l.DecodeDone(m.now, j.ID, out, "why")
	if out == OK && next.Action != Done {
		t.Fatalf("%s: all went out, and then %v", j.ID, next.Action)
	}
	m.take(j, next)
}

// turn changes what the daemon reads.
func (m *model) turn() {
	t := m.t
	i := rapid.IntRange(0, len(m.r.list)-1).Draw(t, "server")
	s := &m.r.list[i]
	switch rapid.IntRange(0, 5).Draw(t, "turn") {
	case 0:
		s.Leaving = !s.Leaving
	case 1:
		m.r.out[s.Zone] = !m.r.out[s.Zone]
	case 2:
		m.r.part[s.ID] = rapid.SampledFrom([]string{placement.Prefill, placement.Decode, ""}).Draw(t, "part")
	case 3:
		m.r.held = !m.r.held
	case 4:
		m.r.until = max(m.r.until, m.now+rapid.SampledFrom([]time.Duration{0, 100 * time.Millisecond, time.Hour}).Draw(t, "lease"))
		return // leases are renewed and lapse without news
	case 5:
		s.Addr = fmt.Sprint("10.0.", m.no%250, ".", i, ":1")
	}
	m.r.gen++
}

// run plays a while and then lets everything come to its end.
func (m *model) run(steps int) {
	t := m.t
	for range steps {
		switch rapid.IntRange(0, 9).Draw(t, "step") {
		case 0, 1, 2:
			m.begin()
		case 3:
			if rapid.IntRange(0, 3).Draw(t, "rarely") == 0 {
				m.turn()
			}
		case 4:
			m.now += rapid.SampledFrom([]time.Duration{time.Millisecond, 100 * time.Millisecond, 4 * time.Second}).Draw(t, "passes")
		default:
			if ids := slices.Sorted(maps.Keys(m.pending)); len(ids) > 0 {
				m.carry(m.pending[rapid.SampledFrom(ids).Draw(t, "trip")])
			}
		}
	}
	for n := 0; len(m.pending) > 0; n++ {
		if n > 100*(steps+1) {
			t.Fatalf("%d requests never end", len(m.pending))
		}
		m.now += 10 * time.Millisecond
		for _, id := range slices.Sorted(maps.Keys(m.pending)) {
			if j := m.pending[id]; j != nil {
				m.carry(j)
			}
		}
	}
	if m.l.InFlight() != 0 {
		t.Fatalf("%d requests are left in the lane", m.l.InFlight())
	}
	for key, st := range m.l.stats {
		if st.inFlight != 0 {
			t.Fatalf("%s: %d calls are left", key, st.inFlight)
		}
	}
	for key, n := range m.load {
		if n[0] != 0 || n[1] != 0 {
			t.Fatalf("%s: %d tokens and %d answers are left in the load reports", key, n[0], n[1])
		}
	}
}

var bounds = Config{
	Zone: "zone-0", RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 3, MaxWait: 200 * time.Millisecond, FailureBackoff: 2 * time.Second, RejectionBackoff: 250 * time.Millisecond,
	RetryAfter: 125 * time.Millisecond, PrefillRate: 15, Weights: Weights{CrossZoneBody: 0.001, CacheMiss: 0.01, KVTransfer: 0.01, CrossZoneTransfer: 2, AffinityMiss: 0.1, Stall: 1},
}
