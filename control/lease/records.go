package lease

import (
	"slices"
	"strings"
	"time"

	"mulleinmast/wire/message"
)

// recordCache is what a node holds of its parent's records.
type recordCache struct {
	pinned    map[string]bool         // keys of the records that are fetched unasked and kept
	cached    map[string]cachedRecord // by key; the record is served while its lease and the volume lease stand
	lastCheck time.Duration           // when they were last scanned
	checkNow  bool                    // scan them at the next tick
}

// cachedRecord is a record under its object lease.
type cachedRecord struct {
	record message.Record
	expiry time.Duration // end of the object lease
}

// list is what a lease list says: key and version of each record whose lease is
// valid, in the order of the keys.
func (c *recordCache) list(now time.Duration) (list []message.Record) {
	for key, cached := range c.cached {
		if now < cached.expiry {
			record := cached.record
			list = append(list, message.Record{Key: key, Version: record.Version, Deleted: record.Deleted})
		}
	}
	slices.SortFunc(list, func(a, b message.Record) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// expired are the keys of the records whose object lease has ended, in order.
func (c *recordCache) expired(now time.Duration) (keys []string) {
	for key, cached := range c.cached {
		if now >= cached.expiry {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// checkRecords scans the cached records at intervals: those whose object lease soon
// ends are asked for, those whose object lease has ended are dropped.
func (n *Node) checkRecords(now time.Duration, out *Out) {
	if !n.records.checkNow && now-n.records.lastCheck < n.cfg.recordCheckInterval() {
		return
	}
	n.records.checkNow, n.records.lastCheck = false, now
	for key := range n.records.pinned {
		cached, ok := n.records.cached[key]
		lapsesSoon := !ok || now >= cached.expiry-n.cfg.refreshAhead()
		if lapsesSoon && !n.invalidations.underWay(key) {
			n.upstream.fetch(now, key)
		}
	}
	n.patches.forget(now, n.cfg.ObjectLease)
	for _, key := range n.records.expired(now) {
		n.invalidate(now, key, out)
	}
}

// LastKnown is a record whose volume lease lapsed, and when, if it was not withdrawn
// since. It is no lease: only what may go by old records while the leader can't be
// reached may use it, and for how long is its user's to bound.
//
// Example: if record, at, ok := n.LastKnown(now, "plan/now"); ok && now-at < bound { route(record) }
func (n *Node) LastKnown(now time.Duration, key string) (record message.Record, lapsed time.Duration, ok bool) {
	cached, isCached := n.records.cached[key]
	lapsed, ok = n.Lapsed(now)
	return cached.record, lapsed, ok && isCached && cached.expiry >= lapsed && !n.invalidations.underWay(key)
}

// Lapsed tells when the volume lease lapsed, and whether LastKnown serves now: once a
// renewal was unanswered for half a renew interval, of which this node saw all. One
// that stood still asks, or at least listens, first.
//
// Example: if at, ok := n.Lapsed(now); ok { goOnUntil(at + bound) }
func (n *Node) Lapsed(now time.Duration) (at time.Duration, ok bool) {
	u, patience := &n.upstream, n.cfg.patience()
	isUnanswered := u.unansweredSince > 0 && now-u.unansweredSince >= patience
	stoodStill := now-u.lastTick > patience
	ok = !n.root.active && !n.HasVolumeLease(now) && isUnanswered && !stoodStill
	return max(u.volumeExpiry, n.root.formerEnd), ok
}

// ReadAllowingStale serves a record under both leases or, while LastKnown does, until the
// volume lease lapsed longer ago than a bound.
//
// Example: if record, ok := n.ReadAllowingStale(now, "plan/now", bound); ok { route(record) }
func (n *Node) ReadAllowingStale(now time.Duration, key string, maxStaleness time.Duration) (message.Record, bool) {
	if record, ok := n.Get(now, key); ok {
		return record, true
	}
	record, lapsed, ok := n.LastKnown(now, key)
	return record, ok && now < lapsed+maxStaleness
}

// StaleUntil is when what ReadAllowingStale serves ends, unless leases are renewed.
//
// Example: if now < n.StaleUntil(now, bound) { route() }
func (n *Node) StaleUntil(now, maxStaleness time.Duration) time.Duration {
	if until := n.ValidUntil(); now < until {
		return until
	}
	lapsed, ok := n.Lapsed(now)
	if !ok { // nothing is served until a renewal was asked for in vain
		return lapsed
	}
	return lapsed + maxStaleness
}
