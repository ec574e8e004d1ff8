package leader

import (
	"testing"
	"time"

	"mulleinmast/control/leadercall"
	"mulleinmast/control/placement"
	"mulleinmast/wire/message"
)

// startPlacementLeader starts a leader of a service partition that grants shares.
func startPlacementLeader(t *testing.T) *testLeader {
	t.Helper()
	l := startLeader(t, 1, nil)
	l.controller.placement = placement.New(placement.Config{ShareLength: time.Second}, 1, 0)
	return l
}

// sendDemand sends a daemon's demand and returns the status of the answer.
func (l *testLeader) sendDemand(epoch, callID uint64) int {
	l.t.Helper()
	from := message.Sender{Replica: message.Replica{Ident: "p", Addr: "10.0.0.9:1"}, Epoch: epoch}
	body := leadercall.MustMarshal(placement.Demand{Service: "m"})
	l.sendAs(from, message.Call{RequestID: callID, CallID: callID, Op: leadercall.OpDemand, Body: body})
	if len(l.answers) != 1 {
		l.t.Fatalf("answers %+v", l.answers)
	}
	return l.answers[0].Status
}

// A demand that arrives after a later one of the same daemon is rejected, since its count
// of requests in flight is out of date.
func TestOutOfOrderDemandIsRejected(t *testing.T) {
	l := startPlacementLeader(t)
	for i, test := range []struct {
		callID, epoch uint64
		status        int
	}{
		{4, 1, 200},
		{6, 1, 200},
		{5, 1, leadercall.StatusNotLeader},
		{1, 2, 200},
		{7, 1, leadercall.StatusNotLeader},
		{2, 2, 200},
	} {
		if status := l.sendDemand(test.epoch, test.callID); status != test.status {
			t.Errorf("%d: call %d of incarnation %d: status %d", i, test.callID, test.epoch, status)
		}
	}
}

// Shares that a leader granted before its daemon was lost stay valid as long as its
// leases. A new leader that is elected before these leases expire grants no shares until
// then.
func TestNoSharesWhileEarlierSharesAreValid(t *testing.T) {
	l := startPlacementLeader(t)
	writesFrom := l.now + time.Second
	l.controller.Partition().WritesFrom = func() time.Duration { return writesFrom }
	for i, want := range []int{leadercall.StatusNotLeader, 200} {
		if status := l.sendDemand(1, uint64(i+1)); status != want {
			t.Errorf("%v before writes are allowed: status %d", writesFrom-l.now, status)
		}
		writesFrom = l.now
	}
}
