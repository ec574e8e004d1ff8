package leader

import (
	"testing"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leadercall"
	"mulleinmast/wire/message"
)

// noRecord reads from a partition without records.
func noRecord(key string) message.Record { return message.Record{Key: key, Deleted: true} }

// newUnnumberedRequest returns a call of a daemon whose build doesn't number its calls.
func newUnnumberedRequest() callRequest { return callRequest{plans: new(fleetconfig.PlanReader)} }

// Each call body with any single byte changed is either accepted or rejected as invalid, and every record
// written for it is readable.
func TestMutatedCallsWriteOnlyReadableRecords(t *testing.T) {
	plan := fleetconfig.Plan{
		ID: "p", Tenants: []fleetconfig.Tenant{{Name: "x", Priority: 1, TimeoutMillis: 100, QueueFraction: 0.5}},
		Services: []fleetconfig.Service{{Name: "m", PrefillServers: 1, DecodeServers: 1, Exclude: []string{"10.0.0.1:1"}}},
	}
	bodies := map[string][]byte{
		"plan": leadercall.MustMarshal(plan),
		"changes": leadercall.MustMarshal(fleetconfig.Changes{
			ID: "c", Base: 0, Changes: []fleetconfig.Change{{Op: "set-tenant", Tenant: &plan.Tenants[0]}},
		}),
		"servers": leadercall.MustMarshal(ServersCall{
			"m", fleetconfig.List{Version: 2, Servers: []fleetconfig.Server{{Addr: "10.0.0.1:1", Zone: "a", Capacity: 8}}},
		}),
		"seat":    leadercall.MustMarshal(ReplicaCall{Out: "a", Ident: "b", Addr: "10.0.0.1:1"}),
		"claim":   leadercall.MustMarshal(ClaimCall{Key: "t/k", Claim: leadercall.Claim{Request: "r", State: "claimed"}}),
		"unclaim": leadercall.MustMarshal(ClaimCall{Key: "t/k", Claim: leadercall.Claim{Request: "r", State: "shed"}}),
	}
	writes := map[string]int{"plan": 2, "changes": 2} // the plan, and the changes accepted so far
	for op, good := range bodies {
		if job, err := newUnnumberedRequest().job(op, good); err != nil {
			t.Errorf("%s: %v", op, err)
		} else if records, answer := job.Build(noRecord); len(records) != max(1, writes[op]) && op != leadercall.OpReplica {
			t.Errorf("%s: wrote %v, answered %v", op, records, answer)
		}
		invalid := 0
		for i := range good {
			for _, char := range []byte{0, '"', '}', '-', '9', 'x', good[i] ^ 1} {
				mutated := append([]byte(nil), good...)
				mutated[i] = char
				job, err := newUnnumberedRequest().job(op, mutated)
				if err != nil {
					invalid++
					continue
				}
				records, answer := job.Build(noRecord)
				if v, ok := answer.(fleetconfig.Verdict); ok && v.Result == fleetconfig.VerdictInvalid {
					invalid++
				}
				for _, r := range records {
					fleetconfig.MustReadPlan(message.Record{Deleted: r.Key != fleetconfig.PlanKey, Value: r.Value})
					fleetconfig.MustReadList(message.Record{Deleted: r.Key != fleetconfig.ListKey("m"), Value: r.Value})
				}
			}
		}
		if invalid < len(good) {
			t.Errorf("%s: only %d of %d mutations were found invalid", op, invalid, 7*len(good))
		}
	}
	if _, err := newUnnumberedRequest().job("evict", nil); err == nil {
		t.Error("an unknown call was accepted")
	}
}

// A late list of an earlier version is answered with a conflict, and a claim that
// arrives after the release of its request doesn't take the key.
func TestLateListsAndClaimsConflict(t *testing.T) {
	records := map[string]message.Record{}
	read := func(key string) message.Record {
		if r, ok := records[key]; ok {
			return r
		}
		return noRecord(key)
	}
	do := func(op string, in any) leadercall.Response {
		job, err := newUnnumberedRequest().job(op, leadercall.MustMarshal(in))
		if err != nil {
			t.Fatal(err)
		}
		written, answer := job.Build(read)
		for _, r := range written {
			records[r.Key] = r
		}
		response, _ := answer.(leadercall.Response)
		return response
	}
	list := func(v uint64, leaving bool) ServersCall {
		return ServersCall{
			"m",
			fleetconfig.List{
				Version: v, Servers: []fleetconfig.Server{{Addr: "10.0.0.1:1", Zone: "a", Capacity: 8, Leaving: leaving}},
			},
		}
	}
	do("servers", list(1, false))
	do("servers", list(2, true))
	if response := do("servers", list(1, false)); response.Result != "beaten" ||
		!fleetconfig.MustReadList(read(fleetconfig.ListKey("m"))).Servers[0].Leaving {
		t.Errorf("a late list of version 1 restored a leaving server: %+v", response)
	}
	claim := func(req, state string) ClaimCall {
		return ClaimCall{"t/k", leadercall.Claim{Request: req, State: state}}
	}
	do("unclaim", claim("r1", "shed"))
	if response := do("claim", claim("r1", "claimed")); response.Result != "duplicate" {
		t.Errorf("request r1 claimed a key that it had already released: %+v", response)
	}
	if response := do("claim", claim("r2", "claimed")); response.Result != "done" {
		t.Errorf("request r2 could not claim a released key: %+v", response)
	}
	do("unclaim", claim("r1", "shed"))
	if response := do("claim", claim("r3", "claimed")); response.Result != "duplicate" {
		t.Errorf("request r1 released a key held by r2: %+v", response)
	}
}

// A delayed claim doesn't take a key that its own request has released, even if other
// requests have claimed and released the key since.
func TestLateClaimDoesNotTakeKey(t *testing.T) {
	l := startLeader(t, 1, nil)
	callID := uint64(0)
	call := func(op, request, state string) string {
		t.Helper()
		callID++
		body := leadercall.MustMarshal(ClaimCall{"t/k", leadercall.Claim{Request: request, State: state}})
		_, result := l.call("p", callID, callID, op, body)
		return result
	}
	for _, request := range []string{"r1", "r2", "r3"} {
		if result := call(leadercall.OpClaim, request, leadercall.ClaimHeld); result != "done" {
			t.Errorf("%s: %s", request, result)
		}
		call(leadercall.OpRelease, request, leadercall.ClaimReleased)
	}
	if result := call(leadercall.OpClaim, "r1", leadercall.ClaimHeld); result != "duplicate" {
		t.Errorf("request r1 claimed a key that it had already released: %s", result)
	}
	if result := call(leadercall.OpClaim, "r4", leadercall.ClaimHeld); result != "done" {
		t.Errorf("request r4 could not claim a released key: %s", result)
	}
}
