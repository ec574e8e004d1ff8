package leader

import (
	"encoding/json"
	"testing"
	"time"

	"mulleinmast/control/leadercall"
	"mulleinmast/control/partition"
	"mulleinmast/control/ratelimit"
	"mulleinmast/wire/message"
)

// requestToken requests a token and returns the status and the grant.
func (l *testLeader) requestToken(body string) (int, ratelimit.Grant) {
	l.t.Helper()
	from := message.Sender{Replica: message.Replica{Ident: "p", Addr: "10.0.0.9:1"}, Epoch: 1}
	l.sendAs(from, message.Call{RequestID: 1, CallID: 1, Op: leadercall.OpToken, Body: []byte(body)})
	if len(l.answers) != 1 {
		l.t.Fatalf("answers %+v", l.answers)
	}
	var grant ratelimit.Grant
	if l.answers[0].Status == 200 {
		if err := json.Unmarshal(l.answers[0].Body, &grant); err != nil {
			l.t.Fatal(err)
		}
	}
	return l.answers[0].Status, grant
}

const tokenBody = `{"tenant":"a","version":3,"limit":{"Rate":10,"Burst":2}}`

// A leader grants tokens while it holds the leader lease, and refuses malformed requests.
func TestLeaderGrantsTokens(t *testing.T) {
	l := startLeader(t, 1, nil)
	for _, body := range []string{
		``, `[]`, `{}`, `{"tenant":"a"}`, `{"tenant":"a","limit":{"Rate":-1,"Burst":1}}`,
		`{"tenant":"a","limit":{"Rate":1,"Burst":0}}`, `{"tenant":"","limit":{"Rate":1,"Burst":1}}`,
	} {
		if status, _ := l.requestToken(body); status != 400 {
			t.Errorf("body %q: status %d, expected 400", body, status)
		}
	}
	l.now = l.controller.Partition().Replica.LeaderSince() + time.Second/2
	for i, want := range []bool{true, true, false} {
		if status, grant := l.requestToken(tokenBody); status != 200 || grant.Granted != want ||
			!want && grant.RetryAfter <= 0 {
			t.Errorf("request %d: status %d, grant %+v", i, status, grant)
		}
	}
	l.now += time.Hour // the leader lease has expired
	if status, _ := l.requestToken(tokenBody); status != leadercall.StatusNotLeader {
		t.Errorf("without the leader lease: status %d", status)
	}
}

// A new leadership starts with empty buckets, since the tokens granted by the previous one aren't known.
func TestNewLeadershipStartsWithEmptyBuckets(t *testing.T) {
	l := startLeader(t, 1, nil)
	l.now = l.controller.Partition().Replica.LeaderSince() + time.Second/2
	if _, grant := l.requestToken(tokenBody); !grant.Granted {
		t.Fatal("the first leadership granted no token")
	}
	former := l.controller.limits
	l.apply(l.controller.finishStep(partition.Out{Won: true}))
	l.requestToken(tokenBody)
	if l.controller.limits == former {
		t.Error("the new leadership uses the buckets of the previous one")
	}
}
