package daemon

import (
	"fmt"
	"strconv"
	"strings"

	"mulleinmast/control/fleetconfig"
)

// Build names this build to others: what it takes of their messages ("2": tellings of
// what changed, traffic/board), and the format of plans that it reads.
var Build = fmt.Sprintf("2%s%d", buildMark, fleetconfig.NewestFormat())

// buildMark stands before the format in a build's name; builds without it read the
// first format.
const buildMark = "/"

// formatOf is the format of plans that a build reads.
func formatOf(build string) int {
	_, format, _ := strings.Cut(build, buildMark)
	n, err := strconv.Atoi(format)
	if err != nil {
		return 1
	}
	return n
}

// formatRead is the format of plans that all daemons of the fleet read, as far as
// this one sees them.
func (c *Daemon) formatRead() int {
	lowest := fleetconfig.NewestFormat()
	for _, m := range c.View().Members {
		lowest = min(lowest, formatOf(m.Build))
	}
	return lowest
}
