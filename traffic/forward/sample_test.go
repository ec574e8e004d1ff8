package forward

import (
	"fmt"
	"slices"
	"testing"
)

// zonedServers returns servers of which each zone has count.
func zonedServers(zones, count int) (list []Server) {
	for i := range zones * count {
		list = append(list, Server{Key: fmt.Sprintf("server-%03d", i), Zone: fmt.Sprint("zone-", i%zones)})
	}
	return list
}

// A request considers few servers in each zone and the first ones of its prefix, and all if there are few; different
// requests and attempts consider different ones, each server about as often as any other.
func TestSample(t *testing.T) {
	const requests = 20000
	for _, c := range []struct{ zones, perZone, random int }{{5, 30, 5}, {3, 20, 3}, {1, 40, 3}, {2, 10, 3}, {3, 1, 3}, {1, 2, 2}} {
		servers := zonedServers(c.zones, c.perZone)
		drawn := map[string]int{}
		for i := range requests {
			r := &pendingRequest{hash: requestDraw(i)}
			sampled := r.sample(servers, 0, 0)
			zones := map[string]bool{}
			for _, s := range sampled {
				drawn[s.Key]++
				zones[s.Zone] = true
			}
			if len(sampled) != c.random || len(zones) != c.zones {
				t.Fatalf("%+v: %d servers in %d zones, want %d in all zones", c, len(sampled), len(zones), c.random)
			}
		}
		mean := float64(requests*c.random) / float64(len(servers))
		for _, s := range servers {
			if n := float64(drawn[s.Key]); n < mean*0.8 || n > mean*1.2 {
				t.Errorf("%+v: %s was drawn %.0f times, the mean is %.0f", c, s.Key, n, mean)
			}
		}
	}
	servers := zonedServers(5, 30)
	r := &pendingRequest{hash: requestDraw(1)}
	first := firstByAffinity(servers, 7)
	for _, i := range first {
		if !slices.Contains(r.sample(servers, 7, 1000), servers[i]) {
			t.Errorf("%s, among the first for the prefix, is not considered", servers[i].Key)
		}
	}
	again := &pendingRequest{hash: requestDraw(1), attemptNumber: 1}
	if slices.Equal(r.sample(servers, 0, 0), again.sample(servers, 0, 0)) {
		t.Error("the second attempt considers the same servers as the first")
	}
}

// requestDraw returns the hash of a request.
func requestDraw(i int) uint64 { return rendezvousWeight(uint64(i), "request") }
