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

// A call may reach its leader, or a later leader, more than once: it is retried if
// it gets no answer, and an attempt may be delayed in the network. Plans are ordered
// by their base, lists by their version, claims by their request. Calls that have no
// such sequence (starting and ending an evacuation, replica changes, lists without a
// version) are protected against duplicate execution in three ways.
//   - All attempts of a call have the same number. The partition keeps the most recent
//     calls, with their responses, in a record that is written together with the
//     changes that the calls make.
//   - An attempt is executed only on the basis that the leader returned to the same call
//     while its caller was waiting. The basis changes with the records of the call and
//     with each call that is executed here, even if that call changed nothing. So an
//     attempt that was delayed until another call was acknowledged does nothing.
//   - An operator's order may be resent as a new call for a limited time
//     (Config.RepeatWindow). If an order was accepted and another order has undone it,
//     the leader refuses the first order until this time has passed: it can't
//     distinguish a late repeat from a new order.

const (
	pastCallsKey  = "calls/done"
	keptPastCalls = 64  // the most recent calls, kept regardless of age
	maxPastCalls  = 512 // including calls whose order may still be resent; beyond this, calls are refused
)

// pastCall is a call that was executed or finally refused, with its response.
type pastCall struct {
	Call     string              `json:"call"` // callRequest.id
	Response leadercall.Response `json:"word"`
	Order    string              `json:"what,omitempty"` // identifies the order as long as its caller may resend it
}

// readPastCalls reads the record of past calls; an absent record means none.
func readPastCalls(r message.Record) (list []pastCall, err error) {
	if !r.Deleted && len(r.Value) > 0 {
		err = json.Unmarshal(r.Value, &list)
	}
	return list, err
}

// basisOf returns the basis of a call's records: their latest version. It is never zero, even if all are absent.
func basisOf(read lease.RecordSource, keys []string) message.Version {
	var latest message.Version
	for _, key := range keys {
		if version := read(key).Version; latest.Less(version) {
			latest = version
		}
	}
	return message.Version{Term: latest.Term, Seq: latest.Seq + 1}
}

// basisMismatch is the result of an attempt whose basis isn't the current one.
type basisMismatch struct{ basis message.Version }

// recentOrders holds when operators' orders were last accepted under this leadership.
type recentOrders struct {
	window          time.Duration // Config.RepeatWindow
	now             time.Duration // time of the current step; set by the controller
	leaderSince     time.Duration // start of the leadership; orders found in the record count as accepted then
	nextExpiryCheck time.Duration // when to look again for orders whose window has passed
	acceptedAt      map[string]time.Duration
}

// isRepeatable reports whether a call's order may still be resent by its caller.
func (o *recentOrders) isRepeatable(p pastCall) bool {
	return p.Order != "" && o.repeatableFor(p.Order) > 0
}

// repeatableFor returns for how long an order may still be resent.
func (o *recentOrders) repeatableFor(order string) time.Duration {
	accepted, ok := o.acceptedAt[order]
	if !ok {
		accepted = o.leaderSince
	}
	return max(0, accepted+o.window-o.now)
}

// prune clears the orders that can no longer be resent. It then drops the oldest calls in excess of
// keptPastCalls, up to the first one whose order may still be resent.
func (o *recentOrders) prune(past []pastCall) []pastCall {
	for i := range past {
		if !o.isRepeatable(past[i]) {
			past[i].Order = ""
		}
	}
	for len(past) > keptPastCalls && past[0].Order == "" {
		past = past[1:]
	}
	return past
}

// deduplicate wraps a job so that its call is executed only once, as described at the top of this file. order
// identifies an operator's order that the caller may resend as another call; it is "" for other calls.
func (r callRequest) deduplicate(order string, job partition.Job) partition.Job {
	if r.id == "" {
		return job
	}
	keys := append([]string{pastCallsKey}, job.Keys...)
	build := func(read lease.RecordSource) ([]message.Record, any) {
		return r.buildDeduplicated(order, keys, job, read)
	}
	return partition.Job{Keys: keys, Build: build}
}

// buildDeduplicated executes a call unless it was executed before, its basis doesn't match, or it may be a
// late repeat.
func (r callRequest) buildDeduplicated(
	order string, keys []string, job partition.Job, read lease.RecordSource,
) ([]message.Record, any) {
	past, err := readPastCalls(read(pastCallsKey))
	if err != nil {
		return nil, unclearResponse(err)
	}
	if i := slices.IndexFunc(past, func(p pastCall) bool { return p.Call == r.id }); i >= 0 {
		return nil, past[i].Response
	}
	if basis := basisOf(read, keys); r.basis != (message.Version{}) && r.basis != basis {
		return nil, basisMismatch{basis}
	}
	past = r.orders.prune(past)
	records, result := job.Build(read)
	response := result.(leadercall.Response)
	if response.Result == leadercall.ResultUnclear {
		return nil, response // nothing was decided
	}
	mayBeLateRepeat := len(records) > 0 && order != "" && isRecentOrder(past, order)
	if mayBeLateRepeat || len(past) >= maxPastCalls {
		return nil, r.lateRepeatResponse(order)
	}
	if order != "" {
		r.orders.acceptedAt[order] = r.orders.now
	}
	past = r.orders.prune(append(past, pastCall{Call: r.id, Response: response, Order: order}))
	return append(records, message.Record{Key: pastCallsKey, Value: leadercall.MustMarshal(past)}), response
}

// isRecentOrder reports whether an order is among the past calls. If so, it was accepted and its caller may still
// resend it.
func isRecentOrder(past []pastCall, order string) bool {
	return slices.ContainsFunc(past, func(p pastCall) bool { return p.Order == order })
}

// lateRepeatResponse is the response to an order that may be a late repeat of one that has since been undone.
func (r callRequest) lateRepeatResponse(order string) leadercall.Response {
	return leadercall.Response{
		Result: leadercall.ResultUnclear,
		Reason: "the same order was taken a moment ago and undone since; " +
			"it is carried out again once it can't be a late repeat",
		RetryAfterMillis: r.orders.repeatableFor(order).Milliseconds(),
	}
}

// expireOrders removes orders that can no longer be resent from the record, so that the
// next leader, which can't know their age, doesn't treat them as recent.
func (c *Controller) expireOrders(now time.Duration, out *Out) {
	if c.partitionNumber != 0 || now < c.orders.nextExpiryCheck {
		return
	}
	c.orders.now, c.orders.nextExpiryCheck = now, now+c.orders.window/4
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
		return []message.Record{{Key: pastCallsKey, Value: leadercall.MustMarshal(c.orders.prune(past))}}, nil
	}}
	out.add(c.Submit(now, job, nil))
}

// hasExpired reports whether a call still has an order that can no longer be resent.
func (o *recentOrders) hasExpired(p pastCall) bool { return p.Order != "" && !o.isRepeatable(p) }
