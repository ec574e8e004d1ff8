package sim

import (
	"cmp"
	"fmt"
	"os"
	"strconv"
	"testing"
)

// TestTrace prints the trace of one seed's run. It is for debugging by hand:
// SEED=27 KIND=storm go test -run TestTrace -v ./proof/sim
func TestTrace(t *testing.T) {
	seed, err := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	if err != nil {
		t.Skip("no SEED given")
	}
	o := Scenarios[cmp.Or(os.Getenv("KIND"), "storm")](seed)
	o.Trace = func(s string) { fmt.Println(s) }
	for _, b := range Run(o).Broken {
		fmt.Println("BROKEN", b)
	}
}
