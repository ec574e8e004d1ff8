package transport

import (
	"mulleinmast/wire/message"
)

// spoken is what one connection's frames said so far, as both ends know it: the
// fields that are alike in all that a daemon says, and whom it spoke to last.
// A short frame leaves them out.
type spoken struct {
	any  bool
	base message.Message // Fleet, From, Epoch, Addr and To only
}

// Marks of a short frame, shorter than any identity: no addressee, and an
// epoch that is the sender's or the addressee's.
const (
	nobody    = "-"
	senders   = "f"
	addressee = "t"
)

// pack makes the next frame of a connection, a short one if that is understood.
func (s *spoken) pack(n message.Message, short bool) (b []byte, err error) {
	was := n
	defer func() {
		if err == nil { // else nothing of it goes out
			s.keep(was)
		}
	}()
	if !short || !s.any || n.Fleet != s.base.Fleet || n.From != s.base.From || n.Epoch != s.base.Epoch || n.Addr != s.base.Addr ||
		n.To == nobody || n.VolumeEpoch.Ident == senders || n.VolumeEpoch.Ident == addressee {
		n.MaxFrameVersion = message.CompactFrameVersion
		return pack(n, message.FrameVersion)
	}
	to := n.To
	switch to {
	case s.base.To:
		n.To = ""
	case "":
		n.To = nobody
	}
	if n.VolumeEpoch.Ident != "" {
		switch n.VolumeEpoch.Ident {
		case n.From:
			n.VolumeEpoch.Ident = senders
		case to:
			n.VolumeEpoch.Ident = addressee
		}
	}
	n.Fleet, n.From, n.Epoch, n.Addr, n.MaxFrameVersion = "", "", 0, "", 0
	return pack(n, message.CompactFrameVersion)
}

// lengthen gives a short frame's message what it left out.
func (s *spoken) lengthen(n *message.Message) error {
	if !s.any {
		return Error.New("a short frame before any whole one")
	}
	n.Fleet, n.From, n.Epoch, n.Addr, n.MaxFrameVersion = s.base.Fleet, s.base.From, s.base.Epoch, s.base.Addr, message.CompactFrameVersion
	switch n.To {
	case "":
		n.To = s.base.To
	case nobody:
		n.To = ""
	}
	switch n.VolumeEpoch.Ident {
	case senders:
		n.VolumeEpoch.Ident = n.From
	case addressee:
		n.VolumeEpoch.Ident = n.To
	}
	return nil
}

// keep remembers what a frame said.
func (s *spoken) keep(n message.Message) {
	s.any = true
	s.base = message.Message{Fleet: n.Fleet, From: n.From, Epoch: n.Epoch, Addr: n.Addr, To: n.To}
}
