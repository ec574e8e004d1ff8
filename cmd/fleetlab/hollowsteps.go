package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"mulleinmast/proof/hollow"
)

// Parameters of the steps of a hollow fleet.
const (
	linkLossTimeout = 10 * time.Second // until a version is active, while a link is lost
	singleChanges   = 5                // measured one by one before the configured rates
	stockSamples    = 20               // number of samples in step many
)

// step runs one of the steps that -steps lists.
func (h hollowFlags) step(fleet *hollow.Fleet, step string) ([]hollow.Row, error) {
	switch step {
	case "idle", "forming":
		return h.measureIdle(fleet, step)
	case "change":
		return h.measureChanges(fleet)
	case "many":
		return nil, h.measureResources(fleet)
	case "restart":
		return fleet.Measure(step, *h.window, func(stop <-chan time.Time) { replaceServers(fleet, stop) }), nil
	case "zone":
		return nil, loseZone(fleet)
	case "link":
		return nil, loseLink(fleet)
	}
	return nil, fmt.Errorf("-steps: unknown step %q", step)
}

// measureIdle measures an idle fleet, and first writes profiles of it if -profile is
// set.
func (h hollowFlags) measureIdle(fleet *hollow.Fleet, step string) ([]hollow.Row, error) {
	if *h.profile != "" {
		if err := os.MkdirAll(*h.profile, 0o755); err != nil {
			return nil, err
		}
		folder := filepath.Join(*h.profile, fmt.Sprintf("%d-%d", fleet.Daemons, fleet.Servers))
		if err := fleet.Profile(folder, *h.window); err != nil {
			return nil, err
		}
	}
	return fleet.Measure(step, *h.window, nil), nil
}

// measureResources makes many changes one after another and prints samples of the
// resources that the fleet holds.
func (h hollowFlags) measureResources(fleet *hollow.Fleet) error {
	samples, err := fleet.MeasureStorage(*h.changes, max(1, *h.changes/stockSamples))
	if err == nil && *h.stock != "" {
		err = hollow.WriteStock(*h.stock, samples)
	}
	for _, sample := range samples {
		fmt.Printf("%+v\n", sample)
	}
	return err
}

// replaceServers replaces one server after another until stop fires.
func replaceServers(fleet *hollow.Fleet, stop <-chan time.Time) {
	longest := time.Duration(0)
	for replaced := 0; ; replaced++ {
		select {
		case <-stop:
			fmt.Printf("%d servers replaced one after another; longest time until all daemons had the record %v\n",
				replaced, milliseconds(longest))
			return
		default:
		}
		took, _ := fleet.Replace(1)
		longest = max(longest, took)
	}
}

// measureChanges measures single changes, then changes at each configured rate.
func (h hollowFlags) measureChanges(fleet *hollow.Fleet) (rows []hollow.Row, err error) {
	rates, err := parseInts(*h.rates)
	if err != nil {
		return nil, err
	}
	var maxAcked, maxActive time.Duration // until a change was acknowledged, and active at all daemons
	for range singleChanges {
		ackedAfter, activeAfter, active, err := fleet.MeasureChange()
		if err != nil || active < fleet.Daemons {
			return nil, fmt.Errorf("change: %v, active at %d of %d daemons", err, active, fleet.Daemons)
		}
		maxAcked, maxActive = max(maxAcked, ackedAfter), max(maxActive, activeAfter)
	}
	fmt.Printf("%v: slowest of %d changes acknowledged after %v, active at all daemons after %v\n",
		fleet, singleChanges, milliseconds(maxAcked), milliseconds(maxActive))
	for _, rate := range rates {
		name := fmt.Sprintf("change-%d", rate)
		rows = append(rows, fleet.Measure(name, *h.window, func(stop <-chan time.Time) {
			taken, longest := fleet.Changes(float64(rate), stop)
			fmt.Printf("%d changes per second requested: %d acknowledged in %v, the slowest after %v\n",
				rate, taken, *h.window, milliseconds(longest))
		})...)
	}
	return rows, nil
}

// loseZone disconnects the zone of the configuration's leader, then restores it.
func loseZone(fleet *hollow.Fleet) error {
	leaders := fleet.Leaders()
	zone := fleet.ZoneOf(leaders[0])
	lost := 0
	for _, daemon := range leaders {
		if fleet.ZoneOf(daemon) == zone {
			lost++
		}
	}
	begin := time.Now()
	left := fleet.LoseZone(zone)
	ready, _ := fleet.AwaitOutside(zone, hollow.Command{Fresh: true, Zone: zone, Wait: activationTimeout})
	fmt.Printf("zone %d lost, with the leaders of %d of %d partitions: "+
		"%d of %d remaining daemons are ready and know leaders for all partitions after %v",
		zone, lost, len(leaders), ready, left, milliseconds(time.Since(begin)))
	took, err := fleet.Change()
	if err != nil {
		return err
	}
	active, _ := fleet.AwaitOutside(zone, hollow.Command{Version: fleet.Version(), Wait: activationTimeout})
	fmt.Printf("; a change was acknowledged %v later, active at %d daemons; %v since the loss",
		milliseconds(took), active, milliseconds(time.Since(begin)))
	restoreFleet(fleet)
	return nil
}

// loseLink cuts the link between two regions, then restores it.
func loseLink(fleet *hollow.Fleet) error {
	region := fleet.RegionOf(fleet.Leaders()[0])
	next := (region + 1) % fleet.Regions
	fleet.LoseLink(region, next)
	took, err := fleet.Change()
	if err != nil {
		return err
	}
	active, _ := fleet.Await(hollow.Command{Version: fleet.Version(), Wait: linkLossTimeout})
	fmt.Printf("link between regions %d and %d lost: a change was acknowledged after %v, active at %d of %d daemons",
		region, next, milliseconds(took), active, fleet.Daemons)
	restoreFleet(fleet)
	return nil
}

// restoreFleet undoes a loss and prints how long it takes until all daemons have the
// configuration.
func restoreFleet(fleet *hollow.Fleet) {
	begin := time.Now()
	fleet.HealPartitions()
	active, _ := fleet.Await(hollow.Command{Version: fleet.Version(), Wait: activationTimeout})
	fmt.Printf("; restored: %d daemons have it after %v\n", active, milliseconds(time.Since(begin)))
}
