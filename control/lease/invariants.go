package lease

import "mulleinmast/control/invariant"

// withinOwn must hold at every grant: whoever waits out one child has then waited
// out all below it.
var withinOwn = invariant.New("lease_outlasts_granter",
	"no volume lease is granted for longer than the granter's own lasts")
