package message

// Forms of a Welcome. One of another form is of a later build: its members may be a
// part of the view, and are not taken for all of it.
const (
	WelcomeWhole    = ""       // Members is the view, or empty where the addressee has that
	WelcomeDiff     = "differ" // Members and RemovedAddrs are what changed since the addressee's view
	WelcomeReferral = "refer"  // opens no session; Members are control daemons to ask
)

// Values of the frame's Op in other messages of the membership.
const (
	helloTakesDiff   = WelcomeDiff
	gossipUnchanged  = "same"
	censusFirstStart = "first"
)

// Hello asks a control daemon for a session, or renews it.
type Hello struct {
	Self              Member
	ViewDigest        uint64 // of the view that the sender has; in the frame's Term
	LeadershipsDigest uint64 // of the leaderships that the sender knows
	TakesDiff         bool   // the sender reads a WelcomeDiff
}

// Message is the frame of the hello, to be addressed by the sender.
//
// Example: m := message.Hello{Self: self, TakesDiff: true}.Message()
func (h Hello) Message() Message {
	m := Message{Kind: KindHello, Self: h.Self, Term: h.ViewDigest, LastComplete: h.LeadershipsDigest}
	if h.TakesDiff {
		m.Op = helloTakesDiff
	}
	return m
}

// AsHello reads a frame of KindHello.
//
// Example: t.handleHello(now, m.AsHello(), &out)
func (m Message) AsHello() Hello {
	return Hello{
		Self: m.Self, ViewDigest: m.Term, LeadershipsDigest: m.LastComplete, TakesDiff: m.Op == helloTakesDiff,
	}
}

// Welcome is a control daemon's answer to a Hello: the session stands, and this is
// what changed. A daemon that can open no session answers with a referral.
type Welcome struct {
	Form         string // WelcomeWhole, WelcomeDiff or WelcomeReferral
	Members      []Member
	RemovedAddrs []string     // with WelcomeDiff: members that are no longer there
	ViewDigest   uint64       // of the sender's view; in the frame's Term
	Leaderships  []Leadership // none where the addressee has them
	Controls     int          // control daemons that the sender hears of, with itself; 0: an older build
}

// Message is the frame of the welcome, to be addressed by the sender.
//
// Example: m := message.Welcome{Form: message.WelcomeReferral, Members: controls}.Message()
func (w Welcome) Message() Message {
	return Message{
		Kind: KindWelcome, Op: w.Form, Members: w.Members, Keys: w.RemovedAddrs, Term: w.ViewDigest,
		Leaderships: w.Leaderships, Length: int64(w.Controls),
	}
}

// AsWelcome reads a frame of KindWelcome.
//
// Example: t.handleWelcome(now, m.Addr, m.AsWelcome(), &out)
func (m Message) AsWelcome() Welcome {
	return Welcome{
		Form: m.Op, Members: m.Members, RemovedAddrs: m.Keys, ViewDigest: m.Term, Leaderships: m.Leaderships,
		Controls: int(m.Length),
	}
}

// Gossip tells control daemons, and seeds, which sessions the sender has.
type Gossip struct {
	Self           Member
	Members        []Member // with a session at the sender
	Leaderships    []Leadership
	Unchanged      bool   // Members and Leaderships are those of Digest, which the addressee has
	Digest         uint64 // of Members and Leaderships
	Acknowledged   uint64 // Digest of the addressee's latest gossip that the sender has
	ControlsDigest uint64 // of the control daemons that the sender knows; in the frame's Term
}

// Message is the frame of the gossip, to be addressed by the sender.
//
// Example: m := message.Gossip{Self: self, Members: sessions, Digest: digest}.Message()
func (g Gossip) Message() Message {
	m := Message{
		Kind: KindGossip, Self: g.Self, Members: g.Members, Leaderships: g.Leaderships, LastComplete: g.Digest,
		ResponseTo: g.Acknowledged, Term: g.ControlsDigest,
	}
	if g.Unchanged {
		m.Op = gossipUnchanged
	}
	return m
}

// AsGossip reads a frame of KindGossip.
//
// Example: t.handleGossip(now, m.AsGossip(), &out)
func (m Message) AsGossip() Gossip {
	return Gossip{
		Self: m.Self, Members: m.Members, Leaderships: m.Leaderships, Unchanged: m.Op == gossipUnchanged,
		Digest: m.LastComplete, Acknowledged: m.ResponseTo, ControlsDigest: m.Term,
	}
}

// Census asks a seed what it knows, before the first group is formed.
type Census struct {
	Round uint64 // the answer names it
	Self  Member
	Group Group // that the sender proposes; Number 0: none yet
}

// Message is the frame of the census, to be addressed by the sender.
//
// Example: m := message.Census{Round: 3, Self: self}.Message()
func (c Census) Message() Message {
	return Message{Kind: KindCensus, RequestID: c.Round, Self: c.Self, Group: c.Group}
}

// AsCensus reads a frame of KindCensus.
//
// Example: t.handleCensus(m.Addr, m.AsCensus(), &out)
func (m Message) AsCensus() Census { return Census{Round: m.RequestID, Self: m.Self, Group: m.Group} }

// CensusAnswer is a seed's answer to a census.
type CensusAnswer struct {
	Round      uint64 // of the census
	Self       Member // Empty tells whether the seed knows of no group
	Controls   []Member
	FirstStart bool  // the seed has not restarted
	Group      Group // that the seed is bound to; Number 0: none
}

// Message is the frame of the answer, to be addressed by the sender.
//
// Example: m := message.CensusAnswer{Round: 3, Self: self}.Message()
func (a CensusAnswer) Message() Message {
	m := Message{Kind: KindCensusAnswer, ResponseTo: a.Round, Self: a.Self, Members: a.Controls, Group: a.Group}
	if a.FirstStart {
		m.Op = censusFirstStart
	}
	return m
}

// AsCensusAnswer reads a frame of KindCensusAnswer.
//
// Example: t.handleCensusAnswer(m.Addr, m.AsCensusAnswer())
func (m Message) AsCensusAnswer() CensusAnswer {
	return CensusAnswer{
		Round: m.ResponseTo, Self: m.Self, Controls: m.Members, FirstStart: m.Op == censusFirstStart, Group: m.Group,
	}
}

// Bootstrap tells a control daemon that it is a replica of the first group.
type Bootstrap struct {
	Group Group
}

// Message is the frame of the message, to be addressed by the sender.
//
// Example: m := message.Bootstrap{Group: message.Group{Number: 1, Replicas: replicas}}.Message()
func (b Bootstrap) Message() Message { return Message{Kind: KindBootstrap, Group: b.Group} }

// AsBootstrap reads a frame of KindBootstrap.
//
// Example: t.handleBootstrap(m.Addr, m.AsBootstrap(), &out)
func (m Message) AsBootstrap() Bootstrap { return Bootstrap{Group: m.Group} }
