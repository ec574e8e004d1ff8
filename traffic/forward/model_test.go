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

func (r *records) Gen(int) uint64          { return r.gen }
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

// tally stands for the board: it counts what is under way.
type tally map[string]*[2]int

func (b tally) Begin(server string, tokens, writing int) {
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

func (b tally) Came(time.Duration, string, bool)         {}
func (b tally) Down(_ time.Duration, server string) bool { return weight(7, server)%8 == 0 }
func (b tally) Paused(string, time.Duration)             {}
func (b tally) Keeps(uint64, string, int)                {}
func (b tally) Has(prefix uint64, server string) bool    { return weight(prefix, server)%4 == 0 }

// journey is what a test knows of one request: what became of each send.
type journey struct {
	Call
	m       Move
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

// model drives a lane as the gateway does, with outcomes by chance, and checks
// each move.
type model struct {
	t     *rapid.T
	l     *Lane
	r     *records
	board tally
	now   time.Duration
	trips map[string]*journey
	no    int
	begun []time.Duration            // requests
	extra []time.Duration            // arrivals after a request's first
	check func(m *model, j *journey) // of a finished request
}

func newModel(t *rapid.T, cfg Config) *model {
	m := &model{t: t, board: tally{}, now: time.Minute, trips: map[string]*journey{}}
	m.r = &records{now: &m.now, until: m.now + rapid.SampledFrom([]time.Duration{100 * time.Millisecond, time.Hour}).Draw(t, "lease"), gen: 1, out: map[string]bool{}, part: map[string]string{}}
	n := rapid.IntRange(1, 8).Draw(t, "servers")
	for i := range n {
		id := fmt.Sprint("i-", i)
		m.r.list = append(m.r.list, fleetconfig.Server{ID: id, Addr: fmt.Sprint("10.0.0.", i, ":1"), Zone: fmt.Sprint("zone-", i%2), Capacity: 4})
		m.r.part[id] = []string{placement.Decode, placement.Prefill}[i%2]
	}
	m.l = New(cfg, "s", 3, m.r, m.board)
	return m
}

func (m *model) begin() {
	t := m.t
	m.no++
	c := Call{
		ID: fmt.Sprint("r", m.no), Service: "s", Repeat: rapid.Bool().Draw(t, "repeat"), Split: rapid.IntRange(0, 3).Draw(t, "split") > 0, Tries: rapid.IntRange(1, 4).Draw(t, "tries"),
		Aim: 400 * time.Millisecond, Due: m.now + rapid.SampledFrom([]time.Duration{20 * time.Second, 3 * time.Second, 3 * time.Second, 100 * time.Millisecond, 0}).Draw(t, "left"), In: rapid.SampledFrom([]int{9000, 9000, 9000, 1000, 0}).Draw(t, "in"), Out: 50,
		After: rapid.IntRange(0, 9).Draw(t, "after") == 0, Parts: []Part{{Key: 7, Tokens: 900}, {Key: uint64(m.no), Tokens: 100}},
	}
	c.Resume = c.Repeat && rapid.Bool().Draw(t, "resume")
	j := &journey{Call: c, tried: map[string]bool{}, handles: map[string]string{}}
	m.trips[c.ID] = j
	m.begun = append(m.begun, m.now)
	m.take(j, m.l.Begin(m.now, c))
}

// take checks a move of a request.
func (m *model) take(j *journey, next Move) {
	t := m.t
	if j.over {
		t.Fatalf("%s: a move after its end: %v", j.ID, next.Kind)
	}
	j.m, j.at = next, m.now
	switch next.Kind {
	case Wait:
		if next.Until <= m.now || next.Until > j.Due {
			t.Fatalf("%s: waits until %v at %v, due %v", j.ID, next.Until, m.now, j.Due)
		}
	case Read, Write:
		part := map[Kind]string{Read: placement.Prefill, Write: placement.Decode}[next.Kind]
		at := part + next.To.Key
		switch {
		case j.ran && !j.Repeat:
			t.Fatalf("%s may have run, may not be repeated, and is sent again", j.ID)
		case j.begun && !(j.Repeat && j.Resume):
			t.Fatalf("%s has begun, can't be resumed, and is sent again", j.ID)
		case next.Kind == Read && (j.begun || j.After):
			t.Fatalf("%s goes on with a stream and is read", j.ID)
		case !m.r.may(next.To.Key, part):
			t.Fatalf("%s: %v at %s, which may not get it", j.ID, next.Kind, next.To.Key)
		case j.tried[at]:
			t.Fatalf("%s: %v at %s again", j.ID, next.Kind, next.To.Key)
		case next.Until > j.Due || next.Until <= m.now:
			t.Fatalf("%s: given up at %v, now %v, due %v", j.ID, next.Until, m.now, j.Due)
		}
		if h := next.Handle; h != nil {
			if j.handles[h.ID] != "kept" && j.handles[h.ID] != "turned" || h.Call != j.ID {
				t.Fatalf("%s: given the handle %+v, which is %q", j.ID, *h, j.handles[h.ID])
			}
		}
	case Refuse:
		if j.ran || j.begun || next.Back <= 0 {
			t.Fatalf("%s refused: ran %v, begun %v, back %v (%s)", j.ID, j.ran, j.begun, next.Back, next.Why)
		}
	case Unknown:
		if j.begun || !j.ran {
			t.Fatalf("%s unknown: ran %v, begun %v (%s)", j.ID, j.ran, j.begun, next.Why)
		}
	}
	if !next.Kind.Final() {
		return
	}
	j.over = true
	delete(m.trips, j.ID)
	freed := map[string]bool{}
	for _, h := range next.Free {
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
		next := m.l.Left(m.now, j.ID, j.m.Kind != Wait)
		if j.m.Kind == Write && j.m.Handle != nil {
			j.handles[j.m.Handle.ID] = "sent"
		}
		m.take(j, next)
		return
	}
	mv := j.m
	if mv.Kind == Wait {
		if rapid.Bool().Draw(t, "waits") {
			m.now = max(m.now, mv.Until)
		}
		m.take(j, m.l.Again(m.now, j.ID))
		return
	}
	if !m.l.Standing(m.now, j.ID, mv) {
		if mv.Kind == Read {
			m.take(j, m.l.ReadDone(m.now, j.ID, Barred, Handle{}, ""))
		} else {
			m.take(j, m.l.WriteDone(m.now, j.ID, Barred, ""))
		}
		return
	}
	if part := map[Kind]string{Read: placement.Prefill, Write: placement.Decode}[mv.Kind]; !m.r.may(mv.To.Key, part) {
		t.Fatalf("%s: the last look lets it go to %s, which may not get it", j.ID, mv.To.Key)
	}
	m.now += rapid.SampledFrom([]time.Duration{0, time.Millisecond, 300 * time.Millisecond}).Draw(t, "takes")
	if mv.Kind == Read {
		m.read(j, mv)
	} else {
		m.write(j, mv)
	}
}

func (m *model) read(j *journey, mv Move) {
	t := m.t
	j.tried[placement.Prefill+mv.To.Key] = true
	out := rapid.SampledFrom([]Outcome{OK, OK, OK, NotSent, Full, Moved, Lost}).Draw(t, "read")
	h := Handle{ID: fmt.Sprint("h-", j.ID, "-", mv.No), Call: j.ID, No: mv.No, Server: mv.To, Tokens: 1000}
	switch out {
	case OK:
		m.went(j, &j.reads)
		switch rapid.IntRange(0, 9).Draw(t, "handle") {
		case 0:
			h.Call = "another"
		case 1:
			h.No++
		case 2:
			h.Server.Key = "another"
		case 3:
			h.ID = ""
		default:
			j.handles[h.ID] = "kept"
		}
	case Lost:
		m.went(j, &j.reads)
	case Full, Moved:
		m.went(j, &j.away)
	}
	m.take(j, m.l.ReadDone(m.now, j.ID, out, h, "why"))
}

func (m *model) write(j *journey, mv Move) {
	t := m.t
	j.tried[placement.Decode+mv.To.Key] = true
	all := []Outcome{OK, OK, NotSent, Full, Moved, Lost, Lost}
	if mv.Handle != nil {
		all = append(all, Gone)
	}
	out := rapid.SampledFrom(all).Draw(t, "write")
	if out != NotSent {
		m.went(j, &j.writes)
	}
	if out == OK || out == Lost {
		j.ran = true
		if out == OK || rapid.Bool().Draw(t, "begins") {
			if !j.begun {
				m.l.Began(m.now, j.ID)
			}
			j.begun = true
		}
	}
	if mv.Handle != nil && out != NotSent {
		j.handles[mv.Handle.ID] = map[Outcome]string{OK: "taken", Lost: "sent", Full: "turned", Moved: "turned", Gone: "gone"}[out]
	}
	next := m.l.WriteDone(m.now, j.ID, out, "why")
	if out == OK && next.Kind != Done {
		t.Fatalf("%s: all went out, and then %v", j.ID, next.Kind)
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
			if ids := slices.Sorted(maps.Keys(m.trips)); len(ids) > 0 {
				m.carry(m.trips[rapid.SampledFrom(ids).Draw(t, "trip")])
			}
		}
	}
	for n := 0; len(m.trips) > 0; n++ {
		if n > 100*(steps+1) {
			t.Fatalf("%d requests never end", len(m.trips))
		}
		m.now += 10 * time.Millisecond
		for _, id := range slices.Sorted(maps.Keys(m.trips)) {
			if j := m.trips[id]; j != nil {
				m.carry(j)
			}
		}
	}
	if m.l.Open() != 0 {
		t.Fatalf("%d requests are left in the lane", m.l.Open())
	}
	for key, st := range m.l.stats {
		if st.open != 0 {
			t.Fatalf("%s: %d calls are left", key, st.open)
		}
	}
	for key, n := range m.board {
		if n[0] != 0 || n[1] != 0 {
			t.Fatalf("%s: %d tokens and %d answers are left on the board", key, n[0], n[1])
		}
	}
}

var bounds = Config{
	Zone: "zone-0", Retry: 0.2, Window: 10 * time.Second, Slack: 3, Patience: 200 * time.Millisecond, Shy: 2 * time.Second, Turned: 250 * time.Millisecond,
	Back: 125 * time.Millisecond, Pace: 15, Weights: Weights{Far: 0.001, Again: 0.01, Moved: 0.01, Apart: 2, Miss: 0.1, Stall: 1},
}
