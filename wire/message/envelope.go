package message

// Envelope is a message and the address it goes to.
type Envelope struct {
	Addr string
	// ExactAddr sends it to that address, also where the addressee is known to be at
	// another one.
	ExactAddr bool
	Message   Message
}

// Sender is the daemon that sent a message, as the message itself says.
type Sender struct {
	Replica        // identity, and the address that answers go to
	Epoch   uint64 // its incarnation
}

// Sender is the daemon that sent the message.
//
// Example: r.handleVoteRequest(now, m.Sender(), m.AsVoteRequest(), &out)
func (m Message) Sender() Sender {
	return Sender{Replica: Replica{Ident: m.From, Addr: m.Addr}, Epoch: m.Epoch}
}
