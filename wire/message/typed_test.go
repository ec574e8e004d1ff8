package message

import (
	"reflect"
	"testing"
	"time"
)

// fill gives every field of a value something that isn't its zero.
func fill(t *testing.T, v reflect.Value) {
	t.Helper()
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(t, v.Field(i))
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(t, v.Index(0))
	case reflect.String:
		v.SetString("x")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(3 * time.Second))
	case reflect.Uint8, reflect.Uint64:
		v.SetUint(7)
	default:
		t.Fatalf("no value for a %v", v.Type())
	}
}

// filled is a value of a type with every field set.
func filled[T any](t *testing.T) T {
	t.Helper()
	var value T
	fill(t, reflect.ValueOf(&value).Elem())
	return value
}

// overWire is a frame as its addressee reads it.
func overWire(t *testing.T, m Message) Message {
	t.Helper()
	b, err := m.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	var read Message
	if _, err := read.UnmarshalMsg(b); err != nil {
		t.Fatal(err)
	}
	return read
}

// checkTyped sends a typed message with every field set, and one with none, and
// compares what is read.
func checkTyped[T any](t *testing.T, kind Kind, frame func(T) Message, read func(Message) T) {
	t.Helper()
	var zero T
	for _, value := range []T{filled[T](t), zero} {
		m := overWire(t, frame(value))
		if got := read(m); !reflect.DeepEqual(got, value) {
			t.Errorf("%v: read as %+v, built from %+v", kind, got, value)
		}
		if m.Kind != kind {
			t.Errorf("a %T is a frame of kind %v, expected %v", value, m.Kind, kind)
		}
	}
}

// inPartition is a constructor of frames for one partition.
func inPartition[T any](frame func(T, int) Message) func(T) Message {
	return func(value T) Message { return frame(value, 3) }
}

func TestLeaseMessagesAreReadAsBuilt(t *testing.T) {
	checkTyped(t, KindRenewLease, inPartition(LeaseRenewal.Message), Message.AsLeaseRenewal)
	checkTyped(t, KindGrantLease, inPartition(LeaseGrant.Message), Message.AsLeaseGrant)
	checkTyped(t, KindReconnect, inPartition(ReconnectRequest.Message), Message.AsReconnectRequest)
	checkTyped(t, KindLeaseList, inPartition(LeaseList.Message), Message.AsLeaseList)
	checkTyped(t, KindReconciled, inPartition(Reconciliation.Message), Message.AsReconciliation)
	checkTyped(t, KindReconnectDone, inPartition(ReconnectDone.Message), Message.AsReconnectDone)
	checkTyped(t, KindInvalidate, inPartition(Invalidation.Message), Message.AsInvalidation)
	checkTyped(t, KindInvalidated, inPartition(InvalidationAck.Message), Message.AsInvalidationAck)
	checkTyped(t, KindDenyLease, inPartition(LeaseDenial.Message), Message.AsLeaseDenial)
	checkTyped(t, KindRedirect, inPartition(Redirect.Message), Message.AsRedirect)
}

// The header stands beside what any of a parent's messages says.
func TestGrantHeaderIsReadAsBuilt(t *testing.T) {
	header := filled[GrantHeader](t)
	for _, m := range []Message{
		filled[LeaseGrant](t).Message(3), filled[ReconnectRequest](t).Message(3), filled[Reconciliation](t).Message(3),
		filled[Invalidation](t).Message(3), filled[LeaseDenial](t).Message(3), filled[Redirect](t).Message(3),
	} {
		read := overWire(t, m.WithGrantHeader(header))
		if read.GrantHeader() != header {
			t.Errorf("%v: header read as %+v, built from %+v", m.Kind, read.GrantHeader(), header)
		}
		if !reflect.DeepEqual(read.WithGrantHeader(GrantHeader{}), overWire(t, m)) {
			t.Errorf("%v: the header overwrites %+v, left %+v", m.Kind, m, read)
		}
	}
}

func TestMembershipMessagesAreReadAsBuilt(t *testing.T) {
	checkTyped(t, KindHello, Hello.Message, Message.AsHello)
	checkTyped(t, KindWelcome, Welcome.Message, Message.AsWelcome)
	checkTyped(t, KindGossip, Gossip.Message, Message.AsGossip)
	checkTyped(t, KindCensus, Census.Message, Message.AsCensus)
	checkTyped(t, KindCensusAnswer, CensusAnswer.Message, Message.AsCensusAnswer)
	checkTyped(t, KindBootstrap, Bootstrap.Message, Message.AsBootstrap)
}
