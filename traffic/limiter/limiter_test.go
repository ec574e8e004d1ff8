package limiter

import (
	"testing"
	"time"

	"mulleinmast/control/ratelimit"
)

const ms = time.Millisecond

var cfg = Config{
	Bounds:     ratelimit.Bounds{Window: 5 * time.Second, Overrun: 0.1, Slack: 20},
	Partitions: 4, UnreachableBackoff: 500 * ms, RetryAfter: 250 * ms,
}

var tenant = Tenant{Name: "a", Version: 7, Limit: ratelimit.Limit{Rate: 40, Burst: 40}}

// knownLeaders returns known leaders of all partitions. The leaders of the listed partitions are near.
func knownLeaders(near ...int) []Leader {
	leaders := make([]Leader, cfg.Partitions+1)
	for p := range leaders {
		leaders[p].Known = true
	}
	for _, p := range near {
		leaders[p].Near = true
	}
	return leaders
}

// A leader in the same zone is asked first, each leader at most once, and the limit is
// exceeded when all buckets are empty.
func TestLeaderInSameZoneIsAskedFirst(t *testing.T) {
	l := New(cfg)
	a := l.Start(tenant)
	asked := map[int]bool{}
	for i := range cfg.Partitions {
		decision := l.Next(0, a, knownLeaders(3))
		if decision.Action != Ask || asked[decision.Partition] || decision.Partition < 1 || decision.Partition > cfg.Partitions {
			t.Fatalf("%d: %+v", i, decision)
		}
		if i == 0 && decision.Partition != 3 {
			t.Errorf("asks partition %d before the one led from the same zone", decision.Partition)
		}
		if want := (ratelimit.Limit{Rate: 10, Burst: 7.5}); decision.Request.Limit != want || decision.Request.Version != 7 {
			t.Errorf("%+v", decision.Request)
		}
		if want := i >= cfg.Partitions/2; a.IsAtLimit() != want {
			t.Errorf("with %d empty buckets IsAtLimit is %v", i, !want)
		}
		asked[decision.Partition] = true
		l.RecordRefusal(0, a, decision.Partition, time.Duration(i+4)*100*ms)
	}
	if decision := l.Next(0, a, knownLeaders()); decision.Action != LimitExceeded || decision.RetryAfter != 400*ms {
		t.Errorf("%+v", decision)
	}
	// Further requests are refused without a message until the first bucket may have a token.
	if decision := l.Next(0, l.Start(tenant), knownLeaders()); decision.Action != LimitExceeded {
		t.Errorf("%+v", decision)
	}
	if decision := l.Next(400*ms, l.Start(tenant), knownLeaders()); decision.Action != Ask {
		t.Errorf("%+v", decision)
	}
	other := tenant
	other.Name = "b"
	if decision := l.Next(0, l.Start(other), knownLeaders()); decision.Action != Ask {
		t.Errorf("another tenant: %+v", decision)
	}
}

// A leader that doesn't answer is skipped for UnreachableBackoff. If no leader can be reached, the
// request is refused as Unreachable, not as LimitExceeded.
func TestUnreachableLeadersAreSkipped(t *testing.T) {
	l := New(cfg)
	a := l.Start(tenant)
	leaders := knownLeaders()
	leaders[2].Known = false
	for range cfg.Partitions - 1 {
		decision := l.Next(0, a, leaders)
		if decision.Action != Ask || decision.Partition == 2 {
			t.Fatalf("%+v", decision)
		}
		l.RecordUnreachable(0, decision.Partition)
	}
	if decision := l.Next(0, a, leaders); decision.Action != Unreachable || decision.RetryAfter != 250*ms {
		t.Errorf("%+v", decision)
	}
	if decision := l.Next(0, l.Start(tenant), make([]Leader, cfg.Partitions+1)); decision.Action != NoLeaderKnown {
		t.Errorf("no leader is known: %+v", decision)
	}
	if decision := l.Next(100*ms, l.Start(tenant), knownLeaders()); decision.Action != Ask || decision.Partition != 2 {
		t.Errorf("only partition 2 isn't in back-off: %+v", decision)
	}
	if decision := l.Next(500*ms, l.Start(tenant), leaders); decision.Action != Ask {
		t.Errorf("%+v", decision)
	}
}

// The validity of a token counts from when it was requested, not from when it was granted.
func TestTokenValidityStartsAtRequestTime(t *testing.T) {
	l := New(cfg)
	a := l.Start(tenant)
	want := ratelimit.Divide(cfg.Bounds, tenant.Limit, cfg.Partitions).Validity
	if got := l.TokenExpiry(3*time.Second, a); got != 3*time.Second+want {
		t.Errorf("expires at %v, expected %v after the request", got, want)
	}
}

// Entries for empty buckets are removed once they have expired.
func TestExpiredRefusalsAreDropped(t *testing.T) {
	l := New(cfg)
	l.RecordRefusal(20*time.Second, l.Start(tenant), 1, 100*ms)
	l.RecordRefusal(40*time.Second, l.Start(tenant), 2, 100*ms)
	if len(l.emptyUntil) != 1 {
		t.Errorf("%v", l.emptyUntil)
	}
}
