package master

import (
	"testing"

	"mulleinmast/control/errand"
	"mulleinmast/control/tariff"
	"mulleinmast/wire/form"
)

// Every call's body, one byte changed at a time, is taken or named broken; what
// is written is always a record that can be read.
func TestMutatedCalls(t *testing.T) {
	plan := tariff.Plan{ID: "p", Tenants: []tariff.Tenant{{Name: "x", Priority: 1, Budget: 100, Queue: 0.5}}, Services: []tariff.Service{{Name: "m", Readers: 1, Makers: 1, Exclude: []string{"10.0.0.1:1"}}}}
	bodies := map[string][]byte{
		"plan":    errand.Pack(plan),
		"changes": errand.Pack(tariff.Changes{ID: "c", Base: 0, Changes: []tariff.Change{{Op: "set-tenant", Tenant: &plan.Tenants[0]}}}),
		"servers": errand.Pack(ServersCall{"m", tariff.List{Version: 2, Servers: []tariff.Server{{Addr: "10.0.0.1:1", Cell: "a", Capacity: 8}}}}),
		"seat":    errand.Pack(SeatCall{Out: "a", Ident: "b", Addr: "10.0.0.1:1"}),
		"claim":   errand.Pack(ClaimCall{Key: "t/k", Claim: errand.Claim{Request: "r", State: "claimed"}}),
		"unclaim": errand.Pack(ClaimCall{Key: "t/k", Claim: errand.Claim{Request: "r", State: "shed"}}),
	}
	none := func(key string) form.Rec { return form.Rec{Key: key, Dead: true} }
	for op, good := range bodies {
		if j, fault := job(new(tariff.Reader), "", op, good); fault != "" {
			t.Errorf("%s: %s", op, fault)
		} else if recs, word := j.Make(none); len(recs) != 1 && op != "seat" {
			t.Errorf("%s: wrote %v, said %v", op, recs, word)
		}
		broken := 0
		for i := range good {
			for _, x := range []byte{0, '"', '}', '-', '9', 'x', good[i] ^ 1} {
				b := append([]byte(nil), good...)
				b[i] = x
				j, fault := job(new(tariff.Reader), "", op, b)
				if fault != "" {
					broken++
					continue
				}
				recs, word := j.Make(none)
				if v, ok := word.(tariff.Verdict); ok && v.Result == "broken" {
					broken++
				}
				for _, r := range recs {
					tariff.Open(form.Rec{Dead: r.Key != tariff.PlanKey, Val: r.Val})
					tariff.OpenList(form.Rec{Dead: r.Key != tariff.ListKey("m"), Val: r.Val})
				}
			}
		}
		if broken < len(good) {
			t.Errorf("%s: only %d of %d mutations were named broken", op, broken, 7*len(good))
		}
	}
	if _, fault := job(new(tariff.Reader), "", "evict", nil); fault == "" {
		t.Error("an unknown call has no fault")
	}
}

// A list of an earlier version that comes late is beaten; a key that was
// settled before its claim came can't be claimed by it any more.
func TestLateCallsAreBeaten(t *testing.T) {
	recs := map[string]form.Rec{}
	read := func(key string) form.Rec {
		if r, ok := recs[key]; ok {
			return r
		}
		return form.Rec{Key: key, Dead: true}
	}
	do := func(op string, in any) errand.Word {
		j, _ := job(new(tariff.Reader), "", op, errand.Pack(in))
		out, word := j.Make(read)
		for _, r := range out {
			recs[r.Key] = r
		}
		w, _ := word.(errand.Word)
		return w
	}
	list := func(v uint64, leaving bool) ServersCall {
		return ServersCall{"m", tariff.List{Version: v, Servers: []tariff.Server{{Addr: "10.0.0.1:1", Cell: "a", Capacity: 8, Leaving: leaving}}}}
	}
	do("servers", list(1, false))
	do("servers", list(2, true))
	if w := do("servers", list(1, false)); w.Result != "beaten" || !tariff.OpenList(read(tariff.ListKey("m"))).Servers[0].Leaving {
		t.Errorf("an old list brought a leaving server back: %+v", w)
	}
	claim := func(req, state string) ClaimCall {
		return ClaimCall{"t/k", errand.Claim{Request: req, State: state}}
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
