package fleetconfig

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"mulleinmast/wire/message"
)

func validPlan() Plan {
	return Plan{
		ID: "a", Tenants: []Tenant{{Name: "x", Priority: 1, TimeoutMillis: 100, QueueFraction: 0.5}},
		Services: []Service{{Name: "m", PrefillServers: 1, DecodeServers: 1}},
	}
}

// Each change makes one field of a valid plan invalid. The fault must name this field.
func TestPlanValidationNamesEveryFault(t *testing.T) {
	if f := validPlan().Validate(); f.Any() {
		t.Fatal(f)
	}
	for where, change := range map[string]func(*Plan){
		"plan.id":                   func(p *Plan) { p.ID = "" },
		"tenants[0].name":           func(p *Plan) { p.Tenants[0].Name = "a/b" },
		"tenants[0].priority":       func(p *Plan) { p.Tenants[0].Priority = 10 },
		"tenants[0].budget_ms":      func(p *Plan) { p.Tenants[0].TimeoutMillis = 0 },
		"tenants[0].queue":          func(p *Plan) { p.Tenants[0].QueueFraction = 1.5 },
		"tenants[0]: keys, urgency": func(p *Plan) { p.Tenants[0].Keys = []string{"k"} },
		"tenants[0]: keys":          func(p *Plan) { p.Tenants[0].Rate = 7 },
		"tenants[0].keys[1]":        func(p *Plan) { p.Tenants[0].ByKey, p.Tenants[0].Keys = true, []string{"k", ""} },
		"tenants[0].urgency": func(p *Plan) {
			urgency := 10
			p.Tenants[0].ByKey, p.Tenants[0].Urgency = true, &urgency
		},
		"tenants[0].rate":  func(p *Plan) { p.Tenants[0].ByKey, p.Tenants[0].Rate = true, -1 },
		"tenants[0].burst": func(p *Plan) { p.Tenants[0].ByKey, p.Tenants[0].Burst = true, 2e9 },
		"tenants[1].keys[1]": func(p *Plan) {
			first, second := p.Tenants[0], p.Tenants[0]
			first.ByKey, first.Keys = true, []string{"a", "shared"}
			second.Name, second.ByKey, second.Keys = "y", true, []string{"b", "shared"}
			p.Tenants = []Tenant{first, second}
		},
		"tenants[0].services":   func(p *Plan) { p.Tenants[0].Services = []string{"q"} },
		"tenants[1].name":       func(p *Plan) { p.Tenants = append(p.Tenants, p.Tenants[0]) },
		"services[1].name":      func(p *Plan) { p.Services = append(p.Services, p.Services[0]) },
		"services[0].readers":   func(p *Plan) { p.Services[0].PrefillServers = 0 },
		"services[0].exclude.0": func(p *Plan) { p.Services[0].Exclude = []string{"nowhere"} },
	} {
		p := validPlan()
		change(&p)
		f := p.Validate()
		if len(f.List) != 1 || !strings.HasPrefix(f.List[0], where) {
			t.Errorf("%s: got %v", where, f.List)
		}
	}
	p := validPlan()
	p.ID, p.Tenants[0].Priority, p.Services[0].DecodeServers = "", -1, 0
	if f := p.Validate(); len(f.List) != 3 {
		t.Errorf("three faults at once: %v", f.List)
	}
}

func TestJudge(t *testing.T) {
	propose := func(p Plan, id string, base uint64) Proposal {
		p.ID, p.Base = id, base
		return p.Propose()
	}
	val, v := Judge(Plan{}, propose(validPlan(), "a", 0))
	if v.Result != "taken" || v.Version != 1 {
		t.Fatal(v)
	}
	cur := MustReadPlan(message.Record{Value: val})
	if val, v := Judge(cur, propose(validPlan(), "a", 0)); val != nil || v.Result != "taken" || v.Version != 1 {
		t.Errorf("repeated: %v", v)
	}
	if val, v := Judge(cur, propose(validPlan(), "b", 0)); val != nil || v.Result != "beaten" || v.Version != 1 {
		t.Errorf("old base: %v", v)
	}
	invalid := validPlan()
	invalid.Tenants[0].TimeoutMillis = -1
	if val, v := Judge(cur, propose(invalid, "c", 1)); val != nil || v.Result != "broken" || len(v.Faults) == 0 {
		t.Errorf("invalid: %v", v)
	}
	_, f := cur.Apply(Changes{ID: "d", Base: 1, Changes: []Change{{Op: "drop-tenant", Name: "nobody"}, {Op: "what"}}})
	if len(f.List) != 2 {
		t.Errorf("changes: %v", f.List)
	}
	next, f := cur.Apply(Changes{
		ID: "e", Base: 1, Changes: []Change{{Op: "exclude-server", Name: "m", Server: "10.0.0.1:1"}},
	})
	if f.Any() || len(next.Services[0].Exclude) != 1 || len(cur.Services[0].Exclude) != 0 {
		t.Errorf("exclude: %v %v", f, next)
	}
}

func TestDecodeIsStrict(t *testing.T) {
	var p Plan
	for in, want := range map[string]string{
		`{"tenats":[]}`: "tenats", `{} {}`: "more than one", `{"tenants":3}`: "cannot unmarshal",
	} {
		if f := Decode([]byte(in), &p); len(f.List) != 1 || !strings.Contains(f.List[0], want) {
			t.Errorf("%s: %v", in, f.List)
		}
	}
	b, _ := json.Marshal(Template())
	if f := Decode(b, &p); f.Any() || p.Validate().Any() {
		t.Errorf("the template is not a valid plan: %v %v", f, p.Validate())
	}
}

func TestListValidationNamesEveryFault(t *testing.T) {
	l := List{
		Servers: []Server{
			{Addr: "10.0.0.1:1", Zone: "a", Capacity: 1},
			{Addr: "10.0.0.1:1", Zone: "a", Capacity: 1},
			{Addr: "host:1", Zone: "", Capacity: 0},
		},
	}
	if f := l.Validate(); len(f.List) != 4 {
		t.Errorf("%v", f.List)
	}
}

// A plan that requires a newer format than this build reads is rejected, with an error that
// names the required format.
func TestPlanOfNewerFormatIsRejected(t *testing.T) {
	p := Plan{ID: "p", Services: []Service{{Name: "m", PrefillServers: 1, DecodeServers: 1}}, Needs: NewestFormat()}
	val, err := EncodePlan(p)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := ReadPlan(message.Record{Key: PlanKey, Value: val}); err != nil || got.Needs != NewestFormat() {
		t.Errorf("requires the newest format: %v, %+v", err, got)
	}
	p.Needs = NewestFormat() + 1
	if val, err = EncodePlan(p); err != nil {
		t.Fatal(err)
	}
	needed := fmt.Sprintf("format %d", NewestFormat()+1)
	if _, err := ReadPlan(message.Record{Key: PlanKey, Value: val}); err == nil || !strings.Contains(err.Error(), needed) {
		t.Errorf("requires a newer format: %v", err)
	}
	next, f := p.Apply(Changes{ID: "c", Changes: []Change{{Op: "set-needs"}}})
	if f.Any() || next.Needs != 0 {
		t.Errorf("after the requirement was removed: %v %d", f, next.Needs)
	}
	for _, needs := range []int{-1, maxFormat + 1} {
		if p.Needs = needs; !p.Validate().Any() {
			t.Errorf("a required format of %d is valid", needs)
		}
	}
}

// A fault about a key shared by two tenants names the tenants, but not the key.
func TestFaultsDoNotRevealKeys(t *testing.T) {
	p := validPlan()
	for _, name := range []string{"first", "second"} {
		tenant := p.Tenants[0]
		tenant.Name, tenant.ByKey, tenant.Keys = name, true, []string{"s3cret"}
		p.Tenants = append(p.Tenants, tenant)
	}
	f := p.Validate()
	if len(f.List) != 1 || !strings.Contains(f.List[0], `"first" and "second" have a key in common`) {
		t.Fatal(f)
	}
	if strings.Contains(f.List[0], "s3cret") {
		t.Error(f.List[0])
	}
}

// A plan with keys requires the format that introduced them, since an older build would serve
// clients without a key.
func TestPlanWithKeysRequiresKeysFormat(t *testing.T) {
	p := validPlan()
	p.Tenants[0].ByKey = true
	value, verdict := Judge(Plan{}, p.Propose())
	if verdict.Result != VerdictAccepted {
		t.Fatal(verdict)
	}
	if got := MustReadPlan(message.Record{Value: value}).Needs; got != keysFormat {
		t.Errorf("the plan requires format %d, expected %d", got, keysFormat)
	}
	if got := validPlan().RequiredFormat(); got != 0 {
		t.Errorf("a plan without keys requires format %d", got)
	}
}

// The last tenant that is identified by keys is removed, and clients go on to need keys: an empty list of such
// tenants opens no route. A tenant that is added later counts as any.
func TestRemovingLastTenantKeepsKeysRequired(t *testing.T) {
	p := validPlan()
	keyed := p.Tenants[0]
	keyed.Name, keyed.ByKey, keyed.Keys = "keyed", true, []string{"k"}
	apply := func(change Change) {
		t.Helper()
		next, f := p.Apply(Changes{ID: "c", Base: p.Version, Changes: []Change{change}})
		if f.Any() {
			t.Fatal(f)
		}
		p = next
	}
	expect := func(when string, needsKeys, noTenants bool) {
		t.Helper()
		if p.NeedsKeys() != needsKeys || p.KeysRequired != noTenants {
			t.Errorf("%s: keys needed %v, without a tenant %v", when, p.NeedsKeys(), p.KeysRequired)
		}
	}
	apply(Change{Op: OpDropTenant, Name: "nobody", Lenient: true})
	expect("no tenant with keys was there", false, false)
	for range 2 {
		apply(Change{Op: OpSetTenant, Tenant: &keyed})
		expect("a tenant with keys", true, false)
		apply(Change{Op: OpDropTenant, Name: "keyed"})
		expect("the last one is removed", true, true)
		apply(Change{Op: OpSetLimits, Limits: &Limits{BodyBytes: 1 << 20}})
		expect("another change", true, true)
	}
	value, verdict := Judge(Plan{}, p.Propose())
	if verdict.Result != VerdictAccepted {
		t.Fatal(verdict)
	}
	if p = MustReadPlan(message.Record{Value: value}); p.Needs != noTenantsFormat {
		t.Errorf("the plan requires format %d, expected %d", p.Needs, noTenantsFormat)
	}
	expect("read from its record", true, true)
	p = validPlan()
	expect("a complete plan without such a list", false, false)
}

// A reader completes each plan that it decodes, whether or not its record has a version.
func TestReaderCompletesPlans(t *testing.T) {
	value, err := EncodePlan(validPlan())
	if err != nil {
		t.Fatal(err)
	}
	reader := PlanReader{Complete: func(p *Plan) { p.KeysRequired = true }}
	for _, version := range []message.Version{{}, {Term: 1, Seq: 2}, {Term: 1, Seq: 2}} {
		if plan, err := reader.Read(message.Record{Key: PlanKey, Value: value, Version: version}); err != nil || !plan.KeysRequired {
			t.Errorf("version %v: %+v, error %v", version, plan, err)
		}
	}
}
