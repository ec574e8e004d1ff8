package message

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
