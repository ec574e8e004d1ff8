// Package hollow runs whole fleets of daemons on one machine to find what
// control costs at a size. Its daemons are the real ones: control/daemon with
// its state machines, timers, frames over TCP and SQLite files, and the
// gateway that keeps a front's records wanted. What is hollow is around them:
// the list of servers names addresses where nothing listens, and clients'
// requests are answered by engines that send nothing. Many daemons share one
// process; those whose processor time and memory are wanted have their own.
package hollow

import (
	"fmt"
	"time"

	"mulleinmast/control/daemon"
)

// Options are the sizes of a hollow fleet.
type Options struct {
	Daemons int // fronts and control daemons together
	Core    int // of these, daemons with a disk
	Zones   int
	Regions int
	Servers int
	Ramp    int // they come so many at a time; 0: all at once
	Models  int
	Tenants int
	Routes  int
	Reading float64       // of the servers, those that read
	Apply   time.Duration // a change is in force everywhere within this
	Losses  int           // machines that may be lost at once
	Port    int           // of all daemons, on addresses of their own
	Dir     string        // of the control daemons' files
	Far     time.Duration // one way between regions; 0: no delay anywhere
	Alone   int           // fronts with a process of their own, beside the core
	Shared  int           // most daemons in one process
	Program string        // started for other processes; none: all daemons share this one
}

// Default is the shape of a fleet with so many daemons and servers.
//
// Example: f, err := hollow.Start(ctx, hollow.Default(40, 120))
func Default(daemons, servers int) Options {
	o := Options{
		Daemons: daemons, Core: 7, Zones: 10, Regions: 4, Servers: servers, Models: 9, Tenants: 60, Routes: 60, Reading: 0.3, Apply: 2 * time.Second, Losses: 1,
		Port: 7300, Alone: 2, Shared: 150,
	}
	if daemons < 100 {
		o.Core, o.Zones, o.Regions = 3, 3, 3
	}
	return o
}

// Spec is one daemon of a fleet.
type Spec struct {
	Index   int
	Zone    int
	Region  int
	Core    bool
	Config  daemon.Config
	List    string        // where the list of servers is asked for
	Far     time.Duration // to daemons of other regions, one way
	Regions int
	Models  int
}

// region of a zone: zones are dealt out round the regions.
func region(zone, regions int) int { return zone % regions }

// address is a loopback address of its own for each daemon.
func address(zone, place, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 10+zone, place/250, 1+place%250, port)
}

// zoneOf is the zone of an address made here.
func zoneOf(addr string) int {
	var a, zone int
	if _, err := fmt.Sscanf(addr, "%d.%d.", &a, &zone); err != nil {
		return -1
	}
	return zone - 10
}

// specs lays the fleet out: daemons dealt over the zones, the first ones with
// a disk, one in each zone as far as they go.
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
		c.Bounds.Leave = max(c.Bounds.Leave, o.Apply*4/3) // or it would shorten the leases
		out[i] = Spec{Index: i, Zone: zone, Region: region(zone, o.Regions), Core: i < o.Core, List: list, Far: o.Far, Regions: o.Regions, Models: o.Models}
		if i < o.Core {
			c.DataFolder = fmt.Sprintf("%s/core-%d", o.Dir, i)
		}
		out[i].Config = c
	}
	return out
}
