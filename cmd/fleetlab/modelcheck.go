package main

import (
	"fmt"

	"mulleinmast/proof/modelcheck"
)

// walkEvents is the number of events in a random walk over the model.
const walkEvents = 5000

// checkModel explores the model within the small or wide scopes, or by random walks,
// prints the outcome of each run and returns the exit code.
func checkModel(which string, firstSeed, seedCount int64, states int) int {
	switch which {
	case "small":
		return exitCode(exploreScopes(modelcheck.Small))
	case "wide":
		return exitCode(exploreScopes(modelcheck.Wide(states)))
	case "walk":
		return exitCode(walkModel(firstSeed, seedCount))
	}
	return usageError("-modelcheck %q: expected small, wide or walk", which)
}

// exploreScopes returns the number of scopes that broke an invariant.
func exploreScopes(scopes []modelcheck.Scope) (broken int) {
	for _, scope := range scopes {
		report := modelcheck.Explore(scope)
		fmt.Print(report)
		if report.Broken != "" {
			broken++
		}
	}
	return broken
}

// walkModel returns the number of random walks that broke an invariant.
func walkModel(firstSeed, seedCount int64) (broken int) {
	events, acked, terms := 0, 0, 0
	for seed := firstSeed; seed < firstSeed+seedCount; seed++ {
		for _, walk := range modelcheck.Walks(seed, walkEvents) {
			report := walk.Go()
			events, acked, terms = events+report.Events, acked+report.Acked, terms+report.Terms
			if report.Broken != "" {
				fmt.Print(report)
				broken++
			}
		}
	}
	fmt.Printf("seeds %d to %d: %d events, %d changes acknowledged, %d terms, %d walks broken\n",
		firstSeed, firstSeed+seedCount-1, events, acked, terms, broken)
	return broken
}
