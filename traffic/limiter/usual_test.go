package limiter

import (
	"math/rand"
	"testing"
	"time"

	"mulleinmast/control/ratelimit"
)

// simulateTenant sends a tenant's requests at random times to random ones of 72 daemons in four
// zones, with two of eight leaders in each zone. It returns the fraction of requests refused
// and the mean number of leaders asked for each request.
func simulateTenant(limit ratelimit.Limit, usage float64) (refused, asked float64) {
	const daemons, zones, partitions, seconds = 72, 4, 8, 60
	c := cfg
	c.Partitions = partitions
	rng := rand.New(rand.NewSource(1))
	allocators := make([]*ratelimit.Allocator, partitions+1)
	for p := range allocators {
		allocators[p] = ratelimit.NewAllocator(0)
	}
	limiters := make([]*Limiter, daemons)
	for d := range limiters {
		limiters[d] = New(c)
	}
	requests, refusals, asks := 0, 0, 0
	for at := 10.0; at < 10+seconds; at += rng.ExpFloat64() / (limit.Rate * usage) {
		d := rng.Intn(daemons)
		leaders := make([]Leader, partitions+1)
		for p := range leaders {
			leaders[p] = Leader{Known: true, Near: p%zones == d%zones}
		}
		now := time.Duration(at * float64(time.Second))
		a := limiters[d].Start(Tenant{Name: "a", Version: 1, Limit: limit})
		requests++
		for granted := false; !granted; {
			decision := limiters[d].Next(now, a, leaders)
			if decision.Action != Ask {
				refusals++
				break
			}
			asks++
			grant := allocators[decision.Partition].Take(now, string(rune('A'+d)), decision.Request)
			if granted = grant.Granted; !granted {
				limiters[d].RecordRefusal(now, a, decision.Partition, grant.RetryAfter)
			}
		}
	}
	return float64(refusals) / float64(requests), float64(asks) / float64(requests)
}

// A tenant within its limit is rarely refused although the limit is divided among several
// buckets, and mostly one leader is asked. For comparison, a single bucket with the full limit
// would refuse 1.4% of requests at a limit of 6 a second of which 80% is used.
func TestTenantWithinLimitIsRarelyRefused(t *testing.T) {
	for _, rate := range []float64{6, 20, 40, 164} {
		for usage, maxRefused := range map[float64]float64{0.56: 0.001, 0.8: 0.04} {
			refused, asked := simulateTenant(ratelimit.Limit{Rate: rate, Burst: rate}, usage)
			t.Logf("limit %.0f/s, usage %.2f: %.2f%% refused, %.2f leaders asked", rate, usage, 100*refused, asked)
			if refused > maxRefused || asked > 2.5 {
				t.Errorf("limit %.0f/s, usage %.2f: %.2f%% refused, %.2f leaders asked", rate, usage, 100*refused, asked)
			}
		}
	}
}
