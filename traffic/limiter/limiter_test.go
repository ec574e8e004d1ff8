package limiter

import (
	"testing"
	"time"

	"mulleinmast/control/ratelimit"
)

const ms = time.Millisecond

var cfg = Config{
	Bounds:     ratelimit.Bounds{Window: 5 * time.Second, Overrun: 0.1, Slack: 20},
	Partitions: 4, SilentFor: 500 * ms, RetryAfter: 250 * ms,
}

var tenant = Tenant{Name: "a", Version: 7, Limit: ratelimit.Limit{Rate: 40, Burst: 40}}

// known are leaders of all partitions; those named are near.
func known(near ...int) []Leader {
	leaders := make([]Leader, cfg.Partitions+1)
	for p := range leaders {
		leaders[p].Known = true
	}
	for _, p := range near {
		leaders[p].Near = true
	}
	return leaders
}

// The nearest leader is asked first, each at most once, and the tenant is beyond its limit
// when all buckets are empty.
func TestTheNearestLeaderIsAskedFirst(t *testing.T) {
	l := New(cfg)
	a := l.Start(tenant)
	asked := map[int]bool{}
	for i := range cfg.Partitions {
		move := l.Next(0, a, known(3))
		if move.Action != Ask || asked[move.Partition] || move.Partition < 1 || move.Partition > cfg.Partitions {
			t.Fatalf("%d: %+v", i, move)
		}
		if i == 0 && move.Partition != 3 {
			t.Errorf("asks %d before the one that is near", move.Partition)
		}
		if want := (ratelimit.Limit{Rate: 10, Burst: 7.5}); move.Request.Limit != want || move.Request.Version != 7 {
			t.Errorf("%+v", move.Request)
		}
		if want := i >= cfg.Partitions/2; a.IsAtLimit() != want {
			t.Errorf("with %d empty buckets it is at its limit: %v", i, !want)
		}
		asked[move.Partition] = true
		l.Refused(0, a, move.Partition, time.Duration(i+4)*100*ms)
	}
	if move := l.Next(0, a, known()); move.Action != Beyond || move.RetryAfter != 400*ms {
		t.Errorf("%+v", move)
	}
	// The next request is refused without a message, until the first bucket may have tokens.
	if move := l.Next(0, l.Start(tenant), known()); move.Action != Beyond {
		t.Errorf("%+v", move)
	}
	if move := l.Next(400*ms, l.Start(tenant), known()); move.Action != Ask {
		t.Errorf("%+v", move)
	}
	other := tenant
	other.Name = "b"
	if move := l.Next(0, l.Start(other), known()); move.Action != Ask {
		t.Errorf("another tenant: %+v", move)
	}
}

// A leader that doesn't answer is passed over for a while; where none can be reached the
// request is refused as that, not as beyond a limit.
func TestSilentLeadersArePassedOver(t *testing.T) {
	l := New(cfg)
	a := l.Start(tenant)
	leaders := known()
	leaders[2].Known = false
	for range cfg.Partitions - 1 {
		move := l.Next(0, a, leaders)
		if move.Action != Ask || move.Partition == 2 {
			t.Fatalf("%+v", move)
		}
		l.Unanswered(0, move.Partition)
	}
	if move := l.Next(0, a, leaders); move.Action != Unreachable || move.RetryAfter != 250*ms {
		t.Errorf("%+v", move)
	}
	if move := l.Next(0, l.Start(tenant), make([]Leader, cfg.Partitions+1)); move.Action != Unknown {
		t.Errorf("no leader is known: %+v", move)
	}
	if move := l.Next(100*ms, l.Start(tenant), known()); move.Action != Ask || move.Partition != 2 {
		t.Errorf("only 2 isn't known to be silent: %+v", move)
	}
	if move := l.Next(500*ms, l.Start(tenant), leaders); move.Action != Ask {
		t.Errorf("%+v", move)
	}
}

// A token is valid from when it was asked for.
func TestATokenIsValidFromWhenItWasAskedFor(t *testing.T) {
	l := New(cfg)
	a := l.Start(tenant)
	want := ratelimit.Divide(cfg.Bounds, tenant.Limit, cfg.Partitions).Validity
	if got := l.Granted(3*time.Second, a); got != 3*time.Second+want {
		t.Errorf("until %v, expected %v after", got, want)
	}
}

// What was known of buckets is forgotten once it holds no more.
func TestOldAnswersAreForgotten(t *testing.T) {
	l := New(cfg)
	l.Refused(20*time.Second, l.Start(tenant), 1, 100*ms)
	l.Refused(40*time.Second, l.Start(tenant), 2, 100*ms)
	if len(l.emptyUntil) != 1 {
		t.Errorf("%v", l.emptyUntil)
	}
}
