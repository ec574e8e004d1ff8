package main

import (
	"fmt"
	"os"

	"mulleinmast/proof/modelcheck"
)

// walkEvents is how long a random walk over the model is.
const walkEvents = 5000

// model explores the model within the bounds named, or walks over it at random;
// it prints what each run came to.
func model(which string, from, count int64, states int) int {
	broken := 0
	tell := func(r modelcheck.Report) {
		fmt.Print(r)
		if r.Broken != "" {
			broken++
		}
	}
	switch which {
	case "small", "wide":
		scopes := modelcheck.Small
		if which == "wide" {
			scopes = modelcheck.Wide(states)
		}
		for _, s := range scopes {
			tell(modelcheck.Explore(s))
		}
	case "walk":
		events, acked, terms := 0, 0, 0
		for seed := from; seed < from+count; seed++ {
			for _, k := range modelcheck.Walks(seed, walkEvents) {
				r := k.Go()
				events, acked, terms = events+r.Events, acked+r.Acked, terms+r.Terms
				if r.Broken != "" {
					tell(r)
				}
			}
		}
		fmt.Printf("seeds %d to %d: %d events, %d changes acknowledged, %d terms, %d walks broken\n", from, from+count-1, events, acked, terms, broken)
	default:
		_, _ = fmt.Fprintf(os.Stderr, "fleetlab: -modelcheck %q: expected small, wide or walk\n", which)
		return 2
	}
	if broken > 0 {
		return 1
	}
	return 0
}
