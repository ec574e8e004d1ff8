package lease

import "mulleinmast/control/invariant"

// grantWithinOwnLease must hold at every grant. It ensures that a node which waits for a
// child's volume lease to expire has also waited for the leases of all its descendants.
var grantWithinOwnLease = invariant.New("lease_outlasts_granter",
	"no volume lease is granted for longer than the granter's own")
