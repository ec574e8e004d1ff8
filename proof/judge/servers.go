package judge

import (
	"slices"

	"mulleinmast/proof/history"
)

// checkHolders: a server has one holder at a time, and none within the bound
// after another.
func checkHolders(events []history.Event, bounds Bounds, report reporter) {
	latest := map[string]history.Event{} // order, by server
	for _, e := range events {
		if e.Ev != eventOrder {
			continue
		}
		last, ok := latest[e.Who]
		changed := ok && (last.Holder != e.Holder || last.Term != e.Term)
		if changed && e.At-last.At < bounds.LeaderChange {
			report("%s ordered by %s/%d, %.2fs after %s/%d",
				e.Who, e.Holder, e.Term, seconds(e.At-last.At), last.Holder, last.Term)
		}
		latest[e.Who] = e
	}
}

// checkLeaving: nothing starts on a leaving server after the bound.
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
				report("%s got a %s %.2fs after it was known to leave", e.Who, e.Ev, seconds(e.At-since))
			}
		}
	}
}

// checkEvacuated: nothing starts in an evacuated zone after the bound.
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
				report("%s in %s got a %s %.2fs after its evacuation",
					e.Who, zones[e.Who], e.Ev, seconds(e.At-since))
			}
		}
	}
}

// Tolerance of the bound of retries: a few more may fall into a window at its
// edges, where the daemons' own windows don't begin and end together.
const (
	retryTolerance = 1.1
	retrySlack     = 2
)

// maxRetries is how many retries the bound allows for so many first attempts.
func (b Bounds) maxRetries(firstAttempts int) float64 {
	return b.RetryRatio*float64(firstAttempts)*retryTolerance + retrySlack
}

// checkRetries: attempts beyond the first stay within the bound, over the whole
// and in every window: a retry follows its first attempt by up to a window, so
// the first attempts of the window before count too.
func checkRetries(events []history.Event, bounds Bounds, report reporter) {
	firsts, retries := attemptTimes(events)
	firstInWindow, retryInWindow := 0, 0 // indexes of the earliest that count
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
			report("%d retries in the %.0fs that end at %.2fs, %d first tries in twice that",
				count, seconds(bounds.RetryWindow), seconds(at-events[0].At), firstCount)
		}
	}
	if float64(len(retries)) > bounds.maxRetries(len(firsts)) {
		report("%d retries over %d first tries in all", len(retries), len(firsts))
	}
}

// attemptTimes lists when first attempts and retries reached servers. What
// reached a server counts, taken up or turned away: a prefill beyond a request's
// first is a retry, and so is a decode beyond the request's prefills.
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

// checkWarmUp: over its own warm-up a server never works at more than half of
// its slots.
func checkWarmUp(events []history.Event, _ Bounds, report reporter) {
	boots := map[string]history.Event{} // the latest, by server
	for _, e := range events {
		if e.Ev == eventBoot {
			boots[e.Who] = e
		}
		boot, ok := boots[e.Who]
		if ok && isWork(e) && e.At-boot.At < boot.Warm && e.N > max(1, boot.N/2) {
			report("%s had %d of %d slots busy %.2fs after its start, its warm-up takes %.2fs",
				e.Who, e.N, boot.N, seconds(e.At-boot.At), seconds(boot.Warm))
		}
	}
}
