package membership

import "mulleinmast/control/invariant"

// oneLeaderPerTerm must hold for all leadership claims received from the fleet.
var oneLeaderPerTerm = invariant.New("two_leaders_of_a_term", "a term of a partition has one leader")
