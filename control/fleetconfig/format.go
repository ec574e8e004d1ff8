package fleetconfig

import (
	"fmt"
	"strconv"
)

// formatRead is the newest format of plans that this build reads; a test's build sets
// another at link time.
var formatRead = "2"

// formatOfKeys is the first format that has tenants known by keys, and their limits. A
// build that doesn't read it would serve everybody.
const formatOfKeys = 2

// maxFormat bounds the format that a plan may need.
const maxFormat = 1000

// NewestFormat is the newest format of plans that this build reads and serves by. A plan
// says which it needs; by what a build can't read it serves nothing.
//
// Example: if plan.Needs > fleetconfig.NewestFormat() { serveNothing() }
func NewestFormat() int {
	n, err := strconv.Atoi(formatRead)
	if err != nil {
		panic(err) // a build that doesn't know what it reads serves nothing
	}
	return n
}

// RequiredFormat is the format that a build must read to serve by the plan: what the
// operator says, or more where the plan holds what older builds would pass over.
//
// Example: if plan.RequiredFormat() > format { refuse() }
func (p Plan) RequiredFormat() int {
	if p.NeedsKeys() {
		return max(p.Needs, formatOfKeys)
	}
	return p.Needs
}

// checkFormat gives the error of a plan that needs a newer format than this build reads.
func (p Plan) checkFormat() error {
	if p.Needs <= NewestFormat() {
		return nil
	}
	return fmt.Errorf("it needs a build that reads format %d, and this one reads up to %d", p.Needs, NewestFormat())
}
