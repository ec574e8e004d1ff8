package leadercall

import (
	"testing"
	"time"

	"mulleinmast/control/internal/golden"
	"mulleinmast/wire/message"
)

// Responses and records of once keys are encoded as the same JSON as in earlier builds.
func TestStoredJSONKeepsItsBytes(t *testing.T) {
	claim := Claim{Request: "request-1", Daemon: "d", State: "claimed", Past: []string{"request-0"}}
	golden.Check(t, "once-key.json", claim, golden.JSON[Claim]())
	golden.Check(t, "response.json", Response{
		Result: "duplicate", Reason: "why", Faults: []string{"body"}, RetryAfterMillis: 1500, Claim: &claim, Plan: "plan-12", Version: 12,
	}, golden.JSON[Response]())
	golden.Bytes(t, "empty-response.json", MustMarshal(Response{}))
}

// The status codes exchanged with daemons of other builds are unchanged.
func TestStatusCodesAreUnchanged(t *testing.T) {
	for code, want := range map[int]int{
		StatusNotLeader: 421, StatusUncertain: 504, StatusNotDone: 503, StatusBehind: 425,
	} {
		if code != want {
			t.Errorf("code %d was %d", code, want)
		}
	}
}

// The frame of a call, in the first try and in later tries, has the fields and numbers that other
// builds read.
func TestCallFrameKeepsItsBytes(t *testing.T) {
	calls := New(cfg, 3)
	frame := func(name string, sends []message.Envelope) message.Message {
		t.Helper()
		if len(sends) != 1 || sends[0].Addr != leader.Addr || sends[0].ExactAddr {
			t.Fatalf("%s: sent %+v", name, sends)
		}
		encoded, err := sends[0].Message.MarshalMsg(nil)
		if err != nil {
			t.Fatal(err)
		}
		var decoded message.Message
		if _, err := decoded.UnmarshalMsg(golden.Bytes(t, name, encoded)); err != nil {
			t.Fatal(err)
		}
		return decoded
	}
	leaderOf := knownLeader(leader)
	_, out := calls.Start(0, leader, 5, "servers", []byte(`{"body":1}`), time.Hour, false)
	first := frame("call.msgp", out.Sends)
	calls.Step(
		time.Millisecond,
		message.Message{
			Kind: message.KindCallResult, From: leader.Ident, ResponseTo: first.RequestID, Status: 425,
			Version: message.Version{Term: 2, Seq: 9},
		},
	)
	frame("call-again.msgp", calls.Tick(2*time.Millisecond, leaderOf).Sends)
	_, out = calls.Start(0, leader, 5, "want", []byte(`{}`), time.Hour, true)
	frame("call-once.msgp", out.Sends)
}

// The response to a call that was not answered is unchanged.
func TestUnansweredCallResultsKeepTheirBytes(t *testing.T) {
	for name, known := range map[string]message.Replica{"not-done.json": {}, "uncertain.json": leader} {
		calls := New(cfg, 1)
		calls.Start(0, known, 5, "plan", nil, time.Second, false)
		out := calls.Tick(time.Second, knownLeader(known))
		if len(out.Results) != 1 {
			t.Fatalf("%s: %+v", name, out)
		}
		golden.Bytes(t, name, out.Results[0].Body)
	}
}
