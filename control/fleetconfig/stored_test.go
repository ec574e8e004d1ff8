package fleetconfig

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"mulleinmast/control/internal/golden"
	"mulleinmast/wire/message"
)

// completePlan returns a plan with every field set.
func completePlan() Plan {
	plan := planWithKeys()
	plan.KeysRequired = true
	return plan
}

// planWithKeys returns a plan with every field set that the first builds with support for keys have.
func planWithKeys() Plan {
	plan := planWithoutKeys()
	plan.Tenants[0], plan.Routes[0] = completeTenant(), completeRoute()
	return plan
}

func completeTenant() Tenant {
	tenant, urgency := tenantWithoutKeys(), 3
	tenant.ByKey, tenant.Keys, tenant.Urgency = true, []string{"key-1", "key-2"}, &urgency
	tenant.Rate, tenant.Burst, tenant.Raw = 12.5, 25, json.RawMessage(`{"item":4}`)
	return tenant
}

func tenantWithoutKeys() Tenant {
	return Tenant{
		Name: "express", Priority: 2, Services: []string{"timetable"}, TimeoutMillis: 30000, QueueFraction: 0.25,
	}
}

// planWithoutKeys returns a plan with every field set that builds without support for keys have.
func planWithoutKeys() Plan {
	return Plan{
		Version: 12, ID: "plan-12", Base: 11, Number: 13, Needs: 1, Raw: json.RawMessage(`{"further":true}`),
		Tenants:  []Tenant{tenantWithoutKeys()},
		Services: []Service{completeService()},
		Routes:   []Route{routeWithoutKeys()},
		Limits: Limits{
			HeaderBytes: 8192, BodyBytes: 65536, HeaderTimeoutMillis: 2000, IdleTimeoutMillis: 60000,
			Raw: json.RawMessage(`{"limit":1}`),
		},
		PastChanges: []AcceptedChange{{ID: "plan-11", Version: 11}},
	}
}

func completeService() Service {
	return Service{
		Name: "timetable", PrefillServers: 2, DecodeServers: 3, Exclude: []string{"10.0.0.9:9000"}, StatusPath: "/status",
		MaxConnections: 64, WarmUpSeconds: 12.5, WarmUpRate: 1.5, Slots: 16, MemoryTokens: 100000, TokenBytes: 2048, LinkMbps: 400.5, TokensPerEvent: 4,
		HandleSeconds: 30.5, SwitchSeconds: 8.25, Models: []string{"model-a"}, Raw: json.RawMessage(`{"item":2}`),
	}
}

func completeRoute() Route {
	route := routeWithoutKeys()
	route.Public = true
	return route
}

func routeWithoutKeys() Route {
	return Route{
		Name: "route-1", Host: "a.example", Prefix: "/x/", Kind: Stream, GiveUpMillis: 5000, TargetMillis: 400, GapMillis: 100, Urgency: 3,
		MaxAttempts: 2, Sticky: true, Resume: true, Services: []Share{{Service: "timetable", Weight: 0.75}},
		Regions: []string{"north"}, Raw: json.RawMessage(`{"item":3}`),
	}
}

// Plan records must equal those of earlier builds byte for byte, and records of earlier builds
// must be read correctly.
func TestPlanEncodingIsStable(t *testing.T) {
	read := func(value []byte) (Plan, error) { return ReadPlan(message.Record{Key: PlanKey, Value: value}) }
	encodings := map[string]golden.Encoding[Plan]{
		"record": {Encode: EncodePlan, Decode: read},
		"msgp": {
			Encode: func(p Plan) ([]byte, error) { return p.MarshalMsg(nil) },
			Decode: func(value []byte) (Plan, error) { return read(append([]byte{'o'}, value...)) },
		},
		// plan records of the first builds
		"json": {Encode: func(p Plan) ([]byte, error) { return json.Marshal(p) }, Decode: read},
		// bodies of calls
		"packed": {Encode: func(p Plan) ([]byte, error) { return EncodeCall(p) }, Decode: read},
	}
	for form, encoding := range encodings {
		golden.CheckPartial(t, "plan."+form, planWithoutKeys(), encoding)
		golden.CheckPartial(t, "plan-keys."+form, planWithKeys(), encoding)
		golden.Check(t, "plan-complete."+form, completePlan(), encoding)
	}
	empty, err := (&Plan{}).MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	golden.Bytes(t, "empty-plan.msgp", empty)
	golden.Bytes(t, "empty-plan.json", mustJSON(t, Plan{}))
	golden.Bytes(t, "template.json", mustJSON(t, Template()))
}

// Patches between plan records must equal those of earlier builds and be applied correctly.
func TestPatchEncodingIsStable(t *testing.T) {
	from, to := planOf(50), planOf(50)
	to.Version, to.Routes[7].GiveUpMillis = 8, 17
	patch := golden.Bytes(t, "plan.patch", Codec{}.Patch(recordOf(t, from), recordOf(t, to)))
	value, err := Codec{}.Apply(recordOf(t, from), patch)
	if err != nil {
		t.Fatal(err)
	}
	if compressed := (Codec{}).Whole(value); string(compressed) != string(recordOf(t, to)) {
		t.Error("the stored patch results in a different plan")
	}
}

// The JSON of named changes, zones, server lists and verdicts must equal that of earlier builds.
func TestJSONEncodingIsStable(t *testing.T) {
	changes := func(tenant Tenant, route Route) Changes {
		service, limits := completeService(), completePlan().Limits
		return Changes{ID: "change-1", Base: 12, Number: 14, Changes: []Change{{
			Op: "set-tenant", Name: "name", Tenant: &tenant, Service: &service, Route: &route, Limits: &limits,
			Server: "10.0.0.9:9000", Needs: 1, Lenient: true,
		}}}
	}
	encoding := golden.JSON[Changes]()
	golden.CheckPartial(t, "changes.json", changes(tenantWithoutKeys(), routeWithoutKeys()), encoding)
	golden.Check(t, "changes-keys.json", changes(completeTenant(), completeRoute()), encoding)
	golden.Check(t, "zones.json", map[string]bool{"north": true, "south": true}, golden.Encoding[map[string]bool]{
		Encode: func(zones map[string]bool) ([]byte, error) { return EncodeZones(zones), nil },
		Decode: func(value []byte) (map[string]bool, error) {
			return ReadZones(message.Record{Key: ZoneKey, Value: value})
		},
	})
	golden.Check(t, "list.json", List{Version: 3, Servers: []Server{{
		ID: "server-1", Addr: "10.0.0.1:9000", Zone: "north", Capacity: 8, Leaving: true, Role: "maker", Warming: true,
	}}}, golden.Encoding[List]{
		Encode: golden.JSON[List]().Encode,
		Decode: func(value []byte) (List, error) { return ReadList(message.Record{Key: ListKey("m"), Value: value}) },
	})
	golden.Check(
		t, "verdict.json", Verdict{Result: "broken", Version: 12, Faults: []string{"plan.id"}}, golden.JSON[Verdict](),
	)
	golden.Check(t, "faults.json", Faults{List: []string{"plan.id"}}, golden.JSON[Faults]())
}

// Pages of accepted changes must equal those of earlier builds, and changes in pages of earlier
// builds must be found.
func TestAcceptedChangesEncodingIsStable(t *testing.T) {
	var accepted AcceptedChanges
	records := accepted.Add(AcceptedChange{ID: "plan-1", Version: 1}, AcceptedChange{ID: "change-2", Version: 7})
	if len(records) != 1 || records[0].Key != "taken/00" {
		t.Fatalf("records %+v", records)
	}
	stored := golden.Bytes(t, "accepted.page", records[0].Value)
	restored := ReadAcceptedChanges(func(key string) message.Record {
		return message.Record{Key: key, Value: stored, Deleted: key != "taken/00"}
	})
	if version, ok := restored.Find("change-2", 0); !ok || version != 7 {
		t.Errorf("change-2 was accepted as %d, %v", version, ok)
	}
	if last := restored.Add(make([]AcceptedChange, 31)...); len(last) != 2 || last[1].Key != "taken/01" {
		t.Errorf("31 more changes are stored in %d pages", len(last))
	}
}

// Names in stored data and in calls must not change.
func TestStoredNamesAreStable(t *testing.T) {
	for name, want := range map[string]string{
		PlanKey: "plan/now", ZoneKey: "cells/out", ReplicaKey: "seats/now", ListKey("m"): "list/m",
		ServerRecordKey("m", "10.0.0.1:9000"): "berth/" + "m/10.0.0.1:9000", Safe: "safe", Unsafe: "unsafe", Stream: "stream",
	} {
		if name != want {
			t.Errorf("%q was %q", name, want)
		}
	}
	for service, want := range map[string]int{"timetable": 5, "m": 5, "model-a": 2} {
		if got := PartitionOf(service, 8); got != want {
			t.Errorf("%s is in partition %d, was in %d", service, got, want)
		}
	}
	plan := Plan{
		ID: "p", Services: []Service{{Name: "m", PrefillServers: 1, DecodeServers: 1}}, Tenants: []Tenant{{Name: "x"}},
		Routes: []Route{{Name: "r"}},
	}
	item := plan.Services[0]
	for op, change := range map[string]Change{
		"set-tenant": {Tenant: &plan.Tenants[0]}, "drop-tenant": {Name: "x"}, "set-service": {Service: &item},
		"drop-service": {Name: "m"}, "set-route": {Route: &plan.Routes[0]}, "drop-route": {Name: "r"}, "set-limits": {Limits: &plan.Limits},
		"set-needs": {Needs: 1}, "exclude-server": {Name: "m", Server: "10.0.0.1:1"}, "include-server": {Name: "m", Server: "10.0.0.1:1"},
	} {
		change.Op = op
		_, faults := plan.Apply(Changes{ID: "c", Changes: []Change{change}})
		if strings.Contains(strings.Join(faults.List, "\n"), "changes[0]") {
			t.Errorf("%s is no longer a valid change: %v", op, faults.List)
		}
	}
	if _, faults := plan.Apply(Changes{ID: "c", Changes: []Change{{Op: "set"}}}); !reflect.DeepEqual(faults.List, []string{
		`changes[0] "set": expected set-tenant, drop-tenant, set-service, drop-service, set-route, drop-route, set-limits, set-needs, exclude-server or include-server`,
	}) {
		t.Errorf("an unknown change: %v", faults.List)
	}
}

// The messages of faults are part of the answers to operators and must not change.
func TestFaultMessagesAreStable(t *testing.T) {
	plan := Plan{
		ID: "a/b", Needs: -1,
		Tenants: []Tenant{
			{Name: "x", Priority: 10, QueueFraction: 2, Services: []string{"none"}},
			{Name: "x", TimeoutMillis: 1, QueueFraction: 1},
		},
		Services: []Service{
			{Name: "m/n", Exclude: []string{"nowhere"}},
			{Name: "m", PrefillServers: 1, DecodeServers: 1},
			{Name: "m", PrefillServers: 1, DecodeServers: 1},
		},
		Routes: []Route{
			{Name: "r", Kind: "other", Services: []Share{{Service: "none", Weight: -1}}},
			{Name: "r", Kind: Safe, GiveUpMillis: 1},
		},
	}
	list := List{Servers: []Server{{Addr: "host:1", Capacity: 5000}, {Addr: "host:1"}}}
	faults := append(plan.Validate().List, list.Validate().List...)
	for _, body := range []string{`{"tenats":[]}`, `{} {}`, `{"tenants":3}`, `{`} {
		faults = append(faults, Decode([]byte(body), new(Plan)).List...)
	}
	_, f := plan.Apply(Changes{})
	faults = append(faults, f.List...)
	var changes []Change
	for _, op := range []string{
		"set-tenant", "drop-tenant", "set-service", "drop-service", "set-route", "drop-route", "set-limits",
		"exclude-server",
	} {
		changes = append(changes, Change{Op: op, Name: "nobody"})
	}
	_, f = plan.Apply(Changes{Changes: append(changes, Change{Op: "exclude-server", Name: "m", Server: "host"})})
	faults = append(faults, f.List...)
	_, verdict := Judge(Plan{Version: 4}, Proposal{ID: "c", Base: 4, Next: func(Plan) (Plan, Faults) {
		return Plan{Number: 4}, Faults{}
	}})
	faults = append(faults, verdict.Faults...)
	for _, value := range []string{"m\xff", "{", "o\x01"} {
		if _, err := ReadPlan(message.Record{
			Key: PlanKey, Value: []byte(value), Version: message.Version{Term: 3, Seq: 9},
		}); err != nil {
			faults = append(faults, err.Error())
		}
	}
	_, err := ReadZones(message.Record{Key: ZoneKey, Value: []byte("{}")})
	faults = append(faults, err.Error())
	golden.Bytes(t, "faults.txt", []byte(strings.Join(faults, "\n")+"\n"))
}
