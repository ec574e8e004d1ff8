// Package lease is one daemon's place in a partition's tree of volume leases
// (Yin, Alvisi, Dahlin, Lin: Hierarchical Cache Consistency in a WAN, 1999).
// A Node is a child of its parent and a parent to its children at once; at
// the root it stands on the leader lease instead of a parent's.
//
// A record is served only under its object lease and the volume lease. A
// holder counts a lease from when it sent the request; a granter from when it
// sent the grant, stretched by drift and margin. No node grants a volume lease
// that outlasts its own.
//
// What parents and children send each other:
//
//   - A child renews (LeaseRenewal), also to ask for records; the parent grants
//     (LeaseGrant), now or when it has them.
//   - A child that the parent doesn't know, that is on the unreachable list, or that has
//     another volume epoch must reconnect (ReconnectRequest): it lists what it holds
//     (LeaseList), the parent confirms what is up to date (Reconciliation), and the child
//     says that it has dropped the rest (ReconnectDone).
//   - A parent that withdraws a record sends an Invalidation; the child answers
//     (InvalidationAck) once all below it have, or have lapsed.
//   - A parent without a lease of its own keeps a renewal until it has one, and denies
//     (LeaseDenial) after a volume lease, or at once if none can come; one that knows of
//     a better parent names it (Redirect).
//
// Step and Tick are in step.go, the child's side in upstream.go and records.go, the
// parent's in downstream.go and invalidation.go, patches in patches.go, joins and splits
// in reshape.go.
package lease

import (
	"maps"
	"slices"
	"time"

	"mulleinmast/wire/message"
)

// RecordSource reads the root's committed records.
type RecordSource func(key string) message.Record

// Out is what a step asks for.
type Out struct {
	Sends       []message.Envelope
	Readable    []string        // keys of records that became servable
	Withdrawn   []string        // keys of records that are no longer served
	Invalidated []uint64        // tags given to Suspend whose invalidation is complete
	Orphaned    bool            // the parent denies the lease or is silent: find another
	Redirect    message.Replica // a better parent; zero: none is named
}

// Node is the state machine. It is not safe for concurrent use.
type Node struct {
	cfg        Config
	partition  int
	self       message.Replica
	epoch      uint64 // of this daemon's incarnation
	generation uint64 // counts changes of what is served, see Generation

	root          rootRole
	upstream      upstream
	records       recordCache
	downstream    downstream
	invalidations invalidations
	patches       patchCache
	load          loadStats

	// RelayOf names the static relay that a child would go through if it didn't come
	// straight here; zero: none. The daemon sets it, from the member list.
	RelayOf func(ident string) message.Replica
}

// New makes a node without a parent.
//
// Example: n := lease.New(cfg, 0, self, epoch)
func New(cfg Config, partition int, self message.Replica, epoch uint64) *Node {
	n := &Node{cfg: cfg, partition: partition, self: self, epoch: epoch}
	n.root.suspended = map[string]int{}
	n.upstream = newUpstream()
	n.records = recordCache{pinned: map[string]bool{}, cached: map[string]cachedRecord{}}
	n.forgetChildren()
	return n
}

// rootRole is what a node has while it is the root of the tree.
type rootRole struct {
	active    bool
	term      uint64               // of the leadership; part of the volume epoch
	record    RecordSource         // nil unless active
	leaseEnd  func() time.Duration // of the leader lease; nil unless active
	suspended map[string]int       // key -> calls of Suspend without their Resume
	formerEnd time.Duration        // when the last leader lease of this node ended
}

// BecomeRoot makes this node the root: records reads its records, leaseEnd is the
// end of the leader lease. It forgets its children and what it held as a child.
//
// Example: n.BecomeRoot(replica.Term(), records, replica.LeaseEnd)
func (n *Node) BecomeRoot(term uint64, records RecordSource, leaseEnd func() time.Duration) {
	n.forgetChildren()
	n.generation++
	n.root = rootRole{
		active: true, term: term, record: records, leaseEnd: leaseEnd,
		suspended: map[string]int{}, formerEnd: n.root.formerEnd,
	}
	n.records.cached = map[string]cachedRecord{}
	n.records.checkNow = true
	n.upstream.disconnect()
}

// ResignRoot ends the root's role; all that it granted lapses with its lease. What
// it read from its own records is the last that it knows.
//
// Example: n.ResignRoot()
func (n *Node) ResignRoot() {
	n.forgetChildren()
	n.generation++
	if n.root.active {
		n.keepRootRecords()
	}
	n.root = rootRole{suspended: map[string]int{}, formerEnd: n.root.formerEnd}
	n.records.checkNow = true
	n.upstream.unansweredSince = 0
}

// keepRootRecords keeps what a root that resigns served, as the last known. A later
// leader may have brought its own records before this node knew of it.
func (n *Node) keepRootRecords() {
	n.root.formerEnd = n.root.leaseEnd()
	for key := range n.records.pinned {
		record := n.root.record(key)
		if n.root.suspended[key] == 0 && record.Version.Term <= n.root.term {
			n.records.cached[key] = cachedRecord{record: record, expiry: n.root.formerEnd + n.cfg.ObjectLease}
		}
	}
}

// forgetChildren drops all children with what was under way towards them.
func (n *Node) forgetChildren() {
	n.downstream.children = map[string]*child{}
	n.downstream.waiting = map[string]map[string]message.Version{}
	n.invalidations.byKey = map[string]*invalidation{}
	n.load = loadStats{renewCost: n.load.renewCost, skipped: map[message.Replica]*skippedRelay{}}
}

// IsRoot tells whether this node is the root.
//
// Example: if n.IsRoot() { ... }
func (n *Node) IsRoot() bool { return n.root.active }

// Parent is the replica this node renews at; zero: none.
//
// Example: p := n.Parent()
func (n *Node) Parent() message.Replica { return n.upstream.parent }

// VolumeEpoch is this node's volume epoch towards its children.
//
// Example: current := m.VolumeEpoch == n.VolumeEpoch()
func (n *Node) VolumeEpoch() message.VolumeEpoch {
	return message.VolumeEpoch{Ident: n.self.Ident, Epoch: n.epoch, Term: n.root.term}
}

// VolumeExpiry is when this node's own volume lease ends.
//
// Example: if now < n.VolumeExpiry() { serve() }
func (n *Node) VolumeExpiry() time.Duration {
	if n.root.active {
		return n.root.leaseEnd()
	}
	return n.upstream.volumeExpiry
}

// HasVolumeLease tells whether the volume lease is valid.
//
// Example: ready := n.HasVolumeLease(now)
func (n *Node) HasVolumeLease(now time.Duration) bool { return now < n.VolumeExpiry() }

// Generation counts the changes of what this node serves: what was read stands as
// long as Generation is the same and ValidUntil has not passed. At the root a
// suspended record is not served either, so Suspend and Resume count.
//
// Example: before := n.Generation(); read(); if n.Generation() != before { readAgain() }
func (n *Node) Generation() uint64 { return n.generation }

// ValidUntil is when the first lease lapses, the volume's or an object's, under
// which this node serves what it holds.
//
// Example: if now < n.ValidUntil() { serveFromSnapshot() }
func (n *Node) ValidUntil() time.Duration {
	until := n.VolumeExpiry()
	for _, cached := range n.records.cached {
		until = min(until, cached.expiry)
	}
	return until
}

// Get serves a record if both leases are valid. A deleted record with ok true is
// known absence.
//
// Example: record, ok := n.Get(now, "plan/now")
func (n *Node) Get(now time.Duration, key string) (record message.Record, ok bool) {
	if !n.HasVolumeLease(now) {
		return message.Record{}, false
	}
	if n.root.active {
		if n.root.suspended[key] > 0 {
			return message.Record{}, false
		}
		return n.root.record(key), true
	}
	cached, ok := n.records.cached[key]
	if !ok || now >= cached.expiry {
		return message.Record{}, false
	}
	return cached.record, true
}

// Pin keeps a record wanted: it is fetched now and again when withdrawn.
//
// Example: out := n.Pin(now, "plan/now")
func (n *Node) Pin(now time.Duration, key string) (out Out) {
	if n.records.pinned[key] {
		return out
	}
	n.records.pinned[key] = true
	if !n.root.active {
		n.upstream.fetch(now, key)
		n.renewSoon(now, &out)
	}
	return out
}

// Unpin ends what Pin began: the record is not fetched again once it is withdrawn.
//
// Example: n.Unpin("server/of/yesterday")
func (n *Node) Unpin(key string) {
	delete(n.records.pinned, key)
	if _, waitedFor := n.downstream.waiting[key]; !waitedFor {
		delete(n.upstream.fetches, key)
	}
}

// sortedKeys are the keys of a map, in an order that does not vary from run to run.
func sortedKeys[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }
