// Package limiter decides, on one daemon, which partition leader to ask for a rate-limit
// token of a tenant (control/ratelimit). It asks a leader in the same zone first, then others
// if that leader's bucket is empty or the leader does not answer. A bucket known to be empty isn't asked, so that a
// tenant far beyond its limit is refused without any message being sent. The limiter is a
// plain state machine; traffic/gateway carries out its decisions.
package limiter

import (
	"hash/fnv"
	"time"

	"mulleinmast/control/ratelimit"
)

// Config holds the parameters of a limiter.
type Config struct {
	Bounds             ratelimit.Bounds
	Partitions         int           // limits are divided among the leaders of partitions 1 to Partitions
	UnreachableBackoff time.Duration // how long a leader that didn't answer is skipped
	RetryAfter         time.Duration // minimum retry delay of a refused client
}

// Leader describes a partition's leader as far as this daemon knows it.
type Leader struct {
	Known bool
	Near  bool // the leader is in this daemon's zone
}

// Tenant is a tenant with its limit, as defined by one version of the plan.
type Tenant struct {
	Name    string
	Version uint64 // version of the plan
	Limit   ratelimit.Limit
}

// bucketID identifies a tenant's bucket at a partition's leader.
type bucketID struct {
	tenant    string
	partition int
}

// Limiter is the state of one daemon. It is not safe for concurrent use.
type Limiter struct {
	cfg              Config
	emptyUntil       map[bucketID]time.Duration
	unreachableUntil map[int]time.Duration // by partition
	rotation         int
	sweptAt          time.Duration
}

// New returns a limiter without any knowledge of buckets or leaders.
//
// Example: l := limiter.New(cfg)
func New(cfg Config) *Limiter {
	return &Limiter{cfg: cfg, emptyUntil: map[bucketID]time.Duration{}, unreachableUntil: map[int]time.Duration{}}
}

// Acquisition is the state of one request's attempt to acquire a token.
type Acquisition struct {
	tenant         Tenant
	division       ratelimit.Division
	firstPartition int // partition of the tenant's first bucket, counted from 0
	asked          map[int]bool
	isAtLimit      bool
}

// IsAtLimit reports whether at least half of the tenant's buckets were known to be empty at
// the last decision, which means that the tenant uses its whole limit.
//
// Example: request.TenantAtLimit = a.IsAtLimit()
func (a *Acquisition) IsAtLimit() bool { return a.isAtLimit }

// Start begins the acquisition of a token for a request.
//
// Example: a := l.Start(tenant)
func (l *Limiter) Start(t Tenant) *Acquisition {
	h := fnv.New32a()
	_, _ = h.Write([]byte(t.Name)) // hash.Hash.Write never returns an error
	return &Acquisition{
		tenant: t, division: ratelimit.Divide(l.cfg.Bounds, t.Limit, l.cfg.Partitions),
		firstPartition: int(h.Sum32() % uint32(l.cfg.Partitions)), asked: map[int]bool{},
	}
}

// partition returns the partition that holds one of the tenant's buckets.
func (a *Acquisition) partition(bucket, partitions int) int {
	return 1 + (a.firstPartition+bucket)%partitions
}

// Action is the kind of a Decision.
type Action uint8

// The actions.
const (
	Ask           Action = iota + 1 // ask a partition's leader for a token
	LimitExceeded                   // final: the tenant exceeded its limit
	Unreachable                     // final: no leader can be reached
	NoLeaderKnown                   // no leader is known yet, for example after start-up; the caller may wait for one
)

// Decision is the next step of an acquisition.
type Decision struct {
	Action     Action
	Partition  int               // set for Ask
	Request    ratelimit.Request // set for Ask
	RetryAfter time.Duration     // set for the other actions
}

// Next returns the next step of an acquisition; leaders is indexed by partition, from 0.
//
// Example: decision := l.Next(now, a, leaders)
func (l *Limiter) Next(now time.Duration, a *Acquisition, leaders []Leader) Decision {
	l.rotation++
	best, near, retryAt, empty, anyKnown := 0, false, time.Duration(-1), 0, false
	for i := range a.division.Buckets {
		p := a.partition((i+l.rotation)%a.division.Buckets, l.cfg.Partitions)
		if until := l.emptyUntil[bucketID{a.tenant.Name, p}]; now < until {
			empty++
			if retryAt < 0 || until < retryAt {
				retryAt = until
			}
			continue
		}
		if p >= len(leaders) || !leaders[p].Known {
			continue
		}
		anyKnown = true
		if a.asked[p] || now < l.unreachableUntil[p] {
			continue
		}
		if best == 0 || leaders[p].Near && !near {
			best, near = p, leaders[p].Near
		}
	}
	a.isAtLimit = 2*empty >= a.division.Buckets
	switch {
	case best > 0:
		a.asked[best] = true
		request := ratelimit.Request{Tenant: a.tenant.Name, Version: a.tenant.Version, Limit: a.division.Bucket}
		return Decision{Action: Ask, Partition: best, Request: request}
	case retryAt >= 0:
		return Decision{Action: LimitExceeded, RetryAfter: max(retryAt-now, l.cfg.RetryAfter)}
	}
	if !anyKnown {
		return Decision{Action: NoLeaderKnown, RetryAfter: l.cfg.RetryAfter}
	}
	return Decision{Action: Unreachable, RetryAfter: l.cfg.RetryAfter}
}

// TokenExpiry returns when a granted token expires, given the time at which it was requested.
//
// Example: until := l.TokenExpiry(askedAt, a)
func (l *Limiter) TokenExpiry(askedAt time.Duration, a *Acquisition) (until time.Duration) {
	return askedAt + a.division.Validity
}

// RecordRefusal records a leader's answer that its bucket is empty.
//
// Example: l.RecordRefusal(now, a, decision.Partition, grant.RetryAfter)
func (l *Limiter) RecordRefusal(now time.Duration, a *Acquisition, partition int, retryAfter time.Duration) {
	l.sweep(now)
	l.emptyUntil[bucketID{a.tenant.Name, partition}] = now + retryAfter
}

// RecordUnreachable records that a leader didn't answer.
//
// Example: l.RecordUnreachable(now, decision.Partition)
func (l *Limiter) RecordUnreachable(now time.Duration, partition int) {
	l.unreachableUntil[partition] = now + l.cfg.UnreachableBackoff
}

// sweepInterval is the minimum time between two removals of expired entries for empty buckets.
const sweepInterval = 10 * time.Second

func (l *Limiter) sweep(now time.Duration) {
	if now-l.sweptAt < sweepInterval {
		return
	}
	l.sweptAt = now
	for id, until := range l.emptyUntil {
		if now >= until {
			delete(l.emptyUntil, id)
		}
	}
}
