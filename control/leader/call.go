package leader

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leadercall"
	"mulleinmast/control/partition"
	"mulleinmast/wire/message"
)

// ServersCall is the body of leadercall.OpServers: the list of a service's servers.
type ServersCall struct {
	Service string           `json:"Service"`
	List    fleetconfig.List `json:"List"`
}

// ReplicaCall is the body of leadercall.OpReplica: a replica of the group is to go to another daemon.
type ReplicaCall struct {
	Out   string `json:"out"`   // identity of the daemon that has the replica
	Ident string `json:"ident"` // of the daemon that is to have it
	Addr  string `json:"addr"`  // of that daemon: IP address and port
}

// ClaimCall is the body of leadercall.OpClaim and leadercall.OpRelease: a once key is claimed,
// or the end of its request reported.
type ClaimCall struct {
	Key   string           `json:"Key"` // tenant and key; see OnceKey
	Claim leadercall.Claim `json:"Claim"`
}

// answer is what a try of a call is answered.
type answer struct {
	status int
	body   []byte
	basis  message.Version // see message.CallResult
}

func (c *Controller) respond(to message.Sender, call message.Call, a answer) {
	result := message.CallResult{RequestID: call.RequestID, Status: a.status, Body: a.body, Basis: a.basis}
	frame := result.Message(c.number)
	frame.To = to.Ident
	c.callResults = append(c.callResults, message.Envelope{Addr: to.Addr, Message: frame})
}

// invalidBody is the answer to a call whose body can't be read.
func invalidBody(err error) answer {
	response := leadercall.Response{Result: leadercall.ResultInvalid, Faults: []string{err.Error()}}
	return answer{status: http.StatusBadRequest, body: leadercall.Pack(response)}
}

// handleCall carries out a call if this daemon is the leader.
func (c *Controller) handleCall(now time.Duration, from message.Sender, call message.Call) Out {
	switch call.Op {
	case leadercall.OpDemand:
		c.handleDemand(now, from, call)
		return c.finishStep(partition.Out{})
	case leadercall.OpToken:
		c.handleToken(now, from, call)
		return c.finishStep(partition.Out{})
	}
	if !c.partition.IsLeader(now) { // only the leader may find fault with a call
		c.respond(from, call, answer{status: leadercall.StatusNotLeader})
		return c.finishStep(partition.Out{})
	}
	c.orders.now = now
	job, err := c.request(from, call).job(call.Op, call.Body)
	if err != nil {
		c.respond(from, call, invalidBody(err))
		return c.finishStep(partition.Out{})
	}
	if call.Op == leadercall.OpServers {
		c.withdrawLeaving(call.Body)
	}
	var events []Event
	out := c.Submit(now, job, func(r partition.Result) {
		c.reload = c.reload || call.Op == leadercall.OpServers // other calls concern no server's record
		a, event := answerTo(call.Op, r)
		c.respond(from, call, a)
		if event.Kind != "" {
			events = append(events, event)
		}
	})
	out.Events = append(out.Events, events...) // of a write that ended within this step
	return out
}

// answerTo is the answer to a call whose write has ended, with what is logged of it, if anything.
func answerTo(op string, r partition.Result) (answer, Event) {
	switch r.Outcome {
	case partition.NotLeader:
		return answer{status: leadercall.StatusNotLeader}, Event{}
	case partition.Uncertain:
		return answer{status: leadercall.StatusUncertain}, Event{}
	}
	switch word := r.Answer.(type) {
	case fleetconfig.Verdict:
		event := Event{"plan", fmt.Sprintf("%s: %s, version %d", op, word.Result, word.Version)}
		return answer{status: verdictStatus(word), body: leadercall.Pack(word)}, event
	case leadercall.Response:
		var event Event
		if word.Result == leadercall.ResultUnclear {
			event = Event{"call", fmt.Sprintf("%s: %s, %s", op, word.Result, word.Reason)}
		}
		return answer{status: responseStatus(word), body: leadercall.Pack(word)}, event
	case behind:
		return answer{status: leadercall.StatusBehind, basis: word.basis}, Event{}
	default:
		panic("job without a result: " + op)
	}
}

func verdictStatus(v fleetconfig.Verdict) int {
	switch v.Result {
	case fleetconfig.VerdictAccepted:
		return http.StatusOK
	case fleetconfig.VerdictConflict:
		return http.StatusConflict
	case fleetconfig.VerdictInvalid:
		return http.StatusBadRequest
	}
	return 0
}

func responseStatus(r leadercall.Response) int {
	switch r.Result {
	case leadercall.ResultDone:
		return http.StatusOK
	case leadercall.ResultDuplicate, leadercall.ResultConflict, leadercall.ResultNotDone:
		return http.StatusConflict
	case leadercall.ResultUnclear:
		return leadercall.StatusNotDone
	}
	return 0
}

// request is a try of a call as its handler sees it.
type request struct {
	id    string          // names the call over all its tries; "": its daemon's build doesn't number them
	basis message.Version // that a leader named to the caller; zero: its daemon's build knows none
	// orders are those of the leadership; used only where id is set.
	orders         *recentOrders
	readableFormat func() int // see Config.ReadableFormat
	plans          *fleetconfig.PlanReader
	replicas       []message.Replica // of the partition's group
}

func (c *Controller) request(from message.Sender, call message.Call) request {
	r := request{readableFormat: c.cfg.ReadableFormat, plans: &c.plans, replicas: c.replicas()}
	if call.CallID != 0 {
		r.id = fmt.Sprintf("%s#%d/%d", from.Ident, from.Epoch, call.CallID)
		r.basis, r.orders = call.Basis, &c.orders
	}
	return r
}

// job turns a call into a write of the partition; the error says what is wrong with its body.
func (r request) job(op string, body []byte) (partition.Job, error) {
	switch op {
	case leadercall.OpPlan:
		return r.handlePlan(body)
	case leadercall.OpChanges:
		return r.handleChanges(body)
	case leadercall.OpEvacuate, leadercall.OpReturn:
		return r.handleZone(op, string(body)), nil
	case leadercall.OpReplica:
		return r.handleReplica(body)
	case leadercall.OpServers:
		return r.handleServers(body)
	case leadercall.OpClaim:
		return r.handleClaim(body)
	case leadercall.OpRelease:
		return r.handleRelease(body)
	default:
		return partition.Job{}, fmt.Errorf("unknown call %q", op)
	}
}

// decodeBody reads the body of a call.
func decodeBody[T any](body []byte) (value T, err error) {
	err = json.Unmarshal(body, &value)
	return value, err
}

// responseDone says that a call was carried out, or found nothing to change.
var responseDone = leadercall.Response{Result: leadercall.ResultDone}

// unclear is the result of a call on a record that this build can't read: nothing
// was changed, and nobody here knows what the call would have met.
func unclear(err error) leadercall.Response {
	return leadercall.Response{Result: leadercall.ResultUnclear, Reason: err.Error()}
}
