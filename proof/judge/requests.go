package judge

import (
	"maps"
	"slices"

	"mulleinmast/proof/history"
)

// checkOnce: a request that may run only once never runs twice.
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

// checkRefused: a refusal means that the request was not run and never will be,
// and a key is not refused that had run before it was sent this time.
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
			report("request %s was refused and ran on %s", e.Request, e.Who)
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
			report("key %s was refused to request %s after it had run", e.Once, e.Request)
		}
	}
}

// checkForeignCache: a decode server never takes up the KV cache of another
// request.
func checkForeignCache(events []history.Event, _ Bounds, report reporter) {
	for _, e := range events {
		if e.Ev == eventDecode && e.CacheOf != e.Request {
			report("%s decoded %s with the cache of %s", e.Who, e.Request, e.CacheOf)
		}
	}
}

// checkStreams: no client found a fault in its stream.
func checkStreams(events []history.Event, _ Bounds, report reporter) {
	for _, e := range events {
		if e.Ev == eventAnswer && e.Result == answerWrong {
			report("request %s: %s", e.Request, e.Why)
		}
	}
}

// checkComplete: every complete answer is one ended run of that request, with
// its count of pieces.
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
			report("request %s looks whole, but its run %q never ended", e.Request, e.Run)
		case run.Request != e.Request || run.Count != e.Count:
			report("request %s took %d pieces, its run %s had %d for %s",
				e.Request, e.Count, e.Run, run.Count, run.Request)
		}
	}
}

// checkFinal: a request gets one final answer.
func checkFinal(events []history.Event, _ Bounds, report reporter) {
	results := map[string]string{} // by request
	for _, e := range events {
		if e.Ev != eventAnswer || e.Request == "" {
			continue
		}
		if result, ok := results[e.Request]; ok {
			report("request %s was told %q and %q", e.Request, result, e.Result)
		}
		results[e.Request] = e.Result
	}
}

// checkAnswered: no request is left without a final answer.
func checkAnswered(events []history.Event, _ Bounds, report reporter) {
	for _, e := range events {
		if e.Ev == eventAnswer && e.Result == answerHung {
			report("request %s at %s: no final answer %.1fs after it was sent", e.Request, e.Who, seconds(e.Took))
		}
	}
}

// checkRetryAfter: an answer that gives a request up says when to retry.
func checkRetryAfter(events []history.Event, _ Bounds, report reporter) {
	for _, e := range events {
		if e.Ev == eventAnswer && (e.Result == answerRefused || e.Result == answerUncertain) && e.After <= 0 {
			report("request %s was told %q and not when to come back", e.Request, e.Result)
		}
	}
}

// checkRecovery: after all machines are back, a client of every zone gets a
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
				report("%s: no whole answer within %.0fs after the machines were back (%d asked, first after %.1fs)",
					zone, seconds(bounds.Recovery), r.answers, seconds(r.took))
			}
		}
	}
}

// zoneRecovery is how a zone's clients fared after a loss.
type zoneRecovery struct {
	answers  int   // up to the first complete answer, or all
	answered bool  // whether there was a complete answer
	took     int64 // until then, in nanoseconds
}

// recoveryOf looks for the first complete answer in a zone since a moment.
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
