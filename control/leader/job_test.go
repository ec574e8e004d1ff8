package leader

import (
	"testing"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leadercall"
	"mulleinmast/wire/message"
)

// Every call's body, one byte changed at a time, is taken or named broken; what
// is written is always a record that can be read.
func TestMutatedCalls(t *testing.T) {
	plan := fleetconfig.Plan{ID: "p", Tenants: []fleetconfig.Tenant{{Name: "x", Priority: 1, TimeoutMillis: 100, QueueFraction: 0.5}}, Services: []fleetconfig.Service{{Name: "m", PrefillServers: 1, DecodeServers: 1, Exclude: []string{"10.0.0.1:1"}}}}
	bodies := map[string][]byte{
		"plan":    leadercall.Pack(plan),
		"changes": leadercall.Pack(fleetconfig.Changes{ID: "c", Base: 0, Changes: []fleetconfig.Change{{Op: "set-tenant", Tenant: &plan.Tenants[0]}}}),
		"servers": leadercall.Pack(ServersCall{"m", fleetconfig.List{Version: 2, Servers: []fleetconfig.Server{{Addr: "10.0.0.1:1", Zone: "a", Capacity: 8}}}}),
		"seat":    leadercall.Pack(ReplicaCall{Out: "a", Ident: "b", Addr: "10.0.0.1:1"}),
		"claim":   leadercall.Pack(ClaimCall{Key: "t/k", Claim: leadercall.Claim{Request: "r", State: "claimed"}}),
		"unclaim": leadercall.Pack(ClaimCall{Key: "t/k", Claim: leadercall.Claim{Request: "r", State: "shed"}}),
	}
	writes := map[string]int{"plan": 2, "changes": 2} // with what is remembered of it
	none := func(key string) message.Record { return message.Record{Key: key, Deleted: true} }
	for op, good := range bodies {
		if j, fault := job(new(fleetconfig.PlanReader), ask{}, op, good); fault != "" {
			t.Errorf("%s: %s", op, fault)
		} else if recs, word := j.Build(none); len(recs) != max(1, writes[op]) && op != "seat" {
			t.Errorf("%s: wrote %v, said %v", op, recs, word)
		}
		broken := 0
		for i := range good {
			for _, x := range []byte{0, '"', '}', '-', '9', 'x', good[i] ^ 1} {
				b := append([]byte(nil), good...)
				b[i] = x
				j, fault := job(new(fleetconfig.PlanReader), ask{}, op, b)
				if fault != "" {
					broken++
					continue
				}
				recs, word := j.Build(none)
				if v, ok := word.(fleetconfig.Verdict); ok && v.Result == "broken" {
					broken++
				}
				for _, r := range recs {
					fleetconfig.OpenPlan(message.Record{Deleted: r.Key != fleetconfig.PlanKey, Value: r.Value})
					fleetconfig.OpenList(message.Record{Deleted: r.Key != fleetconfig.ListKey("m"), Value: r.Value})
				}
			}
		}
		if broken < len(good) {
			t.Errorf("%s: only %d of %d mutations were named broken", op, broken, 7*len(good))
		}
	}
	if _, fault := job(new(fleetconfig.PlanReader), ask{}, "evict", nil); fault == "" {
		t.Error("an unknown call has no fault")
	}
}

// A list of an earlier version that comes late is in conflict; a key that was
// settled before its claim came can't be claimed by it any more.
func TestLateCallsConflict(t *testing.T) {
	recs := map[string]message.Record{}
	read := func(key string) message.Record {
		if r, ok := recs[key]; ok {
			return r
		}
		return message.Record{Key: key, Deleted: true}
	}
	do := func(op string, in any) leadercall.Response {
		j, _ := job(new(fleetconfig.PlanReader), ask{}, op, leadercall.Pack(in))
		out, word := j.Build(read)
		for _, r := range out {
			recs[r.Key] = r
		}
		w, _ := word.(leadercall.Response)
		return w
	}
	list := func(v uint64, leaving bool) ServersCall {
		return ServersCall{"m", fleetconfig.List{Version: v, Servers: []fleetconfig.Server{{Addr: "10.0.0.1:1", Zone: "a", Capacity: 8, Leaving: leaving}}}}
	}
	do("servers", list(1, false))
	do("servers", list(2, true))
	if w := do("servers", list(1, false)); w.Result != "beaten" || !fleetconfig.OpenList(read(fleetconfig.ListKey("m"))).Servers[0].Leaving {
		t.Errorf("an old list brought a leaving server back: %+v", w)
	}
	claim := func(req, state string) ClaimCall {
		return ClaimCall{"t/k", leadercall.Claim{Request: req, State: state}}
	}
	do("unclaim", claim("r1", "shed"))
	if w := do("claim", claim("r1", "claimed")); w.Result != "duplicate" {
		t.Errorf("a settled request claimed its key: %+v", w)
	}
	if w := do("claim", claim("r2", "claimed")); w.Result != "done" {
		t.Errorf("a key that was given back is held: %+v", w)
	}
	do("unclaim", claim("r1", "shed"))
	if w := do("claim", claim("r3", "claimed")); w.Result != "duplicate" {
		t.Errorf("another's settling freed a key: %+v", w)
	}
}
