package rules

import (
	"encoding/json"
	"reflect"
	"slices"
	"time"

	"mulleinmast/proof/standin/record"
	"mulleinmast/proof/standin/wire"
)

// handled is how a request was handled: run by a service, or told that there is
// no such route.
type handled struct {
	service string // none: 404
	at      time.Duration
}

// String says it for a message.
//
// Example: report("%s was %s", t.ID, h)
func (h handled) String() string {
	if h.service == "" {
		return "told 404"
	}
	return "run by " + h.service
}

// handling lists what a try shows of the configuration in force.
func (v *view) handling(t *record.Try) (out []handled) {
	for _, a := range v.arrivals[t.ID] {
		if a.Out == record.Ran || a.Out == record.Read {
			out = append(out, handled{a.Service, a.At})
		}
	}
	if t.Status == 404 && t.Seal == "" {
		out = append(out, handled{"", t.End})
	}
	return out
}

// fits reports whether a version handles a try so.
func (x version) fits(t *record.Try, h handled) bool {
	r, ok := x.config.Match(t.Host, pathOf(t.Target))
	if h.service == "" {
		return !ok
	}
	return ok && slices.Contains(r.Services(), h.service)
}

// checkConfigApplied: soon after a version was acknowledged, no machine in touch
// goes by an older one; what was refused is never in force.
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
				report("%s (%s%s) was %s by %s as in version %d, %.2fs after version %d was acknowledged",
					t.ID, t.Host, t.Target, h, t.Daemon, older, seconds(t.Sent-v.ackedAt(oldest)), oldest)
			case older == 0 && refused > 0:
				report("%s (%s%s) was %s by %s as in version %d, which was refused",
					t.ID, t.Host, t.Target, h, t.Daemon, refused)
			}
		}
	}
}

// oldestAllowed is the newest version that was acknowledged long enough before a
// moment to be in force everywhere then; -1: none.
func (v *view) oldestAllowed(at time.Duration) int {
	oldest := -1
	for _, x := range v.versions {
		if x.mayApply() && x.isAcked() && x.Done+v.Apply < at {
			oldest = max(oldest, x.Version)
		}
	}
	return oldest
}

// versionsShown sorts the versions that handle a try so: whether one of them is
// allowed, and the newest that is older than that or was refused (0: none).
func (v *view) versionsShown(t *record.Try, h handled, oldest int) (allowed bool, older, refused int) {
	for _, x := range v.versions {
		switch fits := x.fits(t, h); {
		case !fits || x.Sent > h.at:
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

// ackedAt is when a version was acknowledged.
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

// sighting is a try that shows which versions were in force at a daemon.
type sighting struct {
	handled
	try            *record.Try
	oldest, newest int // versions that handle it so
}

// checkConfigOrder: within one incarnation no daemon returns to an older version.
func checkConfigOrder(v *view, report reporter) {
	for in, list := range v.sightings() {
		for _, s := range list {
			for _, earlier := range list {
				if earlier.service != "" && s.try.Sent > earlier.at+v.GoBack && s.newest < earlier.oldest {
					report("%s handled %s as in version %d (%s) after %s had shown version %d",
						in.daemon, s.try.ID, s.newest, s.handled, earlier.try.ID, earlier.oldest)
					break
				}
			}
		}
	}
}

// sightings lists what tries show of the versions in force, in their order.
func (v *view) sightings() map[incarnation][]sighting {
	all := map[incarnation][]sighting{}
	for _, t := range v.Tries {
		in := incarnation{t.Daemon, t.Life}
		for _, h := range v.handling(t) {
			s := sighting{handled: h, try: t, oldest: -1}
			for _, x := range v.versions {
				if !x.mayApply() || !x.fits(t, h) {
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

// checkConfigAccepted: no invalid configuration is acknowledged, and of two on top of the
// same version one.
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
			report("versions %d and %d, both on top of %d, were acknowledged", other.Version, c.Version, c.Base)
		}
		accepted[c.Base] = c
	}
}

// checkReadback: at the end the configuration is the newest that was acknowledged,
// or a later one without a clear answer, as it was sent.
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
		report("the configuration can't be read back: %d", r.Status)
		return
	}
	var got any
	if err := json.Unmarshal(r.Body, &got); err != nil {
		report("the configuration reads back as no JSON: %v", err)
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
	report("reads back as %.200s, which is neither version %d nor a later one as sent", r.Body, newest)
}

const minLaterRequests = 20 // requests on later routes, for their share to say something

// checkLaterRoutes: in calm times the routes that were added later are served as the
// first ones are.
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
		report("%d of %d requests on later routes were served, %d of %d on the first ones",
			later.ok, later.all, first.ok, first.all)
	}
}
