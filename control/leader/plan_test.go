package leader

import (
	"strings"
	"testing"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leadercall"
	"mulleinmast/wire/message"
)

// A daemon may compress a plan or changes before forwarding them: the leader handles them
// like uncompressed ones, and reports a fault if they can't be decompressed.
func TestCompressedCallsMatchPlainCalls(t *testing.T) {
	plan := fleetconfig.Plan{
		ID: "p", Number: 4, Tenants: []fleetconfig.Tenant{}, Services: []fleetconfig.Service{
			{Name: "m", PrefillServers: 1, DecodeServers: 1},
		},
		Routes: []fleetconfig.Route{
			{
				Name: "r", Host: "h", Prefix: "/", Kind: fleetconfig.Safe, GiveUpMillis: 5,
				Services: []fleetconfig.Share{{Service: "m", Weight: 1}},
			},
		},
	}
	drop := fleetconfig.Changes{ID: "c", Base: 4, Number: 9, Changes: []fleetconfig.Change{{Op: "drop-route", Name: "r"}}}
	stored := map[string]message.Record{}
	read := func(key string) message.Record {
		if r, ok := stored[key]; ok {
			return r
		}
		return noRecord(key)
	}
	do := func(op string, body []byte) (fleetconfig.Verdict, error) {
		job, err := newUnnumberedRequest().job(op, body)
		if err != nil {
			return fleetconfig.Verdict{}, err
		}
		records, answer := job.Build(read)
		for _, r := range records {
			stored[r.Key] = r
		}
		return answer.(fleetconfig.Verdict), nil
	}
	for _, test := range []struct {
		op      string
		body    any
		version uint64
		routes  int // number of routes afterwards
	}{{leadercall.OpPlan, plan, 4, 1}, {leadercall.OpChanges, drop, 9, 0}} {
		compressed, err := fleetconfig.EncodeCall(test.body)
		if err != nil {
			t.Fatal(err)
		}
		for _, body := range [][]byte{compressed, leadercall.MustMarshal(test.body)} { // the second repeats the first
			verdict, err := do(test.op, body)
			routes := len(fleetconfig.MustReadPlan(read(fleetconfig.PlanKey)).Routes)
			if err != nil || verdict.Result != fleetconfig.VerdictAccepted || verdict.Version != test.version ||
				routes != test.routes {
				t.Errorf("%s: %+v %v, %d routes", test.op, verdict, err, routes)
			}
		}
		if _, err := do(test.op, compressed[:len(compressed)/2]); err == nil {
			t.Errorf("%s: a truncated body was accepted", test.op)
		}
	}
}

// A plan that some daemon of the fleet couldn't read is refused, and nothing is written.
func TestPlanUnreadableBySomeDaemonIsRefused(t *testing.T) {
	plan := fleetconfig.Plan{
		ID: "p", Services: []fleetconfig.Service{{Name: "m", PrefillServers: 1, DecodeServers: 1}}, Needs: 3,
	}
	for format, isAccepted := range map[int]bool{0: true, 1: false, 2: false, 3: true, 4: true} {
		r := newUnnumberedRequest()
		r.readableFormat = func() int { return format }
		job, err := r.job(leadercall.OpPlan, leadercall.MustMarshal(plan))
		if err != nil {
			t.Fatal(err)
		}
		records, answer := job.Build(noRecord)
		response, isRefused := answer.(leadercall.Response)
		hasReason := response.Result == leadercall.ResultNotDone && strings.Contains(response.Reason, "format 3")
		if (len(records) > 0) != isAccepted || isRefused == isAccepted || isRefused && !hasReason {
			t.Errorf("readable format %d: wrote %d records, answered %+v", format, len(records), answer)
		}
	}
}
