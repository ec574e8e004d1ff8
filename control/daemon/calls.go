package daemon

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"mulleinmast/control/leadercall"
	"mulleinmast/control/placement"
	"mulleinmast/control/ratelimit"
	"mulleinmast/wire/message"
)

// callTracker issues this daemon's calls to partition leaders and delivers each result to the
// goroutine that waits for it.
type callTracker struct {
	now      func() time.Duration
	leaderOf func(partition int) message.Replica
	send     func(message.Envelope)

	mu      sync.Mutex // guards the fields below
	calls   *leadercall.Calls
	waiting map[uint64]chan leadercall.Result // by call ID; each channel buffers one result
}

func newCallTracker(d *Daemon) *callTracker {
	return &callTracker{
		now:      d.Now,
		leaderOf: d.leaderOf,
		send:     d.send,
		calls:    newCalls(d.Cfg, d.epoch),
		waiting:  map[uint64]chan leadercall.Result{},
	}
}

// start begins a call and returns its ID and the channel on which its result is delivered.
func (t *callTracker) start(
	partition int, op string, body []byte, timeout time.Duration,
) (callID uint64, result <-chan leadercall.Result) {
	done := make(chan leadercall.Result, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	callID, out := t.calls.Start(now, t.leaderOf(partition), partition, op, body, now+timeout, leadercall.HasSingleTry(op))
	t.waiting[callID] = done
	t.apply(out)
	return callID, done
}

// cancel drops a call whose caller no longer waits for it.
func (t *callTracker) cancel(callID uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls.Cancel(callID)
	delete(t.waiting, callID)
}

// step processes a leader's result of a call.
func (t *callTracker) step(m message.Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.apply(t.calls.Step(t.now(), m))
}

// tick advances the calls in progress to the current time.
func (t *callTracker) tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.apply(t.calls.Tick(t.now(), t.leaderOf))
}

// apply sends the messages and delivers the results of a step. The caller holds the lock.
func (t *callTracker) apply(out leadercall.Out) {
	for _, e := range out.Sends {
		t.send(e)
	}
	for _, done := range out.Results {
		if waiting := t.waiting[done.CallID]; waiting != nil {
			delete(t.waiting, done.CallID)
			waiting <- done
		}
	}
}

// leaderOf returns a partition's leader as far as this daemon knows it.
func (d *Daemon) leaderOf(partition int) message.Replica {
	return d.View().Leaderships[partition].Leader
}

// Call has the leader of a partition, on this daemon or another, execute an operation. It retries
// across a change of leader until the timeout and returns a status and a JSON body. The result of a
// call that was sent but not answered is "uncertain"; if no leader accepted it, "not done".
//
// Example: status, body := d.Call(ctx, 0, "plan", plan, 4*time.Second)
func (d *Daemon) Call(ctx context.Context, partition int, op string, body []byte, timeout time.Duration) (int, []byte) {
	callID, result := d.calls.start(partition, op, body, timeout)
	select {
	case done := <-result:
		return done.Status, done.Body
	case <-ctx.Done():
		d.calls.cancel(callID)
		response := leadercall.Response{Result: leadercall.ResultUncertain, Reason: "the caller went away"}
		return leadercall.StatusUncertain, leadercall.MustMarshal(response)
	}
}

// RequestSlots requests this daemon's share of the servers' slots from the partition's leader. It
// also returns from, the time just before the call, at which the share's lifetime begins. ok is
// false if the leader didn't grant a share.
//
// Example: share, from, ok := d.RequestSlots(ctx, p, demand, 200*time.Millisecond)
func (d *Daemon) RequestSlots(
	ctx context.Context, partition int, demand placement.Demand, timeout time.Duration,
) (share placement.Share, from time.Duration, ok bool) {
	from = d.Now()
	status, body := d.Call(ctx, partition, leadercall.OpDemand, leadercall.MustMarshal(demand), timeout)
	if status != http.StatusOK || json.Unmarshal(body, &share) != nil {
		return share, from, false
	}
	return share, from, true
}

// RequestToken requests a token of a tenant's rate limit from a partition's leader and returns the
// leader's grant, which may be a delay instead of a token. ok is false if no leader answered.
//
// Example: grant, ok := d.RequestToken(ctx, 3, request, 100*time.Millisecond)
func (d *Daemon) RequestToken(
	ctx context.Context, partition int, request ratelimit.Request, timeout time.Duration,
) (grant ratelimit.Grant, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, body := d.Call(ctx, partition, leadercall.OpToken, leadercall.MustMarshal(request), timeout)
	return grant, status == http.StatusOK && json.Unmarshal(body, &grant) == nil
}

// LeaderContact describes this daemon's contact with a partition's leader.
type LeaderContact struct {
	LapsedFor         time.Duration    // how long ago its volume lease lapsed; 0 if it holds one
	LeaderUnreachable bool             // whether the lease lapsed longer ago than an election takes
	OtherDaemons      []message.Member // control daemons to redirect callers to while this daemon is cut off
}

// Contact returns this daemon's contact with a partition's leader, judged only by this daemon's own
// lease and clock.
//
// Example: if d.Contact(0).LeaderUnreachable { redirectCaller() }
func (d *Daemon) Contact(partition int) (out LeaderContact) {
	out.LapsedFor = d.LapsedFor(partition)
	out.LeaderUnreachable = out.LapsedFor > d.Cfg.QuorumConfig().LeaderLease
	out.OtherDaemons = d.otherDaemons(out.LapsedFor)
	return out
}

// otherDaemons returns the control daemons that became unreachable in the same network partition
// that let this daemon's lease lapse. If there are none, the result depends on the session. Without
// a session it is all other control daemons. With a session it is empty, because as far as this
// daemon knows, no daemon has a leader.
func (d *Daemon) otherDaemons(lapsedFor time.Duration) (others []message.Member) {
	view := d.View()
	for _, lost := range view.PartitionedFrom() {
		if lost.LostAt+2*d.Cfg.MembershipConfig().SessionTimeout >= d.Now()-lapsedFor { // in the same network partition
			others = append(others, lost.Member)
		}
	}
	if len(others) > 0 || view.HasSession {
		return others
	}
	for _, m := range view.Members {
		if m.HasDisk && m.Addr != d.self.Addr {
			others = append(others, m)
		}
	}
	return others
}
