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

// ReplicaCall is the body of leadercall.OpReplica: it moves a replica of the group to another daemon.
type ReplicaCall struct {
	Out   string `json:"out"`   // identity of the daemon that holds the replica now
	Ident string `json:"ident"` // identity of the daemon that takes it over
	Addr  string `json:"addr"`  // IP address and port of the daemon that takes it over
}

// ClaimCall is the body of leadercall.OpClaim, which claims a once key for a request, and of
// leadercall.OpRelease, which reports that this request has ended.
type ClaimCall struct {
	Key   string           `json:"Key"` // tenant and key; see OnceKey
	Claim leadercall.Claim `json:"Claim"`
}

// answer is the response to one attempt of a call.
type answer struct {
	status int
	body   []byte
	basis  message.Version // see message.CallResult
}

func (c *Controller) respond(to message.Sender, call message.Call, a answer) {
	result := message.CallResult{RequestID: call.RequestID, Status: a.status, Body: a.body, Basis: a.basis}
	frame := result.Message(c.partitionNumber)
	frame.To = to.Ident
	c.callResults = append(c.callResults, message.Envelope{Addr: to.Addr, Message: frame})
}

// invalidBodyAnswer is the answer to a call whose body can't be decoded.
func invalidBodyAnswer(err error) answer {
	response := leadercall.Response{Result: leadercall.ResultInvalid, Faults: []string{err.Error()}}
	return answer{status: http.StatusBadRequest, body: leadercall.MustMarshal(response)}
}

// handleCall executes a call if this daemon is the leader.
func (c *Controller) handleCall(now time.Duration, from message.Sender, call message.Call) Out {
	switch call.Op {
	case leadercall.OpDemand:
		c.handleDemand(now, from, call)
		return c.finishStep(partition.Out{})
	case leadercall.OpToken:
		c.handleToken(now, from, call)
		return c.finishStep(partition.Out{})
	}
	if !c.partition.IsLeader(now) { // only the leader may reject a call as invalid
		c.respond(from, call, answer{status: leadercall.StatusNotLeader})
		return c.finishStep(partition.Out{})
	}
	job, err := c.newCallRequest(from, call).job(call.Op, call.Body)
	if err != nil {
		c.respond(from, call, invalidBodyAnswer(err))
		return c.finishStep(partition.Out{})
	}
	if call.Op == leadercall.OpServers {
		c.withdrawLeaving(call.Body)
	}
	var events []Event
	out := c.Submit(now, job, func(r partition.Result) {
		c.reload = c.reload || call.Op == leadercall.OpServers // no other call affects server records
		a, event := answerTo(call.Op, r)
		c.respond(from, call, a)
		if event.Kind != "" {
			events = append(events, event)
		}
	})
	out.Events = append(out.Events, events...) // events of writes that completed within this step
	return out
}

// answerTo returns the answer to a call whose write has completed, and the event to log; the event's Kind is
// empty if there is nothing to log.
func answerTo(op string, r partition.Result) (answer, Event) {
	switch r.Outcome {
	case partition.NotLeader:
		return answer{status: leadercall.StatusNotLeader}, Event{}
	case partition.Uncertain:
		return answer{status: leadercall.StatusUncertain}, Event{}
	}
	switch value := r.Answer.(type) {
	case fleetconfig.Verdict:
		event := Event{"plan", fmt.Sprintf("%s: %s, version %d", op, value.Result, value.Version)}
		return answer{status: verdictStatus(value), body: leadercall.MustMarshal(value)}, event
	case leadercall.Response:
		var event Event
		if value.Result == leadercall.ResultUnclear {
			event = Event{"call", fmt.Sprintf("%s: %s, %s", op, value.Result, value.Reason)}
		}
		return answer{status: responseStatus(value), body: leadercall.MustMarshal(value)}, event
	case basisMismatch:
		return answer{status: leadercall.StatusBehind, basis: value.basis}, Event{}
	default:
		panic("write returned no known result for call " + op)
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

// callRequest is one attempt of a call, with what its handlers need.
type callRequest struct {
	id             string          // identifies the call across all its attempts; "" if the daemon's build doesn't number calls
	basis          message.Version // the basis that the attempt carries; see message.Call
	readableFormat func() int      // see Config.ReadableFormat
	plans          *fleetconfig.PlanReader
	replicas       []message.Replica // of the partition's group
}

func (c *Controller) newCallRequest(from message.Sender, call message.Call) callRequest {
	r := callRequest{readableFormat: c.cfg.ReadableFormat, plans: &c.plans, replicas: c.replicas()}
	if call.CallID != 0 {
		r.id = fmt.Sprintf("%s#%d/%d", from.Ident, from.Epoch, call.CallID)
		r.basis = call.Basis
	}
	return r
}

// job turns a call into a write to the partition; the error describes a fault in its body.
func (r callRequest) job(op string, body []byte) (partition.Job, error) {
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

// decodeBody decodes the JSON body of a call.
func decodeBody[T any](body []byte) (value T, err error) {
	err = json.Unmarshal(body, &value)
	return value, err
}

// responseDone reports that a call was executed, or that there was nothing to change.
var responseDone = leadercall.Response{Result: leadercall.ResultDone}

// unclearResponse is the result of a call on a record that this build can't read: nothing
// was changed, and the state that the call would have found is unknown.
func unclearResponse(err error) leadercall.Response {
	return leadercall.Response{Result: leadercall.ResultUnclear, Reason: err.Error()}
}
