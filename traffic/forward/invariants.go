package forward

import (
	"time"

	"mulleinmast/control/invariant"
)

// Invariants of a dispatcher.
var (
	inFlightBalanced = invariant.New("lane_accounts",
		"the number of calls in flight at a server is never negative, and 0 when no request is pending")
	retriesWithinLimit = invariant.New("retries_over_allowance", "retries stay within the limit earned by first sends")
)

// windowCount counts sends per retry window, independently of the bucket that grants
// retries. It keeps the first sends of the previous window, since the retries that they
// earned may still be used.
type windowCount struct {
	start                                   time.Duration
	firstSends, previousFirstSends, retries int
}

// rotate starts a new window if the current one is over.
func (w *windowCount) rotate(now, window time.Duration) {
	if now < w.start+window {
		return
	}
	if now < w.start+2*window {
		w.previousFirstSends = w.firstSends
	} else {
		w.previousFirstSends = 0
	}
	w.start, w.firstSends, w.retries = now, 0, 0
}
