package leadercall

import (
	"encoding/json"
	"testing"
	"time"

	"mulleinmast/wire/message"
)

var (
	cfg = Config{
		TryTimeout: 400 * time.Millisecond, RetryInterval: 25 * time.Millisecond, RetryAfter: 2 * time.Second,
	}
	leader    = message.Replica{Ident: "o", Addr: "10.0.0.1:1"}
	newLeader = message.Replica{Ident: "p", Addr: "10.0.0.2:1"}
)

// knownLeader returns a function that reports one daemon as the leader of every partition.
func knownLeader(r message.Replica) func(int) message.Replica {
	return func(int) message.Replica { return r }
}

// answer returns a daemon's answer to a try.
func answer(from message.Replica, requestID uint64, status int) message.Message {
	return message.Message{From: from.Ident, ResponseTo: requestID, Status: status}
}

// onlyResponse returns the response of the only completed call.
func onlyResponse(t *testing.T, results []Result) (response Response) {
	t.Helper()
	if len(results) != 1 || json.Unmarshal(results[0].Body, &response) != nil {
		t.Fatalf("completed calls: %+v", results)
	}
	return response
}

// A call that no leader accepted ends as "not done". A call that was sent and not answered ends as
// "uncertain". Neither call waits past its deadline, and both responses contain a retry delay.
func TestUnansweredCallReportsKnownOutcome(t *testing.T) {
	for name, test := range map[string]struct {
		leader message.Replica
		status int // of every answer; 0: no answers
		want   string
	}{
		"no leader":        {message.Replica{}, 0, "not done"},
		"silent leader":    {leader, 0, "uncertain"},
		"not the leader":   {leader, StatusNotLeader, "not done"},
		"uncertain leader": {leader, StatusUncertain, "uncertain"},
	} {
		t.Run(name, func(t *testing.T) {
			calls := New(cfg, 1)
			_, out := calls.Start(0, test.leader, 0, OpPlan, nil, 2*time.Second, false)
			var results []Result
			now := time.Duration(0)
			for ; now < 4*time.Second && len(results) == 0; now += 10 * time.Millisecond {
				for _, sent := range out.Sends {
					if test.status != 0 {
						results = append(results, calls.Step(now, answer(leader, sent.Message.RequestID, test.status)).Results...)
					}
				}
				out = calls.Tick(now, knownLeader(test.leader))
				results = append(results, out.Results...)
			}
			response := onlyResponse(t, results)
			if response.Result != test.want || response.RetryAfterMillis <= 0 || now > 2100*time.Millisecond {
				t.Errorf("%+v after %v", response, now)
			}
		})
	}
}

// An answer to an earlier try completes the call. A second answer, or an answer with an unknown
// request ID, is ignored.
func TestLateAnswerEndsCallOnce(t *testing.T) {
	calls := New(cfg, 1)
	id, out := calls.Start(0, leader, 0, OpPlan, nil, 4*time.Second, false)
	first := out.Sends[0].Message.RequestID
	if out = calls.Tick(500*time.Millisecond, knownLeader(leader)); len(out.Sends) != 1 {
		t.Fatalf("not retried: %+v", out)
	}
	if done := calls.Step(time.Second, answer(leader, 999, 200)).Results; len(done) > 0 {
		t.Errorf("an unrelated answer completed %+v", done)
	}
	if done := calls.Step(time.Second, answer(leader, first, 200)).Results; len(done) != 1 || done[0].CallID != id {
		t.Errorf("a late answer completed %+v", done)
	}
	if done := calls.Step(time.Second, answer(leader, out.Sends[0].Message.RequestID, 409)).Results; len(done) > 0 {
		t.Errorf("a second answer completed %+v", done)
	}
}

// Every try of a call carries the call's ID, so that a leader recognizes a call that it has
// already executed. The request ID of the try distinguishes the answers.
func TestTriesShareTheirCallID(t *testing.T) {
	calls := New(cfg, 1)
	_, first := calls.Start(0, leader, 0, OpReturn, nil, 4*time.Second, false)
	_, other := calls.Start(0, leader, 0, OpReturn, nil, 4*time.Second, false)
	again := calls.Tick(500*time.Millisecond, knownLeader(newLeader))
	if len(again.Sends) != 2 {
		t.Fatalf("%+v", again)
	}
	a, b, c := first.Sends[0].Message.AsCall(), again.Sends[0].Message.AsCall(), other.Sends[0].Message.AsCall()
	if a.CallID == 0 || a.CallID != b.CallID || a.RequestID == b.RequestID || a.CallID == c.CallID {
		t.Errorf(
			"tries have IDs %d/%d and %d/%d, another call has %d/%d", a.CallID, a.RequestID, b.CallID, b.RequestID, c.CallID,
			c.RequestID,
		)
	}
}

// A call whose basis is outdated is retried immediately, based on the version that the leader
// returned. A basis returned to an earlier try, or to a completed call, is ignored.
func TestOutdatedBasisIsRetriedAtOnce(t *testing.T) {
	calls := New(cfg, 1)
	_, out := calls.Start(0, leader, 0, OpEvacuate, nil, 4*time.Second, false)
	first, basis := out.Sends[0].Message.AsCall(), message.Version{Term: 3, Seq: 8}
	if first.Basis == (message.Version{}) || first.Basis == basis {
		t.Errorf("the first try has basis %v", first.Basis)
	}
	behind := answer(leader, first.RequestID, StatusBehind)
	behind.Version = basis
	if out = calls.Step(time.Millisecond, behind); len(out.Results) > 0 {
		t.Fatalf("call completed: %+v", out.Results)
	}
	out = calls.Tick(2*time.Millisecond, knownLeader(leader))
	if len(out.Sends) != 1 || out.Sends[0].Message.AsCall().Basis != basis ||
		out.Sends[0].Message.AsCall().CallID != first.CallID {
		t.Fatalf("second try: %+v", out.Sends)
	}
	second := out.Sends[0].Message.RequestID
	third := calls.Tick(500*time.Millisecond, knownLeader(leader)).Sends[0].Message.RequestID
	late := answer(leader, second, StatusBehind) // while the third try is in flight
	late.Version = message.Version{Term: 1, Seq: 1}
	calls.Step(501*time.Millisecond, late)
	if out = calls.Tick(502*time.Millisecond, knownLeader(leader)); len(out.Sends) > 0 {
		t.Errorf("a late answer caused %+v to be sent", out.Sends)
	}
	if done := calls.Step(time.Second, answer(leader, third, 200)).Results; len(done) != 1 || done[0].Status != 200 {
		t.Errorf("%+v", done)
	}
}

// An answer to an earlier incarnation of this daemon, which had the same identity, or an answer
// from a daemon that wasn't called, doesn't complete any call.
func TestAnswersToEarlierIncarnationAreIgnored(t *testing.T) {
	_, earlier := New(cfg, 3).Start(0, leader, 0, OpPlan, []byte("one"), 4*time.Second, false)
	calls := New(cfg, 4)
	id, out := calls.Start(0, leader, 0, OpPlan, []byte("two"), 4*time.Second, false)
	late, current := earlier.Sends[0].Message.AsCall(), out.Sends[0].Message.AsCall()
	if late.CallID == current.CallID {
		t.Errorf("calls of two incarnations share ID %d", current.CallID)
	}
	if done := calls.Step(time.Second, answer(leader, late.RequestID, 200)).Results; len(done) > 0 {
		t.Errorf("the answer to an earlier incarnation completed %+v", done)
	}
	if done := calls.Step(time.Second, answer(newLeader, current.RequestID, 200)).Results; len(done) > 0 {
		t.Errorf("the answer of another daemon completed %+v", done)
	}
	done := calls.Step(time.Second, answer(leader, current.RequestID, 200)).Results
	if len(done) != 1 || done[0].CallID != id {
		t.Errorf("the correct answer completed %+v", done)
	}
}

// If a leader doesn't know the outcome of an earlier try, the call continues while a later try is
// in flight, because the leader of the later try recognizes the call by its ID.
func TestUncertainEarlierTryDoesNotEndCall(t *testing.T) {
	calls := New(cfg, 1)
	id, out := calls.Start(0, leader, 0, OpPlan, nil, 4*time.Second, false)
	first := out.Sends[0].Message.RequestID
	out = calls.Tick(500*time.Millisecond, knownLeader(newLeader))
	if len(out.Sends) != 1 {
		t.Fatalf("not retried: %+v", out)
	}
	if done := calls.Step(600*time.Millisecond, answer(leader, first, StatusUncertain)).Results; len(done) > 0 {
		t.Errorf("the earlier try completed %+v", done)
	}
	done := calls.Step(700*time.Millisecond, answer(newLeader, out.Sends[0].Message.RequestID, 200)).Results
	if len(done) != 1 || done[0].CallID != id || done[0].Status != 200 {
		t.Errorf("the later try completed %+v", done)
	}

	// If the later try isn't answered either, the call is uncertain.
	_, out = calls.Start(0, leader, 0, OpPlan, nil, 4*time.Second, false)
	first = out.Sends[0].Message.RequestID
	calls.Tick(500*time.Millisecond, knownLeader(newLeader))
	calls.Step(600*time.Millisecond, answer(leader, first, StatusUncertain))
	out = calls.Tick(5*time.Second, knownLeader(newLeader))
	if response := onlyResponse(t, out.Results); response.Result != "uncertain" {
		t.Errorf("without an answer to the later try: %+v", response)
	}
}
