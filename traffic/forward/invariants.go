package forward

import (
	"time"

	"mulleinmast/control/invariant"
)

// Conditions of a dispatcher that must hold at all times.
var (
	accountsBalance = invariant.New("lane_accounts",
		"calls under way at a server are never below 0, and none are left when no request is under way")
	triesAllowed = invariant.New("retries_over_allowance", "further tries stay in what first tries have earned")
)

// windowCount counts tries from one turn of a window to the next, apart from the bucket
// by which further ones are granted. What was earned in the window before may
// still be spent.
type windowCount struct {
	from                 time.Duration
	first, before, spent int
}

// turn begins a new count if the window is over.
func (t *windowCount) turn(now, window time.Duration) {
	if now < t.from+window {
		return
	}
	if now < t.from+2*window {
		t.before = t.first
	} else {
		t.before = 0
	}
	t.from, t.first, t.spent = now, 0, 0
}
