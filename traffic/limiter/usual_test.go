package limiter

import (
	"math/rand"
	"testing"
	"time"

	"mulleinmast/control/ratelimit"
)

// refusedPart has a tenant's requests come by chance to 72 daemons in four zones, with two
// of eight leaders in each, and gives the part that is refused and the leaders asked for
// each request.
func refusedPart(limit ratelimit.Limit, usage float64) (refused, asked float64) {
	const daemons, zones, partitions, seconds = 72, 4, 8, 60
	c := cfg
	c.Partitions = partitions
	chance := rand.New(rand.NewSource(1))
	allocators := make([]*ratelimit.Allocator, partitions+1)
	for p := range allocators {
		allocators[p] = ratelimit.NewAllocator(0)
	}
	limiters := make([]*Limiter, daemons)
	for d := range limiters {
		limiters[d] = New(c)
	}
	requests, refusals, asks := 0, 0, 0
	for at := 10.0; at < 10+seconds; at += chance.ExpFloat64() / (limit.Rate * usage) {
		d := chance.Intn(daemons)
		leaders := make([]Leader, partitions+1)
		for p := range leaders {
			leaders[p] = Leader{Known: true, Near: p%zones == d%zones}
		}
		now := time.Duration(at * float64(time.Second))
		a := limiters[d].Start(Tenant{Name: "a", Version: 1, Limit: limit})
		requests++
		for granted := false; !granted; {
			move := limiters[d].Next(now, a, leaders)
			if move.Action != Ask {
				refusals++
				break
			}
			asks++
			grant := allocators[move.Partition].Take(now, string(rune('A'+d)), move.Request)
			if granted = grant.Granted; !granted {
				limiters[d].Refused(now, a, move.Partition, grant.RetryAfter)
			}
		}
	}
	return float64(refusals) / float64(requests), float64(asks) / float64(requests)
}

// A tenant within its limit is hardly refused though its limit is divided, and mostly one
// leader is asked; one bucket of the whole limit would refuse 1.4% at 6 a second and four fifths of
// the limit.
func TestATenantWithinItsLimitIsHardlyRefused(t *testing.T) {
	for _, rate := range []float64{6, 20, 40, 164} {
		for usage, most := range map[float64]float64{0.56: 0.001, 0.8: 0.04} {
			refused, asked := refusedPart(ratelimit.Limit{Rate: rate, Burst: rate}, usage)
			t.Logf("%.0f a second, %.2f of it used: %.2f%% refused, %.2f leaders asked", rate, usage, 100*refused, asked)
			if refused > most || asked > 2.5 {
				t.Errorf("%.0f a second, %.2f of it used: %.2f%% refused, %.2f leaders asked", rate, usage, 100*refused, asked)
			}
		}
	}
}
