package leader

import (
	"testing"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leadercall"
	"mulleinmast/wire/message"
)

// An unreadable record doesn't stop a leader. A call that needs such a record changes
// nothing, and its result is unclear. An unreadable server list is overwritten by the next
// list, since the source of lists keeps resending the current one.
func TestCallOnUnreadableRecord(t *testing.T) {
	stored := map[string][]byte{
		fleetconfig.PlanKey:      []byte("m\xffof another build"),
		fleetconfig.ZoneKey:      []byte(`{"zones":["north"]}`),
		fleetconfig.ReplicaKey:   []byte(`"a"`),
		fleetconfig.ListKey("m"): []byte(`["10.0.0.1:1"]`),
		OnceKey("t/k"):           []byte(`7`),
	}
	read := func(key string) message.Record {
		value, ok := stored[key]
		return message.Record{Key: key, Value: value, Deleted: !ok, Version: message.Version{Term: 3, Seq: 9}}
	}
	plan := fleetconfig.Plan{
		ID: "p", Base: 4, Services: []fleetconfig.Service{{Name: "m", PrefillServers: 1, DecodeServers: 1}},
	}
	for op, body := range map[string][]byte{
		"plan": leadercall.MustMarshal(plan),
		"changes": leadercall.MustMarshal(fleetconfig.Changes{
			ID: "c", Base: 4, Changes: []fleetconfig.Change{{Op: "drop-route", Name: "r"}},
		}),
		"evacuate": []byte("south"),
		"return":   []byte("north"),
		"seat":     leadercall.MustMarshal(ReplicaCall{Out: "a", Ident: "b", Addr: "10.0.0.1:1"}),
		"claim":    leadercall.MustMarshal(ClaimCall{Key: "t/k", Claim: leadercall.Claim{Request: "r", State: "claimed"}}),
		"unclaim":  leadercall.MustMarshal(ClaimCall{Key: "t/k", Claim: leadercall.Claim{Request: "r", State: "shed"}}),
	} {
		records, answer, panicked := buildCall(op, body, read)
		if response, ok := answer.(leadercall.Response); panicked != nil || !ok || response.Result != "not clear" ||
			len(records) > 0 {
			t.Errorf("%s: wrote %d records, answered %+v, panicked with %v", op, len(records), answer, panicked)
		}
	}
	list := ServersCall{
		"m", fleetconfig.List{Version: 2, Servers: []fleetconfig.Server{{Addr: "10.0.0.1:1", Zone: "a", Capacity: 8}}},
	}
	records, answer, panicked := buildCall("servers", leadercall.MustMarshal(list), read)
	if response, ok := answer.(leadercall.Response); panicked != nil || len(records) != 1 || !ok ||
		response.Result != responseDone.Result {
		t.Errorf("server list: wrote %d records, answered %+v, panicked with %v", len(records), answer, panicked)
	}
}

// If the record of past calls can't be read, no order is executed, since it may have been
// executed before.
func TestOrderWithUnreadablePastCalls(t *testing.T) {
	read := func(key string) message.Record {
		return message.Record{
			Key: key, Value: []byte("{}"), Deleted: key != pastCallsKey, Version: message.Version{Term: 3, Seq: 9},
		}
	}
	records, answer, panicked := buildCall("evacuate", []byte("south"), read)
	if response, ok := answer.(leadercall.Response); panicked != nil || !ok || response.Result != "not clear" ||
		len(records) > 0 {
		t.Errorf("wrote %d records, answered %+v, panicked with %v", len(records), answer, panicked)
	}
}

// buildCall runs the write of a call on the given records; panicked is the recovered
// panic value, if any.
func buildCall(
	op string, body []byte, read func(string) message.Record,
) (records []message.Record, answer, panicked any) {
	defer func() { panicked = recover() }()
	r := newUnnumberedRequest()
	r.id = "d#1/1"
	job, err := r.job(op, body)
	if err != nil {
		return nil, err, nil
	}
	records, answer = job.Build(read)
	return records, answer, nil
}
