package lease

import (
	"slices"
	"strings"
	"time"

	"mulleinmast/wire/message"
)

// recordCache holds the records that a node has received from its parent.
type recordCache struct {
	pinned    map[string]bool         // keys of the records that are fetched proactively and kept
	cached    map[string]cachedRecord // by key; a record is served while its lease and the volume lease are valid
	lastCheck time.Duration           // time of the last scan
	checkNow  bool                    // scan at the next tick
}

// cachedRecord is a record under its object lease.
type cachedRecord struct {
	record message.Record
	expiry time.Duration // end of the object lease
}

// leaseList returns the contents of a lease list: key and version of each record whose
// object lease is valid, sorted by key.
func (c *recordCache) leaseList(now time.Duration) (list []message.Record) {
	for key, cached := range c.cached {
		if now < cached.expiry {
			record := cached.record
			list = append(list, message.Record{Key: key, Version: record.Version, Deleted: record.Deleted})
		}
	}
	slices.SortFunc(list, func(a, b message.Record) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// expiredKeys returns the sorted keys of the records whose object lease has expired.
func (c *recordCache) expiredKeys(now time.Duration) (keys []string) {
	for key, cached := range c.cached {
		if now >= cached.expiry {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// checkRecords periodically scans the records: it requests pinned ones that are missing
// or whose object lease expires soon, and drops those whose object lease has expired.
func (n *Node) checkRecords(now time.Duration, out *Out) {
	if !n.records.checkNow && now-n.records.lastCheck < n.cfg.recordCheckInterval() {
		return
	}
	n.records.checkNow, n.records.lastCheck = false, now
	for key := range n.records.pinned {
		cached, ok := n.records.cached[key]
		expiresSoon := !ok || now >= cached.expiry-n.cfg.refreshAhead()
		if expiresSoon && !n.invalidations.isInProgress(key) {
			n.upstream.fetch(now, key)
		}
	}
	n.patches.evictOlderThan(now, n.cfg.ObjectLease)
	for _, key := range n.records.expiredKeys(now) {
		n.invalidate(now, key, out)
	}
}

// LastKnown returns a record whose volume lease has expired, and when that lease expired,
// unless the record has been withdrawn since. The record is not protected by a lease: only
// callers that may use stale records while the leader is unreachable may call LastKnown,
// and they must limit how long they use such records.
//
// Example: if record, at, ok := n.LastKnown(now, "plan/now"); ok && now-at < bound { route(record) }
func (n *Node) LastKnown(now time.Duration, key string) (record message.Record, expiredAt time.Duration, ok bool) {
	cached, isCached := n.records.cached[key]
	expiredAt, ok = n.StaleSince(now)
	return cached.record, expiredAt, ok && isCached && cached.expiry >= expiredAt && !n.invalidations.isInProgress(key)
}

// StaleSince returns when the volume lease expired, and whether LastKnown may serve records
// now. LastKnown may do so once a renewal has been unanswered for half a renew interval
// during which this node ran without interruption. A node that was stalled must first renew
// or wait for half a renew interval, since an answer may already be in flight.
//
// Example: if at, ok := n.StaleSince(now); ok { goOnUntil(at + bound) }
func (n *Node) StaleSince(now time.Duration) (at time.Duration, ok bool) {
	u, timeout := &n.upstream, n.cfg.renewalTimeout()
	isUnanswered := u.unansweredSince > 0 && now-u.unansweredSince >= timeout
	wasStalled := now-u.lastTick > timeout
	ok = !n.root.active && !n.HasVolumeLease(now) && isUnanswered && !wasStalled
	return max(u.volumeExpiry, n.root.formerLeaseEnd), ok
}

// ReadAllowingStale returns a record if its object lease and the volume lease are valid.
// Otherwise it returns the last known version, if the volume lease expired less than
// maxStaleness ago and LastKnown returns the record.
//
// Example: if record, ok := n.ReadAllowingStale(now, "plan/now", bound); ok { route(record) }
func (n *Node) ReadAllowingStale(now time.Duration, key string, maxStaleness time.Duration) (message.Record, bool) {
	if record, ok := n.Get(now, key); ok {
		return record, true
	}
	record, expiredAt, ok := n.LastKnown(now, key)
	return record, ok && now < expiredAt+maxStaleness
}

// StaleUntil returns the time until which ReadAllowingStale returns records if no lease is
// renewed.
//
// Example: if now < n.StaleUntil(now, bound) { route() }
func (n *Node) StaleUntil(now, maxStaleness time.Duration) time.Duration {
	if until := n.ValidUntil(); now < until {
		return until
	}
	expiredAt, ok := n.StaleSince(now)
	if !ok { // no stale record is served until a renewal has gone unanswered
		return expiredAt
	}
	return expiredAt + maxStaleness
}
