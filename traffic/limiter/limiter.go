// Package limiter decides, on one daemon, which leader is asked for a token of a tenant's
// limit (control/ratelimit): the nearest first, and others where its bucket is empty or
// itself silent. What is known to be empty isn't asked, so that a tenant which asks for
// many times its limit is refused without a message. It is a plain state machine;
// traffic/gateway carries its moves out.
package limiter

import (
	"hash/fnv"
	"time"

	"mulleinmast/control/ratelimit"
)

// Config holds the bounds of a limiter.
type Config struct {
	Bounds     ratelimit.Bounds
	Partitions int           // among whose leaders limits are divided; they count from 1
	SilentFor  time.Duration // for so long a leader that didn't answer is passed over
	RetryAfter time.Duration // at least, that a refused client is told to wait
}

// Leader is a partition's leader as far as known.
type Leader struct {
	Known bool
	Near  bool // it is in this daemon's zone
}

// Tenant is a tenant with its limit, by one version of the plan.
type Tenant struct {
	Name    string
	Version uint64 // of the plan
	Limit   ratelimit.Limit
}

// bucketID names a tenant's bucket at a partition's leader.
type bucketID struct {
	tenant    string
	partition int
}

// Limiter is the state of one daemon. It is not safe for concurrent use.
type Limiter struct {
	cfg         Config
	emptyUntil  map[bucketID]time.Duration
	silentUntil map[int]time.Duration // by partition
	turn        int
	sweptAt     time.Duration
}

// New makes a limiter.
//
// Example: l := limiter.New(cfg)
func New(cfg Config) *Limiter {
	return &Limiter{cfg: cfg, emptyUntil: map[bucketID]time.Duration{}, silentUntil: map[int]time.Duration{}}
}

// Acquisition is one request's way to a token.
type Acquisition struct {
	tenant    Tenant
	division  ratelimit.Division
	first     int // the partition of the tenant's first bucket, from 0
	asked     map[int]bool
	isAtLimit bool
}

// IsAtLimit tells whether half of the tenant's buckets or more were known to be empty at the
// last move: it asks for all that its limit gives.
//
// Example: request.TenantAtLimit = a.IsAtLimit()
func (a *Acquisition) IsAtLimit() bool { return a.isAtLimit }

// Start begins a request's way to a token.
//
// Example: a := l.Start(tenant)
func (l *Limiter) Start(t Tenant) *Acquisition {
	h := fnv.New32a()
	_, _ = h.Write([]byte(t.Name)) // a hash takes all
	return &Acquisition{
		tenant: t, division: ratelimit.Divide(l.cfg.Bounds, t.Limit, l.cfg.Partitions),
		first: int(h.Sum32() % uint32(l.cfg.Partitions)), asked: map[int]bool{},
	}
}

// partition is that of a bucket of the tenant's.
func (a *Acquisition) partition(bucket, partitions int) int { return 1 + (a.first+bucket)%partitions }

// Action says what a move is.
type Action uint8

// The actions.
const (
	Ask         Action = iota + 1 // a partition's leader for a token
	Beyond                        // final: the tenant is beyond its limit
	Unreachable                   // final: no leader can be reached
	Unknown                       // no leader is known: one may be soon, as after a start
)

// Move is what to do next for a token.
type Move struct {
	Action     Action
	Partition  int               // of an Ask
	Request    ratelimit.Request // of an Ask
	RetryAfter time.Duration     // of the others
}

// Next says what to do next; leaders are by partition, from 0.
//
// Example: move := l.Next(now, a, leaders)
func (l *Limiter) Next(now time.Duration, a *Acquisition, leaders []Leader) Move {
	l.turn++
	best, near, retryAt, empty, isAnyKnown := 0, false, time.Duration(-1), 0, false
	for i := range a.division.Buckets {
		p := a.partition((i+l.turn)%a.division.Buckets, l.cfg.Partitions)
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
		isAnyKnown = true
		if a.asked[p] || now < l.silentUntil[p] {
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
		return Move{Action: Ask, Partition: best, Request: request}
	case retryAt >= 0:
		return Move{Action: Beyond, RetryAfter: max(retryAt-now, l.cfg.RetryAfter)}
	}
	if !isAnyKnown {
		return Move{Action: Unknown, RetryAfter: l.cfg.RetryAfter}
	}
	return Move{Action: Unreachable, RetryAfter: l.cfg.RetryAfter}
}

// Granted is until when a token may be used that was asked for at a time.
//
// Example: until := l.Granted(askedAt, a)
func (l *Limiter) Granted(askedAt time.Duration, a *Acquisition) (until time.Duration) {
	return askedAt + a.division.Validity
}

// Refused takes a leader's answer that its bucket is empty.
//
// Example: l.Refused(now, a, move.Partition, grant.RetryAfter)
func (l *Limiter) Refused(now time.Duration, a *Acquisition, partition int, retryAfter time.Duration) {
	l.sweep(now)
	l.emptyUntil[bucketID{a.tenant.Name, partition}] = now + retryAfter
}

// Unanswered takes it that a leader didn't answer.
//
// Example: l.Unanswered(now, move.Partition)
func (l *Limiter) Unanswered(now time.Duration, partition int) {
	l.silentUntil[partition] = now + l.cfg.SilentFor
}

// sweepInterval is the time between two looks for what was known of buckets and holds no more.
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
