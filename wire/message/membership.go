package message

import "slices"

// Forms of a Welcome. Any other form comes from a later build. The members of such a
// welcome may be only a part of the view and must not be treated as the complete view.
const (
	WelcomeWhole    = ""       // Members is the complete view, or empty if the recipient has it already
	WelcomeDiff     = "differ" // Members and RemovedAddrs are the changes to the recipient's view
	WelcomeReferral = "refer"  // no session is opened; Members are other control daemons to ask
)

// Values of the frame's Op in the other membership messages.
const (
	helloTakesDiff  = WelcomeDiff
	gossipUnchanged = "same"
	censusHasVote   = "first"
)

// censusUsesTerms is the frame's Length in an answer that votes by terms.
const censusUsesTerms = 1

// helloIsWitness is the frame's Length in a hello from a witness.
const helloIsWitness = 1

// Hello asks a control daemon to open or renew a session.
type Hello struct {
	Self              Member
	ViewDigest        uint64 // of the sender's view; encoded in the frame's Term
	LeadershipsDigest uint64 // of the leaderships that the sender knows
	TakesDiff         bool   // the sender accepts a WelcomeDiff
	IsWitness         bool   // the sender has run since a time when the fleet had no group and knows of none
}

// Message encodes the hello as a frame. The caller sets the recipient.
//
// Example: m := message.Hello{Self: self, TakesDiff: true}.Message()
func (h Hello) Message() Message {
	m := Message{Kind: KindHello, Self: h.Self, Term: h.ViewDigest, LastComplete: h.LeadershipsDigest}
	if h.TakesDiff {
		m.Op = helloTakesDiff
	}
	if h.IsWitness {
		m.Length = helloIsWitness
	}
	return m
}

// AsHello decodes a frame of KindHello.
//
// Example: t.handleHello(now, m.AsHello(), &out)
func (m Message) AsHello() Hello {
	return Hello{
		Self: m.Self, ViewDigest: m.Term, LeadershipsDigest: m.LastComplete, TakesDiff: m.Op == helloTakesDiff,
		IsWitness: m.Length == helloIsWitness,
	}
}

// Welcome is a control daemon's answer to a Hello. It confirms the session and carries
// the view and the leaderships if the recipient's are out of date. A daemon that can't open
// a session answers with a referral.
type Welcome struct {
	Form               string // WelcomeWhole, WelcomeDiff or WelcomeReferral
	Members            []Member
	RemovedAddrs       []string     // with WelcomeDiff: members that have left the view
	ViewDigest         uint64       // of the sender's view; encoded in the frame's Term
	Leaderships        []Leadership // empty if the recipient has them already
	ControlDaemonCount int          // number of control daemons known to the sender, including itself; 0 from older builds
}

// Message encodes the welcome as a frame. The caller sets the recipient.
//
// Example: m := message.Welcome{Form: message.WelcomeReferral, Members: controls}.Message()
func (w Welcome) Message() Message {
	return Message{
		Kind: KindWelcome, Op: w.Form, Members: w.Members, Keys: w.RemovedAddrs, Term: w.ViewDigest,
		Leaderships: w.Leaderships, Length: int64(w.ControlDaemonCount),
	}
}

// AsWelcome decodes a frame of KindWelcome.
//
// Example: t.handleWelcome(now, m.Addr, m.AsWelcome(), &out)
func (m Message) AsWelcome() Welcome {
	return Welcome{
		Form: m.Op, Members: m.Members, RemovedAddrs: m.Keys, ViewDigest: m.Term, Leaderships: m.Leaderships,
		ControlDaemonCount: int(m.Length),
	}
}

// Gossip announces the sender's sessions to control daemons and seeds.
type Gossip struct {
	Self                 Member
	Members              []Member // that have a session with the sender
	Leaderships          []Leadership
	Unchanged            bool   // Members and Leaderships are omitted: the recipient already has the ones with this Digest
	Digest               uint64 // of Members and Leaderships
	Acknowledged         uint64 // Digest of the latest gossip received from the recipient
	ControlDaemonsDigest uint64 // of the control daemons that the sender knows; encoded in the frame's Term

	// Witnesses are the identities of the daemons with a session at the sender, and its own, that have run
	// since a time when the fleet had no group and know of none.
	Witnesses []string
}

// Message encodes the gossip as a frame. The caller sets the recipient.
//
// Example: m := message.Gossip{Self: self, Members: sessions, Digest: digest}.Message()
func (g Gossip) Message() Message {
	m := Message{
		Kind: KindGossip, Self: g.Self, Members: g.Members, Leaderships: g.Leaderships, LastComplete: g.Digest,
		ResponseTo: g.Acknowledged, Term: g.ControlDaemonsDigest, Keys: g.Witnesses,
	}
	if g.Unchanged {
		m.Op = gossipUnchanged
	}
	return m
}

// AsGossip decodes a frame of KindGossip.
//
// Example: t.handleGossip(now, m.AsGossip(), &out)
func (m Message) AsGossip() Gossip {
	return Gossip{
		Self: m.Self, Members: m.Members, Leaderships: m.Leaderships, Unchanged: m.Op == gossipUnchanged,
		Digest: m.LastComplete, Acknowledged: m.ResponseTo, ControlDaemonsDigest: m.Term, Witnesses: m.Keys,
	}
}

// Census asks a seed which control daemons and group it knows, before the first group is formed. With a
// term it also asks for the seed's vote, and with a group to accept that (see FirstGroupVote).
type Census struct {
	Round uint64 // echoed by the answer
	Self  Member
	Term  uint64 // 0: the sender proposes nothing
	Group Group  // proposed in Term; Number 0: none yet

	Seeds []string // of the first start, if the sender has a vote; empty from older builds
}

// Message encodes the census as a frame. The caller sets the recipient.
//
// Example: m := message.Census{Round: 3, Self: self}.Message()
func (c Census) Message() Message {
	return Message{Kind: KindCensus, RequestID: c.Round, Self: c.Self, Term: c.Term, Group: c.Group, Keys: c.Seeds}
}

// AsCensus decodes a frame of KindCensus.
//
// Example: t.handleCensus(m.Addr, m.AsCensus(), &out)
func (m Message) AsCensus() Census {
	return Census{Round: m.RequestID, Self: m.Self, Term: m.Term, Group: m.Group, Seeds: m.Keys}
}

// CensusAnswer is a seed's answer to a census.
type CensusAnswer struct {
	Round          uint64 // of the census
	Self           Member // Empty is set if the seed knows no group
	ControlDaemons []Member
	HasVote        bool   // the seed may vote on the first group
	UsesTerms      bool   // not set by builds that bind themselves to the first proposal
	Voted          uint64 // see FirstGroupVote
	Accepted       uint64 // see FirstGroupVote
	Group          Group  // see FirstGroupVote

	// Seeds are those of the first start if the seed has a vote, and else those of its settings. Older
	// builds don't tell them.
	Seeds []string
}

// Message encodes the answer as a frame. The caller sets the recipient.
//
// Example: m := message.CensusAnswer{Round: 3, Self: self}.Message()
func (a CensusAnswer) Message() Message {
	m := Message{
		Kind: KindCensusAnswer, ResponseTo: a.Round, Self: a.Self, Members: a.ControlDaemons, Group: a.Group,
		Term: a.Voted, LastComplete: a.Accepted, Keys: a.Seeds,
	}
	if a.HasVote {
		m.Op = censusHasVote
	}
	if a.UsesTerms {
		m.Length = censusUsesTerms
	}
	return m
}

// AsCensusAnswer decodes a frame of KindCensusAnswer.
//
// Example: t.handleCensusAnswer(m.Addr, m.AsCensusAnswer())
func (m Message) AsCensusAnswer() CensusAnswer {
	return CensusAnswer{
		Round: m.ResponseTo, Self: m.Self, ControlDaemons: m.Members, HasVote: m.Op == censusHasVote,
		UsesTerms: m.Length == censusUsesTerms, Voted: m.Term, Accepted: m.LastComplete, Group: m.Group,
		Seeds: m.Keys,
	}
}

// FirstGroupVote is a seed's vote on the first group of a fleet, which the seeds choose by single-decree
// Paxos. A daemon with a data folder keeps its vote there.
type FirstGroupVote struct {
	Seeds    []string `json:"seeds"`    // addresses of the seeds that vote; empty: this daemon has no vote
	Voted    uint64   `json:"voted"`    // the lowest term in which the seed may still accept a group
	Accepted uint64   `json:"accepted"` // the latest term in which it accepted a group; 0: none
	Group    Group    `json:"group"`    // accepted in that term

	// Formed is set once this daemon has learned of a group: the fleet is formed for good.
	Formed bool `json:"formed,omitempty"`
}

// IsEqual reports whether two votes are the same.
//
// Example: if !vote.IsEqual(saved) { write(vote) }
func (v FirstGroupVote) IsEqual(other FirstGroupVote) bool {
	return slices.Equal(v.Seeds, other.Seeds) && v.Formed == other.Formed && v.Voted == other.Voted && v.Accepted == other.Accepted &&
		v.Group.Number == other.Group.Number && slices.Equal(v.Group.Replicas, other.Group.Replicas)
}

// Bootstrap notifies a control daemon that it is a replica of the first group.
type Bootstrap struct {
	Group Group
}

// Message encodes the notification as a frame. The caller sets the recipient.
//
// Example: m := message.Bootstrap{Group: message.Group{Number: 1, Replicas: replicas}}.Message()
func (b Bootstrap) Message() Message { return Message{Kind: KindBootstrap, Group: b.Group} }

// AsBootstrap decodes a frame of KindBootstrap.
//
// Example: t.handleBootstrap(m.Addr, m.AsBootstrap(), &out)
func (m Message) AsBootstrap() Bootstrap { return Bootstrap{Group: m.Group} }
