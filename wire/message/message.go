// Package message holds what daemons send one another. Message is the frame of all
// kinds, one flat struct as it stands on the wire (wire/transport); each kind has a
// typed value, which handlers take: the file of its family (lease.go, quorum.go,
// membership.go, call.go) makes frames of it and reads it from them.
//
// The fields' msgp tags and order, and the kinds' numbers, are the wire format: older
// builds read and send them. The JSON keys stand on disk (control/storage) and in
// answers to operators.
package message

import "fmt"

//go:generate go tool msgp -tests=false -io=false
//msgp:shim Kind as:uint8 using:uint8/Kind

// The versions of the wire format; a frame says its version in its first byte.
const (
	// FrameVersion is that of a whole frame, which needs no other to be read.
	FrameVersion = 1
	// CompactFrameVersion is that of a frame which leaves out what the frames before it
	// on its connection said; it goes only to those who said that they read it.
	CompactFrameVersion = 2
)

// Version is a record's version. No two writes share one.
type Version struct {
	Term uint64 `msg:"t" json:"Term"` // of the leader that wrote the record
	Seq  uint64 `msg:"s" json:"Seq"`  // which that leader counts up with each write
}

// Less orders versions.
//
// Example: Version{1, 9}.Less(Version{2, 1}) == true
func (v Version) Less(w Version) bool { return v.Term < w.Term || v.Term == w.Term && v.Seq < w.Seq }

// String prints a version as term.seq.
//
// Example: Version{3, 7}.String() == "3.7"
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Term, v.Seq) }

// Record is one record of a partition: a versioned register. A deleted one is kept and
// cached like any other: that nothing is there is known of that version.
type Record struct {
	Key     string  `msg:"k" json:"Key"`
	Version Version `msg:"v" json:"Ver"`
	Value   []byte  `msg:"b,omitempty" json:"Val"`
	Deleted bool    `msg:"d,omitempty" json:"Dead"`

	// Patched says that the value is what the addressee makes of the one that it has, by
	// Patches in their order. Only messages hold patched records.
	Patched bool    `msg:"h,omitempty" json:"Held"`
	Patches []Patch `msg:"l,omitempty" json:"Links"`
}

// Patch is what turns one version of a record's value into a later one.
type Patch struct {
	From  Version `msg:"f" json:"From"`
	To    Version `msg:"t" json:"To"`
	Delta []byte  `msg:"p" json:"Patch"` // as control/lease makes and applies it
}

// Replica is a daemon's identity and the address of its transport.
type Replica struct {
	Ident string `msg:"i" json:"Ident"`
	Addr  string `msg:"a" json:"Addr"`
}

// Group is a partition's voters; while Next is set a majority of both is needed.
type Group struct {
	Number   uint64    `msg:"n" json:"Num"` // which each change counts up
	Replicas []Replica `msg:"s" json:"Seats"`
	Next     []Replica `msg:"x,omitempty" json:"Next"` // the voters after the change under way; none: no change
}

// Has tells whether an identity has a vote in the group.
//
// Example: Group{Replicas: []Replica{{Ident: "a"}}}.Has("a") == true
func (g Group) Has(identity string) bool {
	return hasIdentity(g.Replicas, identity) || hasIdentity(g.Next, identity)
}

// All lists every replica of the group once.
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

// HasQuorum tells whether the identities that a predicate holds for make a majority
// (of both groups while the group changes).
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

// VolumeEpoch is the paper's volume epoch: which granter a volume lease is from.
type VolumeEpoch struct {
	Ident string `msg:"i" json:"Ident"` // the granter's identity
	Epoch uint64 `msg:"e" json:"Epoch"` // its incarnation
	Term  uint64 `msg:"t" json:"Term"`  // its term if it is the leader
}

// SavePoint names a state of a replica: as of so many saves of one incarnation of its
// daemon. The zero value is that of builds that don't count saves. Disks hold a checksum
// of it as fmt prints it (quorum.Meta.PastSum): it has no String method, and its fields
// keep their order.
type SavePoint struct {
	Epoch uint64 `msg:"e" json:"Epoch"` // the incarnation
	Saves uint64 `msg:"n" json:"Saves"` // counted from 1
}

// PeerIncarnation is what one replica knows of another. As for a SavePoint, how fmt
// prints it stays.
type PeerIncarnation struct {
	Ident string    `msg:"i" json:"Ident"`
	Epoch uint64    `msg:"e" json:"Epoch"`          // the incarnation that the other goes by
	State SavePoint `msg:"s" json:"State,omitzero"` // the latest that is known to be on its disk
}

// Member is one daemon as the fleet sees it.
type Member struct {
	Ident    string `msg:"i" json:"ident"`
	Epoch    uint64 `msg:"e" json:"epoch"` // its incarnation
	Addr     string `msg:"a" json:"addr"`  // of its transport
	HTTPAddr string `msg:"w" json:"web"`   // of the product's own interface
	Zone     string `msg:"c" json:"cell"`
	HasDisk  bool   `msg:"d" json:"disk"` // it is a control daemon
	Ready    bool   `msg:"r" json:"ready"`
	Empty    bool   `msg:"m" json:"empty"` // it holds no state of a partition
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

// Message is the frame of everything that one daemon says to another. Which of the
// fields a kind uses, and what they mean in it, stands at its typed value; the others
// are zero. The order of the fields is that of the bytes.
type Message struct {
	Kind Kind `msg:"k"`

	// Who speaks to whom. The transport sets Fleet, From, Epoch and Addr of what it
	// sends, and checks Fleet and To of what it receives.
	Fleet     string `msg:"fl,omitempty"`
	Partition int    `msg:"p,omitempty"`
	From      string `msg:"f,omitempty"`  // the sender's identity
	Epoch     uint64 `msg:"e,omitempty"`  // its incarnation
	Addr      string `msg:"a,omitempty"`  // where answers reach it
	To        string `msg:"to,omitempty"` // the addressee's identity; none: whoever is at the address

	RequestID    uint64 `msg:"n,omitempty"` // the sender's own; an answer's ResponseTo
	ResponseTo   uint64 `msg:"r,omitempty"`
	Term         uint64 `msg:"u,omitempty"`
	LastComplete uint64 `msg:"st,omitempty"` // term

	VolumeEpoch VolumeEpoch `msg:"m,omitempty"`
	Key         string      `msg:"ky,omitempty"`
	Version     Version     `msg:"v,omitempty"`
	Length      int64       `msg:"l,omitempty"` // a time in nanoseconds, or a count
	ObjectLease int64       `msg:"lo,omitempty"`
	RenewCost   int64       `msg:"co,omitempty"`

	Records []Record `msg:"rs,omitempty"`
	Keys    []string `msg:"ks,omitempty"`
	Group   Group    `msg:"g,omitempty"`
	Digests []uint64 `msg:"dg,omitempty"` // of all ranges of keys (control/digest)
	Ranges  []int    `msg:"sp,omitempty"` // of keys
	Hint    Replica  `msg:"h,omitempty"`

	// What replicas tell one another of their incarnations (control/quorum).

	// State is the sender's when it started, until the addressee is known to go by this
	// incarnation.
	State      SavePoint         `msg:"sa,omitempty"`
	Saves      uint64            `msg:"sv,omitempty"` // of this incarnation that are on the sender's disk
	KnownEpoch uint64            `msg:"kn,omitempty"` // the incarnation of the addressee that the sender goes by
	KnownState SavePoint         `msg:"kt,omitempty"` // and its state, where the addressee is another one
	Peers      []PeerIncarnation `msg:"pe,omitempty"` // what the leader knows of the other replicas

	Self        Member       `msg:"me,omitempty"`
	Members     []Member     `msg:"ms,omitempty"`
	Leaderships []Leadership `msg:"ow,omitempty"`

	Op     string `msg:"op,omitempty"`
	Status int    `msg:"cd,omitempty"` // of a call's result, as in HTTP
	Body   []byte `msg:"bd,omitempty"`
	Reason string `msg:"y,omitempty"`

	// MaxFrameVersion is the highest version of frames that the sender reads; none: 1.
	MaxFrameVersion int `msg:"wv,omitempty"`
}
