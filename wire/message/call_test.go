package message

import (
	"reflect"
	"testing"
)

// TestCallsDecodeAsEncoded checks that a frame carries every field of a call and of its result.
func TestCallsDecodeAsEncoded(t *testing.T) {
	call := Call{RequestID: 7, CallID: 6, Op: "servers", Body: []byte("{}"), Basis: Version{Term: 3, Seq: 9}}
	result := CallResult{RequestID: 7, Status: 425, Body: []byte("{}"), Basis: Version{Term: 3, Seq: 9}}
	for _, value := range []any{call, result} {
		for i := range reflect.TypeOf(value).NumField() {
			if reflect.ValueOf(value).Field(i).IsZero() {
				t.Errorf("%T.%s is not set", value, reflect.TypeOf(value).Field(i).Name)
			}
		}
	}
	if frame := call.Message(4); frame.Kind != KindCall || frame.Partition != 4 || !reflect.DeepEqual(frame.AsCall(), call) {
		t.Errorf("%+v decodes as %+v", frame, frame.AsCall())
	}
	frame := result.Message(4)
	if frame.Kind != KindCallResult || frame.Partition != 4 || !reflect.DeepEqual(frame.AsCallResult(), result) {
		t.Errorf("%+v decodes as %+v", frame, frame.AsCallResult())
	}
}
