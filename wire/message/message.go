// Package message holds the shapes that daemons send one another: one Message with
// a kind and the fields this kind uses, framed by wire/transport.
package message

import "fmt"

//go:generate go tool msgp -tests=false

// FrameVersion is the version of the wire format; a frame says it in its first byte.
// A frame of version CompactFrameVersion leaves out what the frames before it on its
// connection said already; it goes only to those who said that they read it.
const (
	FrameVersion        = 1
	CompactFrameVersion = 2
)

// Kind says what a Message is.
type Kind uint8

// The kinds of messages.
const (
	KindNone Kind = iota
	// leases
	KindRenewLease    // child asks for a volume lease and for records
	KindGrantLease    // parent grants them
	KindReconnect     // parent asks for the child's list
	KindLeaseList     // child sends keys and versions
	KindReconciled    // parent confirms the matching ones and grants the volume lease
	KindReconnectDone // child is done
	KindInvalidate    // parent withdraws a record
	KindInvalidated   // child (and all below it) dropped it
	KindDenyLease     // parent can't serve; look elsewhere
	KindRedirect      // parent names a better parent (join, split, return)
	// terms and writes
	KindRequestVote
	KindGrantVote
	KindRejectVote
	KindInstallState
	KindStateInstalled
	KindStateMismatch // voter isn't at this term's state: here are its digests
	KindReplicate
	KindReplicated
	KindHeartbeat
	KindAbandonTerm // a candidate gave this term up before it was won
	KindHeartbeatAck
	// membership table
	KindHello
	KindWelcome
	KindGossip
	KindCensus
	KindCensusAnswer
	// calls
	KindCall
	KindCallResult
	// formation
	KindBootstrap // these replicas make the first group
	// hints
	KindLoadReport // what is under way at servers, and what they keep
	// incarnations
	KindIncarnation // which incarnation of the other a replica goes by, and what it is itself
	kindEnd
)

var kindNames = [...]string{
	"none", "renew", "grant", "reconnect", "listing", "synced", "connect", "invalidate", "invalidated", "deny", "steer",
	"ask", "promise", "refuse", "fill", "filled", "unfit", "accept", "accepted", "support", "void", "supported",
	"hello", "welcome", "gossip", "census", "count", "call", "back", "found", "board", "incarnation",
}

// String names a kind.
//
// Example: message.KindInvalidate.String() == "invalidate"
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("kind-%d", uint8(k))
}

// Known tells whether k is a kind of this version.
//
// Example: message.Kind(200).Known() == false
func (k Kind) Known() bool { return k > KindNone && k < kindEnd }

// Version is a record's version: the term of the leader that wrote it and a
// number that leader counts up. No two writes share one.
type Version struct {
	Term uint64 `msg:"t" json:"Term"`
	Seq  uint64 `msg:"s" json:"Seq"`
}

// Less orders versions.
//
// Example: Version{1, 9}.Less(Version{2, 1}) == true
func (v Version) Less(w Version) bool { return v.Term < w.Term || v.Term == w.Term && v.Seq < w.Seq }

// String prints a version as term.seq.
//
// Example: Version{3, 7}.String() == "3.7"
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Term, v.Seq) }

// Record is one record of a partition. A Dead record is cached absence.
type Record struct {
	Key     string  `msg:"k" json:"Key"`
	Version Version `msg:"v" json:"Ver"`
	Value   []byte  `msg:"b,omitempty" json:"Val"`
	Deleted bool    `msg:"d,omitempty" json:"Dead"`

	// Patched says that the value is the one that the addressee holds, after Links.
	Patched bool    `msg:"h,omitempty" json:"Held"`
	Patches []Patch `msg:"l,omitempty" json:"Links"`
}

// Patch is what turns one version of a record's value into a later one.
type Patch struct {
	From  Version `msg:"f" json:"From"`
	To    Version `msg:"t" json:"To"`
	Delta []byte  `msg:"p" json:"Patch"`
}

// Replica is a daemon's identity and wire address.
type Replica struct {
	Ident string `msg:"i" json:"Ident"`
	Addr  string `msg:"a" json:"Addr"`
}

// Group is a partition's voters; while Next is set a majority of both is needed.
type Group struct {
	Number   uint64    `msg:"n" json:"Num"`
	Replicas []Replica `msg:"s" json:"Seats"`
	Next     []Replica `msg:"x,omitempty" json:"Next"`
}

// Has tells whether an identity has a vote in the group.
//
// Example: Group{Replicas: []Replica{{Ident: "a"}}}.Has("a") == true
func (g Group) Has(id string) bool { return has(g.Replicas, id) || has(g.Next, id) }

func has(list []Replica, id string) bool {
	for _, s := range list {
		if s.Ident == id {
			return true
		}
	}
	return false
}

// All lists every replica of the group once.
//
// Example: len(Group{Replicas: three, Next: oneChanged}.All()) == 4
func (g Group) All() []Replica {
	out := append([]Replica(nil), g.Replicas...)
	for _, s := range g.Next {
		if !has(out, s.Ident) {
			out = append(out, s)
		}
	}
	return out
}

// HasQuorum tells whether the identities that said yes make a majority (of both
// groups while the group changes).
//
// Example: g.HasQuorum(func(id string) bool { return id != "c" })
func (g Group) HasQuorum(yes func(string) bool) bool {
	return most(g.Replicas, yes) && (len(g.Next) == 0 || most(g.Next, yes))
}

func most(list []Replica, yes func(string) bool) bool {
	n := 0
	for _, s := range list {
		if yes(s.Ident) {
			n++
		}
	}
	return n*2 > len(list)
}

// VolumeEpoch is the volume epoch: the granter's identity, its epoch and, for an
// leader, its term.
type VolumeEpoch struct {
	Ident string `msg:"i" json:"Ident"`
	Epoch uint64 `msg:"e" json:"Epoch"`
	Term  uint64 `msg:"t" json:"Term"`
}

// SavePoint names a state of a replica: as of so many saves of one incarnation of its
// daemon, counted from 1. None is told by builds that don't count.
type SavePoint struct {
	Epoch uint64 `msg:"e" json:"Epoch"`
	Saves uint64 `msg:"n" json:"Saves"`
}

// PeerIncarnation is what one replica knows of another: the incarnation that it goes by, and
// the latest state of that which is known to be on its disk.
type PeerIncarnation struct {
	Ident string    `msg:"i" json:"Ident"`
	Epoch uint64    `msg:"e" json:"Epoch"`
	State SavePoint `msg:"s" json:"State,omitzero"`
}

// Member is one daemon as the fleet sees it.
type Member struct {
	Ident    string `msg:"i" json:"ident"`
	Epoch    uint64 `msg:"e" json:"epoch"`
	Addr     string `msg:"a" json:"addr"`
	HTTPAddr string `msg:"w" json:"web"`
	Zone     string `msg:"c" json:"cell"`
	HasDisk  bool   `msg:"d" json:"disk"`
	Ready    bool   `msg:"r" json:"ready"`
	Empty    bool   `msg:"m" json:"empty"`
	Build    string `msg:"b" json:"build"`
}

// Replica is the member's identity and address.
//
// Example: Member{Ident: "a", Addr: "10.0.0.1:7"}.Replica() == Replica{"a", "10.0.0.1:7"}
func (m Member) Replica() Replica { return Replica{Ident: m.Ident, Addr: m.Addr} }

// Leadership says that a daemon claims the leadership of a partition.
type Leadership struct {
	Partition int     `msg:"p" json:"part"`
	Term      uint64  `msg:"n" json:"num"`
	Leader    Replica `msg:"s" json:"seat"`
}

// Message is everything one daemon can say to another.
type Message struct {
	Kind      Kind   `msg:"k"`
	Fleet     string `msg:"fl,omitempty"`
	Partition int    `msg:"p,omitempty"`
	From      string `msg:"f,omitempty"`
	Epoch     uint64 `msg:"e,omitempty"`
	Addr      string `msg:"a,omitempty"`
	To        string `msg:"to,omitempty"`

	RequestID    uint64 `msg:"n,omitempty"`
	ResponseTo   uint64 `msg:"r,omitempty"`
	Term         uint64 `msg:"u,omitempty"`
	LastComplete uint64 `msg:"st,omitempty"`

	VolumeEpoch VolumeEpoch `msg:"m,omitempty"`
	Key         string      `msg:"ky,omitempty"`
	Version     Version     `msg:"v,omitempty"`
	Length      int64       `msg:"l,omitempty"`
	ObjectLease int64       `msg:"lo,omitempty"`
	RenewCost   int64       `msg:"co,omitempty"`

	Records []Record `msg:"rs,omitempty"`
	Keys    []string `msg:"ks,omitempty"`
	Group   Group    `msg:"g,omitempty"`
	Digests []uint64 `msg:"dg,omitempty"`
	Ranges  []int    `msg:"sp,omitempty"`
	Hint    Replica  `msg:"h,omitempty"`

	// What replicas tell one another of their incarnations (control/quorum).
	State      SavePoint         `msg:"sa,omitempty"` // of the sender when it started, until the addressee is known to go by this incarnation
	Saves      uint64            `msg:"sv,omitempty"` // of this incarnation that are on the sender's disk
	KnownEpoch uint64            `msg:"kn,omitempty"` // the incarnation of the addressee that the sender goes by
	KnownState SavePoint         `msg:"kt,omitempty"` // and its state, where the addressee is another one
	Peers      []PeerIncarnation `msg:"pe,omitempty"` // what the leader knows of the other replicas

	Self        Member       `msg:"me,omitempty"`
	Members     []Member     `msg:"ms,omitempty"`
	Leaderships []Leadership `msg:"ow,omitempty"`

	Op     string `msg:"op,omitempty"`
	Status int    `msg:"cd,omitempty"`
	Body   []byte `msg:"bd,omitempty"`
	Reason string `msg:"y,omitempty"`

	MaxFrameVersion int `msg:"wv,omitempty"` // highest version of frames that the sender reads; none: 1
}

// Envelope is a message and the address it goes to.
type Envelope struct {
	Addr      string
	ExactAddr bool // to that address, also where the addressee is known to be at another one
	Message   Message
}
