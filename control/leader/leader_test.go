package leader

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/control/leadercall"
	"mulleinmast/control/lease"
	"mulleinmast/control/partition"
	"mulleinmast/control/placement"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

var self = message.Replica{Ident: "o", Addr: "10.0.0.1:1"}

// testLeader is the leader of a single-replica group, with its simulated disk.
type testLeader struct {
	t          *testing.T
	controller *Controller
	now        time.Duration
	records    map[string]message.Record // contents of the disk
	meta       quorum.Meta
	answers    []message.Message // results of the last call
	lastSave   []message.Record
}

// startLeader starts a leader from the disk of a former one, or from an empty disk if former is nil.
func startLeader(t *testing.T, number int, former *testLeader) *testLeader {
	t.Helper()
	l := &testLeader{
		t: t, records: map[string]message.Record{},
		meta: quorum.Meta{Group: message.Group{Number: 1, Replicas: []message.Replica{self}}},
	}
	stored := digest.NewRecords()
	if former != nil {
		l.meta = former.meta
		for key, r := range former.records {
			l.records[key] = r
			stored.Put(r)
		}
	}
	voteConfig := quorum.Config{
		LeaderLease: time.Second, Drift: 0.02, Margin: 20 * time.Millisecond, HeartbeatInterval: 333 * time.Millisecond,
	}
	leaseConfig := lease.Config{
		VolumeLease: 800 * time.Millisecond, ObjectLease: time.Minute, Drift: 0.02, Margin: 20 * time.Millisecond,
		RenewInterval: 266 * time.Millisecond,
	}
	replica := quorum.New(voteConfig, quorum.InitialState{
		Partition: number, Self: self, Meta: l.meta, Records: stored, IsNew: true,
	}, 0)
	node := lease.New(leaseConfig, number, self, 1)
	cfg := Config{Placement: placement.Config{ShareLength: time.Second}, OnceKeyRetention: time.Hour}
	l.controller = New(cfg, number, self, partition.New(number, self, 1, replica, node))
	for l.tick(); !l.controller.IsLeader(l.now); l.tick() {
		if l.now > time.Minute {
			t.Fatal("no leader was elected within a minute")
		}
	}
	return l
}

func (l *testLeader) tick() {
	l.now += 10 * time.Millisecond
	l.apply(l.controller.Tick(l.now))
}

// apply executes the saves of a step and collects the answers to calls.
func (l *testLeader) apply(out Out) {
	for _, save := range out.Saves {
		l.meta = save.Meta
		l.lastSave = save.Records
		for _, r := range save.Records {
			l.records[r.Key] = r
		}
		l.apply(l.controller.Saved(l.now, save.Ticket))
	}
	for _, sent := range out.Sends {
		if sent.Message.Kind == message.KindCallResult {
			l.answers = append(l.answers, sent.Message)
		}
	}
}

// send delivers one attempt of a call to the leader, from a daemon's first incarnation.
func (l *testLeader) send(from string, call message.Call) {
	l.sendAs(message.Sender{Replica: message.Replica{Ident: from, Addr: "10.0.0.9:1"}, Epoch: 1}, call)
}

func (l *testLeader) sendAs(from message.Sender, call message.Call) {
	l.answers = nil
	frame := call.Message(l.controller.partitionNumber)
	frame.From, frame.Addr, frame.Epoch = from.Ident, from.Addr, from.Epoch
	l.apply(l.controller.Step(l.now, frame))
}

// call delivers one attempt of a call from a daemon's first incarnation to the leader, and
// returns the status and the result of the answer.
func (l *testLeader) call(from string, callID, requestID uint64, op string, body []byte) (status int, result string) {
	l.t.Helper()
	l.send(from, message.Call{RequestID: requestID, CallID: callID, Op: op, Body: body})
	if len(l.answers) != 1 || l.answers[0].AsCallResult().RequestID != requestID {
		l.t.Fatalf("%s: answers %+v", op, l.answers)
	}
	var response leadercall.Response
	if err := json.Unmarshal(l.answers[0].Body, &response); err != nil {
		l.t.Fatal(err)
	}
	return l.answers[0].Status, response.Result
}

// readRecord returns a record as the leader serves it.
func (l *testLeader) readRecord(key string) message.Record {
	l.t.Helper()
	r, ok := l.controller.Partition().Node.Get(l.now, key)
	if !ok {
		l.t.Fatalf("%s is not served", key)
	}
	return r
}

// Out.add merges every field, so that no request of a later step is lost.
func TestOutAddMergesEveryField(t *testing.T) {
	var later Out
	value := reflect.ValueOf(&later).Elem()
	for _, field := range reflect.VisibleFields(value.Type()) {
		if !field.Anonymous {
			setNonZero(t, value.FieldByIndex(field.Index))
		}
	}
	later.Results = nil // finishStep delivers them
	var out Out
	out.add(later)
	if !reflect.DeepEqual(out, later) {
		t.Errorf("merged %+v, expected %+v", out, later)
	}
}

// setNonZero sets a field to a non-zero value.
func setNonZero(t *testing.T, field reflect.Value) {
	t.Helper()
	switch field.Kind() {
	case reflect.Bool:
		field.SetBool(true)
	case reflect.String:
		field.SetString("x")
	case reflect.Slice:
		field.Set(reflect.MakeSlice(field.Type(), 1, 1))
	case reflect.Struct:
		setNonZero(t, field.Field(0))
	default:
		t.Fatalf("unsupported field kind %v", field.Kind())
	}
}
