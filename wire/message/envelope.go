package message

// Envelope is a message and its destination address.
type Envelope struct {
	Addr string
	// ExactAddr sends the message to Addr even if the recipient is known to have moved to
	// another address.
	ExactAddr bool
	Message   Message
}

// Sender is the daemon that sent a message, as stated in the message.
type Sender struct {
	Replica        // identity, and the address for answers
	Epoch   uint64 // its incarnation
}

// Sender returns the daemon that sent the message.
//
// Example: r.handleVoteRequest(now, m.Sender(), m.AsVoteRequest(), &out)
func (m Message) Sender() Sender {
	return Sender{Replica: Replica{Ident: m.From, Addr: m.Addr}, Epoch: m.Epoch}
}
