package rules

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"mulleinmast/proof/standin/record"
	"mulleinmast/proof/standin/wire"
)

const s = time.Second

var bounds = Bounds{
	InTouch:     3 * s,
	Drain:       3 * s,
	Grace:       8 * s,
	LostSlack:   200 * time.Millisecond,
	Apply:       2 * s,
	GoBack:      250 * time.Millisecond,
	Evacuate:    5 * s,
	Recovery:    12 * s,
	Lease:       3 * s,
	RetryRatio:  0.2,
	RetryWindow: 10 * s,
	RetrySlack:  2,
	ColdOverrun: 1.5,
	ColdSlack:   1,

	QuotaWindow:  5 * s,
	QuotaOverrun: 0.1,
	QuotaSlack:   20,
}

var routes = []wire.Route{
	{Name: "safe", Host: "h", Start: "/safe/", Kind: wire.Safe, GiveUpMs: 3000, Service: "one"},
	{Name: "unsafe", Host: "h", Start: "/unsafe/", Kind: wire.Unsafe, GiveUpMs: 3000, Service: "one"},
	{Name: "stream", Host: "h", Start: "/stream/", Kind: wire.Streaming, GiveUpMs: 3000, Service: "two"},
	{Name: "resume", Host: "h", Start: "/resume/", Kind: wire.Streaming, Resume: true, GiveUpMs: 3000, Service: "two"},
}

func marshal(c wire.Config) []byte {
	b, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return b
}

// healthyRecord returns a record of one minute that breaks no rule: two versions of the
// configuration, two daemons, four servers and one request per route and second.
func healthyRecord() *record.All {
	a := &record.All{End: 60 * s}
	first := wire.Config{Version: 5, Routes: routes, Customers: []wire.Customer{
		{Name: "ten", Keys: []string{"k", "old"}, Rate: 10, Burst: 2}, {Name: "free", Keys: []string{"f"}},
	}}
	added := wire.Route{Name: "new", Host: "h", Start: "/new/", Kind: wire.Safe, GiveUpMs: 3000, Service: "one"}
	next := wire.Config{Version: 9, Routes: append(append([]wire.Route{}, routes...), added), Customers: []wire.Customer{
		{Name: "ten", Keys: []string{"k"}, Rate: 10, Burst: 2}, {Name: "free", Keys: []string{"f"}},
	}}
	a.Changes = []*record.Change{
		{Version: 5, Sent: 1, Done: s / 2, Status: 200, Valid: true, Config: marshal(first)},
		{Version: 9, Base: 5, Sent: 30 * s, Done: 30*s + s/2, Status: 200, Valid: true, Config: marshal(next)},
	}
	a.Readbacks = []*record.Readback{{At: 59 * s, Status: 200, Body: marshal(next)}}
	for i, svc := range []string{"one", "one", "two", "two"} {
		a.Lives = append(a.Lives, &record.Life{
			ID: fmt.Sprint("i-", i), Service: svc, Zone: []string{"north", "south"}[i%2], Born: 1,
		})
	}
	n := 0
	for sec := 3; sec < 55; sec++ {
		for i, r := range next.Routes {
			if r.Name == "new" && sec < 34 {
				continue
			}
			n++
			addServed(a, r, n, time.Duration(sec)*s+time.Duration(i)*100*time.Millisecond)
		}
	}
	for i := range 4 {
		a.Orders = append(a.Orders, &record.Order{
			At: time.Duration(10+i*5) * s, Server: "i-2", Holder: "a", Fence: 7, Status: 200,
		})
	}
	return a
}

// addServed adds a request that was served.
func addServed(a *record.All, r wire.Route, n int, at time.Duration) (*record.Try, *record.Arrival) {
	id := fmt.Sprint("t", n)
	t := &record.Try{
		ID:        id,
		Daemon:    fmt.Sprint("d", n%2),
		Host:      "h",
		Target:    r.Start + "x?q=1",
		Method:    "POST",
		Body:      7,
		Route:     r.Name,
		Sent:      at,
		SentFully: at + 1,
		End:       at + s/10,
		Deadline:  at + 3*s,
		Status:    200,
		Seal:      "s." + id,
		Echo:      id,
		Complete:  true,
		Length:    4,
		Digest:    9,
		Key:       "k",
	}
	arr := &record.Arrival{
		At:       at + s/50,
		Server:   map[string]string{"one": "i-0", "two": "i-2"}[r.Service],
		Service:  r.Service,
		Zone:     "north",
		Attempt:  id,
		Host:     "h",
		Target:   t.Target,
		Method:   "POST",
		Body:     7,
		Out:      record.Ran,
		Run:      id,
		Seal:     t.Seal,
		Status:   200,
		End:      t.End,
		Complete: true,
		Length:   4,
		Digest:   9,
		Tenant:   "ten",
	}
	if r.Kind == wire.Streaming {
		for k := 1; k <= 3; k++ {
			t.Pieces = append(t.Pieces, record.Piece{ID: k, Run: id})
		}
		t.Last, t.Length, arr.Last, arr.Pieces = true, 0, true, t.Pieces
	}
	a.Tries, a.Arrivals = append(a.Tries, t), append(a.Arrivals, arr)
	return t, arr
}

// find returns the first request of a route that was sent at a moment or later.
func find(a *record.All, route string, from time.Duration) (*record.Try, *record.Arrival) {
	for i, t := range a.Tries {
		if t.Route == route && t.Sent >= from {
			return t, a.Arrivals[i]
		}
	}
	panic("no request of that route")
}

func addArrival(a *record.All, arr *record.Arrival, edit func(x *record.Arrival)) {
	x := *arr
	x.At += time.Millisecond
	edit(&x)
	a.Arrivals = append(a.Arrivals, &x)
}

// mutants each put one fault into a healthy record and name the rule that reports it.
var mutants = []struct {
	rule, what string
	edit       func(a *record.All)
}{
	{"MIXED", "a garbled answer", func(a *record.All) { t, _ := find(a, "safe", 0); t.Fault = "no answer" }},
	{"MIXED", "no seal", func(a *record.All) { t, _ := find(a, "safe", 0); t.Seal = "" }},
	{"MIXED", "a seal that no server issued", func(a *record.All) { t, _ := find(a, "safe", 0); t.Seal = "extra" }},
	{"MIXED", "the answer to another request", func(a *record.All) {
		t, _ := find(a, "safe", 0)
		o, _ := find(a, "safe", 9*s)
		t.Seal, t.Echo = o.Seal, ""
	}},
	{"MIXED", "the id of another request", func(a *record.All) { t, _ := find(a, "unsafe", 0); t.Echo = "t99" }},
	{"MIXED", "another body", func(a *record.All) { t, _ := find(a, "unsafe", 0); t.Digest++ }},
	{"MIXED", "a truncated body, seen as complete", func(a *record.All) { _, x := find(a, "unsafe", 0); x.Complete = false }},
	{"MIXED", "an encoded body", func(a *record.All) { t, _ := find(a, "unsafe", 0); t.Coded = true }},
	{"MIXED", "an error turned into a success", func(a *record.All) { _, x := find(a, "unsafe", 0); x.Status = 500 }},
	{"MIXED", "bytes on an idle connection", func(a *record.All) {
		a.Tries = append(a.Tries, &record.Try{Daemon: "d0", Fault: "bytes on an idle connection"})
	}},
	{"MIXED", "the handle of another request", func(a *record.All) { _, x := find(a, "stream", 0); x.HandleOf = "t99" }},
	{"ORDER", "a gap", func(a *record.All) { t, _ := find(a, "stream", 0); t.Pieces = t.Pieces[1:] }},
	{"ORDER", "an event twice", func(a *record.All) {
		t, _ := find(a, "stream", 0)
		t.Pieces = append(t.Pieces, t.Pieces[2])
	}},
	{"ORDER", "an end before the last event", func(a *record.All) {
		t, _ := find(a, "stream", 0)
		t.Pieces, t.Last = t.Pieces[:2], false
	}},
	{"ORDER", "another run", func(a *record.All) {
		t, _ := find(a, "stream", 0)
		t.Pieces = append(append([]record.Piece{}, t.Pieces[:2]...), record.Piece{ID: 3, Run: "r2"})
	}},
	{"ORDER", "another run that was not resumed there", func(a *record.All) {
		t, x := find(a, "resume", 0)
		t.Pieces = append(append([]record.Piece{}, t.Pieces[:2]...), record.Piece{ID: 3, Run: "r2"})
		addArrival(a, x, func(x *record.Arrival) { x.Run, x.Seal, x.After = "r2", "s2", 1 })
	}},
	{"UNASKED", "an id that no client sent", func(a *record.All) {
		_, x := find(a, "safe", 0)
		addArrival(a, x, func(x *record.Arrival) { x.Attempt = "t0" })
	}},
	{"UNASKED", "another path", func(a *record.All) { _, x := find(a, "safe", 0); x.Target = "/safe/y?q=1" }},
	{"UNASKED", "another body", func(a *record.All) { _, x := find(a, "safe", 0); x.Body++ }},
	{"UNASKED", "another method", func(a *record.All) { _, x := find(a, "safe", 0); x.Method = "GET" }},
	{"UNASKED", "another tenant", func(a *record.All) { _, x := find(a, "safe", 0); x.Tenant = "free" }},
	{"UNASKED", "no tenant for a prefill", func(a *record.All) {
		_, x := find(a, "stream", 0)
		addArrival(a, x, func(x *record.Arrival) { x.Out, x.Run, x.Seal, x.Tenant = record.Prefilled, "", "", "" })
	}},
	{"UNASKED", "the key shown to a server", func(a *record.All) { _, x := find(a, "safe", 0); x.Key = "k" }},
	{"ROUTE", "a key that was never configured", func(a *record.All) {
		t, x := find(a, "safe", 0)
		t.Key, x.Tenant = "guessed", "ten"
	}},
	{"ROUTE", "no key", func(a *record.All) { t, _ := find(a, "safe", 0); t.Key = "" }},
	{"CONFIG", "a removed key", func(a *record.All) { t, _ := find(a, "safe", 40*s); t.Key = "old" }},
	{"ROUTE", "a key that was never configured, under an empty list of customers", func(a *record.All) {
		removeCustomers(a, []wire.Customer{})
		t, _ := find(a, "safe", 40*s)
		t.Key = "guessed"
	}},
	{"ROUTE", "no key under an empty list of customers", func(a *record.All) {
		removeCustomers(a, []wire.Customer{})
		t, _ := find(a, "safe", 40*s)
		t.Key = ""
	}},
	{"CONFIG", "the keys of a list of customers that was emptied", func(a *record.All) {
		removeCustomers(a, []wire.Customer{})
	}},
	{"DENIED", "401 where there are no customers", func(a *record.All) {
		removeCustomers(a, nil)
		t, x := find(a, "safe", 40*s)
		t.Status, t.Seal, x.Out = 401, "", record.Refused
	}},
	{"DENIED", "401 for a valid key", func(a *record.All) {
		t, x := find(a, "safe", 0)
		t.Status, t.Seal, x.Out = 401, "", record.Refused
	}},
	{"QUOTA", "more than a tenant's limit in a window", func(a *record.All) {
		_, x := find(a, "safe", 20*s)
		for i := range 60 {
			addArrival(a, x, func(x *record.Arrival) { x.At += time.Duration(i) * s / 20 })
		}
	}},
	{"UNASKED", "another prompt", func(a *record.All) { _, x := find(a, "stream", 0); x.Prompt = "other 1,2 a:1" }},
	{"GONE", "requests that reach servers late", func(a *record.All) {
		for _, t := range a.Tries[:8] {
			t.ClosedAt = t.Sent + 1
		}
		for _, x := range a.Arrivals[:8] {
			x.At, x.End = x.At+s, x.End+2*s
		}
	}},
	{"GONE", "servers that continue to work", func(a *record.All) {
		n := 0
		for i, t := range a.Tries {
			if t.Route != "safe" {
				continue
			}
			t.ClosedAt = t.Sent + s/10
			if a.Arrivals[i].At = t.Sent + s/20; n%3 == 0 {
				a.Arrivals[i].End = t.ClosedAt + 2*s
			}
			n++
		}
	}},
	{"LOST", "closed connections of forwarded requests", func(a *record.All) {
		for i := range 16 {
			t := a.Tries[i]
			t.Status, t.Seal, t.Echo, t.Complete, t.Pieces, t.Last = 0, "", "", false, nil, false
		}
	}},
	{"CONFIG", "a disconnected machine that returns an old version", func(a *record.All) {
		a.Troubles = append(a.Troubles, &record.Disruption{Daemon: "d0", What: "cut off", From: 25 * s, To: 50 * s})
		a.Reads = []*record.ConfigRead{{Daemon: "d0", Sent: 33 * s, Status: 200, Version: 5}}
	}},
	{"TWICE", "run again", func(a *record.All) {
		_, x := find(a, "unsafe", 0)
		addArrival(a, x, func(x *record.Arrival) { x.Seal = "s2" })
	}},
	{"TWICE", "a stream run again", func(a *record.All) {
		_, x := find(a, "stream", 0)
		addArrival(a, x, func(x *record.Arrival) { x.Seal = "s2" })
	}},
	{"REFUSED", "a promise broken", func(a *record.All) { t, _ := find(a, "unsafe", 0); t.Status, t.Seal = 503, "" }},
	{"DENIED", "valid requests answered 403", func(a *record.All) {
		for _, t := range a.Tries[:20] {
			t.Status, t.Seal, t.Pieces = 403, "", nil
		}
	}},
	{"ROUTE", "a service that no configuration routes to", func(a *record.All) {
		_, x := find(a, "safe", 0)
		addArrival(a, x, func(x *record.Arrival) { x.Service = "two" })
	}},
	{"DRAIN", "a draining server", func(a *record.All) { a.Lives[0].DrainShown = 20 * s }},
	{"DRAIN", "a server that is gone", func(a *record.All) { a.Lives[2].GoneShown = 20 * s }},
	{"EVAC", "an evacuated zone", func(a *record.All) {
		a.Evacuations = []*record.Evacuation{{Zone: "north", Sent: 20 * s, Acked: 21 * s}}
	}},
	{"LOST", "cut off by a SIGTERM", func(a *record.All) {
		t, _ := find(a, "safe", 20*s)
		t.Status, t.Seal, t.Complete, t.Length = 0, "", false, 0
		a.Troubles = []*record.Disruption{
			{Daemon: t.Daemon, What: "SIGTERM", From: t.Sent - s, To: t.Sent + 5*s, Planned: true},
		}
	}},
	{"LOST", "cut off by a SIGHUP", func(a *record.All) {
		t, _ := find(a, "safe", 20*s)
		t.Status, t.Seal, t.Complete, t.Length = 0, "", false, 0
		a.Troubles = []*record.Disruption{{Daemon: t.Daemon, From: t.Sent - s, Hup: true}}
	}},
	{"LOST", "an evacuation after the closing fault", func(a *record.All) {
		a.Fault, a.Back = 20*s, 21*s
		a.Evacuations = []*record.Evacuation{{Zone: "north", Sent: 18 * s, Acked: 19 * s}}
		// the troubles exempt the machines from EVAC itself
		a.Troubles = []*record.Disruption{
			{Daemon: "d0", From: 20 * s},
			{Daemon: "d1", From: 20 * s},
		}
	}},
	{"CONFIG", "an older version", func(a *record.All) { t, _ := find(a, "new", 40*s); t.Status, t.Seal = 404, "" }},
	{"CONFIG", "a daemon that returns to an older version", func(a *record.All) {
		a.Changes[1].Done, a.Changes[1].Status = 0, 0 // its outcome is unknown, so no other bound applies
		a.Readbacks = nil
		t, x := find(a, "new", 34*s)
		x.At = t.Sent
		t, _ = find(a, "new", 36*s)
		t.Status, t.Seal = 404, ""
		a.Arrivals = withoutAttempt(a.Arrivals, t.ID)
	}},
	{"CONFIG", "a refused version that is applied", func(a *record.All) {
		route := wire.Route{Name: "safe", Host: "h", Start: "/safe/x", Kind: wire.Safe, GiveUpMs: 3000, Service: "two"}
		c := wire.Config{Version: 7, Routes: append([]wire.Route{route}, routes...)}
		a.Changes = append(a.Changes, &record.Change{
			Version: 7, Base: 4, Sent: 10 * s, Done: 11 * s, Status: 412, Valid: true, Config: marshal(c),
		})
		_, x := find(a, "safe", 20*s)
		x.Service = "two"
	}},
	{"CONFIG", "an acknowledged invalid version", func(a *record.All) {
		a.Changes[1].Valid = false
		a.Readbacks = nil
		a.Tries = a.Tries[:40]
	}},
	{"CONFIG", "two acknowledged changes of one version", func(a *record.All) {
		c := *a.Changes[1]
		c.Version, c.Config = 8, marshal(wire.Config{Version: 8, Routes: routes})
		a.Changes = append(a.Changes, &c)
	}},
	{"CONFIG", "a refused retry of an acknowledged call", func(a *record.All) {
		a.PlanCalls = []*record.PlanCall{
			{ID: "a", Number: 5, Sent: 1, Done: 2, Status: 200},
			{ID: "b", Base: 5, Number: 9, Sent: 3, Done: 4, Status: 200},
			{ID: "a", Number: 5, Sent: 5, Done: 6, Status: 412},
		}
	}},
	{"CONFIG", "two acknowledged calls on the same version", func(a *record.All) {
		a.PlanCalls = []*record.PlanCall{
			{ID: "a", Number: 5, Sent: 1, Done: 2, Status: 200},
			{ID: "b", Base: 5, Number: 9, Sent: 3, Done: 8, Status: 200},
			{ID: "c", Base: 5, Number: 9, Sent: 4, Done: 7, Status: 200},
		}
	}},
	{"CONFIG", "a conflict without a conflicting call", func(a *record.All) {
		a.PlanCalls = []*record.PlanCall{
			{ID: "a", Number: 5, Sent: 1, Done: 2, Status: 200},
			{ID: "b", Base: 5, Number: 9, Sent: 3, Done: 4, Status: 412},
		}
	}},
	{"CONFIG", "an older version read back", func(a *record.All) { a.Readbacks[0].Body = a.Changes[0].Config }},
	{"CONFIG", "a failed final read", func(a *record.All) { a.Readbacks[0].Status = 503 }},
	{"CONFIG", "unserved later routes", func(a *record.All) {
		for _, t := range a.Tries {
			if t.Route == "new" {
				t.Status, t.Seal = 502, ""
			}
		}
	}},
	{"BUDGET", "too many retries in a window", func(a *record.All) {
		for i := range 11 {
			_, x := find(a, "safe", time.Duration(20+i/4)*s)
			addArrival(a, x, func(x *record.Arrival) { x.Out, x.Seal, x.At = record.Refused, "", x.At+time.Duration(i) })
		}
	}},
	{"BUDGET", "prefills after the first", func(a *record.All) {
		for i := range 11 {
			_, x := find(a, "resume", time.Duration(20+i/4)*s)
			addArrival(a, x, func(x *record.Arrival) { x.Out, x.Seal, x.Reading = record.Prefilled, "", true })
			addArrival(a, x, func(x *record.Arrival) { x.Out, x.Seal, x.Reading = record.Prefilled, "", true })
		}
	}},
	{"FAILBACK", "an overloaded cold server", func(a *record.All) {
		a.Lives[0].ColdUntil, a.Lives[0].ColdRate = 60*s, 0.5
	}},
	{"ONE", "two holders with one fence", func(a *record.All) { a.Orders[3].Holder = "b"; a.Orders[3].At = 40 * s }},
	{"ONE", "a lower fence", func(a *record.All) { a.Orders[3].Fence = 6 }},
	{"ONE", "holders that alternate too fast", func(a *record.All) {
		a.Orders[3].Holder, a.Orders[3].Fence, a.Orders[3].At = "b", 8, a.Orders[2].At+2*s
	}},
	{"RECOVER", "no service after the closing fault", func(a *record.All) {
		a.Fault, a.Back = 20*s, 21*s
		for _, t := range a.Tries {
			if t.Sent >= 33*s {
				t.Status, t.Seal, t.Pieces, t.Complete = 502, "", nil, true
			}
		}
	}},
}

func withoutAttempt(list []*record.Arrival, id string) (out []*record.Arrival) {
	for _, x := range list {
		if x.Attempt != id {
			out = append(out, x)
		}
	}
	return out
}

func TestHealthyRecordBreaksNoRule(t *testing.T) {
	for _, b := range Check(*healthyRecord(), bounds) {
		t.Error(b)
	}
}

// Each planted fault must break its rule, and at most one other.
func TestEachPlantedFaultBreaksItsRule(t *testing.T) {
	covered := map[string]bool{}
	for _, m := range mutants {
		a := healthyRecord()
		m.edit(a)
		found := map[string]string{}
		for _, b := range Check(*a, bounds) {
			found[b.Rule] = b.What
		}
		if found[m.rule] == "" {
			t.Errorf("%s, %s: not reported, only %v", m.rule, m.what, found)
		}
		covered[m.rule] = true
		if len(found) > 2 {
			t.Errorf("%s, %s: reported as %v", m.rule, m.what, found)
		}
	}
	for _, r := range Rules {
		if !covered[r.Name] {
			t.Errorf("%s has no mutant", r.Name)
		}
	}
}

// removeCustomers replaces the customers of the second configuration by none: an empty list or, if it is nil, no list.
func removeCustomers(a *record.All, none []wire.Customer) {
	var next wire.Config
	if err := json.Unmarshal(a.Changes[1].Config, &next); err != nil {
		panic(err)
	}
	next.Customers = none
	a.Changes[1].Config, a.Readbacks[0].Body = marshal(next), marshal(next)
}

// allowed each put an event that breaks no rule into a healthy record.
var allowed = map[string]func(a *record.All){
	"a safe request run twice": func(a *record.All) {
		_, x := find(a, "safe", 0)
		addArrival(a, x, func(x *record.Arrival) { x.Seal = "s2" })
	},
	"a stream that is resumed on another server": func(a *record.All) {
		t, x := find(a, "resume", 0)
		t.Pieces = append(append([]record.Piece{}, t.Pieces[:2]...), record.Piece{ID: 3, Run: "r2"})
		addArrival(a, x, func(x *record.Arrival) { x.Run, x.Seal, x.After = "r2", "s2", 2 })
	},
	"the first prefill": func(a *record.All) {
		for i := range 11 {
			_, x := find(a, "resume", time.Duration(20+i)*s)
			addArrival(a, x, func(x *record.Arrival) {
				x.Out, x.Seal, x.Reading, x.At = record.Prefilled, "", true, x.At-2*time.Millisecond
			})
		}
	},
	"an older version within the bound": func(a *record.All) {
		t, _ := find(a, "new", 34*s)
		t.Sent, t.Status, t.Seal = 31*s, 404, ""
	},
	"an older version on a disconnected machine": func(a *record.All) {
		t, _ := find(a, "new", 40*s)
		t.Status, t.Seal = 404, ""
		a.Arrivals = withoutAttempt(a.Arrivals, t.ID)
		a.Troubles = []*record.Disruption{{Daemon: t.Daemon, From: 32 * s, To: 39 * s}}
		for _, x := range a.Tries { // a new incarnation, since the old one would have returned to an older version
			if x.Daemon == t.Daemon && x.Sent > 39*s {
				x.Life = 1
			}
		}
	},
	"a draining server within the bound": func(a *record.All) { a.Lives[0].DrainShown = 53 * s },
	"a draining server and a disconnected machine": func(a *record.All) {
		a.Lives[1].DrainShown = 20 * s
		t, x := find(a, "safe", 30*s)
		x.Server = "i-1"
		a.Troubles = []*record.Disruption{{Daemon: t.Daemon, From: 10 * s, To: 29 * s}}
	},
	"a redirect to another server": func(a *record.All) {
		a.Lives[1].DrainShown = 20 * s
		_, x := find(a, "safe", 30*s)
		addArrival(a, x, func(x *record.Arrival) { x.Server, x.Out, x.Seal = "i-1", record.Misdirected, "" })
	},
	"a change without an answer": func(a *record.All) { a.Changes[1].Status, a.Changes[1].Done = 0, 0 },
	"an answer that the server aborted": func(a *record.All) {
		t, x := find(a, "safe", 20*s)
		t.Status, t.Seal, t.Complete, x.FaultInjected = 0, "", false, true
		a.Troubles = []*record.Disruption{{Daemon: t.Daemon, From: t.Sent - s, To: t.Sent + 5*s, Planned: true}}
	},
	"a new holder after the lease": func(a *record.All) {
		o := a.Orders[3]
		o.Holder, o.Fence, o.At = "b", 8, a.Orders[2].At+4*s
	},
	"401 under an empty list of customers": func(a *record.All) {
		removeCustomers(a, []wire.Customer{})
		for _, t := range a.Tries {
			if t.Sent > 30*s {
				t.Route = "" // so that routes that were added later aren't compared with the first ones
				t.Status, t.Seal, t.Pieces, t.Last = 401, "", nil, false
				a.Arrivals = withoutAttempt(a.Arrivals, t.ID)
			}
		}
	},
	"requests without a key where there are no customers": func(a *record.All) {
		removeCustomers(a, nil)
		for _, t := range a.Tries {
			if t.Sent > 33*s {
				t.Key = ""
			}
		}
		for _, x := range a.Arrivals {
			if x.At > 33*s {
				x.Tenant = ""
			}
		}
	},
	"a refusal": func(a *record.All) {
		t, x := find(a, "unsafe", 0)
		t.Status, t.Seal, x.Out, x.Seal = 503, "", record.Refused, ""
	},
}

func TestAllowedEventsBreakNoRule(t *testing.T) {
	for what, edit := range allowed {
		a := healthyRecord()
		edit(a)
		for _, b := range Check(*a, bounds) {
			if !strings.HasPrefix(b.What, "nothing") {
				t.Errorf("%s: %s", what, b)
			}
		}
	}
}
