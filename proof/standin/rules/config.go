package rules

import (
	"encoding/json"
	"reflect"
	"slices"
	"time"

	"mulleinmast/proof/standin/record"
	"mulleinmast/proof/standin/wire"
)

// handled is how a request was handled: run by a service, or answered 404 because no
// route matched.
type handled struct {
	service string // none: 404
	at      time.Duration
}

// String describes it for a message.
//
// Example: report("%s was %s", t.ID, h)
func (h handled) String() string {
	if h.service == "" {
		return "answered 404"
	}
	return "run by " + h.service
}

// handling returns how a try was handled, which shows the configuration that was applied.
func (v *view) handling(t *record.Try) (out []handled) {
	for _, a := range v.arrivals[t.ID] {
		if a.Out == record.Ran || a.Out == record.Prefilled {
			out = append(out, handled{a.Service, a.At})
		}
	}
	if t.Status == 404 && t.Seal == "" {
		out = append(out, handled{"", t.End})
	}
	return out
}

// explains reports whether a version would handle a try that way.
func (x version) explains(t *record.Try, h handled) bool {
	r, ok := x.config.Match(t.Host, pathOf(t.Target))
	if h.service == "" {
		return !ok
	}
	return ok && slices.Contains(r.Services(), h.service)
}

// checkConfigApplied checks that once the Apply bound has passed after a version was
// acknowledged, no connected machine uses an older one, and that a refused version is
// never used.
func checkConfigApplied(v *view, report reporter) {
	for _, t := range v.Tries {
		oldest := v.oldestAllowed(t.Sent)
		if oldest < 0 {
			continue
		}
		for _, h := range v.handling(t) {
			allowed, older, refused := v.versionsShown(t, h, oldest)
			switch {
			case allowed:
			case older > 0 && v.inTouchThroughout(t.Daemon, t.Sent, h.at):
				report("%s (%s%s) was %s by %s according to version %d, %.2fs after version %d was acknowledged",
					t.ID, t.Host, t.Target, h, t.Daemon, older, seconds(t.Sent-v.ackedAt(oldest)), oldest)
			case older == 0 && refused > 0:
				report("%s (%s%s) was %s by %s according to version %d, which was refused",
					t.ID, t.Host, t.Target, h, t.Daemon, refused)
			}
		}
	}
}

// oldestAllowed returns the newest version that was acknowledged long enough before a
// moment to be applied everywhere by then, or -1 if there is none.
func (v *view) oldestAllowed(at time.Duration) int {
	oldest := -1
	for _, x := range v.versions {
		if x.mayApply() && x.isAcked() && x.Done+v.Apply < at {
			oldest = max(oldest, x.Version)
		}
	}
	return oldest
}

// versionsShown classifies the versions that would handle a try that way: it reports
// whether one of them is allowed, and returns the newest one that is too old and the
// newest one that was refused (0: none).
func (v *view) versionsShown(t *record.Try, h handled, oldest int) (allowed bool, older, refused int) {
	for _, x := range v.versions {
		switch explains := x.explains(t, h); {
		case !explains || x.Sent > h.at:
		case !x.mayApply():
			refused = x.Version
		case x.Version >= oldest:
			allowed = true
		default:
			older = x.Version
		}
	}
	return allowed, older, refused
}

// ackedAt returns when a version was acknowledged.
func (v *view) ackedAt(version int) time.Duration {
	for _, x := range v.versions {
		if x.Version == version && x.isAcked() {
			return x.Done
		}
	}
	return 0
}

// incarnation is one start of a daemon's process.
type incarnation struct {
	daemon string
	number int
}

// sighting is a try that shows which versions a daemon may have been using.
type sighting struct {
	handled
	try            *record.Try
	oldest, newest int // range of versions that would handle it that way
}

// checkConfigOrder checks that within one incarnation no daemon returns to an older version.
func checkConfigOrder(v *view, report reporter) {
	for in, list := range v.sightings() {
		for _, s := range list {
			for _, earlier := range list {
				if earlier.service != "" && s.try.Sent > earlier.at+v.GoBack && s.newest < earlier.oldest {
					report("%s handled %s according to version %d (%s) after %s had shown version %d",
						in.daemon, s.try.ID, s.newest, s.handled, earlier.try.ID, earlier.oldest)
					break
				}
			}
		}
	}
}

// sightings returns what the tries, in order, show of the versions in use, by incarnation.
func (v *view) sightings() map[incarnation][]sighting {
	all := map[incarnation][]sighting{}
	for _, t := range v.Tries {
		in := incarnation{t.Daemon, t.Life}
		for _, h := range v.handling(t) {
			s := sighting{handled: h, try: t, oldest: -1}
			for _, x := range v.versions {
				if !x.mayApply() || !x.explains(t, h) {
					continue
				}
				s.newest = x.Version
				if s.oldest < 0 {
					s.oldest = x.Version
				}
			}
			if s.oldest >= 0 {
				all[in] = append(all[in], s)
			}
		}
	}
	return all
}

// checkConfigAccepted checks that no invalid configuration is acknowledged, and that only one
// of several changes based on the same version is.
func checkConfigAccepted(v *view, report reporter) {
	accepted := map[int]*record.Change{} // by base
	for _, c := range v.Changes {
		if c.Status/100 != 2 {
			continue
		}
		if !c.Valid {
			report("version %d is invalid and was acknowledged", c.Version)
		}
		if other := accepted[c.Base]; other != nil && string(other.Config) != string(c.Config) {
			report("versions %d and %d, both based on %d, were acknowledged", other.Version, c.Version, c.Base)
		}
		accepted[c.Base] = c
	}
}

// checkReadback checks that the final configuration is the newest that was acknowledged,
// or a later one whose outcome is unknown, exactly as it was sent.
func checkReadback(v *view, report reporter) {
	if len(v.Readbacks) == 0 {
		return
	}
	r := v.Readbacks[len(v.Readbacks)-1]
	newest := -1
	for _, x := range v.versions {
		if x.isAcked() && x.Valid {
			newest = max(newest, x.Version)
		}
	}
	if newest < 0 {
		return
	}
	if r.Status != 200 {
		report("reading the configuration back was answered %d", r.Status)
		return
	}
	var got any
	if err := json.Unmarshal(r.Body, &got); err != nil {
		report("the configuration that was read back is not valid JSON: %v", err)
		return
	}
	for _, x := range v.versions {
		var want any
		if x.Version < newest || !x.mayApply() || json.Unmarshal(x.Config, &want) != nil {
			continue
		}
		if reflect.DeepEqual(got, want) {
			return
		}
	}
	report("read back %.200s, which is neither version %d nor a later one as sent", r.Body, newest)
}

const minLaterRequests = 20 // requests on later routes, below which their share is not significant

// checkLaterRoutes checks that on connected machines routes that were added later are
// served about as well as the initial ones.
func checkLaterRoutes(v *view, report reporter) {
	if len(v.versions) == 0 {
		return
	}
	type served struct{ all, ok int }
	var first, later served
	firstRoutes := v.versions[0].config.Routes
	for _, t := range v.Tries {
		if t.Route == "" || t.Probe || !v.inTouchThroughout(t.Daemon, t.Sent, t.End) {
			continue
		}
		on := &first
		if !slices.ContainsFunc(firstRoutes, func(r wire.Route) bool { return r.Name == t.Route }) {
			on = &later
		}
		on.all++
		if t.Served() {
			on.ok++
		}
	}
	if later.all < minLaterRequests || first.all == 0 {
		return
	}
	if float64(later.ok)/float64(later.all) < float64(first.ok)/float64(first.all)/4 {
		report("%d of %d requests on later routes were served, but %d of %d on the initial ones",
			later.ok, later.all, first.ok, first.all)
	}
}
