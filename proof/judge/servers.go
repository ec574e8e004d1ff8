package judge

import (
	"slices"

	"mulleinmast/proof/history"
)

// checkHolders: a server has one holder at a time, and orders of two holders are
// at least the bound apart.
func checkHolders(events []history.Event, bounds Bounds, report reporter) {
	latest := map[string]history.Event{} // order, by server
	for _, e := range events {
		if e.Ev != eventOrder {
			continue
		}
		last, ok := latest[e.Who]
		changed := ok && (last.Holder != e.Holder || last.Term != e.Term)
		if changed && e.At-last.At < bounds.LeaderChange {
			report("%s got an order of %s in term %d, %.2fs after one of %s in term %d",
				e.Who, e.Holder, e.Term, seconds(e.At-last.At), last.Holder, last.Term)
		}
		latest[e.Who] = e
	}
}

// checkLeaving: a leaving server gets no new work after the bound.
func checkLeaving(events []history.Event, bounds Bounds, report reporter) {
	leavingSince := map[string]int64{} // by server
	for _, e := range events {
		switch {
		case e.Ev == eventLeaving:
			leavingSince[e.Who] = e.At
		case e.Ev == eventStaying || e.Ev == eventBoot:
			delete(leavingSince, e.Who)
		case isWork(e):
			if since, ok := leavingSince[e.Who]; ok && e.At-since > bounds.Drain {
				report("%s got a %s %.2fs after it was announced as leaving", e.Who, e.Ev, seconds(e.At-since))
			}
		}
	}
}

// checkEvacuated: the servers of an evacuated zone get no new work after the bound.
func checkEvacuated(events []history.Event, bounds Bounds, report reporter) {
	evacuatedSince := map[string]int64{} // by zone
	zones := map[string]string{}         // by server
	for _, e := range events {
		switch {
		case e.Ev == eventBoot:
			zones[e.Who] = e.Zone
		case e.Ev == eventEvacuated:
			evacuatedSince[e.Zone] = e.At
		case e.Ev == eventReturned:
			delete(evacuatedSince, e.Zone)
		case isWork(e):
			if since, ok := evacuatedSince[zones[e.Who]]; ok && e.At-since > bounds.Evacuation {
				report("%s in %s got a %s %.2fs after the evacuation of the zone",
					e.Who, zones[e.Who], e.Ev, seconds(e.At-since))
			}
		}
	}
}

// Tolerance of the retry bound. The daemons' own windows are not aligned with each
// other or with the window checked, so a few more retries may fall into it.
const (
	retryTolerance = 1.1
	retrySlack     = 2
)

// maxRetries returns the number of retries allowed for a number of first attempts.
func (b Bounds) maxRetries(firstAttempts int) float64 {
	return b.RetryRatio*float64(firstAttempts)*retryTolerance + retrySlack
}

// checkRetries: retries stay within the bound, over the complete run and in every
// window. A retry follows its first attempt by up to a window, so the first
// attempts of the preceding window count too.
func checkRetries(events []history.Event, bounds Bounds, report reporter) {
	firsts, retries := attemptTimes(events)
	firstInWindow, retryInWindow := 0, 0 // indexes of the earliest attempts that count
	for i, at := range retries {
		for firstInWindow < len(firsts) && firsts[firstInWindow] <= at-2*bounds.RetryWindow {
			firstInWindow++
		}
		for retries[retryInWindow] <= at-bounds.RetryWindow {
			retryInWindow++
		}
		firstsUntilNow, _ := slices.BinarySearch(firsts, at+1)
		firstCount := firstsUntilNow - firstInWindow
		if count := i - retryInWindow + 1; float64(count) > bounds.maxRetries(firstCount) {
			report("%d retries in the %.0fs before %.2fs, with %d first attempts in twice that time",
				count, seconds(bounds.RetryWindow), seconds(at-events[0].At), firstCount)
		}
	}
	if float64(len(retries)) > bounds.maxRetries(len(firsts)) {
		report("%d retries of %d first attempts in the complete run", len(retries), len(firsts))
	}
}

// attemptTimes returns when first attempts and retries reached servers. Every call
// that reached a server counts, accepted or rejected: a prefill after a request's
// first is a retry, and so is each decode in excess of the request's prefills.
func attemptTimes(events []history.Event) (firsts, retries []int64) {
	prefills, decodes := map[string]int{}, map[string]int{} // by request
	for _, e := range events {
		switch {
		case e.Request == "":
		case e.Ev == eventPrefill || isRejection(e) && e.Part == partPrefill:
			if prefills[e.Request]++; prefills[e.Request] == 1 {
				firsts = append(firsts, e.At)
			} else {
				retries = append(retries, e.At)
			}
		case e.Ev == eventDecode || isRejection(e) && e.Part == partDecode:
			if decodes[e.Request]++; decodes[e.Request] > max(1, prefills[e.Request]) {
				retries = append(retries, e.At)
			}
		}
	}
	return firsts, retries
}

// checkWarmUp: a server uses at most half of its slots during its warm-up.
func checkWarmUp(events []history.Event, _ Bounds, report reporter) {
	boots := map[string]history.Event{} // the latest, by server
	for _, e := range events {
		if e.Ev == eventBoot {
			boots[e.Who] = e
		}
		boot, ok := boots[e.Who]
		if ok && isWork(e) && e.At-boot.At < boot.Warm && e.N > max(1, boot.N/2) {
			report("%s had %d of %d slots busy %.2fs after its start, within its warm-up of %.2fs",
				e.Who, e.N, boot.N, seconds(e.At-boot.At), seconds(boot.Warm))
		}
	}
}
