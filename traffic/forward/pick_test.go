package forward

import (
	"fmt"
	"testing"
)

// A server's rank is the number of servers that come before it, up to three.
func TestRanksAreThoseOfTheOrder(t *testing.T) {
	for _, n := range []int{0, 1, 2, 3, 4, 50} {
		var list []Server
		for i := range n {
			list = append(list, Server{Key: fmt.Sprintf("srv-%d", i)})
		}
		for key := range uint64(20) {
			got := affinityRanks(list, key)
			for _, s := range list {
				before := 0
				for _, o := range list {
					if rendezvousWeight(key, o.Key) > rendezvousWeight(key, s.Key) {
						before++
					}
				}
				if got[s.Key] != min(before, 3) {
					t.Fatalf("%d servers, key %d: %s has rank %d, %d come before it", n, key, s.Key, got[s.Key], before)
				}
			}
		}
	}
}
