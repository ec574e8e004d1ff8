package overload

import (
	"testing"
	"time"
)

const (
	largeFactor    = 8    // size of a large deployment relative to a small one
	settleSeconds  = 4    // seconds until caches are warm
	endSeconds     = 2    // seconds whose requests may not have ended
	sizeSeeds      = 3    // runs of each deployment
	maxSizePenalty = 0.03 // of the requests on time, relative to a small deployment; as much as counts as noise in a score
)

// scaled returns the given number of times as many daemons, servers and requests as Default has, with servers that decode
// few answers at a time.
func scaled(seed int64, factor int) Options {
	o := Default(seed)
	o.Length, o.Slots, o.TokensPerEvent = 18*time.Second, 16, 24
	o.Daemons, o.PrefillServers, o.DecodeServers = o.Daemons*factor, o.PrefillServers*factor, o.DecodeServers*factor
	for i := range o.Classes {
		c := &o.Classes[i]
		c.PerSecond *= float64(factor)
		c.SharedVariants = []int{c.SharedVariants[0], c.SharedVariants[1] * factor}
	}
	return o
}

// Guards against daemons that all choose the same servers, those with the least load in reports that are older than a
// prefill takes. With 300 daemons and 256 servers half of the long prompts were late without any fault, with 22 daemons
// and 15 servers hardly any.
func TestLargeFleetSpreadsLoadLikeSmallOne(t *testing.T) {
	var small, large Second
	for seed := int64(1); seed <= sizeSeeds; seed++ {
		for factor, sum := range map[int]*Second{1: &small, largeFactor: &large} {
			o := scaled(seed, factor)
			sum.add(Run(o).Sum(settleSeconds, int(o.Length/time.Second)-endSeconds))
		}
	}
	t.Logf("%.3f on time in a small deployment, %.3f in a large one", small.Timely(), large.Timely())
	if large.Timely() < small.Timely()-maxSizePenalty {
		t.Errorf("%.3f on time, want at least %.3f less %.2f as in a small deployment", large.Timely(), small.Timely(), maxSizePenalty)
	}
}
