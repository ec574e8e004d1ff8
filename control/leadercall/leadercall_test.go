package leadercall

import (
	"encoding/json"
	"testing"
	"time"

	"mulleinmast/wire/message"
)

var (
	cfg = Config{TryTimeout: 400 * time.Millisecond, RetryInterval: 25 * time.Millisecond, RetryAfter: 2 * time.Second}
	own = message.Replica{Ident: "o", Addr: "10.0.0.1:1"}
)

func word(t *testing.T, d []Result) Response {
	t.Helper()
	var w Response
	if len(d) != 1 || json.Unmarshal(d[0].Body, &w) != nil {
		t.Fatalf("ends: %+v", d)
	}
	return w
}

// A call that nobody took is "not done", one that was sent without a word is
// "uncertain"; neither waits past its timeout, both say when to come back.
func TestFateOfACall(t *testing.T) {
	for what, x := range map[string]struct {
		own  message.Replica
		back int
		want string
	}{
		"no leader":      {message.Replica{}, 0, "not done"},
		"silent leader":  {own, 0, "uncertain"},
		"not the leader": {own, StatusNotLeader, "not done"},
		"leader unsure":  {own, StatusUncertain, "uncertain"},
	} {
		e := New(cfg, 1)
		_, o := e.Start(0, x.own, 0, "plan", nil, 2*time.Second, false)
		var done []Result
		now := time.Duration(0)
		for ; now < 4*time.Second && len(done) == 0; now += 10 * time.Millisecond {
			for _, m := range o.Sends {
				if x.back != 0 {
					done = append(done, e.Step(now, message.Message{From: own.Ident, ResponseTo: m.Message.RequestID, Status: x.back}).Results...)
				}
			}
			o = e.Tick(now, func(int) message.Replica { return x.own })
			done = append(done, o.Results...)
		}
		if w := word(t, done); w.Result != x.want || w.RetryAfterMillis <= 0 || now > 2100*time.Millisecond {
			t.Errorf("%s: %+v after %v", what, w, now)
		}
	}
}

// An answer to an earlier try counts; a second one, or one to nobody, does not.
func TestLateAndStrayResponses(t *testing.T) {
	e := New(cfg, 1)
	no, o := e.Start(0, own, 0, "plan", nil, 4*time.Second, false)
	first := o.Sends[0].Message.RequestID
	if o = e.Tick(500*time.Millisecond, func(int) message.Replica { return own }); len(o.Sends) != 1 {
		t.Fatalf("not sent again: %+v", o)
	}
	if d := e.Step(time.Second, message.Message{From: own.Ident, ResponseTo: 999, Status: 200}).Results; len(d) > 0 {
		t.Errorf("a stray answer ended %+v", d)
	}
	if d := e.Step(time.Second, message.Message{From: own.Ident, ResponseTo: first, Status: 200}).Results; len(d) != 1 || d[0].CallID != no {
		t.Errorf("a late answer ended %+v", d)
	}
	if d := e.Step(time.Second, message.Message{From: own.Ident, ResponseTo: o.Sends[0].Message.RequestID, Status: 409}).Results; len(d) > 0 {
		t.Errorf("a second answer ended %+v", d)
	}
}

// Every try of a call goes under the call's own number, so that a leader knows
// one that it has carried out; the try's number tells the answers apart.
func TestTriesOfOneCall(t *testing.T) {
	e := New(cfg, 1)
	_, first := e.Start(0, own, 0, "return", nil, 4*time.Second, false)
	_, other := e.Start(0, own, 0, "return", nil, 4*time.Second, false)
	again := e.Tick(500*time.Millisecond, func(int) message.Replica { return message.Replica{Ident: "p", Addr: "10.0.0.2:1"} })
	if len(again.Sends) != 2 {
		t.Fatalf("%+v", again)
	}
	a, b, c := first.Sends[0].Message, again.Sends[0].Message, other.Sends[0].Message
	if a.ResponseTo == 0 || a.ResponseTo != b.ResponseTo || a.RequestID == b.RequestID || a.ResponseTo == c.ResponseTo {
		t.Errorf("tries go as %d/%d and %d/%d, another call as %d/%d", a.ResponseTo, a.RequestID, b.ResponseTo, b.RequestID, c.ResponseTo, c.RequestID)
	}
}

// A call whose order is on another version than the leader has goes out again at
// once on the one that the leader told it; a mark told to an earlier try, or to a
// call that is over, is nobody's.
func TestACallThatIsBehindGoesOutAgain(t *testing.T) {
	e := New(cfg, 1)
	to := func(int) message.Replica { return own }
	_, o := e.Start(0, own, 0, "evacuate", nil, 4*time.Second, false)
	first, mark := o.Sends[0].Message, message.Version{Term: 3, Seq: 8}
	if first.Version == (message.Version{}) || first.Version == mark {
		t.Errorf("the first try is on %v", first.Version)
	}
	if o = e.Step(time.Millisecond, message.Message{From: own.Ident, ResponseTo: first.RequestID, Status: StatusBehind, Version: mark}); len(o.Results) > 0 {
		t.Fatalf("ended: %+v", o.Results)
	}
	o = e.Tick(2*time.Millisecond, to)
	if len(o.Sends) != 1 || o.Sends[0].Message.Version != mark || o.Sends[0].Message.ResponseTo != first.ResponseTo {
		t.Fatalf("the second try: %+v", o.Sends)
	}
	second := o.Sends[0].Message.RequestID
	third := e.Tick(500*time.Millisecond, to).Sends[0].Message.RequestID
	e.Step(501*time.Millisecond, message.Message{From: own.Ident, ResponseTo: second, Status: StatusBehind, Version: message.Version{Term: 1, Seq: 1}}) // late, while the third is out
	if o = e.Tick(502*time.Millisecond, to); len(o.Sends) > 0 {
		t.Errorf("a late answer sent %+v", o.Sends)
	}
	if d := e.Step(time.Second, message.Message{From: own.Ident, ResponseTo: third, Status: 200}).Results; len(d) != 1 || d[0].Status != 200 {
		t.Errorf("%+v", d)
	}
}

// An answer is its own call's: one to an earlier life of this daemon, which had the
// same identity, or from another daemon than was asked, ends none of its calls.
func TestResponsesToAnEarlierLife(t *testing.T) {
	was := New(cfg, 3)
	_, old := was.Start(0, own, 0, "plan", []byte("one"), 4*time.Second, false)
	e := New(cfg, 4)
	no, o := e.Start(0, own, 0, "plan", []byte("two"), 4*time.Second, false)
	late, mine := old.Sends[0].Message, o.Sends[0].Message
	if late.ResponseTo == mine.ResponseTo {
		t.Errorf("calls of two lives both go under %d", mine.ResponseTo)
	}
	if d := e.Step(time.Second, message.Message{From: own.Ident, ResponseTo: late.RequestID, Status: 200}).Results; len(d) > 0 {
		t.Errorf("the answer to an earlier life ended %+v", d)
	}
	if d := e.Step(time.Second, message.Message{From: "p", ResponseTo: mine.RequestID, Status: 200}).Results; len(d) > 0 {
		t.Errorf("the answer of another daemon ended %+v", d)
	}
	if d := e.Step(time.Second, message.Message{From: own.Ident, ResponseTo: mine.RequestID, Status: 200}).Results; len(d) != 1 || d[0].CallID != no {
		t.Errorf("its own answer ended %+v", d)
	}
}

// A leader that doesn't know what became of an earlier try ends no call while a
// later try is out: its leader knows the call by its number.
func TestAnEarlierTrysUncertaintyWaitsForTheLaterTry(t *testing.T) {
	e := New(cfg, 1)
	no, o := e.Start(0, own, 0, "plan", nil, 4*time.Second, false)
	first := o.Sends[0].Message.RequestID
	next := message.Replica{Ident: "p", Addr: "10.0.0.2:1"}
	o = e.Tick(500*time.Millisecond, func(int) message.Replica { return next })
	if len(o.Sends) != 1 {
		t.Fatalf("not sent again: %+v", o)
	}
	if d := e.Step(600*time.Millisecond, message.Message{From: own.Ident, ResponseTo: first, Status: StatusUncertain}).Results; len(d) > 0 {
		t.Errorf("the earlier try ended %+v", d)
	}
	if d := e.Step(700*time.Millisecond, message.Message{From: next.Ident, ResponseTo: o.Sends[0].Message.RequestID, Status: 200}).Results; len(d) != 1 || d[0].CallID != no || d[0].Status != 200 {
		t.Errorf("the later try ended %+v", d)
	}
	_, o = e.Start(0, own, 0, "plan", nil, 4*time.Second, false) // and without a word from that, it is uncertain
	first = o.Sends[0].Message.RequestID
	e.Tick(500*time.Millisecond, func(int) message.Replica { return next })
	e.Step(600*time.Millisecond, message.Message{From: own.Ident, ResponseTo: first, Status: StatusUncertain})
	if w := word(t, e.Tick(5*time.Second, func(int) message.Replica { return next }).Results); w.Result != "uncertain" {
		t.Errorf("without a later word: %+v", w)
	}
}
