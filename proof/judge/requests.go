package judge

import (
	"maps"
	"slices"

	"mulleinmast/proof/history"
)

// checkOnce: a request with a once key never runs twice.
func checkOnce(events []history.Event, _ Bounds, report reporter) {
	runs := map[string]string{} // by key
	for _, e := range events {
		if e.Ev != eventDecode || e.Once == "" {
			continue
		}
		if run, ok := runs[e.Once]; ok {
			report("key %s ran as %s and as %s", e.Once, run, e.Run)
		}
		runs[e.Once] = e.Run
	}
}

// checkRefused: a refused request never runs, and a request whose once key ran
// before the request was sent is not refused.
func checkRefused(events []history.Event, _ Bounds, report reporter) {
	refused := map[string]bool{} // by request
	for _, e := range events {
		if isRefusal(e) && e.Request != "" {
			refused[e.Request] = true
		}
	}
	firstRun := map[string]int64{} // by key
	for _, e := range events {
		if e.Ev != eventDecode {
			continue
		}
		if refused[e.Request] {
			report("request %s was refused but ran on %s", e.Request, e.Who)
		}
		if _, ok := firstRun[e.Once]; !ok {
			firstRun[e.Once] = e.At
		}
	}
	for _, e := range events {
		if !isRefusal(e) || e.Once == "" {
			continue
		}
		if at, ok := firstRun[e.Once]; ok && at < sentAt(e) {
			report("key %s had run before request %s with it was refused", e.Once, e.Request)
		}
	}
}

// checkForeignCache: a decode server never uses the KV cache of another request.
func checkForeignCache(events []history.Event, _ Bounds, report reporter) {
	for _, e := range events {
		if e.Ev == eventDecode && e.CacheOf != e.Request {
			report("%s decoded request %s with the KV cache of request %s", e.Who, e.Request, e.CacheOf)
		}
	}
}

// checkStreams: no client detected an error in its stream.
func checkStreams(events []history.Event, _ Bounds, report reporter) {
	for _, e := range events {
		if e.Ev == eventAnswer && e.Result == answerWrong {
			report("request %s: %s", e.Request, e.Why)
		}
	}
}

// checkComplete: every complete answer comes from one completed run of that
// request, with the same number of pieces.
func checkComplete(events []history.Event, _ Bounds, report reporter) {
	ended := map[string]history.Event{} // by run
	for _, e := range events {
		if e.Ev == eventEnded {
			ended[e.Run] = e
		}
	}
	for _, e := range events {
		if e.Ev != eventAnswer || e.Result != answerOK {
			continue
		}
		switch run, ok := ended[e.Run]; {
		case !ok:
			report("request %s got a complete answer, but its run %q never completed", e.Request, e.Run)
		case run.Request != e.Request || run.Count != e.Count:
			report("request %s got %d pieces, but its run %s sent %d for request %s",
				e.Request, e.Count, e.Run, run.Count, run.Request)
		}
	}
}

// checkFinal: a request gets exactly one final answer.
func checkFinal(events []history.Event, _ Bounds, report reporter) {
	results := map[string]string{} // by request
	for _, e := range events {
		if e.Ev != eventAnswer || e.Request == "" {
			continue
		}
		if result, ok := results[e.Request]; ok {
			report("request %s was answered with %q and with %q", e.Request, result, e.Result)
		}
		results[e.Request] = e.Result
	}
}

// checkAnswered: every request gets a final answer.
func checkAnswered(events []history.Event, _ Bounds, report reporter) {
	for _, e := range events {
		if e.Ev == eventAnswer && e.Result == answerHung {
			report("request %s to %s: no final answer within %.1fs", e.Request, e.Who, seconds(e.Took))
		}
	}
}

// checkRetryAfter: a refused or uncertain answer carries a retry delay.
func checkRetryAfter(events []history.Event, _ Bounds, report reporter) {
	for _, e := range events {
		if e.Ev == eventAnswer && (e.Result == answerRefused || e.Result == answerUncertain) && e.After <= 0 {
			report("request %s was answered with %q without a retry delay", e.Request, e.Result)
		}
	}
}

// checkRecovery: once all machines are back, a client of every zone gets a
// complete answer within the bound.
func checkRecovery(events []history.Event, bounds Bounds, report reporter) {
	zones := map[string]bool{}
	for _, e := range events {
		if e.Ev == eventAnswer && e.Zone != "" {
			zones[e.Zone] = true
		}
	}
	for _, e := range events {
		if e.Ev != eventMended {
			continue
		}
		for _, zone := range slices.Sorted(maps.Keys(zones)) {
			r := recoveryOf(events, zone, e.At)
			watched := events[len(events)-1].At - e.At
			if r.answered && r.took > bounds.Recovery || !r.answered && r.answers > 0 && watched > bounds.Recovery {
				report("%s: no complete answer within %.0fs after all machines were back (%d answers, first after %.1fs)",
					zone, seconds(bounds.Recovery), r.answers, seconds(r.took))
			}
		}
	}
}

// zoneRecovery summarizes the answers to a zone's clients after a failure.
type zoneRecovery struct {
	answers  int   // number of answers up to the first complete one, or of all
	answered bool  // a complete answer was received
	took     int64 // time to the first complete answer, in nanoseconds
}

// recoveryOf finds the first complete answer in a zone after a time.
func recoveryOf(events []history.Event, zone string, since int64) (r zoneRecovery) {
	for _, e := range events {
		if e.Ev != eventAnswer || e.Zone != zone || e.At < since {
			continue
		}
		r.answers++
		if e.Result == answerOK {
			r.answered, r.took = true, e.At-since
			return r
		}
	}
	return r
}
