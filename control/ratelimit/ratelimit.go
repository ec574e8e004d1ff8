// Package ratelimit enforces a fleet-wide rate limit for each tenant. A tenant's limit, a
// rate and a burst, is divided into token buckets that are held by the leaders of some of
// the partitions. A daemon takes one token per request from any of these buckets and tries
// the nearest bucket first. A token that is not used within its validity expires.
//
// The total is bounded under all failures, for three reasons. First, the leader lease ensures
// that a partition has one leader at a time. Second, the bucket of a new leader starts empty,
// so that the buckets of two successive leaders together grant no more than one bucket would.
// Third, a token that is not used within its validity V expires, so that at most the tokens
// granted within W+V are used in a window W. These are Rate*(W+V) tokens plus the bursts. No
// counter is stored on disk, and nothing has to be reconciled after a crash, a network
// partition or a pause.
//
// Allocator is the leader's side; Division describes how a limit is divided. Both are
// deterministic: they do no I/O, read no clock and use no random numbers.
package ratelimit

import (
	"math"
	"time"
)

// Bounds define how far a limit may be exceeded: in each Window the requests may reach the
// amount that the limit allows, times 1+Overrun, plus Slack.
type Bounds struct {
	Window  time.Duration // default 5 s
	Overrun float64       // default 0.1
	Slack   float64       // requests; default 0
}

// Limit is a tenant's rate limit in one version of the plan.
type Limit struct {
	Rate  float64 // tokens per second
	Burst float64 // additional tokens
}

// Division describes how a limit is divided into buckets.
type Division struct {
	Buckets  int           // number of buckets
	Bucket   Limit         // limit of each bucket
	Validity time.Duration // of a token, counted from the time of its request
}

const (
	// burstRatio is the share of the burst and of the slack that the buckets hold. The rest
	// extends the validity, so that a token remains valid while a long prompt is read.
	burstRatio = 0.5
	// validityRatio is the ratio of the validity to the longest one that the bounds allow. The
	// difference covers clock drift and the transit time to the server.
	validityRatio = 0.9
	// minValidity is the minimum validity: a token has to outlast the call that fetches it.
	minValidity = 250 * time.Millisecond
	// maxValidity caps the validity for limits that are small compared to the slack.
	maxValidity = 10 * time.Second
)

// Divide divides a limit into at most maxBuckets buckets. Each bucket holds at least one
// token, so a small burst with little slack results in fewer buckets.
//
// Example: d := ratelimit.Divide(bounds, ratelimit.Limit{Rate: 93, Burst: 93}, 8)
func Divide(b Bounds, l Limit, maxBuckets int) Division {
	burst := burstRatio * (l.Burst + b.Slack)
	buckets := max(1, min(maxBuckets, int(burst)))
	perBucket := Limit{Rate: l.Rate / float64(buckets), Burst: max(1, burst/float64(buckets))}
	window := b.Window.Seconds()
	allowed := (l.Rate*window+l.Burst)*(1+b.Overrun) + b.Slack
	spare := allowed - l.Rate*window - perBucket.Burst*float64(buckets)
	validity := time.Duration(validityRatio * spare / l.Rate * float64(time.Second))
	return Division{Buckets: buckets, Bucket: perBucket, Validity: max(minValidity, min(validity, maxValidity))}
}

// Request is a daemon's request to a leader for a token from a tenant's bucket.
type Request struct {
	Tenant  string `json:"tenant"`
	Version uint64 `json:"version"` // version of the daemon's plan
	Limit   Limit  `json:"limit"`   // limit of the bucket in that plan
}

// Grant is a leader's answer: a token, or the time to wait before the next request.
type Grant struct {
	Granted    bool          `json:"granted,omitempty"`
	RetryAfter time.Duration `json:"retry_after,omitempty"`
}

// bucket is a tenant's token bucket at one leader.
type bucket struct {
	version  uint64 // plan version that defines limit
	limit    Limit
	tokens   float64
	filledAt time.Duration
	daemons  recentDaemons
}

// fill adds the tokens for the time elapsed since the last fill.
func (b *bucket) fill(now time.Duration) {
	if now > b.filledAt {
		b.tokens = min(b.limit.Burst, b.tokens+b.limit.Rate*(now-b.filledAt).Seconds())
		b.filledAt = now
	}
}

// Allocator grants the tokens of one partition's buckets during one leadership. It is not
// safe for concurrent use.
type Allocator struct {
	since   time.Duration // start of the leadership
	sweptAt time.Duration
	buckets map[string]*bucket // by tenant
}

// NewAllocator returns the allocator for a leadership that began at since, when all buckets were empty.
//
// Example: a := ratelimit.NewAllocator(replica.LeaderSince())
func NewAllocator(since time.Duration) *Allocator {
	return &Allocator{since: since, sweptAt: since, buckets: map[string]*bucket{}}
}

// Take answers a daemon's request for a token. A request with a newer plan version updates
// the bucket's limit.
//
// Example: grant := a.Take(now, from.Ident, request)
func (a *Allocator) Take(now time.Duration, daemon string, r Request) Grant {
	a.sweep(now)
	b := a.buckets[r.Tenant]
	if b == nil {
		b = &bucket{version: r.Version, limit: r.Limit, filledAt: a.since}
		a.buckets[r.Tenant] = b
	}
	b.fill(now)
	if r.Version > b.version {
		b.version, b.limit = r.Version, r.Limit
		b.tokens = min(b.tokens, b.limit.Burst)
	}
	b.daemons.add(now, daemon)
	if b.tokens >= 1 {
		b.tokens--
		return Grant{Granted: true}
	}
	return Grant{RetryAfter: b.retryAfter(now)}
}

// Limits for the time after which a daemon retries an empty bucket.
const (
	minRetry = 50 * time.Millisecond
	maxRetry = time.Second
	// retryRatio makes daemons retry twice as often as tokens become available, so that no token
	// stays unused.
	retryRatio = 0.5
)

// retryAfter returns the time to wait before the next request. It grows with the number of
// requesting daemons, so that they share the tokens evenly.
func (b *bucket) retryAfter(now time.Duration) time.Duration {
	wait := retryRatio * float64(b.daemons.count(now)) / b.limit.Rate
	if math.IsInf(wait, 1) || math.IsNaN(wait) {
		return maxRetry
	}
	return max(minRetry, min(time.Duration(wait*float64(time.Second)), maxRetry))
}

// sweepInterval is the interval at which idle buckets are removed.
const sweepInterval = 10 * time.Second

// sweep deletes buckets that are idle and full. Deleting them grants no additional tokens: a
// recreated bucket is full too, because it is filled from the start of the leadership.
func (a *Allocator) sweep(now time.Duration) {
	if now-a.sweptAt < sweepInterval {
		return
	}
	a.sweptAt = now
	for tenant, b := range a.buckets {
		if now-b.filledAt < sweepInterval {
			continue
		}
		if b.fill(now); b.tokens >= b.limit.Burst {
			delete(a.buckets, tenant)
		}
	}
}

// Buckets returns the number of buckets in memory; idle full buckets are removed by sweeps.
//
// Example: gauge(a.Buckets())
func (a *Allocator) Buckets() int { return len(a.buckets) }

// countWindow is the length of the windows in which requesting daemons are counted.
const countWindow = time.Second

// recentDaemons counts the daemons that requested tokens recently, in two consecutive windows.
type recentDaemons struct {
	windowStart       time.Duration // start of the current window
	current, previous map[string]bool
}

// rotate starts the next window if the current one has ended.
func (d *recentDaemons) rotate(now time.Duration) {
	switch {
	case d.current != nil && now-d.windowStart < countWindow:
		return
	case d.current != nil && now-d.windowStart < 2*countWindow:
		d.previous = d.current
	default:
		d.previous = nil
	}
	d.current, d.windowStart = map[string]bool{}, now
}

func (d *recentDaemons) add(now time.Duration, daemon string) {
	d.rotate(now)
	d.current[daemon] = true
}

func (d *recentDaemons) count(now time.Duration) int {
	d.rotate(now)
	return max(1, len(d.current), len(d.previous))
}
