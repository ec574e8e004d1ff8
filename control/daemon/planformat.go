package daemon

import (
	"fmt"
	"strconv"
	"strings"

	"mulleinmast/control/fleetconfig"
)

// Build identifies this build to other daemons. It consists of the message formats that this build
// understands and the newest plan format that it reads. Message formats "2" include incremental
// load reports (see traffic/loadreport).
var Build = fmt.Sprintf("2%s%d", formatSeparator, fleetconfig.NewestFormat())

// formatSeparator precedes the plan format in a build's name. Builds without it read only the
// first format.
const formatSeparator = "/"

// planFormatOf returns the newest plan format that a build reads.
func planFormatOf(build string) int {
	_, format, _ := strings.Cut(build, formatSeparator)
	n, err := strconv.Atoi(format)
	if err != nil {
		return 1
	}
	return n
}

// ReadablePlanFormat returns the newest plan format that all daemons known here read. Plans that
// need a newer format are not accepted.
//
// Example: if plan.RequiredFormat() > d.ReadablePlanFormat() { retryLater() }
func (d *Daemon) ReadablePlanFormat() int {
	lowest := fleetconfig.NewestFormat()
	for _, m := range d.View().Members {
		lowest = min(lowest, planFormatOf(m.Build))
	}
	return lowest
}
