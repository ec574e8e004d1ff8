package message

import (
	"reflect"
	"testing"
	"time"
)

// fill sets every field of a value, recursively, to a non-zero value.
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

// filled returns a value with every field set.
func filled[T any](t *testing.T) T {
	t.Helper()
	var value T
	fill(t, reflect.ValueOf(&value).Elem())
	return value
}

// encodeAndDecode encodes and decodes a frame.
func encodeAndDecode(t *testing.T, m Message) Message {
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

// checkDecodesAsEncoded encodes and decodes a typed message with every field set, and one with
// no field set, and compares the results.
func checkDecodesAsEncoded[T any](t *testing.T, kind Kind, frame func(T) Message, read func(Message) T) {
	t.Helper()
	var zero T
	for _, value := range []T{filled[T](t), zero} {
		m := encodeAndDecode(t, frame(value))
		if got := read(m); !reflect.DeepEqual(got, value) {
			t.Errorf("%v: got %+v, want %+v", kind, got, value)
		}
		if m.Kind != kind {
			t.Errorf("%T is encoded with kind %v, want %v", value, m.Kind, kind)
		}
	}
}

// inPartition returns an encoder of frames with the partition fixed.
func inPartition[T any](frame func(T, int) Message) func(T) Message {
	return func(value T) Message { return frame(value, 3) }
}

func TestLeaseMessagesDecodeAsEncoded(t *testing.T) {
	checkDecodesAsEncoded(t, KindRenewLease, inPartition(LeaseRenewal.Message), Message.AsLeaseRenewal)
	checkDecodesAsEncoded(t, KindGrantLease, inPartition(LeaseGrant.Message), Message.AsLeaseGrant)
	checkDecodesAsEncoded(t, KindReconnect, inPartition(ReconnectRequest.Message), Message.AsReconnectRequest)
	checkDecodesAsEncoded(t, KindLeaseList, inPartition(LeaseList.Message), Message.AsLeaseList)
	checkDecodesAsEncoded(t, KindReconciled, inPartition(Reconciliation.Message), Message.AsReconciliation)
	checkDecodesAsEncoded(t, KindReconnectDone, inPartition(ReconnectDone.Message), Message.AsReconnectDone)
	checkDecodesAsEncoded(t, KindInvalidate, inPartition(Invalidation.Message), Message.AsInvalidation)
	checkDecodesAsEncoded(t, KindInvalidated, inPartition(InvalidationAck.Message), Message.AsInvalidationAck)
	checkDecodesAsEncoded(t, KindDenyLease, inPartition(LeaseDenial.Message), Message.AsLeaseDenial)
	checkDecodesAsEncoded(t, KindRedirect, inPartition(Redirect.Message), Message.AsRedirect)
}

// TestGrantHeaderDecodesAsEncoded checks that adding the header to any of a parent's messages
// overwrites none of the message's own fields.
func TestGrantHeaderDecodesAsEncoded(t *testing.T) {
	header := filled[GrantHeader](t)
	for _, m := range []Message{
		filled[LeaseGrant](t).Message(3), filled[ReconnectRequest](t).Message(3), filled[Reconciliation](t).Message(3),
		filled[Invalidation](t).Message(3), filled[LeaseDenial](t).Message(3), filled[Redirect](t).Message(3),
	} {
		read := encodeAndDecode(t, m.WithGrantHeader(header))
		if read.GrantHeader() != header {
			t.Errorf("%v: got header %+v, want %+v", m.Kind, read.GrantHeader(), header)
		}
		if !reflect.DeepEqual(read.WithGrantHeader(GrantHeader{}), encodeAndDecode(t, m)) {
			t.Errorf("%v: header overwrites fields of %+v: got %+v", m.Kind, m, read)
		}
	}
}

func TestMembershipMessagesDecodeAsEncoded(t *testing.T) {
	checkDecodesAsEncoded(t, KindHello, Hello.Message, Message.AsHello)
	checkDecodesAsEncoded(t, KindWelcome, Welcome.Message, Message.AsWelcome)
	checkDecodesAsEncoded(t, KindGossip, Gossip.Message, Message.AsGossip)
	checkDecodesAsEncoded(t, KindCensus, Census.Message, Message.AsCensus)
	checkDecodesAsEncoded(t, KindCensusAnswer, CensusAnswer.Message, Message.AsCensusAnswer)
	checkDecodesAsEncoded(t, KindBootstrap, Bootstrap.Message, Message.AsBootstrap)
}
