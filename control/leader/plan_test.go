package leader

import (
	"strings"
	"testing"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leadercall"
	"mulleinmast/wire/message"
)

// A daemon may pass a plan or changes on packed: the leader does the same with
// them as with plain ones, and names one that can't be opened.
func TestPackedCalls(t *testing.T) {
	plan := fleetconfig.Plan{
		ID: "p", Number: 4, Tenants: []fleetconfig.Tenant{}, Services: []fleetconfig.Service{{Name: "m", PrefillServers: 1, DecodeServers: 1}},
		Routes: []fleetconfig.Route{{Name: "r", Host: "h", Prefix: "/", Kind: fleetconfig.Safe, GiveUpMillis: 5, Services: []fleetconfig.Share{{Service: "m", Weight: 1}}}},
	}
	drop := fleetconfig.Changes{ID: "c", Base: 4, Number: 9, Changes: []fleetconfig.Change{{Op: "drop-route", Name: "r"}}}
	held := map[string]message.Record{}
	read := func(key string) message.Record {
		if r, ok := held[key]; ok {
			return r
		}
		return message.Record{Key: key, Deleted: true}
	}
	do := func(op string, body []byte) (fleetconfig.Verdict, string) {
		j, fault := job(new(fleetconfig.PlanReader), ask{}, op, body)
		if fault != "" {
			return fleetconfig.Verdict{}, fault
		}
		recs, word := j.Build(read)
		for _, r := range recs {
			held[r.Key] = r
		}
		return word.(fleetconfig.Verdict), ""
	}
	for i, x := range []struct {
		op   string
		body any
		ver  uint64
		left int
	}{{"plan", plan, 4, 1}, {"changes", drop, 9, 0}} {
		body, err := fleetconfig.EncodeCall(x.body)
		if err != nil {
			t.Fatal(err)
		}
		for _, b := range [][]byte{body, leadercall.Pack(x.body)} { // the second is the first sent again
			if v, fault := do(x.op, b); fault != "" || v.Result != "taken" || v.Version != x.ver || len(fleetconfig.OpenPlan(read(fleetconfig.PlanKey)).Routes) != x.left {
				t.Errorf("%d: %+v %s", i, v, fault)
			}
		}
		if _, fault := do(x.op, body[:len(body)/2]); fault == "" {
			t.Errorf("%d: cut short and not named", i)
		}
	}
}

// A plan that some daemon of the fleet couldn't read isn't taken, and nothing is written.
func TestAPlanThatNotAllDaemonsRead(t *testing.T) {
	none := func(key string) message.Record { return message.Record{Key: key, Deleted: true} }
	plan := fleetconfig.Plan{ID: "p", Services: []fleetconfig.Service{{Name: "m", PrefillServers: 1, DecodeServers: 1}}, Needs: 3}
	for reads, taken := range map[int]bool{0: true, 1: false, 2: false, 3: true, 4: true} {
		j, fault := job(new(fleetconfig.PlanReader), ask{reads: func() int { return reads }}, "plan", leadercall.Pack(plan))
		if fault != "" {
			t.Fatal(fault)
		}
		recs, word := j.Build(none)
		w, refused := word.(leadercall.Response)
		if (len(recs) > 0) != taken || refused == taken || refused && (w.Result != "not done" || !strings.Contains(w.Reason, "format 3")) {
			t.Errorf("daemons read up to %d: %d records, %+v", reads, len(recs), word)
		}
	}
}
