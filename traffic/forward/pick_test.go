package forward

import (
	"fmt"
	"testing"
)

// A server's rank is the number of servers with a higher weight, at most three.
func TestAffinityRankCountsHigherWeights(t *testing.T) {
	for _, n := range []int{0, 1, 2, 3, 4, 50} {
		var servers []Server
		for i := range n {
			servers = append(servers, Server{Key: fmt.Sprintf("srv-%d", i)})
		}
		for key := range uint64(20) {
			ranks := affinityRanks(servers, key)
			for _, s := range servers {
				before := 0
				for _, o := range servers {
					if rendezvousWeight(key, o.Key) > rendezvousWeight(key, s.Key) {
						before++
					}
				}
				if ranks[s.Key] != min(before, 3) {
					t.Fatalf("%d servers, key %d: %s has rank %d, but %d servers have a higher weight", n, key, s.Key, ranks[s.Key], before)
				}
			}
		}
	}
}
