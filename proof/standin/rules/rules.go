// Package rules is the judge: it names every rule that was broken, from what
// the stand-ins saw on their sockets alone.
package rules

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"mulleinmast/proof/standin/record"
	"mulleinmast/proof/standin/wire"
)

// Bounds are the rules' figures.
type Bounds struct {
	InTouch, Drain, Grace, LostSlack, Apply, GoBack, Evacuate, Recovery, Lease time.Duration
	RetryRatio                                                                 float64
	RetryWindow                                                                time.Duration
	RetrySlack                                                                 int
	ColdOverrun, ColdSlack                                                     float64
	ChecksFence                                                                bool
	Core                                                                       int // machines that make up the core; 0: as many as keep it settled
}

// Broken is one rule broken once.
type Broken struct{ Rule, What string }

// String prints it.
//
// Example: fmt.Println(b)
func (b Broken) String() string { return b.Rule + ": " + b.What }

type say func(how string, args ...any)

// Rules are the checks by name; a name may stand for several.
var Rules = []struct {
	Name  string
	check func(*view, say)
}{
	{"MIXED", mixed},
	{"MIXED", handles},
	{"ORDER", order},
	{"UNASKED", unasked},
	{"TWICE", twice},
	{"REFUSED", refused},
	{"DENIED", denied},
	{"ROUTE", routed},
	{"DRAIN", drained},
	{"EVAC", evacuated},
	{"LOST", planned},
	{"LOST", kept},
	{"CONFIG", configured},
	{"CONFIG", wentBack},
	{"CONFIG", taken},
	{"CONFIG", readBack},
	{"CONFIG", later},
	{"CONFIG", inOrder},
	{"CONFIG", stale},
	{"BUDGET", further},
	{"FAILBACK", flooded},
	{"ONE", holders},
	{"RECOVER", recovered},
	{"GONE", gone},
	{"LOST", closed},
}

const mostTold = 20 // of one check

// Check applies every rule.
//
// Example: for _, b := range rules.Check(log.Copy(), bounds) { fmt.Println(b) }
func Check(all record.All, b Bounds) (out []Broken) {
	v := newView(all, b)
	for _, r := range Rules {
		n := 0
		r.check(v, func(how string, args ...any) {
			if n++; n <= mostTold {
				out = append(out, Broken{r.Name, fmt.Sprintf(how, args...)})
			}
		})
	}
	return out
}

// version is a configuration that was sent.
type version struct {
	*record.Change
	cfg wire.Config
}

func (v version) acked() bool { return v.Status/100 == 2 }

// may tells whether it may be in force at all: it is valid and was not refused.
func (v version) may() bool { return v.Valid && (v.Status == 0 || v.acked()) }

// view is what was seen, laid out for the checks.
type view struct {
	record.All
	Bounds
	tries    map[string]*record.Try
	arrivals map[string][]*record.Arrival // by attempt, in order
	seals    map[string]*record.Arrival
	lives    map[string]*record.Life
	versions []version // by number; what has no configuration is left out
	routes   map[string]wire.Route
}

func newView(all record.All, b Bounds) *view {
	v := &view{
		All: all, Bounds: b, tries: map[string]*record.Try{}, arrivals: map[string][]*record.Arrival{}, seals: map[string]*record.Arrival{},
		lives: map[string]*record.Life{}, routes: map[string]wire.Route{},
	}
	for _, t := range all.Tries {
		if t.ID != "" {
			v.tries[t.ID] = t
		}
	}
	v.Arrivals = slices.Clone(all.Arrivals)
	slices.SortStableFunc(v.Arrivals, func(a, b *record.Arrival) int { return int(a.At - b.At) })
	for _, a := range v.Arrivals {
		v.arrivals[a.Attempt] = append(v.arrivals[a.Attempt], a)
		if a.Seal != "" {
			v.seals[a.Seal] = a
		}
	}
	for _, l := range all.Lives {
		v.lives[l.ID] = l
	}
	for _, c := range all.Changes {
		x := version{Change: c}
		if json.Unmarshal(c.Config, &x.cfg) == nil {
			v.versions = append(v.versions, x)
			for _, r := range x.cfg.Routes {
				v.routes[r.Name] = r
			}
		}
	}
	slices.SortStableFunc(v.versions, func(a, b version) int { return a.Version - b.Version })
	return v
}

// repeatable tells whether a try's request may run more than once; one on no
// route at all may.
func (v *view) repeatable(t *record.Try) bool {
	r, ok := v.routes[t.Route]
	return !ok || r.Repeatable()
}

// inTouch tells whether bounds hold for a daemon's machine at a moment.
func (v *view) inTouch(daemon string, at time.Duration) bool {
	near := func(event time.Duration) bool { return event > 0 && at >= event && at <= event+v.InTouch }
	away := map[string]bool{} // core machines that were in trouble of late
	for _, t := range v.Troubles {
		if t.Hup {
			continue
		}
		if t.Core && at >= t.From && (t.To == 0 || at <= t.To+v.InTouch) {
			if away[t.Daemon] = true; v.Core > 0 && 2*len(away) >= v.Core {
				return false
			}
		}
		if t.Daemon == daemon && at >= t.From && (t.To == 0 || at <= t.To+v.InTouch) {
			return false
		}
		if t.Core && (near(t.From) || near(t.To)) {
			return false
		}
	}
	return true
}

// through tells whether a machine is in touch from one moment to another.
func (v *view) through(daemon string, from, to time.Duration) bool {
	for at := from; at < to; at += v.InTouch / 4 {
		if !v.inTouch(daemon, at) {
			return false
		}
	}
	return v.inTouch(daemon, to)
}

func path(target string) string {
	p, _, _ := strings.Cut(target, "?")
	return p
}

func sec(d time.Duration) float64 { return d.Seconds() }
