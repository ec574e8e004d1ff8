package leader

import (
	"testing"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leadercall"
	"mulleinmast/wire/message"
)

// A record that this build can't read stops no leader: a call that needs it
// changes nothing and is told that its end isn't clear; a server list, which its
// source tells again all the time, gives way to the next one.
func TestACallOnARecordThatCanNotBeRead(t *testing.T) {
	held := map[string][]byte{
		fleetconfig.PlanKey:      []byte("m\xffof another build"),
		fleetconfig.ZoneKey:      []byte(`{"zones":["north"]}`),
		fleetconfig.ReplicaKey:   []byte(`"a"`),
		fleetconfig.ListKey("m"): []byte(`["10.0.0.1:1"]`),
		OnceKey("t/k"):           []byte(`7`),
	}
	read := func(key string) message.Record {
		val, ok := held[key]
		return message.Record{Key: key, Value: val, Deleted: !ok, Version: message.Version{Term: 3, Seq: 9}}
	}
	plan := fleetconfig.Plan{ID: "p", Base: 4, Services: []fleetconfig.Service{{Name: "m", PrefillServers: 1, DecodeServers: 1}}}
	for op, body := range map[string][]byte{
		"plan":     leadercall.Pack(plan),
		"changes":  leadercall.Pack(fleetconfig.Changes{ID: "c", Base: 4, Changes: []fleetconfig.Change{{Op: "drop-route", Name: "r"}}}),
		"evacuate": []byte("south"),
		"return":   []byte("north"),
		"seat":     leadercall.Pack(ReplicaCall{Out: "a", Ident: "b", Addr: "10.0.0.1:1"}),
		"claim":    leadercall.Pack(ClaimCall{Key: "t/k", Claim: leadercall.Claim{Request: "r", State: "claimed"}}),
		"unclaim":  leadercall.Pack(ClaimCall{Key: "t/k", Claim: leadercall.Claim{Request: "r", State: "shed"}}),
	} {
		recs, word, fault := carriedOut(op, body, read)
		if w, ok := word.(leadercall.Response); fault != nil || !ok || w.Result != "not clear" || len(recs) > 0 {
			t.Errorf("%s: wrote %d records, said %+v, ended by %v", op, len(recs), word, fault)
		}
	}
	list := ServersCall{"m", fleetconfig.List{Version: 2, Servers: []fleetconfig.Server{{Addr: "10.0.0.1:1", Zone: "a", Capacity: 8}}}}
	recs, word, fault := carriedOut("servers", leadercall.Pack(list), read)
	if w, ok := word.(leadercall.Response); fault != nil || len(recs) != 1 || !ok || w.Result != done.Result {
		t.Errorf("a list: wrote %d records, said %+v, ended by %v", len(recs), word, fault)
	}
}

// The record of orders that were carried out can't be read: none is carried out,
// as nobody knows whether it was before.
func TestAnOrderWhoseRecordCanNotBeRead(t *testing.T) {
	read := func(key string) message.Record {
		return message.Record{Key: key, Value: []byte("{}"), Deleted: key != callsKey, Version: message.Version{Term: 3, Seq: 9}}
	}
	recs, word, fault := carriedOut("evacuate", []byte("south"), read)
	if w, ok := word.(leadercall.Response); fault != nil || !ok || w.Result != "not clear" || len(recs) > 0 {
		t.Errorf("wrote %d records, said %+v, ended by %v", len(recs), word, fault)
	}
}

// carriedOut runs a call's write on some records; fault is what stopped it, if
// anything did.
func carriedOut(op string, body []byte, read func(string) message.Record) (recs []message.Record, word, fault any) {
	defer func() { fault = recover() }()
	j, broken := job(new(fleetconfig.PlanReader), ask{call: "d#1/1", orders: &orders{}}, op, body)
	if broken != "" {
		return nil, broken, nil
	}
	recs, word = j.Build(read)
	return recs, word, nil
}
