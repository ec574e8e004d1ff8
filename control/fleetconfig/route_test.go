package fleetconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"mulleinmast/wire/message"
)

func routedPlan() Plan {
	p := validPlan()
	p.Routes = []Route{
		{Name: "r1", Host: "a.example", Prefix: "/x/", Kind: Safe, GiveUpMillis: 100, Services: []Share{{"m", 1}}},
		{
			Name: "r2", Host: "a.example", Prefix: "/y/", Kind: Stream, GiveUpMillis: 100,
			Services: []Share{{"m", 0}, {"m", 9}},
		},
	}
	return p
}

func TestRouteValidationNamesEveryFault(t *testing.T) {
	if f := routedPlan().Validate(); f.Any() {
		t.Fatal(f)
	}
	for where, change := range map[string]func(*Plan){
		"routes[0].name":               func(p *Plan) { p.Routes[0].Name = "" },
		"routes[1].name":               func(p *Plan) { p.Routes[1].Name = "r1" },
		"routes[1].prefix":             func(p *Plan) { p.Routes[1].Host, p.Routes[1].Prefix = "A.Example:80", "/x/" },
		"routes[0].kind":               func(p *Plan) { p.Routes[0].Kind = "save" },
		"routes[0].give_up_ms":         func(p *Plan) { p.Routes[0].GiveUpMillis = 0 },
		"routes[1].give_up_ms":         func(p *Plan) { p.Routes[1].GiveUpMillis = -1 },
		"routes[0].services[0]: no":    func(p *Plan) { p.Routes[0].Services = []Share{{"n", 1}} },
		"routes[1].services[0].weight": func(p *Plan) { p.Routes[1].Services[0].Weight = -1 },
		"routes[1].services: the":      func(p *Plan) { p.Routes[1].Services[1].Weight = 0 },
		"routes[0].services: the":      func(p *Plan) { p.Routes[0].Services = nil },
		"services[0].name": func(p *Plan) {
			p.Services = append([]Service{{Name: "a/b", PrefillServers: 1, DecodeServers: 1}}, p.Services...)
		},
	} {
		p := routedPlan()
		change(&p)
		f := p.Validate()
		if len(f.List) != 1 || !strings.HasPrefix(f.List[0], where) {
			t.Errorf("%s: got %v", where, f.List)
		}
	}
	p := routedPlan()
	p.Routes[0].Services, p.Routes[1].GiveUpMillis, p.Routes[1].Kind = []Share{{"n", 0}}, 0, ""
	if f := p.Validate(); len(f.List) != 4 {
		t.Errorf("four faults at once: %v", f.List)
	}
	p = routedPlan()
	p.Services = append(p.Services, Service{Name: "Ünïcode: any name \"goes\"", PrefillServers: 1, DecodeServers: 1})
	if f := p.Validate(); f.Any() {
		t.Errorf("an unusual service name: %v", f)
	}
}

// A number chosen by the operator becomes the plan's version if it is above the current
// version. A later plan without a number gets the next version.
func TestOperatorNumberBecomesVersion(t *testing.T) {
	propose := func(p Plan, id string, base, number uint64) Proposal {
		p.ID, p.Base, p.Number = id, base, number
		return p.Propose()
	}
	s := &testRecords{stored: map[string]message.Record{}}
	for i, x := range []struct {
		id     string
		base   uint64
		number uint64
		result string
		want   uint64 // version
	}{
		{"a", 0, 5, "taken", 5},
		{"b", 5, 5, "broken", 5},
		{"c", 5, 4, "broken", 5},
		{"d", 4, 9, "beaten", 5},
		{"e", 5, 12, "taken", 12},
		{"f", 12, 0, "taken", 13},
		{"a", 0, 5, "taken", 5},
		{"e", 5, 12, "taken", 12},
		{"g", 0, 14, "beaten", 13},
	} {
		recs, v, err := Decide(s.read, new(PlanReader), propose(routedPlan(), x.id, x.base, x.number))
		if err != nil || v.Result != x.result || v.Version != x.want || (v.Result == "broken") != (len(v.Faults) == 1) {
			t.Errorf("%d: %+v %v, expected %s %d", i, v, err, x.result, x.want)
		}
		for _, r := range recs {
			s.stored[r.Key] = r
		}
		if cur := MustReadPlan(s.read(PlanKey)); len(recs) > 0 && (cur.Version != x.want || cur.Number != 0) {
			t.Errorf("%d: the current plan has version %d and number %d", i, cur.Version, cur.Number)
		}
	}
	invalid := routedPlan()
	invalid.Routes[0].GiveUpMillis = 0
	if _, v := Judge(MustReadPlan(s.read(PlanKey)), propose(invalid, "z", 13, 13)); len(v.Faults) != 2 {
		t.Errorf("an invalid plan with an outdated number: %v", v.Faults)
	}
}

func TestRouteChanges(t *testing.T) {
	p := routedPlan()
	r := p.Routes[0]
	r.GiveUpMillis = 7
	added := r
	added.Name, added.Prefix = "r3", "/z/"
	next, f := p.Apply(Changes{ID: "x", Number: 8, Changes: []Change{
		{Op: "set-route", Route: &added},
		{Op: "set-route", Route: &r},
		{Op: "drop-route", Name: "r2"},
		{Op: "drop-route", Name: "r9", Lenient: true},
		{Op: "set-limits", Limits: &Limits{IdleTimeoutMillis: 3}},
	}})
	if f.Any() || next.Number != 8 || next.Limits.IdleTimeoutMillis != 3 ||
		!reflect.DeepEqual(next.Routes, []Route{r, added}) || !reflect.DeepEqual(p, routedPlan()) {
		t.Errorf("%+v %v", next, f)
	}
	for want, c := range map[string]Change{
		"no route": {Op: "drop-route", Name: "r9"}, "needs a route": {Op: "set-route"}, "needs limits": {Op: "set-limits"},
		"no service": {Op: "drop-service", Name: "m"},
	} {
		_, f := p.Apply(Changes{ID: "x", Changes: []Change{c}})
		if !f.Any() || !strings.Contains(f.List[0], want) {
			t.Errorf("%s: %v", want, f)
		}
	}
}

// Any sequence of named changes must have the same result as editing a plain slice one change
// at a time.
func TestChangesMatchPlainSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := routedPlan()
		p.Routes = nil
		var plain []Route
		for range rapid.IntRange(1, 4).Draw(t, "sets") {
			c := Changes{ID: "x"}
			for i := range rapid.IntRange(1, 12).Draw(t, "changes") {
				n := rapid.IntRange(0, 5).Draw(t, "name")
				r := Route{
					Name: fmt.Sprint("r", n), Host: "h", Prefix: fmt.Sprintf("/%d/", n), Kind: Safe, GiveUpMillis: i + 1,
					Services: []Share{{"m", 1}},
				}
				at := -1
				for j := range plain {
					if plain[j].Name == r.Name {
						at = j
					}
				}
				switch {
				case rapid.Bool().Draw(t, "drop"):
					c.Changes = append(c.Changes, Change{Op: "drop-route", Name: r.Name, Lenient: true})
					if at >= 0 {
						plain = append(plain[:at:at], plain[at+1:]...)
					}
				case at >= 0:
					c.Changes = append(c.Changes, Change{Op: "set-route", Route: &r})
					plain[at] = r
				default:
					c.Changes = append(c.Changes, Change{Op: "set-route", Route: &r})
					plain = append(plain, r)
				}
			}
			next, f := p.Apply(c)
			if f.Any() {
				t.Fatal(f)
			}
			p = next
		}
		if len(p.Routes) != len(plain) || len(plain) > 0 && !reflect.DeepEqual(p.Routes, plain) {
			t.Fatalf("%v, expected %v", p.Routes, plain)
		}
	})
}

// Compressed and uncompressed records are read as the same plan, and the compressed one is
// shorter.
func TestPlainAndCompressedRecordsAreRead(t *testing.T) {
	p := routedPlan()
	p.Version = 3
	p.Raw = json.RawMessage(`{"more":"<&>"}`)
	for i := range 900 {
		r := p.Routes[0]
		r.Name, r.Prefix, r.Raw = fmt.Sprint("n", i), fmt.Sprintf("/n%d/", i), json.RawMessage(fmt.Sprintf(`{"n":%d}`, i))
		p.Routes = append(p.Routes, r)
	}
	plain, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	compressed, err := EncodeCall(p)
	if err != nil {
		t.Fatal(err)
	}
	if len(compressed)*5 > len(plain) {
		t.Errorf("%d bytes compressed to %d", len(plain), len(compressed))
	}
	a, b := MustReadPlan(message.Record{Value: plain}), MustReadPlan(message.Record{Value: compressed})
	p.Raw, a.Raw = nil, nil // json.Marshal escaped Raw in the plain record
	if b.Raw = nil; !reflect.DeepEqual(a, p) || !reflect.DeepEqual(b, p) {
		t.Error("the records are read as different plans")
	}
	for _, damaged := range [][]byte{compressed[:len(compressed)/2], append([]byte("zz"), compressed...), []byte("z")} {
		if out, err := Decompress(damaged); err == nil && len(out) > 0 {
			t.Errorf("a damaged value was read: %.20q", out)
		}
	}
	if _, err := EncodeCall(Plan{Raw: bytes.Repeat([]byte("1"), maxPlanBytes)}); err == nil {
		t.Error("a plan that is too long to be read was compressed")
	}
	if _, err := EncodeCall(Plan{Raw: json.RawMessage("{")}); err == nil {
		t.Error("a raw field that isn't JSON was accepted")
	}
}

func TestNormalizeHost(t *testing.T) {
	for in, want := range map[string]string{
		"": "", "a": "a", "A.Example": "a.example", "a:80": "a", "[::1]:80": "[::1]", "[::1]": "[::1]", "::1": "::1",
		"a:": "a", ":80": "",
	} {
		if got := NormalizeHost(in); got != want {
			t.Errorf("%q: %q, expected %q", in, got, want)
		}
	}
}

// BenchmarkJudge measures the leader's work for one change to a plan of 3000 routes.
func BenchmarkJudge(b *testing.B) {
	p := routedPlan()
	for i := range 3000 {
		r := p.Routes[0]
		r.Name, r.Prefix = fmt.Sprint("n", i), fmt.Sprintf("/n%d/", i)
		r.Raw, _ = json.Marshal(r)
		p.Routes = append(p.Routes, r)
	}
	p.ID = "a"
	val, v := Judge(Plan{}, p.Propose())
	if v.Result != "taken" {
		b.Fatal(v)
	}
	for b.Loop() {
		cur := MustReadPlan(message.Record{Value: val})
		change := Change{Op: "set-route", Route: &cur.Routes[7]}
		if _, v := Judge(cur, Changes{ID: "b", Base: 1, Changes: []Change{change}}.Propose()); v.Result != "taken" {
			b.Fatal(v)
		}
	}
	b.ReportMetric(float64(len(val)), "bytes")
}
