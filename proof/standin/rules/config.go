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
// Example: bad("%s was %s", t.ID, h)
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

// fits tells whether a version handles a try so.
func (x version) fits(t *record.Try, h handled) bool {
	r, ok := x.cfg.Match(t.Host, path(t.Target))
	if h.service == "" {
		return !ok
	}
	return ok && slices.Contains(r.Services(), h.service)
}

// configured: soon after a version was acknowledged, no machine in touch goes
// by an older one; what was refused is never in force.
func configured(v *view, bad say) {
	for _, t := range v.Tries {
		floor := -1 // the newest version that was acknowledged long enough before
		for _, x := range v.versions {
			if x.may() && x.acked() && x.Done+v.Apply < t.Sent {
				floor = max(floor, x.Version)
			}
		}
		for _, h := range v.handling(t) {
			now, old, never := false, 0, 0
			for _, x := range v.versions {
				switch fits := x.fits(t, h); {
				case !fits || x.Sent > h.at:
				case !x.may():
					never = x.Version
				case x.Version >= floor:
					now = true
				default:
					old = x.Version
				}
			}
			switch {
			case now || floor < 0:
			case old > 0 && v.through(t.Daemon, t.Sent, h.at):
				bad("%s (%s%s) was %s by %s as in version %d, %.2fs after version %d was acknowledged", t.ID, t.Host, t.Target, h, t.Daemon, old, sec(t.Sent-v.at(floor)), floor)
			case old == 0 && never > 0:
				bad("%s (%s%s) was %s by %s as in version %d, which was refused", t.ID, t.Host, t.Target, h, t.Daemon, never)
			}
		}
	}
}

// at is when a version was acknowledged.
func (v *view) at(version int) time.Duration {
	for _, x := range v.versions {
		if x.Version == version && x.acked() {
			return x.Done
		}
	}
	return 0
}

// wentBack: within one life of its process no daemon goes back to an older
// version.
func wentBack(v *view, bad say) {
	type life struct {
		daemon string
		n      int
	}
	type effect struct {
		at, sent    time.Duration
		least, most int // versions that handle it so
		t           *record.Try
		h           handled
	}
	all := map[life][]effect{}
	for _, t := range v.Tries {
		for _, h := range v.handling(t) {
			e := effect{at: h.at, sent: t.Sent, least: -1, t: t, h: h}
			for _, x := range v.versions {
				if x.may() && x.fits(t, h) {
					if e.most = x.Version; e.least < 0 {
						e.least = x.Version
					}
				}
			}
			if e.least >= 0 {
				k := life{t.Daemon, t.Life}
				all[k] = append(all[k], e)
			}
		}
	}
	for k, list := range all {
		for _, e := range list {
			for _, was := range list {
				if was.h.service != "" && e.sent > was.at+v.GoBack && e.most < was.least {
					bad("%s handled %s as in version %d (%s) after %s had shown version %d", k.daemon, e.t.ID, e.most, e.h, was.t.ID, was.least)
					break
				}
			}
		}
	}
}

// taken: no invalid configuration is acknowledged, and of two on top of the
// same version one.
func taken(v *view, bad say) {
	won := map[int]*record.Change{}
	for _, c := range v.Changes {
		if c.Status/100 != 2 {
			continue
		}
		if !c.Valid {
			bad("version %d is invalid and was acknowledged", c.Version)
		}
		if w := won[c.Base]; w != nil && string(w.Config) != string(c.Config) {
			bad("versions %d and %d, both on top of %d, were acknowledged", w.Version, c.Version, c.Base)
		}
		won[c.Base] = c
	}
}

// readBack: at the end the configuration is the newest that was acknowledged,
// or a later one without a clear answer, as it was sent.
func readBack(v *view, bad say) {
	if len(v.Readbacks) == 0 {
		return
	}
	r := v.Readbacks[len(v.Readbacks)-1]
	newest := -1
	for _, x := range v.versions {
		if x.acked() && x.Valid {
			newest = max(newest, x.Version)
		}
	}
	if newest < 0 {
		return
	}
	if r.Status != 200 {
		bad("the configuration can't be read back: %d", r.Status)
		return
	}
	var got any
	if err := json.Unmarshal(r.Body, &got); err != nil {
		bad("the configuration reads back as no JSON: %v", err)
		return
	}
	for _, x := range v.versions {
		var want any
		if x.Version >= newest && x.may() && json.Unmarshal(x.Config, &want) == nil && reflect.DeepEqual(got, want) {
			return
		}
	}
	bad("reads back as %.200s, which is neither version %d nor a later one as sent", r.Body, newest)
}

const fewest = 20 // requests on later routes, for their share to say something

// later: in calm times the routes that were added later are served as the
// first ones are.
func later(v *view, bad say) {
	if len(v.versions) == 0 {
		return
	}
	var n, ok [2]int
	for _, t := range v.Tries {
		if t.Route == "" || t.Probe || !v.through(t.Daemon, t.Sent, t.End) {
			continue
		}
		k := 0
		if !slices.ContainsFunc(v.versions[0].cfg.Routes, func(r wire.Route) bool { return r.Name == t.Route }) {
			k = 1
		}
		n[k]++
		if t.Served() {
			ok[k]++
		}
	}
	if n[1] >= fewest && n[0] > 0 && float64(ok[1])/float64(n[1]) < float64(ok[0])/float64(n[0])/4 {
		bad("%d of %d requests on later routes were served, %d of %d on the first ones", ok[1], n[1], ok[0], n[0])
	}
}
