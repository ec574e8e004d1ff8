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

// callTracker carries this daemon's calls to partitions' leaders and hands their
// results to those who wait.
type callTracker struct {
	now      func() time.Duration
	leaderOf func(partition int) message.Replica
	send     func(message.Envelope)

	mu      sync.Mutex // guards the fields below
	calls   *leadercall.Calls
	waiting map[uint64]chan leadercall.Result // by the call's number; each holds one result
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

// start begins a call; its result comes on the channel.
func (t *callTracker) start(
	partition int, op string, body []byte, timeout time.Duration,
) (number uint64, result <-chan leadercall.Result) {
	done := make(chan leadercall.Result, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	number, out := t.calls.Start(now, t.leaderOf(partition), partition, op, body, now+timeout, leadercall.HasSingleTry(op))
	t.waiting[number] = done
	t.carryOut(out)
	return number, done
}

// drop forgets a call that nobody waits for any more.
func (t *callTracker) drop(number uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls.Cancel(number)
	delete(t.waiting, number)
}

// step takes a leader's result of a call.
func (t *callTracker) step(m message.Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.carryOut(t.calls.Step(t.now(), m))
}

// tick lets time pass in the calls under way.
func (t *callTracker) tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.carryOut(t.calls.Tick(t.now(), t.leaderOf))
}

// carryOut does what a step asks for; the lock is held.
func (t *callTracker) carryOut(out leadercall.Out) {
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

// leaderOf is a partition's leader as far as known.
func (d *Daemon) leaderOf(partition int) message.Replica {
	return d.View().Leaderships[partition].Leader
}

// Call has the leader of a partition carry out an operation, wherever that leader
// is, and waits out a change of leader while the timeout lasts. The result is a
// status and a JSON body: what was sent and not answered is "uncertain", what was
// never taken is "not done".
//
// Example: status, body := d.Call(ctx, 0, "plan", plan, 4*time.Second)
func (d *Daemon) Call(ctx context.Context, partition int, op string, body []byte, timeout time.Duration) (int, []byte) {
	number, result := d.calls.start(partition, op, body, timeout)
	select {
	case done := <-result:
		return done.Status, done.Body
	case <-ctx.Done():
		d.calls.drop(number)
		response := leadercall.Response{Result: leadercall.ResultUncertain, Reason: "the caller went away"}
		return leadercall.StatusUncertain, leadercall.Pack(response)
	}
}

// RequestSlots asks the leader for this daemon's share of the servers' slots; the
// share's length counts from the moment before the call, which is returned too.
//
// Example: share, from, ok := d.RequestSlots(ctx, p, demand, 200*time.Millisecond)
func (d *Daemon) RequestSlots(
	ctx context.Context, partition int, demand placement.Demand, timeout time.Duration,
) (share placement.Share, from time.Duration, ok bool) {
	from = d.Now()
	status, body := d.Call(ctx, partition, leadercall.OpDemand, leadercall.Pack(demand), timeout)
	if status != http.StatusOK || json.Unmarshal(body, &share) != nil {
		return share, from, false
	}
	return share, from, true
}

// RequestToken asks a partition's leader for a token of a tenant's limit; not ok if no leader answered.
//
// Example: grant, ok := d.RequestToken(ctx, 3, request, 100*time.Millisecond)
func (d *Daemon) RequestToken(
	ctx context.Context, partition int, request ratelimit.Request, timeout time.Duration,
) (grant ratelimit.Grant, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, body := d.Call(ctx, partition, leadercall.OpToken, leadercall.Pack(request), timeout)
	return grant, status == http.StatusOK && json.Unmarshal(body, &grant) == nil
}

// LeaderContact is how this daemon stands to a partition's leader.
type LeaderContact struct {
	LapsedFor         time.Duration    // since when it has no volume lease; 0: it has one
	LeaderUnreachable bool             // for longer than a change of leader takes
	OtherDaemons      []message.Member // control daemons to send callers to when this one is cut off
}

// Contact reports whether this daemon is in touch with a partition's leader, by its own
// lease and clock alone.
//
// Example: if d.Contact(0).LeaderUnreachable { redirectCaller() }
func (d *Daemon) Contact(partition int) (out LeaderContact) {
	out.LapsedFor = d.LapsedFor(partition)
	out.LeaderUnreachable = out.LapsedFor > d.Cfg.QuorumConfig().LeaderLease
	out.OtherDaemons = d.otherDaemons(out.LapsedFor)
	return out
}

// otherDaemons are the control daemons that the cut took away which let this
// daemon's lease lapse. Without such, and without a session, all others are named;
// with a session nobody is: then nobody has a leader, as far as this daemon knows.
func (d *Daemon) otherDaemons(lapsedFor time.Duration) (others []message.Member) {
	view := d.View()
	for _, lost := range view.PartitionedFrom() {
		if lost.LostAt+2*d.Cfg.MembershipConfig().SessionTimeout >= d.Now()-lapsedFor { // by the same cut
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
