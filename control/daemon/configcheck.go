package daemon

import (
	"cmp"
	"math"
	"net/netip"
	"time"

	"mulleinmast/control/fleetconfig"
)

// Limits of the settings.
const (
	maxSeeds        = 3
	maxPartitions   = 64
	maxDrift        = 0.2
	maxAdmitRatio   = 100
	maxQueueLimit   = 1 << 20
	maxLosses       = 4
	minEventLogSize = 16
	maxEventLogSize = 1 << 20
	minBound        = 100 * time.Millisecond
	maxBound        = time.Hour
)

// Check returns all faults of a configuration.
//
// Example: faults := cfg.Check(); faults.Any() == false
func (c Config) Check() (faults fleetconfig.Faults) {
	c.check(&faults)
	return faults
}

func (c Config) check(faults *fleetconfig.Faults) {
	checkAddr(faults, "wire", c.WireAddr)
	checkAddr(faults, "web", c.HTTPAddr)
	if c.WireAddr != "" && c.WireAddr == c.HTTPAddr {
		faults.Add("wire and web: both are %s", c.WireAddr)
	}
	c.checkSeeds(faults)
	checkName(faults, "zone", c.Zone)
	checkName(faults, "fleet", c.Fleet)
	checkRange(faults, "partitions", c.Partitions, 1, maxPartitions)
	checkRange(faults, "drift", c.Drift, 0, maxDrift)
	if math.IsNaN(c.AdmitRatio) {
		faults.Add("admit: %v: expected 0 to %v", c.AdmitRatio, maxAdmitRatio)
	}
	checkRange(faults, "admit", c.AdmitRatio, 0, maxAdmitRatio)
	checkRange(faults, "queue", c.QueueLimit, 1, maxQueueLimit)
	checkRange(faults, "losses", c.Losses, 0, maxLosses)
	checkRange(faults, "ring", c.EventLogSize, minEventLogSize, maxEventLogSize)
	for _, bound := range c.Bounds.named() {
		if *bound.length < minBound || *bound.length > maxBound {
			faults.Add("%s: %v: expected 100ms to 1h", bound.name, *bound.length)
		}
	}
	c.checkDrainTime(faults)
}

func (c Config) checkSeeds(faults *fleetconfig.Faults) {
	if len(c.Seeds) < 1 || len(c.Seeds) > maxSeeds {
		faults.Add("seeds: %d given, expected one to three", len(c.Seeds))
	}
	seen := map[string]bool{}
	for _, seed := range c.Seeds {
		checkAddr(faults, "seeds", seed)
		if seen[seed] {
			faults.Add("seeds: %q stands twice", seed)
		}
		seen[seed] = true
	}
}

func checkAddr(faults *fleetconfig.Faults, setting, addr string) {
	parsed, err := netip.ParseAddrPort(addr)
	if err != nil {
		faults.Add("%s: %q: expected an IP address and port, such as 10.0.0.1:7000", setting, addr)
	} else if parsed.Addr().IsUnspecified() {
		faults.Add("%s: %q: expected the address that others reach, not a wildcard", setting, addr)
	}
}

func checkName(faults *fleetconfig.Faults, setting, name string) {
	if !fleetconfig.IsValidName(name) {
		faults.Add("%s: %q: expected 1 to 64 letters, digits, '.', '_' or '-'", setting, name)
	}
}

func checkRange[T cmp.Ordered](faults *fleetconfig.Faults, setting string, value, low, high T) {
	if value < low || value > high {
		faults.Add("%s: %v: expected %v to %v", setting, value, low, high)
	}
}
