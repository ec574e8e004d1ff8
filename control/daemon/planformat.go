package daemon

import (
	"fmt"
	"strconv"
	"strings"

	"mulleinmast/control/fleetconfig"
)

// Build names this build to other daemons: what it takes of their messages ("2":
// load reports of what changed, traffic/loadreport), and the format of plans that it
// reads.
var Build = fmt.Sprintf("2%s%d", formatSeparator, fleetconfig.NewestFormat())

// formatSeparator stands before the plan format in a build's name. Builds without
// it read the first format.
const formatSeparator = "/"

// planFormatOf is the format of plans that a build reads.
func planFormatOf(build string) int {
	_, format, _ := strings.Cut(build, formatSeparator)
	n, err := strconv.Atoi(format)
	if err != nil {
		return 1
	}
	return n
}

// planFormatOfFleet is the format of plans that all daemons of the fleet read, as
// far as this one sees them: no plan that needs a later one is taken.
func (d *Daemon) planFormatOfFleet() int {
	lowest := fleetconfig.NewestFormat()
	for _, m := range d.View().Members {
		lowest = min(lowest, planFormatOf(m.Build))
	}
	return lowest
}
