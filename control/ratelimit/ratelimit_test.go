package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const second = time.Second

// For any limit and bounds, the sum of the buckets does not exceed the limit, and the tokens
// granted in a window and in the validity before the window stay within the bounds.
func TestDivisionStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := Bounds{
			Window:  time.Duration(rapid.IntRange(1, 60).Draw(t, "window")) * second,
			Overrun: rapid.Float64Range(0, 1).Draw(t, "overrun"),
			Slack:   rapid.Float64Range(0, 100).Draw(t, "slack"),
		}
		limit := Limit{
			Rate:  rapid.Float64Range(0.01, 5000).Draw(t, "rate"),
			Burst: rapid.Float64Range(0, 5000).Draw(t, "burst"),
		}
		maxBuckets := rapid.IntRange(1, 64).Draw(t, "most")
		d := Divide(bounds, limit, maxBuckets)
		n := float64(d.Buckets)
		if d.Buckets < 1 || d.Buckets > maxBuckets || d.Bucket.Burst < 1 || d.Bucket.Rate*n > limit.Rate*1.000001 {
			t.Fatalf("%+v", d)
		}
		if d.Validity <= minValidity { // no slack is left, but a token has to outlast its call
			return
		}
		given := limit.Rate*(bounds.Window+d.Validity).Seconds() + d.Bucket.Burst*n
		allowed := (limit.Rate*bounds.Window.Seconds()+limit.Burst)*(1+bounds.Overrun) + bounds.Slack
		if given > allowed {
			t.Fatalf("%+v allows %.2f tokens in a window, the bounds allow %.2f", d, given, allowed)
		}
	})
}

// Checks the divisions of typical production limits.
func TestDivisionsOfTypicalLimits(t *testing.T) {
	bounds := Bounds{Window: 5 * second, Overrun: 0.1, Slack: 20}
	for _, x := range []struct {
		limit    Limit
		buckets  int
		bucket   Limit
		validity time.Duration
	}{
		{Limit{164, 164}, 8, Limit{20.5, 11.5}, 1040 * time.Millisecond},
		{Limit{6, 6}, 8, Limit{0.75, 1.625}, 2490 * time.Millisecond},
		{Limit{0.5, 0}, 8, Limit{0.0625, 1.25}, 10 * second},
	} {
		d := Divide(bounds, x.limit, 8)
		if d.Buckets != x.buckets || d.Bucket != x.bucket || d.Validity.Round(10*time.Millisecond) != x.validity {
			t.Errorf("limit %+v: unexpected division %+v", x.limit, d)
		}
	}
	if d := Divide(Bounds{Window: 5 * second}, Limit{1, 1}, 8); d.Buckets != 1 || d.Validity < minValidity {
		t.Errorf("without slack: unexpected division %+v", d)
	}
}

// drain takes tokens until the bucket is empty and returns their number.
func drain(a *Allocator, now time.Duration, r Request) (n int) {
	for a.Take(now, "d", r).Granted {
		n++
	}
	return n
}

// A bucket is empty when its leadership begins, fills at its rate and holds at most its
// burst.
func TestNewBucketIsEmpty(t *testing.T) {
	a := NewAllocator(100 * second)
	r := Request{Tenant: "a", Version: 1, Limit: Limit{Rate: 10, Burst: 5}}
	for _, x := range []struct {
		at   time.Duration
		want int
	}{{100 * second, 0}, {100*second + 250*time.Millisecond, 2}, {101 * second, 5}, {101 * second, 0}, {200 * second, 5}} {
		if got := drain(a, x.at, r); got != x.want {
			t.Errorf("at %v: %d tokens, expected %d", x.at, got, x.want)
		}
	}
	if got := drain(a, 200*second, Request{Tenant: "b", Version: 1, Limit: r.Limit}); got != 5 {
		t.Errorf("a bucket first used late in a leadership has %d tokens, expected 5", got)
	}
	if got := drain(NewAllocator(200*second), 200*second, r); got != 0 {
		t.Errorf("the next leadership starts with %d tokens, expected 0", got)
	}
}

// The limit of a newer plan version stays set when a daemon then asks with an older version.
func TestLaterVersionSetsLimit(t *testing.T) {
	a := NewAllocator(0)
	high := Request{Tenant: "a", Version: 1, Limit: Limit{Rate: 100, Burst: 100}}
	low := Request{Tenant: "a", Version: 2, Limit: Limit{Rate: 1, Burst: 2}}
	a.Take(10*second, "d", high)
	if got := drain(a, 10*second, low); got != 2 {
		t.Errorf("got %d tokens at the lower limit, expected 2", got)
	}
	if got := drain(a, 12*second, high); got != 2 {
		t.Errorf("got %d tokens for a daemon with the older version, expected 2", got)
	}
}

// The retry delay of an empty bucket grows with the number of waiting daemons.
func TestRetryAfterGrowsWithDaemons(t *testing.T) {
	a := NewAllocator(0)
	r := Request{Tenant: "a", Version: 1, Limit: Limit{Rate: 20, Burst: 1}}
	drain(a, 0, r)
	alone := a.Take(0, "d", r).RetryAfter
	for i := range 30 {
		a.Take(0, fmt.Sprint("d", i), r)
	}
	crowd := a.Take(0, "d", r).RetryAfter
	if alone != minRetry || crowd <= alone || crowd > maxRetry {
		t.Errorf("retry after %v for one daemon, %v for 31", alone, crowd)
	}
	for i := range 1000 {
		a.Take(0, fmt.Sprint("e", i), r)
	}
	if got := a.Take(0, "d", r).RetryAfter; got != maxRetry {
		t.Errorf("retry after %v for more than 1,000 daemons, expected the maximum", got)
	}
	a.Take(5*second, "d", r)
	if got := a.Take(5*second, "d", r).RetryAfter; got != minRetry {
		t.Errorf("retry after %v for one daemon again", got)
	}
}

// Idle buckets are deleted once they are full, and are full when they are recreated.
func TestIdleBucketsAreDeleted(t *testing.T) {
	a := NewAllocator(0)
	fast := Request{Tenant: "fast", Version: 1, Limit: Limit{Rate: 10, Burst: 5}}
	slow := Request{Tenant: "slow", Version: 1, Limit: Limit{Rate: 0.01, Burst: 5}}
	other := Request{Tenant: "other", Version: 1, Limit: Limit{Rate: 1, Burst: 1}}
	drain(a, 20*second, fast)
	drain(a, 600*second, slow)
	drain(a, 600*second, other)
	drain(a, 640*second, other)
	if a.buckets["fast"] != nil || a.buckets["slow"] == nil || a.Buckets() != 2 {
		t.Errorf("unexpected buckets left: %v", a.buckets)
	}
	if got := drain(a, 640*second, fast); got != 5 {
		t.Errorf("recreated bucket has %d tokens, expected 5", got)
	}
	if got := drain(a, 650*second, slow); got != 0 {
		t.Errorf("a bucket that was not full was deleted: got %d tokens, expected 0", got)
	}
}
