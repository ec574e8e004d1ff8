package leader

import (
	"encoding/json"
	"slices"
	"time"

	"mulleinmast/control/leadercall"
	"mulleinmast/control/lease"
	"mulleinmast/control/partition"
	"mulleinmast/wire/message"
)

// A call may reach its leader, or the next one, more than once: it is sent again
// when it got no answer, and a try may be held up on its way. Plans are ordered by
// their base, lists by their version, claims by their request. What nothing
// orders (evacuations and their ends, replicas, lists without a version) is kept
// from being done twice in three ways.
//   - Each call has a number over all its tries: the partition keeps the last calls,
//     with their responses, in a record that is written together with what they
//     change.
//   - A try is carried out only on the version of its record (its basis) that the
//     leader named to that very call, whose caller then waited still: one that was
//     held up on its way while others changed the record does nothing.
//   - The caller itself may send an order again, as another call, for a bounded
//     time. An order that was accepted, and undone by another since, is refused
//     until that time is over: nobody can tell before whether it is a new one.

const (
	pastCallsKey  = "calls/done"
	keptPastCalls = 64  // the last ones are kept, however old they are
	maxPastCalls  = 512 // with those that may still be sent again; more are not accepted
)

// pastCall is a call that was carried out or refused for good, and its response.
type pastCall struct {
	Call     string              `json:"call"` // request.id
	Response leadercall.Response `json:"word"`
	Order    string              `json:"what,omitempty"` // names the order as long as its caller may send it again
}

// readPastCalls reads the record of past calls; absence is none.
func readPastCalls(r message.Record) (list []pastCall, err error) {
	if !r.Deleted && len(r.Value) > 0 {
		err = json.Unmarshal(r.Value, &list)
	}
	return list, err
}

// basisOf stands for a version of a record; it is never zero, also for one that isn't there.
func basisOf(r message.Record) message.Version {
	return message.Version{Term: r.Version.Term, Seq: r.Version.Seq + 1}
}

// behind is the result of a try on another version than the present one.
type behind struct{ basis message.Version }

// recentOrders knows when operators' orders were last accepted under this leadership.
type recentOrders struct {
	window     time.Duration // Config.RepeatWindow
	now        time.Duration // of the step under way; the controller sets it
	since      time.Duration // when the leadership began: orders found in the record count as accepted then
	nextExpiry time.Duration // of the next look for orders whose window is over
	acceptedAt map[string]time.Duration
}

// mayRepeat tells whether a call's order may still be sent again by its caller.
func (o *recentOrders) mayRepeat(p pastCall) bool {
	return p.Order != "" && o.repeatableFor(p.Order) > 0
}

// repeatableFor is for how long an order may still be sent again.
func (o *recentOrders) repeatableFor(order string) time.Duration {
	accepted, ok := o.acceptedAt[order]
	if !ok {
		accepted = o.since
	}
	return max(0, accepted+o.window-o.now)
}

// prune drops the oldest calls beyond those that are always kept, up to one whose order
// may still be sent again; of the others the order is forgotten.
func (o *recentOrders) prune(past []pastCall) []pastCall {
	for i := range past {
		if !o.mayRepeat(past[i]) {
			past[i].Order = ""
		}
	}
	for len(past) > keptPastCalls && past[0].Order == "" {
		past = past[1:]
	}
	return past
}

// onceOnly makes a job that carries out a call once: see above. order names what is ordered,
// if the caller may send it again as another call; "" if not.
func (r request) onceOnly(order string, job partition.Job) partition.Job {
	if r.id == "" {
		return job
	}
	build := func(read lease.RecordSource) ([]message.Record, any) { return r.buildOnce(order, job, read) }
	return partition.Job{Keys: append([]string{pastCallsKey}, job.Keys...), Build: build}
}

// buildOnce carries out a call unless it was before, or is behind, or may be a late repeat.
func (r request) buildOnce(order string, job partition.Job, read lease.RecordSource) ([]message.Record, any) {
	past, err := readPastCalls(read(pastCallsKey))
	if err != nil {
		return nil, unclear(err)
	}
	if i := slices.IndexFunc(past, func(p pastCall) bool { return p.Call == r.id }); i >= 0 {
		return nil, past[i].Response
	}
	if basis := basisOf(read(job.Keys[0])); r.basis != (message.Version{}) && r.basis != basis {
		return nil, behind{basis}
	}
	past = r.orders.prune(past)
	records, word := job.Build(read)
	response := word.(leadercall.Response)
	if response.Result == leadercall.ResultUnclear {
		return nil, response // nothing was decided
	}
	undone := len(records) > 0 && order != "" && isRemembered(past, order)
	if undone || len(past) >= maxPastCalls {
		return nil, r.lateRepeat(order)
	}
	if order != "" {
		r.orders.acceptedAt[order] = r.orders.now
	}
	past = r.orders.prune(append(past, pastCall{Call: r.id, Response: response, Order: order}))
	return append(records, message.Record{Key: pastCallsKey, Value: leadercall.Pack(past)}), response
}

// isRemembered tells whether an order was accepted, and may still be sent again by its caller.
func isRemembered(past []pastCall, order string) bool {
	return slices.ContainsFunc(past, func(p pastCall) bool { return p.Order == order })
}

// lateRepeat is the response to an order that may be a late repeat of one that was undone since.
func (r request) lateRepeat(order string) leadercall.Response {
	return leadercall.Response{
		Result: leadercall.ResultUnclear,
		Reason: "the same order was taken a moment ago and undone since; " +
			"it is carried out again once it can't be a late repeat",
		RetryAfterMillis: r.orders.repeatableFor(order).Milliseconds(),
	}
}

// expireOrders takes the orders out of the record that can't be sent again any more, so
// that the next leader, who can't know their age, doesn't take them for recent.
func (c *Controller) expireOrders(now time.Duration, out *Out) {
	if c.number != 0 || now < c.orders.nextExpiry {
		return
	}
	c.orders.now, c.orders.nextExpiry = now, now+c.orders.window/4
	record, _ := c.partition.Replica.Records().Get(pastCallsKey)
	past, err := readPastCalls(record)
	if err != nil || !slices.ContainsFunc(past, c.orders.hasExpired) {
		return
	}
	job := partition.Job{Keys: []string{pastCallsKey}, Build: func(read lease.RecordSource) ([]message.Record, any) {
		past, err := readPastCalls(read(pastCallsKey))
		if err != nil {
			return nil, nil
		}
		return []message.Record{{Key: pastCallsKey, Value: leadercall.Pack(c.orders.prune(past))}}, nil
	}}
	out.add(c.Submit(now, job, nil))
}

// hasExpired tells whether a call's order is still named and can't be sent again any more.
func (o *recentOrders) hasExpired(p pastCall) bool { return p.Order != "" && !o.mayRepeat(p) }
