// Package lease implements one daemon's node in a partition's tree of volume leases
// (Yin, Alvisi, Dahlin, Lin: Hierarchical Cache Consistency in a WAN, 1999). A Node is
// both a child of its parent and a parent of its children. The root has no parent and
// relies on the leader lease instead.
//
// A record is served only while both its object lease and the volume lease are valid. A
// holder measures a lease from the time it sent the request. A granter measures it from
// the time it sent the grant, and adds clock drift and a margin. No node grants a volume
// lease that outlasts its own.
//
// The protocol between parents and children:
//
//   - A child renews its lease and requests records with a LeaseRenewal. The parent
//     answers with a LeaseGrant. Records that the parent does not have yet follow later.
//   - A child must reconnect (ReconnectRequest) if the parent does not know it, if it is
//     on the unreachable list, or if its volume epoch differs. It lists the records that
//     it holds (LeaseList), the parent confirms those that are current (Reconciliation),
//     and the child acknowledges that it dropped the others (ReconnectDone).
//   - A parent withdraws a record with an Invalidation. The child responds with an
//     InvalidationAck once all of its own children have acknowledged or their leases have
//     expired.
//   - A parent that has no valid lease itself holds renewals until it has one. It sends a
//     LeaseDenial after the length of a volume lease, or immediately if it cannot get a lease.
//   - A parent that knows a better parent for a child sends a Redirect.
//
// Step and Tick are in step.go, the child's side in upstream.go and records.go, the
// parent's side in downstream.go and invalidation.go, patches in patches.go, and joins and
// splits in reshape.go.
package lease

import (
	"maps"
	"slices"
	"time"

	"mulleinmast/wire/message"
)

// RecordSource returns the root's committed record for a key.
type RecordSource func(key string) message.Record

// Out holds the actions that the daemon must take after a step, and what changed.
type Out struct {
	Sends       []message.Envelope
	Readable    []string        // keys of records that can now be served
	Withdrawn   []string        // keys of records that are no longer served
	Invalidated []uint64        // tags passed to Suspend whose invalidation is complete
	Orphaned    bool            // the parent denied the lease or does not answer; the daemon must choose another
	Redirect    message.Replica // a better parent to connect to; zero if none
}

// Node is the lease state machine. It is not safe for concurrent use.
type Node struct {
	cfg        Config
	partition  int
	self       message.Replica
	epoch      uint64 // incarnation of this daemon
	generation uint64 // number of changes to the served records, see Generation

	root          rootRole
	upstream      upstream
	records       recordCache
	downstream    downstream
	invalidations invalidations
	patches       patchCache
	load          loadStats

	// RelayOf returns the static relay that a child would use if it did not connect
	// directly to this node, or zero if none. The daemon sets RelayOf from the member list.
	RelayOf func(ident string) message.Replica
}

// New returns a node without a parent.
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

// rootRole is the state of a node in its role as the root of the tree.
type rootRole struct {
	active         bool
	term           uint64               // of the leadership; part of the volume epoch
	record         RecordSource         // nil unless active
	leaseEnd       func() time.Duration // of the leader lease; nil unless active
	suspended      map[string]int       // key -> calls of Suspend without a matching Resume
	formerLeaseEnd time.Duration        // end of this node's previous leader lease
}

// BecomeRoot makes this node the root. The function records returns the root's record for a
// key, and leaseEnd returns the end of the leader lease. The node drops its children and the state it had as a child.
//
// Example: n.BecomeRoot(replica.Term(), records, replica.LeaseEnd)
func (n *Node) BecomeRoot(term uint64, records RecordSource, leaseEnd func() time.Duration) {
	n.forgetChildren()
	n.generation++
	n.root = rootRole{
		active: true, term: term, record: records, leaseEnd: leaseEnd,
		suspended: map[string]int{}, formerLeaseEnd: n.root.formerLeaseEnd,
	}
	n.records.cached = map[string]cachedRecord{}
	n.records.checkNow = true
	n.upstream.disconnect()
}

// ResignRoot ends the root role. All leases that the node granted expire with its own
// lease. The pinned records that it served as root become its last known records.
//
// Example: n.ResignRoot()
func (n *Node) ResignRoot() {
	n.forgetChildren()
	n.generation++
	if n.root.active {
		n.keepRootRecords()
	}
	n.root = rootRole{suspended: map[string]int{}, formerLeaseEnd: n.root.formerLeaseEnd}
	n.records.checkNow = true
	n.upstream.unansweredSince = 0
}

// keepRootRecords caches the pinned records that a resigning root served, as its last known
// records. It skips records of later terms, which the next leader may have written to this
// node's copy before the node noticed the change of leadership.
func (n *Node) keepRootRecords() {
	n.root.formerLeaseEnd = n.root.leaseEnd()
	for key := range n.records.pinned {
		record := n.root.record(key)
		if n.root.suspended[key] == 0 && record.Version.Term <= n.root.term {
			n.records.cached[key] = cachedRecord{record: record, expiry: n.root.formerLeaseEnd + n.cfg.ObjectLease}
		}
	}
}

// forgetChildren drops all children, and the invalidations and waiting requests that
// concern them.
func (n *Node) forgetChildren() {
	n.downstream.children = map[string]*child{}
	n.downstream.waiters = map[string]map[string]message.Version{}
	n.invalidations.byKey = map[string]*invalidation{}
	n.load = loadStats{renewCost: n.load.renewCost, skipped: map[message.Replica]*skippedRelay{}}
}

// IsRoot reports whether this node is the root.
//
// Example: if n.IsRoot() { ... }
func (n *Node) IsRoot() bool { return n.root.active }

// Parent returns the replica at which this node renews its lease; zero if none.
//
// Example: p := n.Parent()
func (n *Node) Parent() message.Replica { return n.upstream.parent }

// VolumeEpoch returns the volume epoch of the leases that this node grants.
//
// Example: current := m.VolumeEpoch == n.VolumeEpoch()
func (n *Node) VolumeEpoch() message.VolumeEpoch {
	return message.VolumeEpoch{Ident: n.self.Ident, Epoch: n.epoch, Term: n.root.term}
}

// VolumeExpiry returns when this node's own volume lease ends.
//
// Example: if now < n.VolumeExpiry() { serve() }
func (n *Node) VolumeExpiry() time.Duration {
	if n.root.active {
		return n.root.leaseEnd()
	}
	return n.upstream.volumeExpiry
}

// HasVolumeLease reports whether the volume lease is valid.
//
// Example: ready := n.HasVolumeLease(now)
func (n *Node) HasVolumeLease(now time.Duration) bool { return now < n.VolumeExpiry() }

// Generation returns the number of changes to the records that this node serves. A read
// remains valid while Generation is unchanged and ValidUntil has not passed. Suspend and
// Resume also count as changes, since the root does not serve a suspended record.
//
// Example: before := n.Generation(); read(); if n.Generation() != before { readAgain() }
func (n *Node) Generation() uint64 { return n.generation }

// ValidUntil returns the earliest expiry among the volume lease and the object leases of
// the cached records.
//
// Example: if now < n.ValidUntil() { serveFromSnapshot() }
func (n *Node) ValidUntil() time.Duration {
	until := n.VolumeExpiry()
	for _, cached := range n.records.cached {
		until = min(until, cached.expiry)
	}
	return until
}

// Get returns a record if its object lease and the volume lease are valid. If ok is true and
// the record is marked as deleted, the record is known not to exist.
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

// Pin keeps a record cached: it is fetched now, and again each time it is withdrawn.
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

// Unpin reverses Pin, so that the record is no longer fetched again after it is withdrawn.
//
// Example: n.Unpin("server/of/yesterday")
func (n *Node) Unpin(key string) {
	delete(n.records.pinned, key)
	if _, isAwaited := n.downstream.waiters[key]; !isAwaited {
		delete(n.upstream.fetches, key)
	}
}

// sortedKeys returns the keys of a map in sorted order, so that runs are deterministic.
func sortedKeys[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }
