package rules

import (
	"slices"

	"mulleinmast/proof/standin/record"
)

// checkAnswers checks that each successful answer is the complete, sealed answer of a server to that very request.
func checkAnswers(v *view, report reporter) {
	for _, t := range v.Tries {
		a := v.seals[t.Seal]
		switch {
		case t.Fault != "":
			report("%s got %s", t.ID, t.Fault)
		case t.Seal != "" && a == nil:
			report("%s got the seal %q, which no server issued", t.ID, t.Seal)
		case t.Seal != "" && a.Attempt != t.ID:
			report("%s got the answer to %s", t.ID, a.Attempt)
		case t.Echo != "" && t.Echo != t.ID:
			report("%s got an answer that carries the id of %s", t.ID, t.Echo)
		case t.Status/100 != 2:
		case t.Coded:
			report("%s got a body with a Content-Encoding that it did not request", t.ID)
		case !t.Complete:
		case t.Seal == "":
			report("%s got a success without a seal", t.ID)
		case a.Status/100 != 2:
			report("%s got a success, but its server answered %d", t.ID, a.Status)
		case t.Pieces == nil && (!a.Complete || t.Length != a.Length || t.Digest != a.Digest):
			report("%s got %d bytes that differ from its server's body (%d bytes, complete: %v)",
				t.ID, t.Length, a.Length, a.Complete)
		}
	}
}

// checkHandles checks that no request is decoded from the prompt handle of another request.
func checkHandles(v *view, report reporter) {
	for _, a := range v.Arrivals {
		if a.Out == record.Ran && a.HandleOf != "" && a.HandleOf != a.Attempt {
			report("%s was decoded at %s from the handle of %s", a.Attempt, a.Server, a.HandleOf)
		}
	}
}

// checkStreams checks that a stream has every event exactly once, from one run or from
// runs that each resume after the last event of the one before, and that it ends as a
// complete response only after its last event.
func checkStreams(v *view, report reporter) {
	for _, t := range v.Tries {
		if len(t.Pieces) == 0 {
			continue
		}
		last := record.Piece{ID: t.Resume}
		for i, p := range t.Pieces {
			switch {
			case p.ID != last.ID+1:
				report("%s got event %d after %d", t.ID, p.ID, last.ID)
			case i == 0 && v.seals[t.Seal] != nil && v.seals[t.Seal].Run != p.Run:
				report("%s begins with an event of run %s, but has the seal of run %s", t.ID, p.Run, v.seals[t.Seal].Run)
			case i > 0 && p.Run != last.Run && !v.isResumedAfter(t, last, p.Run):
				report("%s continues with run %s after event %d of run %s, not resumed there", t.ID, p.Run, last.ID, last.Run)
			}
			last = p
		}
		if t.Complete && !t.Last {
			report("%s ended as a complete response after event %d, which is not the last", t.ID, last.ID)
		}
	}
}

// isResumedAfter reports whether a run of a try was asked to resume after an event.
func (v *view) isResumedAfter(t *record.Try, after record.Piece, run string) bool {
	return v.routes[t.Route].Resume && slices.ContainsFunc(v.arrivals[t.ID], func(a *record.Arrival) bool {
		return a.Run == run && a.After == after.ID
	})
}

// checkAsSent checks that servers process only requests that clients sent, unmodified.
func checkAsSent(v *view, report reporter) {
	for _, a := range v.Arrivals {
		if a.Out != record.Ran && a.Out != record.Prefilled {
			continue
		}
		switch t := v.tries[a.Attempt]; {
		case t == nil:
			report("%s ran %q, which no client sent", a.Server, a.Attempt)
		case t.Method != a.Method || t.Target != a.Target || t.Body != a.Body:
			report("%s ran %s as %s %s (body %x), sent as %s %s (body %x)",
				a.Server, a.Attempt, a.Method, a.Target, a.Body, t.Method, t.Target, t.Body)
		case t.Prompt != a.Prompt:
			report("%s ran %s with the prompt %q, sent with %q", a.Server, a.Attempt, a.Prompt, t.Prompt)
		}
	}
}

// runs returns the arrivals at which a try was run.
func (v *view) runs(id string) (out []*record.Arrival) {
	for _, a := range v.arrivals[id] {
		if a.Out == record.Ran {
			out = append(out, a)
		}
	}
	return out
}

// checkRunOnce checks that a request that may not be repeated runs at most once.
func checkRunOnce(v *view, report reporter) {
	for _, t := range v.Tries {
		if runs := v.runs(t.ID); len(runs) > 1 && !v.repeatable(t) {
			report("%s ran at %s and at %s", t.ID, runs[0].Server, runs[1].Server)
		}
	}
}

// checkRefusals checks that a request whose answer promised that it did not run has not run.
func checkRefusals(v *view, report reporter) {
	for _, t := range v.Tries {
		if runs := v.runs(t.ID); t.Promised() && len(runs) > 0 && !v.repeatable(t) {
			report("%s was answered %d, which promises that it did not run, but it ran at %s", t.ID, t.Status, runs[0].Server)
		}
	}
}

// Denials that are allowed: deniedSlack, plus one for every deniedPart requests.
const (
	deniedSlack = 5
	deniedPart  = 500
)

// checkDenials checks that the daemons themselves do not answer valid requests with 3xx or 4xx.
func checkDenials(v *view, report reporter) {
	all, denied := 0, 0
	for _, t := range v.Tries {
		if t.ID == "" || t.Probe {
			continue
		}
		all++
		byDaemon := t.Seal == "" && t.Status/100 >= 3 && t.Status/100 <= 4
		if byDaemon && !t.Promised() && v.inTouchThroughout(t.Daemon, t.Sent, t.End) && v.isAllowed(t) {
			denied++
		}
	}
	if most := deniedSlack + all/deniedPart; denied > most {
		report("%d of %d valid requests were answered with a 3xx or 4xx; the limit is %d", denied, all, most)
	}
}

// isAllowed reports whether every version that may have been current has a route for a try,
// and a customer with its key if the route needs one.
func (v *view) isAllowed(t *record.Try) bool {
	return v.holdsInEveryVersion(t, func(x version) bool {
		_, ok := x.config.Match(t.Host, pathOf(t.Target))
		return ok && x.acceptsKey(t)
	})
}
