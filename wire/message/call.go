package message

// Call is one attempt of a call to a partition's leader. All attempts of a call carry the same CallID, so that the
// leader executes it only once.
type Call struct {
	RequestID uint64 // of this attempt; echoed by its result
	CallID    uint64 // of the call, the same in all its attempts; 0 from builds that don't number their calls
	Op        string
	Body      []byte
	// Basis is the version of the state that the call changes. The leader returns it in the result of an earlier
	// attempt; the first attempt carries a version that no record has. Basis is zero if the caller's build doesn't
	// support it or the call is never retried.
	Basis Version
}

// Message encodes the call as a frame. The caller sets the recipient.
//
// Example: frame := message.Call{RequestID: 7, CallID: 6, Op: "servers"}.Message(3)
func (c Call) Message(partition int) Message {
	return Message{
		Kind: KindCall, Partition: partition, RequestID: c.RequestID, ResponseTo: c.CallID,
		Op: c.Op, Body: c.Body, Version: c.Basis,
	}
}

// AsCall decodes a frame of KindCall.
//
// Example: call := frame.AsCall()
func (m Message) AsCall() Call {
	return Call{RequestID: m.RequestID, CallID: m.ResponseTo, Op: m.Op, Body: m.Body, Basis: m.Version}
}

// CallResult is a leader's answer to one attempt of a call.
type CallResult struct {
	RequestID uint64 // of the attempt
	Status    int    // an HTTP status, or one defined by control/leadercall
	Body      []byte
	Basis     Version // for the next attempt, if this attempt was based on another version; otherwise zero
}

// Message encodes the result as a frame. The caller sets the recipient.
//
// Example: frame := message.CallResult{RequestID: 7, Status: 200}.Message(3)
func (r CallResult) Message(partition int) Message {
	return Message{
		Kind: KindCallResult, Partition: partition, ResponseTo: r.RequestID,
		Status: r.Status, Body: r.Body, Version: r.Basis,
	}
}

// AsCallResult decodes a frame of KindCallResult.
//
// Example: result := frame.AsCallResult()
func (m Message) AsCallResult() CallResult {
	return CallResult{RequestID: m.ResponseTo, Status: m.Status, Body: m.Body, Basis: m.Version}
}
