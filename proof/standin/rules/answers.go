package rules

import (
	"slices"

	"mulleinmast/proof/standin/record"
)

// checkAnswers: a success is the server's whole success to that request, sealed.
func checkAnswers(v *view, report reporter) {
	for _, t := range v.Tries {
		a := v.seals[t.Seal]
		switch {
		case t.Fault != "":
			report("%s got %s", t.ID, t.Fault)
		case t.Seal != "" && a == nil:
			report("%s got the seal %q, which no server gave", t.ID, t.Seal)
		case t.Seal != "" && a.Attempt != t.ID:
			report("%s got the answer to %s", t.ID, a.Attempt)
		case t.Echo != "" && t.Echo != t.ID:
			report("%s got an answer that names %s", t.ID, t.Echo)
		case t.Status/100 != 2:
		case t.Coded:
			report("%s got a body in an encoding that it didn't ask for", t.ID)
		case !t.Complete:
		case t.Seal == "":
			report("%s got a success without a seal", t.ID)
		case a.Status/100 != 2:
			report("%s got a success where its server said %d", t.ID, a.Status)
		case t.Pieces == nil && (!a.Whole || t.Length != a.Length || t.Digest != a.Digest):
			report("%s got %d bytes that are not its server's whole body (%d bytes, whole %v)",
				t.ID, t.Length, a.Length, a.Whole)
		}
	}
}

// checkHandles: no request is carried on from another's handle.
func checkHandles(v *view, report reporter) {
	for _, a := range v.Arrivals {
		if a.Out == record.Ran && a.HandleOf != "" && a.HandleOf != a.Attempt {
			report("%s was carried on at %s from the handle of %s", a.Attempt, a.Server, a.HandleOf)
		}
	}
}

// checkStreams: a stream has every piece once, of one run or of one that goes on where
// the last ended, and looks complete only with its last piece.
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
				report("%s begins with run %s under the seal of %s", t.ID, p.Run, v.seals[t.Seal].Run)
			case i > 0 && p.Run != last.Run && !v.continues(t, last, p.Run):
				report("%s goes on with run %s after event %d of %s", t.ID, p.Run, last.ID, last.Run)
			}
			last = p
		}
		if t.Complete && !t.Last {
			report("%s looks complete after event %d, which is not the last", t.ID, last.ID)
		}
	}
}

// continues reports whether a run was asked to go on after a piece.
func (v *view) continues(t *record.Try, after record.Piece, run string) bool {
	return v.routes[t.Route].Resume && slices.ContainsFunc(v.arrivals[t.ID], func(a *record.Arrival) bool {
		return a.Run == run && a.After == after.ID
	})
}

// checkAsSent: servers work at what clients sent, as they sent it.
func checkAsSent(v *view, report reporter) {
	for _, a := range v.Arrivals {
		if a.Out != record.Ran && a.Out != record.Read {
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

// runs lists where a try was run.
func (v *view) runs(id string) (out []*record.Arrival) {
	for _, a := range v.arrivals[id] {
		if a.Out == record.Ran {
			out = append(out, a)
		}
	}
	return out
}

// checkRunOnce: what may not be repeated runs once at most.
func checkRunOnce(v *view, report reporter) {
	for _, t := range v.Tries {
		if runs := v.runs(t.ID); len(runs) > 1 && !v.repeatable(t) {
			report("%s ran at %s and at %s", t.ID, runs[0].Server, runs[1].Server)
		}
	}
}

// checkRefusals: a promise is kept.
func checkRefusals(v *view, report reporter) {
	for _, t := range v.Tries {
		if runs := v.runs(t.ID); t.Promised() && len(runs) > 0 && !v.repeatable(t) {
			report("%s was told %d, and ran at %s", t.ID, t.Status, runs[0].Server)
		}
	}
}

// Denials that are allowed: a few, and one in so many requests.
const (
	deniedSlack = 5
	deniedPart  = 500
)

// checkDenials: proper requests are not denied by an answer of the daemons' own.
func checkDenials(v *view, report reporter) {
	all, denied := 0, 0
	for _, t := range v.Tries {
		if t.ID == "" || t.Probe {
			continue
		}
		all++
		byDaemon := t.Seal == "" && t.Status/100 >= 3 && t.Status/100 <= 4
		if byDaemon && !t.Promised() && v.inTouchThroughout(t.Daemon, t.Sent, t.End) && v.isProper(t) {
			denied++
		}
	}
	if most := deniedSlack + all/deniedPart; denied > most {
		report("%d of %d proper requests were turned away with a 3xx or 4xx, at most %d may be", denied, all, most)
	}
}

// isProper reports whether every version that may have been in force has a route
// for a request.
func (v *view) isProper(t *record.Try) bool {
	known := false
	for _, x := range v.versions {
		if !x.mayApply() || x.Sent > t.End {
			continue
		}
		if _, ok := x.config.Match(t.Host, pathOf(t.Target)); !ok {
			return false
		}
		known = true
	}
	return known
}
