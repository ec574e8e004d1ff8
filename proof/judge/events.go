package judge

import "mulleinmast/proof/history"

// Kinds of events (history.Event.Ev) that the rules go by.
const (
	eventBoot      = "boot"      // a server starts
	eventPrefill   = "prefill"   // a server takes up a prefill
	eventDecode    = "decode"    // a server takes up a decode
	eventEnded     = "ended"     // a run has ended
	eventRefused   = "shed"      // a server turned a request away
	eventLapsed    = "lapsed"    // a decode server couldn't take up a request's KV cache any more
	eventAnswer    = "reply"     // a client has its final answer
	eventOrder     = "order"     // a server was ordered by a holder
	eventLeaving   = "leaving"   // a server is known to leave
	eventStaying   = "staying"   // it doesn't leave after all
	eventEvacuated = "evacuated" // a zone's evacuation is in force
	eventReturned  = "returned"  // a zone's evacuation is over
	eventMended    = "mended"    // a loss is over: all machines are back
	eventPlan      = "plan"      // a plan call was answered
	eventServes    = "serves"    // a daemon works by a plan
	eventRead      = "read"      // a daemon reads the plan under its leases
	eventReadBack  = "readback"  // a daemon reads the plan back to an operator
)

// Results of answers (history.Event.Result).
const (
	answerOK        = "ok"
	answerRefused   = "shed"      // refused
	answerUncertain = "uncertain" // may have run
	answerWrong     = "wrong"     // the client itself found a fault in the stream
	answerHung      = "hung"      // no final answer
)

// Results of plan calls. What else a call came to counts as no clear answer.
const (
	planTaken    = "taken"
	planConflict = "beaten" // another version was in force
	planBroken   = "broken" // not a valid plan
	planNotDone  = "not done"
)

// Parts of a server that turned a request away (history.Event.Part).
const (
	partPrefill = "reader"
	partDecode  = "maker"
)

// isWork reports whether a server took up a prefill or a decode.
func isWork(e history.Event) bool { return e.Ev == eventPrefill || e.Ev == eventDecode }

// isRejection reports whether a server did not take up what reached it.
func isRejection(e history.Event) bool { return e.Ev == eventRefused || e.Ev == eventLapsed }

// isRefusal reports whether a client was refused.
func isRefusal(e history.Event) bool { return e.Ev == eventAnswer && e.Result == answerRefused }

// isTaken reports whether a plan call was acknowledged.
func isTaken(e history.Event) bool { return e.Ev == eventPlan && e.Result == planTaken }

// sentAt is when the call was sent whose answer an event is.
func sentAt(e history.Event) int64 { return e.At - e.Took }
