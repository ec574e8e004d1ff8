package sim

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

func TestLog(t *testing.T) {
	kind := os.Getenv("LOG")
	if kind == "" {
		t.Skip()
	}
	s, _ := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	o := Scenarios[kind](s)
	o.Trace = func(s string) { fmt.Println(s) }
	r := Run(o)
	fmt.Println(r.Results, r.Sheds, len(r.Broken))
	for _, b := range r.Broken {
		fmt.Println("BROKEN", b)
	}
	for _, e := range r.Journal {
		fmt.Printf("J %.3f %+v\n", float64(e.At)/1e9, e)
	}
}
