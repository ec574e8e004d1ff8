package leader

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leadercall"
	"mulleinmast/control/lease"
	"mulleinmast/control/partition"
	"mulleinmast/wire/message"
)

// A call may reach its leader, or the next one, more than once: it is sent again
// when it got no word, and a try may be held up on its way. Plans are ordered by
// their base, lists by their version, claims by their request. What nothing
// orders (evacuations and their ends, replicas, lists without a version) is kept
// from being done twice in three ways.
//   - Each call has a number over all its tries: the partition keeps the last calls,
//     with what was told, in a record that is written together with what they
//     change.
//   - A try is carried out only on the version of its record that the leader told
//     that very call, whose caller then waited still: one that was held up on its
//     way while others changed the record does nothing.
//   - The caller itself may send an order again, as another call, for a bounded
//     time. One that was taken, and undone by another since, is told to wait
//     until that time is over: nobody can tell before whether it is a new one.

const (
	callsKey  = "calls/done"
	keepCalls = 64  // the last ones are kept, however old they are
	mostCalls = 512 // with those that may still be sent again; more are not taken
)

// pastCall is a call that was settled, and what its caller was told.
type pastCall struct {
	Call string              `json:"call"`
	Word leadercall.Response `json:"word"`
	What string              `json:"what,omitempty"` // the order, as long as its caller may send it again
}

// ask is who asks for a job.
type ask struct {
	call   string          // names it over all its tries; "" where its daemon's build doesn't
	on     message.Version // the mark of what it changes that it was told; none: its daemon's build knows no marks
	orders *orders
	reads  func() int // the format of plans that all daemons read; none: not known
}

func askOf(n message.Message, o *orders) ask {
	if n.ResponseTo == 0 {
		return ask{}
	}
	return ask{call: fmt.Sprintf("%s#%d/%d", n.From, n.Epoch, n.ResponseTo), on: n.Version, orders: o}
}

// unread tells why a plan can't be taken: there are daemons that couldn't read it.
func (a ask) unread(p fleetconfig.Plan) string {
	if a.reads == nil || p.Needs == 0 {
		return ""
	}
	if reads := a.reads(); reads > 0 && p.Needs > reads {
		return fmt.Sprintf("the plan needs a build that reads format %d, and there are daemons that read up to %d", p.Needs, reads)
	}
	return ""
}

// markOf tells a caller what its order is on; never the zero mark.
func markOf(r message.Record) message.Version {
	return message.Version{Term: r.Version.Term, Seq: r.Version.Seq + 1}
}

// behind is the word for a try that is on another version than the one told.
type behind struct{ on message.Version }

// orders knows when orders were last taken under this leadership.
type orders struct {
	again time.Duration // for how long after it a caller may send an order again
	now   time.Duration // of the step under way
	since time.Duration // when the leadership began: orders found in the record count from then
	due   time.Duration // of the next look for those that lapsed
	at    map[string]time.Duration
}

// open tells whether an order may still be sent again by its caller.
func (o *orders) open(p pastCall) bool {
	return o != nil && p.What != "" && o.left(p.What) > 0
}

// left is how long an order may still be sent again.
func (o *orders) left(what string) time.Duration {
	at, ok := o.at[what]
	if !ok {
		at = o.since
	}
	return max(0, at+o.again-o.now)
}

func (o *orders) took(what string) {
	if o != nil && what != "" {
		o.at[what] = o.now
	}
}

// readCalls reads the record of the calls that were settled; absence is none.
func readCalls(r message.Record) (list []pastCall, err error) {
	if !r.Deleted && len(r.Value) > 0 {
		err = json.Unmarshal(r.Value, &list)
	}
	return list, err
}

// keep drops the oldest calls beyond those that are always kept, up to one that
// may still be sent again; of the others the order is forgotten.
func (o *orders) keep(past []pastCall) []pastCall {
	for i := range past {
		if !o.open(past[i]) {
			past[i].What = ""
		}
	}
	for len(past) > keepCalls && past[0].What == "" {
		past = past[1:]
	}
	return past
}

// onceOnly makes a job that does a call once: see above. what names the order,
// if its caller may send it again as another call.
func (a ask) onceOnly(what string, j partition.Job) partition.Job {
	if a.call == "" {
		return j
	}
	return partition.Job{Keys: append([]string{callsKey}, j.Keys...), Build: func(read lease.RecordSource) ([]message.Record, any) {
		past, err := readCalls(read(callsKey))
		if err != nil {
			return nil, notClear(err)
		}
		if i := slices.IndexFunc(past, func(p pastCall) bool { return p.Call == a.call }); i >= 0 {
			return nil, past[i].Word
		}
		if on := markOf(read(j.Keys[0])); a.on != (message.Version{}) && a.on != on {
			return nil, behind{on}
		}
		past = a.orders.keep(past)
		recs, word := j.Build(read)
		if w, ok := word.(leadercall.Response); ok && w.Result == resultNotClear {
			return nil, w // nothing was settled
		}
		undone := len(recs) > 0 && slices.ContainsFunc(past, func(p pastCall) bool { return what != "" && p.What == what })
		if undone || len(past) >= mostCalls {
			return nil, leadercall.Response{Result: resultNotClear, Reason: "the same order was taken a moment ago and undone since; it is carried out again once it can't be a late repeat", RetryAfterMillis: a.orders.left(what).Milliseconds()}
		}
		a.orders.took(what)
		past = a.orders.keep(append(past, pastCall{Call: a.call, Word: word.(leadercall.Response), What: what}))
		return append(recs, message.Record{Key: callsKey, Value: leadercall.Pack(past)}), word
	}}
}

// lapse takes the orders out of the record that can't be sent again any more, so
// that the next leader, who can't know their age, doesn't hold them for new.
func (m *Controller) lapse(now time.Duration, o *Out) {
	if m.partition != 0 || now < m.orders.due {
		return
	}
	m.orders.now, m.orders.due = now, now+m.orders.again/4
	r, _ := m.sec.Replica.Records().Get(callsKey)
	past, err := readCalls(r)
	if err != nil || !slices.ContainsFunc(past, func(p pastCall) bool { return p.What != "" && !m.orders.open(p) }) {
		return
	}
	o.add(m.Do(now, partition.Job{Keys: []string{callsKey}, Build: func(read lease.RecordSource) ([]message.Record, any) {
		past, err := readCalls(read(callsKey))
		if err != nil {
			return nil, nil
		}
		return []message.Record{{Key: callsKey, Value: leadercall.Pack(m.orders.keep(past))}}, nil
	}}, nil))
}
