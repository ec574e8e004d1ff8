package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"mulleinmast/proof/hollow"
)

// Of the steps of a hollow fleet.
const (
	cutOffIn      = 10 * time.Second // until a version is in force, while a link is lost
	singleChanges = 5                // measured one by one before the rates
	stockSamples  = 20               // of a run of many changes
)

// step measures one step of those that -steps names.
func (h hollowFlags) step(fleet *hollow.Fleet, step string) ([]hollow.Row, error) {
	switch step {
	case "idle", "forming":
		return h.measureIdle(fleet, step)
	case "change":
		return h.measureChanges(fleet)
	case "many":
		return nil, h.measureStock(fleet)
	case "restart":
		return fleet.Measure(step, *h.window, func(stop <-chan time.Time) { replaceServers(fleet, stop) }), nil
	case "zone":
		return nil, loseZone(fleet)
	case "link":
		return nil, loseLink(fleet)
	}
	return nil, fmt.Errorf("no step %q", step)
}

// measureIdle measures a fleet to which nothing happens, and profiles it if a
// folder is named.
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

// measureStock prints what the fleet holds while many changes follow each other.
func (h hollowFlags) measureStock(fleet *hollow.Fleet) error {
	samples, err := fleet.Many(*h.changes, max(1, *h.changes/stockSamples))
	if err == nil && *h.stock != "" {
		err = hollow.WriteStock(*h.stock, samples)
	}
	for _, sample := range samples {
		fmt.Printf("%+v\n", sample)
	}
	return err
}

// replaceServers replaces one server after another until stop.
func replaceServers(fleet *hollow.Fleet, stop <-chan time.Time) {
	longest := time.Duration(0)
	for replaced := 0; ; replaced++ {
		select {
		case <-stop:
			fmt.Printf("%d servers replaced one after another; longest until every daemon had it %v\n",
				replaced, milliseconds(longest))
			return
		default:
		}
		took, _ := fleet.Replace(1)
		longest = max(longest, took)
	}
}

// measureChanges measures single changes, then changes at each rate.
func (h hollowFlags) measureChanges(fleet *hollow.Fleet) (rows []hollow.Row, err error) {
	rates, err := wholeNumbers(*h.rates)
	if err != nil {
		return nil, err
	}
	var acked, everywhere time.Duration // the slowest
	for range singleChanges {
		ackedAfter, everywhereAfter, inForce, err := fleet.Put()
		if err != nil || inForce < fleet.Daemons {
			return nil, fmt.Errorf("change: %v, in force at %d of %d daemons", err, inForce, fleet.Daemons)
		}
		acked, everywhere = max(acked, ackedAfter), max(everywhere, everywhereAfter)
	}
	fmt.Printf("%v: of %d changes the slowest had its yes after %v, was in force everywhere after %v\n",
		fleet, singleChanges, milliseconds(acked), milliseconds(everywhere))
	for _, rate := range rates {
		name := fmt.Sprintf("change-%d", rate)
		rows = append(rows, fleet.Measure(name, *h.window, func(stop <-chan time.Time) {
			taken, longest := fleet.Changes(float64(rate), stop)
			fmt.Printf("%d changes a second asked for: %d taken in %v, the slowest after %v\n",
				rate, taken, *h.window, milliseconds(longest))
		})...)
	}
	return rows, nil
}

// loseZone takes the zone of the configuration's leader away, then gives it
// back.
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
	ready, _ := fleet.AwaitOutside(zone, hollow.Command{Fresh: true, Zone: zone, Wait: everywhereIn})
	fmt.Printf("zone %d lost, with the leaders of %d of %d parts: "+
		"%d of %d daemons left are ready and know leaders for all parts after %v",
		zone, lost, len(leaders), ready, left, milliseconds(time.Since(begin)))
	took, err := fleet.Change()
	if err != nil {
		return err
	}
	inForce, _ := fleet.AwaitOutside(zone, hollow.Command{Version: fleet.Version(), Wait: everywhereIn})
	fmt.Printf("; a change had its yes %v later, in force at %d; %v since the loss",
		milliseconds(took), inForce, milliseconds(time.Since(begin)))
	restoreFleet(fleet)
	return nil
}

// loseLink cuts two regions off from each other, then connects them again.
func loseLink(fleet *hollow.Fleet) error {
	region := fleet.RegionOf(fleet.Leaders()[0])
	next := (region + 1) % fleet.Regions
	fleet.LoseLink(region, next)
	took, err := fleet.Change()
	if err != nil {
		return err
	}
	inForce, _ := fleet.Await(hollow.Command{Version: fleet.Version(), Wait: cutOffIn})
	fmt.Printf("link of regions %d and %d lost: a change had its yes after %v, in force at %d of %d daemons",
		region, next, milliseconds(took), inForce, fleet.Daemons)
	restoreFleet(fleet)
	return nil
}

// restoreFleet undoes a loss and prints when all daemons have the configuration.
func restoreFleet(fleet *hollow.Fleet) {
	begin := time.Now()
	fleet.Mend()
	inForce, _ := fleet.Await(hollow.Command{Version: fleet.Version(), Wait: everywhereIn})
	fmt.Printf("; mended: all %d have it after %v\n", inForce, milliseconds(time.Since(begin)))
}
