package fleetconfig

import (
	"fmt"
	"strconv"
)

// formatRead is the newest plan format that this build reads. Test builds set a different
// one at link time.
var formatRead = "3"

// keysFormat is the first plan format with tenants that are identified by keys and have
// limits. A build that doesn't know it would serve clients without a key.
const keysFormat = 2

// noTenantsFormat is the first plan format in which clients need keys although the plan has no
// tenant that is identified by keys. An earlier build would serve everybody.
const noTenantsFormat = 3

// maxFormat is the highest format that a plan may require.
const maxFormat = 1000

// NewestFormat returns the newest plan format that this build reads. A build doesn't serve
// requests by a plan that requires a newer one.
//
// Example: if plan.Needs > fleetconfig.NewestFormat() { serveNothing() }
func NewestFormat() int {
	n, err := strconv.Atoi(formatRead)
	if err != nil {
		panic(err) // a build that doesn't know which formats it reads must not serve requests
	}
	return n
}

// RequiredFormat returns the format that a build must read to serve requests by the plan:
// the one given by the operator, or a newer one if the plan has fields that older builds
// would ignore.
//
// Example: if plan.RequiredFormat() > format { refuse() }
func (p Plan) RequiredFormat() int {
	switch {
	case p.hasTenantsByKey():
		return max(p.Needs, keysFormat)
	case p.KeysRequired:
		return max(p.Needs, noTenantsFormat)
	}
	return p.Needs
}

// checkFormat returns an error if the plan requires a newer format than this build reads.
func (p Plan) checkFormat() error {
	if p.Needs <= NewestFormat() {
		return nil
	}
	return fmt.Errorf("it needs a build that reads format %d, and this one reads up to %d", p.Needs, NewestFormat())
}
