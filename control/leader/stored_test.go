package leader

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/internal/golden"
	"mulleinmast/control/leadercall"
	"mulleinmast/control/placement"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

func completeReplicas() []message.Replica {
	return []message.Replica{{Ident: "a", Addr: "10.0.0.1:1"}, {Ident: "b", Addr: "10.0.0.2:1"}}
}

// Call bodies, and the records that a leader writes for them, keep the JSON encoding that other builds read.
func TestStoredJSONEncodingIsUnchanged(t *testing.T) {
	list := fleetconfig.List{Version: 3, Servers: []fleetconfig.Server{{
		ID: "server-1", Addr: "10.0.0.1:9000", Zone: "north", Capacity: 8, Leaving: true, Role: placement.Decode, Warming: true,
	}}}
	claim := leadercall.Claim{Request: "request-1", Daemon: "d", State: "claimed", Past: []string{"request-0"}}
	golden.Check(t, "servers-call.json", ServersCall{Service: "timetable", List: list}, golden.JSON[ServersCall]())
	golden.Check(t, "replica-call.json", ReplicaCall{Out: "c", Ident: "d", Addr: "10.0.0.4:1"}, golden.JSON[ReplicaCall]())
	golden.Check(t, "claim-call.json", ClaimCall{Key: "express/k-17", Claim: claim}, golden.JSON[ClaimCall]())
	pastCalls := []pastCall{{Call: "p#1/7", Response: leadercall.Response{
		Result: "not done", Reason: "why", Faults: []string{"body"}, RetryAfterMillis: 1500, Claim: &claim, Plan: "plan-12", Version: 12,
	}}}
	readCalls := func(value []byte) ([]pastCall, error) {
		return readPastCalls(message.Record{Key: pastCallsKey, Value: value})
	}
	golden.Check(t, "past-calls-without-orders.json", pastCalls, golden.Encoding[[]pastCall]{
		Encode: golden.JSON[[]pastCall]().Encode, Decode: readCalls,
	})
	withOrders, err := os.ReadFile(filepath.Join("testdata", "past-calls.json")) // as earlier builds wrote it
	if err != nil {
		t.Fatal(err)
	}
	if read, err := readCalls(withOrders); err != nil || !reflect.DeepEqual(read, pastCalls) {
		t.Errorf("past-calls.json decodes to %+v, error %v", read, err)
	}
	golden.Check(t, "replicas.json", completeReplicas(), golden.Encoding[[]message.Replica]{
		Encode: golden.JSON[[]message.Replica]().Encode,
		Decode: func(value []byte) ([]message.Replica, error) {
			return readReplicas(message.Record{Key: fleetconfig.ReplicaKey, Value: value})
		},
	})
	golden.Check(t, "floor.json", message.Version{Term: 4, Seq: 900}, golden.JSON[message.Version]())
}

// The keys of records that only a leader writes don't change.
func TestStoredKeysAreUnchanged(t *testing.T) {
	for key, want := range map[string]string{
		pastCallsKey: "calls/done", OnceKey("express/k-17"): "once/express/k-17", quorum.FloorKey: "floor/once",
	} {
		if key != want {
			t.Errorf("stored key %q, expected %q", key, want)
		}
	}
}

// storedRecords returns the records of the last save, one per line.
func (l *testLeader) storedRecords() string {
	var out strings.Builder
	for _, r := range l.lastSave {
		if r.Key == fleetconfig.PlanKey {
			r.Value = []byte(fmt.Sprintf("version %d", fleetconfig.MustReadPlan(r).Version))
		}
		fmt.Fprintf(&out, "  %s %s %q deleted=%v\n", r.Key, r.Version, r.Value, r.Deleted)
	}
	return out.String()
}

// transcript records a series of calls to a leader, with their answers and the records written.
type transcript struct {
	*testLeader
	text      strings.Builder
	requestID uint64
}

func (c *transcript) call(callID uint64, op string, body []byte) {
	c.requestID++
	c.answers, c.lastSave = nil, nil
	c.apply(c.controller.Step(c.now, message.Message{
		Kind: message.KindCall, Partition: c.controller.partitionNumber, From: "p", Epoch: 1, Addr: "10.0.0.9:1",
		ResponseTo: callID, RequestID: c.requestID, Op: op, Body: body,
	}))
	fmt.Fprintf(&c.text, "%s %q\n", op, body)
	for _, m := range c.answers {
		encoded, err := m.MarshalMsg(nil)
		if err != nil {
			c.t.Fatal(err)
		}
		fmt.Fprintf(&c.text, "  code %d %s in frame %x\n", m.Status, m.Body, encoded)
	}
	c.text.WriteString(c.storedRecords())
}

// Every call, with its name and body as other builds send them, gets the same answer and writes the same records.
func TestCallAnswersAndRecordsAreUnchanged(t *testing.T) {
	config := &transcript{testLeader: startLeader(t, 0, nil)}
	plan := fleetconfig.Plan{
		ID: "p1", Tenants: []fleetconfig.Tenant{},
		Services: []fleetconfig.Service{{Name: "m", PrefillServers: 1, DecodeServers: 1}},
	}
	changes := fleetconfig.Changes{
		ID: "c1", Base: 1,
		Changes: []fleetconfig.Change{
			{Op: "set-service", Service: &fleetconfig.Service{Name: "n", PrefillServers: 1, DecodeServers: 1}},
		},
	}
	packed, err := fleetconfig.EncodeCall(changes)
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		op   string
		body []byte
	}{
		{"plan", leadercall.MustMarshal(plan)},
		{"plan", leadercall.MustMarshal(plan)},
		{"plan", leadercall.MustMarshal(fleetconfig.Plan{ID: "p2"})},
		{"plan", leadercall.MustMarshal(fleetconfig.Plan{Base: 1})},
		{"plan", []byte("{")},
		{"changes", packed},
		{"changes", packed},
		{"changes", leadercall.MustMarshal(fleetconfig.Changes{ID: "c2", Base: 2})},
		{"evacuate", []byte("north")},
		{"evacuate", []byte("north")},
		{"return", []byte("north")},
		{"evacuate", []byte("north")},
		{"seat", []byte(`{"out":"x","ident":"y","addr":"10.0.0.4:1"}`)},
		{"seat", []byte(`{"out":"o","ident":"y","addr":"10.0.0.4:1"}`)},
		{"seat", []byte(`{"out":"o","ident":"y","addr":"10.0.0.4:1"}`)},
		{"seat", []byte("7")},
		{"no such call", nil},
	} {
		config.call(config.requestID+1, test.op, test.body)
	}
	config.call(9, "evacuate", []byte("north")) // another attempt of an earlier call
	golden.Bytes(t, "calls-configuration.txt", []byte(config.text.String()))

	service := &transcript{testLeader: startLeader(t, 1, nil)}
	servers := func(version int, addr string) []byte {
		return []byte(fmt.Sprintf(
			`{"Service":"m","List":{"version":%d,"servers":[{"addr":%q,"capacity":8}]}}`, version, addr,
		))
	}
	once := func(request, state string) []byte {
		return []byte(fmt.Sprintf(`{"Key":"t/k","Claim":{"request":%q,"daemon":"d","state":%q}}`, request, state))
	}
	for _, test := range []struct {
		op   string
		body []byte
	}{
		{"servers", servers(2, "10.0.0.1:1")},
		{"servers", servers(2, "10.0.0.1:1")},
		{"servers", servers(1, "10.0.0.2:1")},
		{"servers", servers(0, "10.0.0.3:1")},
		{"servers", []byte("{")},
		{"claim", once("r1", "claimed")},
		{"claim", once("r1", "claimed")},
		{"claim", once("r2", "claimed")},
		{"unclaim", once("r1", "shed")},
		{"claim", once("r2", "claimed")},
		{"unclaim", once("r1", "shed")},
		{"unclaim", once("r3", "shed")},
		{"claim", once("r3", "claimed")},
		{"unclaim", once("r2", "done")},
		{"claim", once("r4", "claimed")},
		{"claim", []byte("7")},
		{"want", []byte("{")},
		{"want", []byte(`{"s":"m"}`)},
	} {
		service.call(service.requestID+1, test.op, test.body)
	}
	service.controller.placement = placement.New(placement.Config{ShareLength: time.Second}, 1, 0)
	service.call(service.requestID+1, "want", []byte(`{"s":"m","a":0}`))
	service.call(service.requestID-1, "want", []byte(`{"s":"m","a":0}`)) // an earlier demand that arrives late
	golden.Bytes(t, "calls-service.txt", []byte(service.text.String()))

	follower := &transcript{testLeader: startLeader(t, 0, nil)}
	follower.now = follower.controller.Partition().Replica.LeaseEnd()
	follower.call(1, "plan", leadercall.MustMarshal(plan))
	if follower.answers[0].Status != http.StatusMisdirectedRequest {
		t.Errorf("a leader with an expired lease answered %d", follower.answers[0].Status)
	}
	golden.Bytes(t, "calls-lapsed.txt", []byte(follower.text.String()))
}

// The record of the version below which once keys are dropped keeps its JSON encoding.
func TestFloorRecordEncodingIsUnchanged(t *testing.T) {
	l := startLeader(t, 1, nil)
	l.controller.cfg.OnceKeyRetention = time.Second
	for l.now < 4*time.Second && len(l.records) == 0 {
		l.tick()
		l.apply(l.controller.Reconcile(l.now, ClusterView{}))
	}
	golden.Bytes(t, "floor-records.txt", []byte(l.storedRecords()))
}
