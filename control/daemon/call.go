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
	for _, d := range o.Done {
		if ch := c.calls[d.No]; ch != nil {
			delete(c.calls, d.No)
			ch <- d
		}
	}
}

// Ask settles a call at the leader of a partition, wherever that is. It waits out a
// change of leader while the timeout lasts. What was sent and not answered is
// "uncertain"; what was never taken is "not done".
//
// Example: code, rep := c.Ask(ctx, 0, "plan", body, 4*time.Second)
func (c *Daemon) Ask(ctx context.Context, partition int, op string, body []byte, timeout time.Duration) (int, []byte) {
	ch := make(chan leadercall.Done, 1)
	c.cmu.Lock()
	now := c.Now()
	no, o := c.runs.Start(now, c.leaderOf(partition), partition, op, body, now+timeout, op == "want")
	c.calls[no] = ch
	c.carryCalls(o)
	c.cmu.Unlock()
	select {
	case d := <-ch:
		return d.Code, d.Body
	case <-ctx.Done():
		c.cmu.Lock()
		c.runs.Drop(no)
		delete(c.calls, no)
		c.cmu.Unlock()
		return leadercall.Uncertain, leadercall.Pack(leadercall.Response{Result: "uncertain", Why: "the caller went away"})
	}
}

// Contact is how this daemon stands to a partition's leader.
type Contact struct {
	Lapsed time.Duration    // since when it has no lease on the part; 0: it has one
	Away   bool             // for longer than a change of leader takes
	Others []message.Member // control daemons to send callers to when this one is cut off
}

// Contact tells whether this daemon is in touch with a partition's leader, by its own
// lease alone.
//
// Example: if c.Contact(0).Away { sendOn() }
func (c *Daemon) Contact(part int) (out Contact) {
	s := c.shards[part]
	s.mu.Lock()
	out.Lapsed = max(0, c.Now()-s.Partition().Node.VolumeExpiry())
	s.mu.Unlock()
	out.Away = out.Lapsed > c.Cfg.QuorumConfig().LeaderLease
	v := c.View()
	for _, l := range v.PartitionedFrom() {
		if l.At+2*c.Cfg.Sessions().SessionTimeout >= c.Now()-out.Lapsed { // by the same cut
			out.Others = append(out.Others, l.Member)
		}
	}
	if len(out.Others) > 0 || v.HasSession {
		return out // none: nobody has a leader, as far as this daemon knows
	}
	for _, m := range v.Members {
		if m.HasDisk && m.Addr != c.me.Addr {
			out.Others = append(out.Others, m)
		}
	}
	return out
}

func part2(c Config) int64 { return c.Bounds.Plan.Milliseconds() }

// Share asks the leader for this daemon's slots; the time it was asked counts.
//
// Example: share, at, ok := c.Share(ctx, p, want, 200*time.Millisecond)
func (c *Daemon) Share(ctx context.Context, p int, w placement.Want, timeout time.Duration) (sh placement.Share, at time.Duration, ok bool) {
	at = c.Now()
	code, rep := c.Ask(ctx, p, "want", leadercall.Pack(w), timeout)
	if code != 200 || json.Unmarshal(rep, &sh) != nil {
		return sh, at, false
	}
	return sh, at, true
}
