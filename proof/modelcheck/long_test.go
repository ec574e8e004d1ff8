package modelcheck

import (
	"os"
	"strconv"
	"sync/atomic"
	"testing"
)

// TestManyWalks runs the walks of many seeds. It is for runs by hand: MODELCHECK_FROM=1
// MODELCHECK_TO=400 go test -run TestManyWalks -v ./proof/modelcheck
func TestManyWalks(t *testing.T) {
	from, to := os.Getenv("MODELCHECK_FROM"), os.Getenv("MODELCHECK_TO")
	if from == "" {
		t.Skip("for runs by hand: set MODELCHECK_FROM and MODELCHECK_TO to the first and last seed")
	}
	a, err := strconv.Atoi(from)
	if err != nil {
		t.Fatal(err)
	}
	b, err := strconv.Atoi(to)
	if err != nil {
		t.Fatal(err)
	}
	var events, acked, terms atomic.Int64
	parallel(b-a+1, func(i int) {
		for _, k := range Walks(int64(a+i), 5000) {
			r := k.Go()
			events.Add(int64(r.Events))
			acked.Add(int64(r.Acked))
			terms.Add(int64(r.Terms))
			if r.Broken != "" {
				t.Error(r)
			}
		}
	})
	t.Logf("%d events, %d changes acknowledged, %d terms", events.Load(), acked.Load(), terms.Load())
}
