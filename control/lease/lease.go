// Package lease is one daemon's place in a partition's tree of volume leases
// (Yin, Alvisi, Dahlin, Lin: Hierarchical Cache Consistency in a WAN, 1999).
// A Node is a child of its parent and a parent to its children at once; at
// the root it stands on the leader lease instead of a parent's.
//
// A record is served only under its object lease and the volume lease. A
// holder counts a lease from when it sent the request; a granter from when it
// sent the grant, stretched by drift and margin. No node grants a volume lease
// that outlasts its own.
package lease

import (
	"maps"
	"slices"
	"time"

	"mulleinmast/wire/message"
)

// Config holds the bounds of the leases.
type Config struct {
	VolumeLease   time.Duration // volume lease
	ObjectLease   time.Duration // object lease
	Drift         float64
	Margin        time.Duration
	RenewInterval time.Duration // renew and resend interval
	MinGain       time.Duration // what a join or split must save
	LoadInterval  time.Duration // interval over which hits are counted
	MaxRenewals   int           // renewals in a Span above which a parent is loaded
}

func (c Config) wait(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.Drift) + c.Margin
}

// RecordSource reads the root's committed records.
type RecordSource func(key string) message.Record

// Out is what a step asks for.
type Out struct {
	Sends       []message.Envelope
	Readable    []string // records that became servable
	Withdrawn   []string // records that were withdrawn
	Invalidated []uint64 // tags of holds whose invalidation is complete
	Orphaned    bool     // the parent said no or is silent: find another
	Redirect    message.Replica
}

type hold struct {
	ver  message.Version
	till time.Duration
}

type cached struct {
	rec  message.Record
	till time.Duration
}

type ask struct {
	at time.Duration
}

// wanted is a record asked of the parent: when first and last, and how often.
type wanted struct {
	first, last time.Duration
	asks        int
}

// due tells whether it is to be asked for again: later each time, since a
// parent that is slow would else be sent the more, the slower it is.
func (w wanted) due(now, beat time.Duration) bool {
	return w.asks == 0 || now-w.last >= beat/2<<min(w.asks-1, 4)
}

// Node is the state machine.
type Node struct {
	cfg       Config
	partition int
	me        message.Replica
	epoch     uint64

	root  bool
	src   RecordSource
	lease func() time.Duration
	term  uint64
	held  map[string]int

	parent message.Replica
	pmark  message.VolumeEpoch
	heard  map[message.VolumeEpoch]uint64 // highest number heard from each granter
	till   time.Duration
	no     uint64
	passes uint64 // numbers sweeps
	out    uint64 // numbers all messages to children, so that they can drop late ones
	reqs   map[uint64]ask
	sentAt time.Duration
	listAt time.Duration // when our list last went out
	backAt time.Duration // when the parent last answered
	objs   map[string]cached
	want   map[string]wanted // of the parent
	late   bool              // something wanted was not asked for yet
	lookAt time.Duration     // when children were looked through last
	readAt time.Duration     // when records were
	stale  bool              // records are to be looked through now
	pins   map[string]bool
	gen    uint64
	reign  time.Duration // when our own leader lease ended, if we were the root
	vain   time.Duration // since when a renewal is due and not answered; 0: none is
	tickAt time.Duration // when time was last let pass

	kids   map[string]*kid
	needs  map[string]map[string]message.Version // key -> children waiting for it, and what they hold of it
	sweeps map[string]*sweep

	delta
	Shape
}

// New makes a node without a parent.
//
// Example: n := lease.New(cfg, 0, me, epoch)
func New(cfg Config, partition int, me message.Replica, epoch uint64) *Node {
	n := &Node{cfg: cfg, partition: partition, me: me, epoch: epoch, held: map[string]int{}, heard: map[message.VolumeEpoch]uint64{}, pins: map[string]bool{}}
	n.clear()
	n.objs, n.want, n.reqs = map[string]cached{}, map[string]wanted{}, map[uint64]ask{}
	return n
}

func (n *Node) clear() {
	n.kids, n.needs, n.sweeps = map[string]*kid{}, map[string]map[string]message.Version{}, map[string]*sweep{}
	n.Shape = n.Shape.fresh()
}

// BecomeRoot makes this node the root: src reads its records, lease is the leader lease.
//
// Example: n.BecomeRoot(replica.Term(), src, replica.LeaseEnd)
func (n *Node) BecomeRoot(term uint64, src RecordSource, lease func() time.Duration) {
	n.clear()
	n.gen++
	n.root, n.term, n.src, n.lease = true, term, src, lease
	n.held = map[string]int{}
	n.objs, n.want, n.reqs = map[string]cached{}, map[string]wanted{}, map[uint64]ask{}
	n.parent, n.pmark, n.till, n.stale, n.vain = message.Replica{}, message.VolumeEpoch{}, 0, true, 0
}

// ResignRoot ends the root's partition; everything it granted lapsed with its lease.
//
// Example: n.ResignRoot()
func (n *Node) ResignRoot() {
	n.clear()
	n.gen++
	if n.root { // what it read from its own records is the last that it knows
		n.reign = n.lease()
		for key := range n.pins {
			// A later leader may have brought its own records before we knew of it.
			if rec := n.src(key); n.held[key] == 0 && rec.Version.Term <= n.term {
				n.objs[key] = cached{rec: rec, till: n.reign + n.cfg.ObjectLease}
			}
		}
	}
	n.root, n.src, n.lease, n.term, n.stale, n.vain = false, nil, nil, 0, true, 0
	n.held = map[string]int{}
}

// IsRoot tells whether this node is the root.
//
// Example: if n.IsRoot() { ... }
func (n *Node) IsRoot() bool { return n.root }

// Parent is the replica this node renews at.
//
// Example: p := n.Parent()
func (n *Node) Parent() message.Replica { return n.parent }

// VolumeEpoch is this node's volume epoch towards its children.
//
// Example: message.VolumeEpoch == n.VolumeEpoch()
func (n *Node) VolumeEpoch() message.VolumeEpoch {
	return message.VolumeEpoch{Ident: n.me.Ident, Epoch: n.epoch, Term: n.term}
}

// VolumeExpiry is when this node's own volume lease ends.
//
// Example: if now < n.VolumeExpiry() { serve() }
func (n *Node) VolumeExpiry() time.Duration {
	if n.root {
		return n.lease()
	}
	return n.till
}

// LastKnown is a record whose volume lease lapsed, and when, if it was not withdrawn
// since: the last that this node knows. It is no lease: only what may go by
// old records while the leader can't be reached may use it, and for how long is
// its user's to bound.
//
// Example: if rec, at, ok := n.LastKnown(now, "plan/now"); ok && now-at < bound { route(rec) }
func (n *Node) LastKnown(now time.Duration, key string) (rec message.Record, lapsed time.Duration, ok bool) {
	c, held := n.objs[key]
	lapsed, ok = n.Lapsed(now)
	return c.rec, lapsed, ok && held && c.till >= lapsed && n.sweeps[key] == nil
}

// Lapsed tells when the volume lease lapsed and whether Last serves now: once a
// renewal was asked for in vain for half a beat, of which this node saw all: one
// that stood still asks, or at least listens, first.
//
// Example: if at, ok := n.Lapsed(now); ok { goOnUntil(at + bound) }
func (n *Node) Lapsed(now time.Duration) (at time.Duration, ok bool) {
	patience := n.cfg.RenewInterval / 2
	return max(n.till, n.reign), !n.root && !n.HasVolumeLease(now) && n.vain > 0 && now-n.vain >= patience && now-n.tickAt <= patience
}

// Generation counts the changes of what this node serves: what was read stands as long
// as Generation is the same and Until has not passed. At the root a held record is not
// served either, so holding and freeing count.
//
// Example: gen := n.Generation(); read(); if n.Generation() != gen { readAgain() }
func (n *Node) Generation() uint64 { return n.gen }

// ValidUntil is when the first lease lapses, the volume's or an object's, under
// which this node serves what it holds.
//
// Example: if now < n.ValidUntil() { serveFromSnapshot() }
func (n *Node) ValidUntil() time.Duration {
	till := n.VolumeExpiry()
	for _, c := range n.objs {
		till = min(till, c.till)
	}
	return till
}

// HasVolumeLease tells whether the volume lease is valid.
//
// Example: ready := n.HasVolumeLease(now)
func (n *Node) HasVolumeLease(now time.Duration) bool { return now < n.VolumeExpiry() }

// Get serves a record if both leases are valid. A Dead record with ok true is
// known absence.
//
// Example: rec, ok := n.Get(now, "plan/now")
func (n *Node) Get(now time.Duration, key string) (message.Record, bool) {
	if !n.HasVolumeLease(now) {
		return message.Record{}, false
	}
	if n.root {
		if n.held[key] > 0 {
			return message.Record{}, false
		}
		return n.src(key), true
	}
	c, ok := n.objs[key]
	if !ok || now >= c.till {
		return message.Record{}, false
	}
	return c.rec, true
}

// Pin keeps a record wanted: it is fetched now and again when withdrawn.
//
// Example: out := n.Pin(now, "plan/now")
func (n *Node) Pin(now time.Duration, key string) (o Out) {
	if n.pins[key] {
		return o
	}
	n.pins[key] = true
	if !n.root {
		n.fetch(now, key)
		n.hurry(now, &o)
	}
	return o
}

// Step takes a message from a parent or a child.
//
// Example: out := n.Step(now, message)
func (n *Node) Step(now time.Duration, m message.Message) (o Out) {
	switch m.Kind {
	case message.KindRenewLease:
		n.renewed(now, m, &o)
	case message.KindLeaseList:
		n.listing(now, m, &o)
	case message.KindReconnectDone:
		if k := n.kids[kidID(m)]; k != nil && m.VolumeEpoch == n.VolumeEpoch() && m.ResponseTo == k.sync {
			k.listed = false
		}
	case message.KindInvalidated:
		n.invalidated(now, kidID(m), m.Key, m.ResponseTo, &o)
	case message.KindGrantLease, message.KindReconnect, message.KindReconciled, message.KindInvalidate, message.KindDenyLease, message.KindRedirect:
		n.fromParent(now, m, &o)
	}
	return o
}

func sorted[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }

// Tick lets time pass: renewals, resends, lapses.
//
// Example: out := n.Tick(now)
func (n *Node) Tick(now time.Duration) (o Out) {
	if now-n.tickAt > n.cfg.RenewInterval/2 { // it stood still, and may not have heard the answer yet
		n.vain = 0
	}
	if n.tickAt = now; n.vain == 0 && !n.HasVolumeLease(now) { // nobody may be there to ask
		n.vain = now
	}
	for _, key := range sorted(n.sweeps) {
		s := n.sweeps[key]
		if s == nil {
			continue
		}
		for _, id := range sorted(s.wait) {
			at, k := s.wait[id], n.kids[id]
			switch {
			case k == nil:
				delete(s.wait, id)
			case now >= k.till:
				k.list()
				delete(s.wait, id)
			case now-at >= n.cfg.RenewInterval:
				s.wait[id] = now
				n.tell(k, message.Message{Kind: message.KindInvalidate, Key: key, ResponseTo: s.no}, &o)
			}
		}
		n.swept(now, s, &o)
	}
	if now-n.lookAt >= n.cfg.RenewInterval/4 { // the tables are long, and nothing here is urgent
		n.lookAt = now
		n.lapse(now, &o)
	}
	n.reshape(now, &o)
	if n.root || n.parent.Ident == "" {
		return o
	}
	if n.stale || now-n.readAt >= n.cfg.ObjectLease/64 || now-n.readAt >= 4*n.cfg.RenewInterval {
		n.stale, n.readAt = false, now
		n.refresh(now, &o)
	}
	switch {
	case now-n.sentAt >= n.cfg.RenewInterval:
		n.renew(now, &o)
	case n.late:
		n.hurry(now, &o)
	}
	if now-n.backAt > n.cfg.VolumeLease {
		o.Orphaned = true
		n.backAt = now
	}
	return o
}

// lapse looks through the children for those that wait in vain or are gone.
func (n *Node) lapse(now time.Duration, o *Out) {
	for _, id := range sorted(n.kids) {
		k := n.kids[id]
		if k.ask != nil && now-k.askAt > n.cfg.VolumeLease {
			k.ask = nil
			n.tell(k, message.Message{Kind: message.KindDenyLease, Reason: "lease lapsed"}, o)
		}
		if now-k.seen > 8*n.cfg.VolumeLease && now >= k.till && !n.owes(id) {
			delete(n.kids, id)
		}
	}
}

// refresh looks through the records for those that lapsed or soon will.
func (n *Node) refresh(now time.Duration, o *Out) {
	for key := range n.pins {
		if c, ok := n.objs[key]; (!ok || now >= c.till-n.cfg.ObjectLease/4) && n.sweeps[key] == nil {
			n.fetch(now, key)
		}
	}
	n.forgetBases(now)
	var gone []string
	for key, c := range n.objs {
		if now >= c.till {
			gone = append(gone, key)
		}
	}
	slices.Sort(gone)
	for _, key := range gone {
		n.sweep(now, key, nil, 0, o)
	}
}
