package modelcheck

import (
	"os"
	"strconv"
	"sync/atomic"
	"testing"
)

// Walks of many seeds, for a run by hand: MODELCHECK_SEEDS=1-400 names them.
func TestManyWalks(t *testing.T) {
	from, to := os.Getenv("MODELCHECK_FROM"), os.Getenv("MODELCHECK_TO")
	if from == "" {
		t.Skip("for a run by hand: MODELCHECK_FROM and MODELCHECK_TO name the seeds")
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
