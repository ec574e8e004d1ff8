// Package message defines the messages that daemons exchange. Message is the frame
// shared by all kinds: one flat struct, laid out as on the wire (wire/transport). Each
// kind also has a typed value for its handler. The methods that convert between frames and
// typed values are in lease.go, quorum.go, membership.go, call.go and loadreport.go.
//
// The msgp tags, the order of the fields and the numbers of the kinds are the wire
// format, which older builds read and write. The JSON keys are used on disk
// (control/storage) and in answers to operators. None of these may change.
package message

import "fmt"

//go:generate go tool msgp -tests=false -io=false
//msgp:shim Kind as:uint8 using:uint8/Kind

// The versions of the wire format. The first byte of a frame is its version.
const (
	// FrameVersion is the version of a complete frame, which can be decoded on its own.
	FrameVersion = 1
	// CompactFrameVersion is the version of a frame that omits values known from the
	// previous frames on its connection. It is sent only to peers that have announced
	// that they support it.
	CompactFrameVersion = 2
)

// Version is the version of a record. No two writes have the same version.
type Version struct {
	Term uint64 `msg:"t" json:"Term"` // of the leader that wrote the record
	Seq  uint64 `msg:"s" json:"Seq"`  // incremented by that leader with each write
}

// Less reports whether v is an earlier version than w.
//
// Example: Version{1, 9}.Less(Version{2, 1}) == true
func (v Version) Less(w Version) bool { return v.Term < w.Term || v.Term == w.Term && v.Seq < w.Seq }

// String formats a version as term.seq.
//
// Example: Version{3, 7}.String() == "3.7"
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Term, v.Seq) }

// Record is one record of a partition: a versioned register. A deleted record is kept
// and cached like any other, so that its absence has a version too.
type Record struct {
	Key     string  `msg:"k" json:"Key"`
	Version Version `msg:"v" json:"Ver"`
	Value   []byte  `msg:"b,omitempty" json:"Val"`
	Deleted bool    `msg:"d,omitempty" json:"Dead"`

	// Patched is set if the recipient has to derive the value by applying Patches, in
	// order, to the value that it holds. Only records in messages are patched.
	Patched bool    `msg:"h,omitempty" json:"Held"`
	Patches []Patch `msg:"l,omitempty" json:"Links"`
}

// Patch turns one version of a record's value into a later one.
type Patch struct {
	From  Version `msg:"f" json:"From"`
	To    Version `msg:"t" json:"To"`
	Delta []byte  `msg:"p" json:"Patch"` // in the format of control/lease
}

// Replica is a daemon's identity and its transport address.
type Replica struct {
	Ident string `msg:"i" json:"Ident"`
	Addr  string `msg:"a" json:"Addr"`
}

// Group holds the voters of a partition. While Next is set, decisions need a majority of both sets.
type Group struct {
	Number   uint64    `msg:"n" json:"Num"` // incremented by each change
	Replicas []Replica `msg:"s" json:"Seats"`
	Next     []Replica `msg:"x,omitempty" json:"Next"` // the voters after the pending change; empty: no change is pending
}

// Has reports whether the replica with the given identity has a vote in the group.
//
// Example: Group{Replicas: []Replica{{Ident: "a"}}}.Has("a") == true
func (g Group) Has(identity string) bool {
	return hasIdentity(g.Replicas, identity) || hasIdentity(g.Next, identity)
}

// All returns each replica of the group once.
//
// Example: len(Group{Replicas: three, Next: oneChanged}.All()) == 4
func (g Group) All() []Replica {
	all := append([]Replica(nil), g.Replicas...)
	for _, r := range g.Next {
		if !hasIdentity(all, r.Ident) {
			all = append(all, r)
		}
	}
	return all
}

// HasQuorum reports whether the replicas that satisfy the predicate form a majority
// (of both sets of voters while a change is pending).
//
// Example: g.HasQuorum(func(identity string) bool { return identity != "c" })
func (g Group) HasQuorum(holds func(identity string) bool) bool {
	return isMajority(g.Replicas, holds) && (len(g.Next) == 0 || isMajority(g.Next, holds))
}

func hasIdentity(replicas []Replica, identity string) bool {
	for _, r := range replicas {
		if r.Ident == identity {
			return true
		}
	}
	return false
}

func isMajority(replicas []Replica, holds func(identity string) bool) bool {
	count := 0
	for _, r := range replicas {
		if holds(r.Ident) {
			count++
		}
	}
	return count*2 > len(replicas)
}

// VolumeEpoch is the volume epoch of the lease paper. It identifies the granter of a volume lease.
type VolumeEpoch struct {
	Ident string `msg:"i" json:"Ident"` // the granter's identity
	Epoch uint64 `msg:"e" json:"Epoch"` // its incarnation
	Term  uint64 `msg:"t" json:"Term"`  // its term, if it is the leader
}

// SavePoint identifies a saved state of a replica by an incarnation of its daemon and the
// number of saves in that incarnation. It is zero for builds that don't count saves.
// Replicas store a checksum of its fmt output on disk (quorum.Meta.PastSum), so the type
// must not get a String method and its fields must keep their order.
type SavePoint struct {
	Epoch uint64 `msg:"e" json:"Epoch"` // the incarnation
	Saves uint64 `msg:"n" json:"Saves"` // counted from 1
}

// PeerIncarnation is the incarnation and state that one replica knows of another. Its
// fmt output must not change, for the same reason as that of SavePoint.
type PeerIncarnation struct {
	Ident string    `msg:"i" json:"Ident"`
	Epoch uint64    `msg:"e" json:"Epoch"`          // the incarnation that is recognized as the current one
	State SavePoint `msg:"s" json:"State,omitzero"` // the latest state known to be on the peer's disk
}

// Member describes one daemon in the membership table.
type Member struct {
	Ident    string `msg:"i" json:"ident"`
	Epoch    uint64 `msg:"e" json:"epoch"` // its incarnation
	Addr     string `msg:"a" json:"addr"`  // of its transport
	HTTPAddr string `msg:"w" json:"web"`   // of the native HTTP API
	Zone     string `msg:"c" json:"cell"`
	HasDisk  bool   `msg:"d" json:"disk"` // set for control daemons
	Ready    bool   `msg:"r" json:"ready"`
	Empty    bool   `msg:"m" json:"empty"` // holds no partition state
	Build    string `msg:"b" json:"build"`
}

// Replica returns the member's identity and transport address.
//
// Example: Member{Ident: "a", Addr: "10.0.0.1:7"}.Replica() == Replica{"a", "10.0.0.1:7"}
func (m Member) Replica() Replica { return Replica{Ident: m.Ident, Addr: m.Addr} }

// Leadership is a daemon's claim to lead a partition.
type Leadership struct {
	Partition int     `msg:"p" json:"part"`
	Term      uint64  `msg:"n" json:"num"`
	Leader    Replica `msg:"s" json:"seat"`
}

// Message is the frame of every message between daemons. The typed value of each kind
// defines which fields the kind uses and what they mean; all other fields are zero. The
// fields are encoded in the order of their declaration.
type Message struct {
	Kind Kind `msg:"k"`

	// Sender and recipient. The transport sets Fleet, From, Epoch and Addr of each message
	// that it sends, and checks Fleet and To of each message that it receives.
	Fleet     string `msg:"fl,omitempty"`
	Partition int    `msg:"p,omitempty"`
	From      string `msg:"f,omitempty"`  // the sender's identity
	Epoch     uint64 `msg:"e,omitempty"`  // its incarnation
	Addr      string `msg:"a,omitempty"`  // the address for answers
	To        string `msg:"to,omitempty"` // the recipient's identity; empty: any daemon at the address

	RequestID    uint64 `msg:"n,omitempty"` // assigned by the sender; echoed in ResponseTo of the answer
	ResponseTo   uint64 `msg:"r,omitempty"`
	Term         uint64 `msg:"u,omitempty"`
	LastComplete uint64 `msg:"st,omitempty"` // a term, or as the kind defines

	VolumeEpoch VolumeEpoch `msg:"m,omitempty"`
	Key         string      `msg:"ky,omitempty"`
	Version     Version     `msg:"v,omitempty"`
	Length      int64       `msg:"l,omitempty"` // a duration in nanoseconds, or a count
	ObjectLease int64       `msg:"lo,omitempty"`
	RenewCost   int64       `msg:"co,omitempty"`

	Records []Record `msg:"rs,omitempty"`
	Keys    []string `msg:"ks,omitempty"`
	Group   Group    `msg:"g,omitempty"`
	Digests []uint64 `msg:"dg,omitempty"` // of all key ranges (control/digest)
	Ranges  []int    `msg:"sp,omitempty"` // key ranges
	Hint    Replica  `msg:"h,omitempty"`

	// Incarnations of the replicas (control/quorum).

	// State is the sender's state at its start. It is set until the recipient is known to
	// recognize the sender's current incarnation.
	State      SavePoint         `msg:"sa,omitempty"`
	Saves      uint64            `msg:"sv,omitempty"` // number of saves on the sender's disk in this incarnation
	KnownEpoch uint64            `msg:"kn,omitempty"` // the recipient's incarnation that the sender recognizes
	KnownState SavePoint         `msg:"kt,omitempty"` // latest known state of the recipient; only in KindIncarnation
	Peers      []PeerIncarnation `msg:"pe,omitempty"` // what the leader knows about the other replicas

	Self        Member       `msg:"me,omitempty"`
	Members     []Member     `msg:"ms,omitempty"`
	Leaderships []Leadership `msg:"ow,omitempty"`

	Op     string `msg:"op,omitempty"`
	Status int    `msg:"cd,omitempty"` // HTTP status of a call's result
	Body   []byte `msg:"bd,omitempty"`
	Reason string `msg:"y,omitempty"`

	// MaxFrameVersion is the highest frame version that the sender can decode; 0 means 1.
	MaxFrameVersion int `msg:"wv,omitempty"`
}
