package message

// Call is one try of a call to a partition's leader. All tries of a call bear its number, so that a leader
// carries it out once.
type Call struct {
	RequestID uint64 // of this try; its result names it
	CallID    uint64 // of the call over all its tries; 0: from a build that doesn't number its calls
	Op        string
	Body      []byte
	// Basis stands for the version of what the call changes, as the leader named it in the result of an earlier
	// try. Zero: the caller's build, or its call, knows none.
	Basis Version
}

// Message is the frame of the call, to be addressed by the sender.
//
// Example: frame := message.Call{RequestID: 7, CallID: 6, Op: "servers"}.Message(3)
func (c Call) Message(partition int) Message {
	return Message{
		Kind: KindCall, Partition: partition, RequestID: c.RequestID, ResponseTo: c.CallID,
		Op: c.Op, Body: c.Body, Version: c.Basis,
	}
}

// AsCall reads a frame of KindCall.
//
// Example: call := frame.AsCall()
func (m Message) AsCall() Call {
	return Call{RequestID: m.RequestID, CallID: m.ResponseTo, Op: m.Op, Body: m.Body, Basis: m.Version}
}

// CallResult is a leader's answer to one try of a call.
type CallResult struct {
	RequestID uint64 // of the try
	Status    int    // one of HTTP, or of control/leadercall
	Body      []byte
	Basis     Version // for the next try, where the try was on another version; else zero
}

// Message is the frame of the result, to be addressed by the sender.
//
// Example: frame := message.CallResult{RequestID: 7, Status: 200}.Message(3)
func (r CallResult) Message(partition int) Message {
	return Message{
		Kind: KindCallResult, Partition: partition, ResponseTo: r.RequestID,
		Status: r.Status, Body: r.Body, Version: r.Basis,
	}
}

// AsCallResult reads a frame of KindCallResult.
//
// Example: result := frame.AsCallResult()
func (m Message) AsCallResult() CallResult {
	return CallResult{RequestID: m.ResponseTo, Status: m.Status, Body: m.Body, Basis: m.Version}
}
