package daemon

import (
	"context"
	"encoding/json"
	"time"

	"mulleinmast/control/leadercall"
	"mulleinmast/control/placement"
	"mulleinmast/wire/message"
)

func (c *Daemon) leaderOf(partition int) message.Replica {
	return c.View().Leaderships[partition].Leader
}

// carryCalls carries out what a step of the calls under way asks for; cmu is held.
func (c *Daemon) carryCalls(o leadercall.Out) {
	for _, m := range o.Sends {
		c.send(m)
	}
	for _, d := range o.Results {
		if ch := c.calls[d.CallID]; ch != nil {
			delete(c.calls, d.CallID)
			ch <- d
		}
	}
}

// Call settles a call at the leader of a partition, wherever that is. It waits out a
// change of leader while the timeout lasts. What was sent and not answered is
// "uncertain"; what was never taken is "not done".
//
// Example: code, rep := c.Call(ctx, 0, "plan", body, 4*time.Second)
func (c *Daemon) Call(ctx context.Context, partition int, op string, body []byte, timeout time.Duration) (int, []byte) {
	ch := make(chan leadercall.Result, 1)
	c.cmu.Lock()
	now := c.Now()
	no, o := c.runs.Start(now, c.leaderOf(partition), partition, op, body, now+timeout, op == "want")
	c.calls[no] = ch
	c.carryCalls(o)
	c.cmu.Unlock()
	select {
	case d := <-ch:
		return d.Status, d.Body
	case <-ctx.Done():
		c.cmu.Lock()
		c.runs.Cancel(no)
		delete(c.calls, no)
		c.cmu.Unlock()
		return leadercall.StatusUncertain, leadercall.Pack(leadercall.Response{Result: "uncertain", Reason: "the caller went away"})
	}
}

// LeaderContact is how this daemon stands to a partition's leader.
type LeaderContact struct {
	LapsedFor         time.Duration    // since when it has no lease on the part; 0: it has one
	LeaderUnreachable bool             // for longer than a change of leader takes
	OtherDaemons      []message.Member // control daemons to send callers to when this one is cut off
}

// Contact tells whether this daemon is in touch with a partition's leader, by its own
// lease alone.
//
// Example: if c.Contact(0).Away { sendOn() }
func (c *Daemon) Contact(part int) (out LeaderContact) {
	s := c.shards[part]
	s.mu.Lock()
	out.LapsedFor = max(0, c.Now()-s.Partition().Node.VolumeExpiry())
	s.mu.Unlock()
	out.LeaderUnreachable = out.LapsedFor > c.Cfg.QuorumConfig().LeaderLease
	v := c.View()
	for _, l := range v.PartitionedFrom() {
		if l.At+2*c.Cfg.MembershipConfig().SessionTimeout >= c.Now()-out.LapsedFor { // by the same cut
			out.OtherDaemons = append(out.OtherDaemons, l.Member)
		}
	}
	if len(out.OtherDaemons) > 0 || v.HasSession {
		return out // none: nobody has a leader, as far as this daemon knows
	}
	for _, m := range v.Members {
		if m.HasDisk && m.Addr != c.me.Addr {
			out.OtherDaemons = append(out.OtherDaemons, m)
		}
	}
	return out
}

func part2(c Config) int64 { return c.Bounds.Plan.Milliseconds() }

// RequestSlots asks the leader for this daemon's slots; the time it was asked counts.
//
// Example: share, at, ok := c.RequestSlots(ctx, p, want, 200*time.Millisecond)
func (c *Daemon) RequestSlots(ctx context.Context, p int, w placement.Demand, timeout time.Duration) (sh placement.Share, at time.Duration, ok bool) {
	at = c.Now()
	code, rep := c.Call(ctx, p, "want", leadercall.Pack(w), timeout)
	if code != 200 || json.Unmarshal(rep, &sh) != nil {
		return sh, at, false
	}
	return sh, at, true
}
