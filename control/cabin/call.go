package cabin

import (
	"context"
	"encoding/json"
	"time"

	"mulleinmast/control/errand"
	"mulleinmast/control/interlock"
	"mulleinmast/wire/form"
)

func (c *Cabin) ownerOf(part int) form.Seat { return c.View().Owns[part].Seat }

// errands carries out what a step of the calls under way asks for; cmu is held.
func (c *Cabin) errands(o errand.Out) {
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

// Ask settles a call at the owner of a part, wherever that is. It waits out a
// change of owner while the budget lasts. What was sent and not answered is
// "uncertain"; what was never taken is "not done".
//
// Example: code, rep := c.Ask(ctx, 0, "plan", body, 4*time.Second)
func (c *Cabin) Ask(ctx context.Context, part int, op string, body []byte, budget time.Duration) (int, []byte) {
	ch := make(chan errand.Done, 1)
	c.cmu.Lock()
	now := c.Now()
	no, o := c.runs.Start(now, c.ownerOf(part), part, op, body, now+budget, op == "want")
	c.calls[no] = ch
	c.errands(o)
	c.cmu.Unlock()
	select {
	case d := <-ch:
		return d.Code, d.Body
	case <-ctx.Done():
		c.cmu.Lock()
		c.runs.Drop(no)
		delete(c.calls, no)
		c.cmu.Unlock()
		return errand.Uncertain, errand.Pack(errand.Word{Result: "uncertain", Why: "the caller went away"})
	}
}

func part2(c Config) int64 { return c.Bounds.Plan.Milliseconds() }

// Share asks the owner for this daemon's slots; the time it was asked counts.
//
// Example: share, at, ok := c.Share(ctx, p, want, 200*time.Millisecond)
func (c *Cabin) Share(ctx context.Context, p int, w interlock.Want, budget time.Duration) (sh interlock.Share, at time.Duration, ok bool) {
	at = c.Now()
	code, rep := c.Ask(ctx, p, "want", errand.Pack(w), budget)
	if code != 200 || json.Unmarshal(rep, &sh) != nil {
		return sh, at, false
	}
	return sh, at, true
}
