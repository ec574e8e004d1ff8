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

// fakeSource serves the daemon's leased records from memory.
type fakeSource struct {
	now        *time.Duration
	until      time.Duration
	generation uint64
	list       []fleetconfig.Server
	evacuated  map[string]bool   // evacuated zones
	roles      map[string]string // by server ID; "" if the server has no record
	withdrawn  bool              // the list is being written
}

func (f *fakeSource) Generation(int) uint64   { return f.generation }
func (f *fakeSource) Until(int) time.Duration { return f.until }

func (f *fakeSource) Read(partition int, key string) (message.Record, bool) {
	if *f.now >= f.until {
		return message.Record{}, false
	}
	pack := func(v any) (message.Record, bool) {
		b, err := json.Marshal(v)
		if err != nil {
			panic(err)
		}
		h := fnv.New64a() // as in a real fleet, no two values of a record share a version
		_, _ = h.Write(b)
		return message.Record{Key: key, Version: message.Version{Term: 1, Seq: h.Sum64()}, Value: b}, true
	}
	switch {
	case partition == 0 && key == fleetconfig.ZoneKey:
		return message.Record{Key: key, Value: fleetconfig.EncodeZones(f.evacuated)}, true
	case key == fleetconfig.ListKey("s"):
		if f.withdrawn {
			return message.Record{}, false
		}
		return pack(fleetconfig.List{Servers: f.list})
	}
	for _, s := range f.list {
		if key == fleetconfig.ServerRecordKey("s", s.Key()) && f.roles[s.ID] != "" {
			return pack(placement.ServerRecord{Addr: s.Addr, Zone: s.Zone, Capacity: s.Capacity, Role: f.roles[s.ID], Status: placement.Up})
		}
	}
	return message.Record{Key: key, Deleted: true}, true
}

// maySend reports whether a request for the role may be sent to the server now.
func (f *fakeSource) maySend(key, role string) bool {
	for _, s := range f.list {
		if s.ID == key {
			return *f.now < f.until && !f.withdrawn && !s.Leaving && !f.evacuated[s.Zone] && f.roles[key] == role
		}
	}
	return false
}

// fakeLoad is a LoadReporter that counts this daemon's load.
type fakeLoad map[string]*[2]int

func (l fakeLoad) AddLoad(server string, tokens, decoding int) {
	if l[server] == nil {
		l[server] = &[2]int{}
	}
	l[server][0] += tokens
	l[server][1] += decoding
}

func (l fakeLoad) Load(_ time.Duration, server string) (tokens, decoding int, interToken time.Duration) {
	if n := l[server]; n != nil {
		return n[0], n[1], time.Duration(n[1]) * time.Millisecond
	}
	return 0, 0, 0
}

func (l fakeLoad) CallEnded(time.Duration, string, bool) {}
func (l fakeLoad) IsDown(_ time.Duration, server string) bool {
	return rendezvousWeight(7, server)%8 == 0
}
func (l fakeLoad) ObserveInterTokenLatency(string, time.Duration) {}
func (l fakeLoad) RecordPrefix(uint64, string, int)               {}
func (l fakeLoad) HasPrefix(prefix uint64, server string) bool {
	return rendezvousWeight(prefix, server)%4 == 0
}

// modelRequest is the model's state of one request: the outcomes of its sends.
type modelRequest struct {
	Request
	decision         Decision
	decidedAt        time.Duration
	started          bool // the client received a head
	mayHaveRun       bool
	decodes          int // decodes that arrived at a server
	acceptedPrefills int // prefills that arrived at a server and were not rejected
	rejectedPrefills int
	tried            map[string]bool
	handles          map[string]string // by ID: kept, sent (maybe fetched), turned (rejected), taken (fetched) or gone
	ended            bool
}

// retries returns the number of counted sends after the first.
func (req *modelRequest) retries() int { return max(0, req.countedSends()-1) }

// countedSends returns the number of arrivals at servers, except the first accepted prefill.
func (req *modelRequest) countedSends() int {
	return req.decodes + max(0, req.acceptedPrefills-1) + req.rejectedPrefills
}

// model drives a dispatcher like the gateway does, with random outcomes, and checks each
// decision.
type model struct {
	t            *rapid.T
	dispatcher   *Dispatcher
	source       *fakeSource
	load         fakeLoad
	now          time.Duration
	pending      map[string]*modelRequest
	requestCount int
	startTimes   []time.Duration                   // start times of all requests
	retryTimes   []time.Duration                   // arrivals after a request's first
	checkEnded   func(m *model, req *modelRequest) // called for each request that ended
}

func newModel(t *rapid.T, cfg Config) *model {
	m := &model{t: t, load: fakeLoad{}, now: time.Minute, pending: map[string]*modelRequest{}}
	m.source = &fakeSource{now: &m.now, until: m.now + rapid.SampledFrom([]time.Duration{100 * time.Millisecond, time.Hour}).Draw(t, "lease"), generation: 1, evacuated: map[string]bool{}, roles: map[string]string{}}
	n := rapid.IntRange(1, 8).Draw(t, "servers")
	for i := range n {
		id := fmt.Sprint("i-", i)
		m.source.list = append(m.source.list, fleetconfig.Server{ID: id, Addr: fmt.Sprint("10.0.0.", i, ":1"), Zone: fmt.Sprint("zone-", i%2), Capacity: 4})
		m.source.roles[id] = []string{placement.Decode, placement.Prefill}[i%2]
	}
	m.dispatcher = New(cfg, "s", 3, m.source, m.load)
	return m
}

// startRequest starts a random request.
func (m *model) startRequest() {
	t := m.t
	m.requestCount++
	r := Request{
		ID: fmt.Sprint("r", m.requestCount), Service: "s", Repeatable: rapid.Bool().Draw(t, "repeat"), Disaggregated: rapid.IntRange(0, 3).Draw(t, "split") > 0, MaxAttempts: rapid.IntRange(1, 4).Draw(t, "tries"),
		TTFTTarget: 400 * time.Millisecond, Deadline: m.now + rapid.SampledFrom([]time.Duration{20 * time.Second, 3 * time.Second, 3 * time.Second, 100 * time.Millisecond, 0}).Draw(t, "left"), InputTokens: rapid.SampledFrom([]int{9000, 9000, 9000, 1000, 0}).Draw(t, "in"), MaxOutputTokens: 50,
		ContinuesStream: rapid.IntRange(0, 9).Draw(t, "after") == 0, Parts: []Part{{Key: 7, Tokens: 900}, {Key: uint64(m.requestCount), Tokens: 100}},
	}
	r.Resumable = r.Repeatable && rapid.Bool().Draw(t, "resume")
	req := &modelRequest{Request: r, tried: map[string]bool{}, handles: map[string]string{}}
	m.pending[r.ID] = req
	m.startTimes = append(m.startTimes, m.now)
	m.checkDecision(req, m.dispatcher.Start(m.now, r))
}

// checkDecision checks a decision on a request and stores it.
func (m *model) checkDecision(req *modelRequest, next Decision) {
	t := m.t
	if req.ended {
		t.Fatalf("%s: decision after its end: %v", req.ID, next.Action)
	}
	req.decision, req.decidedAt = next, m.now
	switch next.Action {
	case Wait:
		if next.Until <= m.now || next.Until > req.Deadline {
			t.Fatalf("%s: waits until %v at %v, deadline %v", req.ID, next.Until, m.now, req.Deadline)
		}
	case Prefill, Decode:
		role := map[Action]string{Prefill: placement.Prefill, Decode: placement.Decode}[next.Action]
		roleAndServer := role + next.Server.Key
		switch {
		case req.mayHaveRun && !req.Repeatable:
			t.Fatalf("%s is sent again although it may have run and may not be repeated", req.ID)
		case req.started && !(req.Repeatable && req.Resumable):
			t.Fatalf("%s is sent again although its stream has started and can't be resumed", req.ID)
		case next.Action == Prefill && (req.started || req.ContinuesStream):
			t.Fatalf("%s continues a stream and is prefilled separately", req.ID)
		case !m.source.maySend(next.Server.Key, role):
			t.Fatalf("%s: %v at %s, which may not be used", req.ID, next.Action, next.Server.Key)
		case req.tried[roleAndServer]:
			t.Fatalf("%s: repeated %v at %s", req.ID, next.Action, next.Server.Key)
		case next.Until > req.Deadline || next.Until <= m.now:
			t.Fatalf("%s: call deadline %v, now %v, request deadline %v", req.ID, next.Until, m.now, req.Deadline)
		}
		if h := next.Handle; h != nil {
			if req.handles[h.ID] != "kept" && req.handles[h.ID] != "turned" || h.RequestID != req.ID {
				t.Fatalf("%s: decode with handle %+v, whose state is %q", req.ID, *h, req.handles[h.ID])
			}
		}
	case Refuse:
		if req.mayHaveRun || req.started || next.RetryAfter <= 0 {
			t.Fatalf("%s refused: may have run %v, started %v, retry after %v (%s)", req.ID, req.mayHaveRun, req.started, next.RetryAfter, next.Reason)
		}
	case Unknown:
		if req.started || !req.mayHaveRun {
			t.Fatalf("%s unknown: may have run %v, started %v (%s)", req.ID, req.mayHaveRun, req.started, next.Reason)
		}
	}
	if !next.Action.Final() {
		return
	}
	req.ended = true
	delete(m.pending, req.ID)
	released := map[string]bool{}
	for _, h := range next.ReleaseHandles {
		if released[h.ID] || req.handles[h.ID] == "" || req.handles[h.ID] == "taken" {
			t.Fatalf("%s: releases handle %s, whose state is %q", req.ID, h.ID, req.handles[h.ID])
		}
		released[h.ID] = true
	}
	for id, state := range req.handles {
		if state == "kept" && !released[id] {
			t.Fatalf("%s: handle %s was neither used nor released", req.ID, id)
		}
	}
	if m.checkEnded != nil {
		m.checkEnded(m, req)
	}
}

// countArrival counts an arrival at a server, shortly after the decision.
func (m *model) countArrival(req *modelRequest, counter *int) {
	before := req.retries()
	*counter++
	for range req.retries() - before {
		m.retryTimes = append(m.retryTimes, req.decidedAt+rapid.SampledFrom([]time.Duration{0, 300 * time.Millisecond}).Draw(m.t, "dials"))
	}
}

// execute executes the decision on a request with a random outcome.
func (m *model) execute(req *modelRequest) {
	t := m.t
	if rapid.IntRange(0, 19).Draw(t, "leaves") == 0 {
		next := m.dispatcher.ClientGone(m.now, req.ID, req.decision.Action != Wait)
		if req.decision.Action == Decode && req.decision.Handle != nil {
			req.handles[req.decision.Handle.ID] = "sent"
		}
		m.checkDecision(req, next)
		return
	}
	decision := req.decision
	if decision.Action != Wait && rapid.IntRange(0, 19).Draw(t, "withdrawn") == 0 {
		next := m.dispatcher.Withdraw(m.now, req.ID, "its key was taken away")
		if !next.Action.Final() {
			t.Fatalf("%s: withdrawn, but the next decision is %v", req.ID, next.Action)
		}
		m.checkDecision(req, next)
		return
	}
	if decision.Action == Wait {
		if rapid.Bool().Draw(t, "waits") {
			m.now = max(m.now, decision.Until)
		}
		m.checkDecision(req, m.dispatcher.Continue(m.now, req.ID))
		return
	}
	if !m.dispatcher.MaySend(m.now, req.ID, decision) {
		if decision.Action == Prefill {
			m.checkDecision(req, m.dispatcher.PrefillDone(m.now, req.ID, Blocked, Handle{}, ""))
		} else {
			m.checkDecision(req, m.dispatcher.DecodeDone(m.now, req.ID, Blocked, ""))
		}
		return
	}
	if role := map[Action]string{Prefill: placement.Prefill, Decode: placement.Decode}[decision.Action]; !m.source.maySend(decision.Server.Key, role) {
		t.Fatalf("%s: MaySend allows a call to %s, which may not be used", req.ID, decision.Server.Key)
	}
	m.now += rapid.SampledFrom([]time.Duration{0, time.Millisecond, 300 * time.Millisecond}).Draw(t, "takes")
	if decision.Action == Prefill {
		m.prefill(req, decision)
	} else {
		m.decode(req, decision)
	}
}

// prefill executes a prefill with a random outcome.
func (m *model) prefill(req *modelRequest, decision Decision) {
	t := m.t
	req.tried[placement.Prefill+decision.Server.Key] = true
	outcome := rapid.SampledFrom([]Outcome{OK, OK, OK, NotSent, Overloaded, WrongServer, Lost}).Draw(t, "read")
	h := Handle{ID: fmt.Sprint("h-", req.ID, "-", decision.Attempt), RequestID: req.ID, Attempt: decision.Attempt, Server: decision.Server, Tokens: 1000}
	switch outcome {
	case OK:
		m.countArrival(req, &req.acceptedPrefills)
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
			req.handles[h.ID] = "kept"
		}
	case Lost:
		m.countArrival(req, &req.acceptedPrefills)
	case Overloaded, WrongServer:
		m.countArrival(req, &req.rejectedPrefills)
	}
	m.checkDecision(req, m.dispatcher.PrefillDone(m.now, req.ID, outcome, h, "why"))
}

// decode executes a decode with a random outcome.
func (m *model) decode(req *modelRequest, decision Decision) {
	t := m.t
	req.tried[placement.Decode+decision.Server.Key] = true
	outcomes := []Outcome{OK, OK, NotSent, Overloaded, WrongServer, Lost, Lost}
	if decision.Handle != nil {
		outcomes = append(outcomes, HandleLost)
	}
	outcome := rapid.SampledFrom(outcomes).Draw(t, "write")
	if outcome != NotSent {
		m.countArrival(req, &req.decodes)
	}
	if outcome == OK || outcome == Lost {
		req.mayHaveRun = true
		if outcome == OK || rapid.Bool().Draw(t, "begins") {
			if !req.started {
				m.dispatcher.StreamStarted(m.now, req.ID)
			}
			req.started = true
		}
	}
	if decision.Handle != nil && outcome != NotSent {
		req.handles[decision.Handle.ID] = map[Outcome]string{OK: "taken", Lost: "sent", Overloaded: "turned", WrongServer: "turned", HandleLost: "gone"}[outcome]
	}
	next := m.dispatcher.DecodeDone(m.now, req.ID, outcome, "why")
	if outcome == OK && next.Action != Done {
		t.Fatalf("%s: the complete answer was sent, but the next decision is %v", req.ID, next.Action)
	}
	m.checkDecision(req, next)
}

// changeRecords changes the records or leases at random.
func (m *model) changeRecords() {
	t := m.t
	i := rapid.IntRange(0, len(m.source.list)-1).Draw(t, "server")
	s := &m.source.list[i]
	switch rapid.IntRange(0, 5).Draw(t, "turn") {
	case 0:
		s.Leaving = !s.Leaving
	case 1:
		m.source.evacuated[s.Zone] = !m.source.evacuated[s.Zone]
	case 2:
		m.source.roles[s.ID] = rapid.SampledFrom([]string{placement.Prefill, placement.Decode, ""}).Draw(t, "part")
	case 3:
		m.source.withdrawn = !m.source.withdrawn
	case 4:
		m.source.until = max(m.source.until, m.now+rapid.SampledFrom([]time.Duration{0, 100 * time.Millisecond, time.Hour}).Draw(t, "lease"))
		return // renewed or expired leases don't change the generation
	case 5:
		s.Addr = fmt.Sprint("10.0.", m.requestCount%250, ".", i, ":1")
	}
	m.source.generation++
}

// run makes random steps and then executes all requests to their end.
func (m *model) run(steps int) {
	t := m.t
	for range steps {
		switch rapid.IntRange(0, 9).Draw(t, "step") {
		case 0, 1, 2:
			m.startRequest()
		case 3:
			if rapid.IntRange(0, 3).Draw(t, "rarely") == 0 {
				m.changeRecords()
			}
		case 4:
			m.now += rapid.SampledFrom([]time.Duration{time.Millisecond, 100 * time.Millisecond, 4 * time.Second}).Draw(t, "passes")
		default:
			if ids := slices.Sorted(maps.Keys(m.pending)); len(ids) > 0 {
				m.execute(m.pending[rapid.SampledFrom(ids).Draw(t, "trip")])
			}
		}
	}
	for n := 0; len(m.pending) > 0; n++ {
		if n > 100*(steps+1) {
			t.Fatalf("%d requests did not end", len(m.pending))
		}
		m.now += 10 * time.Millisecond
		for _, id := range slices.Sorted(maps.Keys(m.pending)) {
			if req := m.pending[id]; req != nil {
				m.execute(req)
			}
		}
	}
	if m.dispatcher.InFlight() != 0 {
		t.Fatalf("%d requests are left in the dispatcher", m.dispatcher.InFlight())
	}
	for key, st := range m.dispatcher.stats {
		if st.inFlight != 0 {
			t.Fatalf("%s: %d calls are left in flight", key, st.inFlight)
		}
	}
	for key, n := range m.load {
		if n[0] != 0 || n[1] != 0 {
			t.Fatalf("%s: %d tokens and %d answers are left in the reported load", key, n[0], n[1])
		}
	}
}

var testConfig = Config{
	Zone: "zone-0", RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 3, MaxWait: 200 * time.Millisecond, FailureBackoff: 2 * time.Second, RejectionBackoff: 250 * time.Millisecond,
	RetryAfter: 125 * time.Millisecond, PrefillRate: 15, Weights: Weights{CrossZoneBody: 0.001, CacheMiss: 0.01, KVTransfer: 0.01, CrossZoneTransfer: 2, AffinityMiss: 0.1, Stall: 1},
}
