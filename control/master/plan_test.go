package master

import (
	"testing"

	"mulleinmast/control/errand"
	"mulleinmast/control/tariff"
	"mulleinmast/wire/form"
)

// A daemon may pass a plan or changes on packed: the owner does the same with
// them as with plain ones, and names one that can't be opened.
func TestPackedCalls(t *testing.T) {
	plan := tariff.Plan{ID: "p", Number: 4, Tenants: []tariff.Tenant{}, Services: []tariff.Service{{Name: "m", Readers: 1, Makers: 1}},
		Routes: []tariff.Route{{Name: "r", Host: "h", Prefix: "/", Kind: tariff.Safe, GiveUp: 5, Services: []tariff.Share{{Service: "m", Weight: 1}}}}}
	drop := tariff.Changes{ID: "c", Base: 4, Number: 9, Changes: []tariff.Change{{Op: "drop-route", Name: "r"}}}
	cur := form.Rec{Key: tariff.PlanKey, Dead: true}
	do := func(op string, body []byte) (tariff.Verdict, string) {
		j, fault := job(new(tariff.Reader), "", op, body)
		if fault != "" {
			return tariff.Verdict{}, fault
		}
		recs, word := j.Make(func(string) form.Rec { return cur })
		for _, r := range recs {
			cur = r
		}
		return word.(tariff.Verdict), ""
	}
	for i, x := range []struct {
		op   string
		body any
		ver  uint64
		left int
	}{{"plan", plan, 4, 1}, {"changes", drop, 9, 0}} {
		body, err := tariff.Pack(x.body)
		if err != nil {
			t.Fatal(err)
		}
		for _, b := range [][]byte{body, errand.Pack(x.body)} { // the second is the first sent again
			if v, fault := do(x.op, b); fault != "" || v.Result != "taken" || v.Version != x.ver || len(tariff.Open(cur).Routes) != x.left {
				t.Errorf("%d: %+v %s", i, v, fault)
			}
		}
		if _, fault := do(x.op, body[:len(body)/2]); fault == "" {
			t.Errorf("%d: cut short and not named", i)
		}
	}
}
