package judge

import "mulleinmast/proof/history"

// Kinds of events (history.Event.Ev) that the rules evaluate.
const (
	eventBoot      = "boot"      // a server started
	eventPrefill   = "prefill"   // a server started a prefill
	eventDecode    = "decode"    // a server started a decode
	eventEnded     = "ended"     // a decode run completed
	eventRefused   = "shed"      // a server refused a request
	eventLapsed    = "lapsed"    // the KV cache of a request was no longer available to a decode server
	eventAnswer    = "reply"     // a client got its final answer
	eventOrder     = "order"     // a server got a role order from the holder of its record
	eventLeaving   = "leaving"   // a server was announced as leaving
	eventStaying   = "staying"   // a server withdrew its leaving notice
	eventEvacuated = "evacuated" // the evacuation of a zone took effect
	eventReturned  = "returned"  // the evacuation of a zone was lifted
	eventMended    = "mended"    // all machines are back after a failure
	eventPlan      = "plan"      // a plan call was answered
	eventServes    = "serves"    // a daemon serves by a plan
	eventRead      = "read"      // a daemon read the plan under valid leases
	eventReadBack  = "readback"  // a daemon returned the plan to an operator
)

// Results of answers (history.Event.Result).
const (
	answerOK        = "ok"
	answerRefused   = "shed"      // refused
	answerUncertain = "uncertain" // the request may have run
	answerWrong     = "wrong"     // the client detected an error in the stream
	answerHung      = "hung"      // no final answer
)

// Results of plan calls. Any other result leaves the outcome of the call unknown.
const (
	planTaken    = "taken"
	planConflict = "beaten" // the base is not the current version
	planBroken   = "broken" // not a valid plan
	planNotDone  = "not done"
)

// Roles of a server that refused a request (history.Event.Part).
const (
	partPrefill = "reader"
	partDecode  = "maker"
)

// isWork reports whether a server started a prefill or a decode.
func isWork(e history.Event) bool { return e.Ev == eventPrefill || e.Ev == eventDecode }

// isRejection reports whether a server rejected a call that reached it.
func isRejection(e history.Event) bool { return e.Ev == eventRefused || e.Ev == eventLapsed }

// isRefusal reports whether a client received a refusal.
func isRefusal(e history.Event) bool { return e.Ev == eventAnswer && e.Result == answerRefused }

// isAcknowledged reports whether a plan call was acknowledged.
func isAcknowledged(e history.Event) bool { return e.Ev == eventPlan && e.Result == planTaken }

// sentAt returns when the call answered by e was sent.
func sentAt(e history.Event) int64 { return e.At - e.Took }
