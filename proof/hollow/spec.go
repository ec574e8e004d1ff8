// Package hollow runs complete fleets of daemons on one machine to measure the cost
// of the control plane at a given size. The daemons are the real ones: control/daemon
// with its state machines, timers, frames over TCP and SQLite files, and the gateway
// that keeps a front's records pinned. Their environment is simulated: the server list
// holds addresses where nothing listens, and requests are answered by fake engines.
// Most daemons share a process; those whose processor time and memory are measured
// have their own.
package hollow

import (
	"fmt"
	"time"

	"mulleinmast/control/daemon"
)

// Options are the sizes of a hollow fleet.
type Options struct {
	Daemons           int // fronts and control daemons together
	Core              int // control daemons (those with a disk) among them
	Zones             int
	Regions           int
	Servers           int
	Ramp              int // servers listed per step; 0: all at once
	Models            int
	Tenants           int
	Routes            int
	PrefillShare      float64       // fraction of the servers that prefill
	Apply             time.Duration // bound for a change to take effect on all daemons
	Losses            int           // simultaneous machine failures to survive
	Port              int           // of all daemons; each has its own address
	Dir               string        // data folder of the control daemons
	Far               time.Duration // one-way latency between regions; 0: none
	DedicatedFronts   int           // fronts with their own process, besides the control daemons
	DaemonsPerProcess int           // maximum number of daemons per shared process
	Program           string        // executable of worker processes; empty: all daemons run in this process
}

// Default returns the options of a fleet with the given numbers of daemons and servers.
//
// Example: f, err := hollow.Start(ctx, hollow.Default(40, 120))
func Default(daemons, servers int) Options {
	o := Options{
		Daemons: daemons, Core: 7, Zones: 10, Regions: 4, Servers: servers, Models: 9, Tenants: 60, Routes: 60, PrefillShare: 0.3, Apply: 2 * time.Second, Losses: 1,
		Port: 7300, DedicatedFronts: 2, DaemonsPerProcess: 150,
	}
	if daemons < 100 {
		o.Core, o.Zones, o.Regions = 3, 3, 3
	}
	return o
}

// Spec describes one daemon of a fleet.
type Spec struct {
	Index   int
	Zone    int
	Region  int
	Core    bool
	Config  daemon.Config
	List    string        // address of the server list
	Far     time.Duration // one-way latency to daemons of other regions
	Regions int
	Models  int
}

// region returns the region of a zone; zones are assigned round-robin.
func region(zone, regions int) int { return zone % regions }

// address returns the loopback address of a daemon, unique per daemon.
func address(zone, place, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 10+zone, place/250, 1+place%250, port)
}

// zoneOf returns the zone of an address made by address.
func zoneOf(addr string) int {
	var a, zone int
	if _, err := fmt.Sscanf(addr, "%d.%d.", &a, &zone); err != nil {
		return -1
	}
	return zone - 10
}

// specs returns the daemons of the fleet, assigned to zones round-robin. The first
// o.Core have a disk, so that they are spread over the zones.
func (o Options) specs(list string) []Spec {
	out := make([]Spec, o.Daemons)
	var seeds []string
	for i := range min(3, o.Core) {
		seeds = append(seeds, address(i%o.Zones, i/o.Zones, o.Port))
	}
	for i := range out {
		zone := i % o.Zones
		c := daemon.Default()
		c.WireAddr, c.HTTPAddr = address(zone, i/o.Zones, o.Port), address(zone, i/o.Zones, o.Port+1)
		c.Fleet, c.Zone, c.Seeds, c.EventLogSize, c.Losses = "hollow", fmt.Sprintf("zone-%d", zone), seeds, 64, o.Losses
		c.Bounds.Plan = o.Apply
		c.Bounds.Leave = max(c.Bounds.Leave, o.Apply*4/3) // a smaller bound would shorten the leases
		out[i] = Spec{Index: i, Zone: zone, Region: region(zone, o.Regions), Core: i < o.Core, List: list, Far: o.Far, Regions: o.Regions, Models: o.Models}
		if i < o.Core {
			c.DataFolder = fmt.Sprintf("%s/core-%d", o.Dir, i)
		}
		out[i].Config = c
	}
	return out
}
