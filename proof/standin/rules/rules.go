// Package rules judges a run: it reports every broken rule, using only what the
// stand-ins observed on their sockets.
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

// Bounds are the limits that the rules check against.
type Bounds struct {
	InTouch     time.Duration // how long after a trouble of a machine or of the core the machine is exempt from bounds
	Drain       time.Duration // from the list showing a server as leaving until no request reaches it
	Grace       time.Duration // from a SIGTERM until requests may be cut
	LostSlack   time.Duration // a request cut off within this time after its last byte may not have been read
	Apply       time.Duration // from a version's acknowledgement until it is applied
	GoBack      time.Duration // between two requests that show the order in which versions were applied
	Evacuate    time.Duration // from an evacuation's acknowledgement until no request reaches the zone
	Recovery    time.Duration // from the machines' return until requests are served
	Lease       time.Duration // between the orders of two holders of a server
	RetryRatio  float64       // retries as a fraction of the requests
	RetryWindow time.Duration // retries are bounded in every window of this length
	RetrySlack  int           // retries that are allowed beyond the ratio
	ColdOverrun float64       // factor on a cold server's rate
	ColdSlack   float64       // requests that are allowed beyond that
	ChecksFence bool          // servers check fences themselves, so a lower one is not a fault

	QuotaWindow  time.Duration // a tenant's limit holds in every window of this length; 0: limits are not checked
	QuotaOverrun float64       // allowed excess as a fraction of the limit
	QuotaSlack   float64       // requests that are allowed beyond that
	Core         int           // machines in the core; 0: trouble of many at once does not suspend bounds
}

// Broken is one violation of a rule.
type Broken struct{ Rule, What string }

// String returns the rule and the description of the violation.
//
// Example: fmt.Println(b)
func (b Broken) String() string { return b.Rule + ": " + b.What }

// reporter reports a violation; its arguments are those of fmt.Printf.
type reporter func(format string, args ...any)

// Rules lists the checks with the name of their rule; a rule may have several checks.
var Rules = []struct {
	Name  string
	check func(*view, reporter)
}{
	{"MIXED", checkAnswers},
	{"MIXED", checkHandles},
	{"ORDER", checkStreams},
	{"UNASKED", checkAsSent},
	{"TWICE", checkRunOnce},
	{"REFUSED", checkRefusals},
	{"DENIED", checkDenials},
	{"ROUTE", checkRoutes},
	{"DRAIN", checkDrained},
	{"EVAC", checkEvacuated},
	{"LOST", checkPlannedWork},
	{"LOST", checkEvacuationKept},
	{"CONFIG", checkConfigApplied},
	{"CONFIG", checkConfigOrder},
	{"CONFIG", checkConfigAccepted},
	{"CONFIG", checkReadback},
	{"CONFIG", checkLaterRoutes},
	{"CONFIG", checkLinear},
	{"CONFIG", checkStaleReads},
	{"BUDGET", checkRetries},
	{"FAILBACK", checkColdServers},
	{"ONE", checkHolders},
	{"RECOVER", checkRecovery},
	{"GONE", checkClientsLeft},
	{"LOST", checkClosed},
	{"UNASKED", checkTenants},
	{"ROUTE", checkKeys},
	{"CONFIG", checkKeysApplied},
	{"DENIED", checkKeysKnown},
	{"QUOTA", checkQuotas},
}

const maxReported = 20 // violations per check

// Check applies every rule.
//
// Example: for _, b := range rules.Check(log.Copy(), bounds) { fmt.Println(b) }
func Check(all record.All, bounds Bounds) (broken []Broken) {
	v := newView(all, bounds)
	for _, rule := range Rules {
		reported := 0
		rule.check(v, func(format string, args ...any) {
			if reported++; reported <= maxReported {
				broken = append(broken, Broken{rule.Name, fmt.Sprintf(format, args...)})
			}
		})
	}
	return broken
}

// version is a configuration that the operator sent.
type version struct {
	*record.Change
	config wire.Config
}

func (v version) isAcked() bool { return v.Status/100 == 2 }

// mayApply reports whether the version may ever be applied: it is valid and was not refused.
func (v version) mayApply() bool { return v.Valid && (v.Status == 0 || v.isAcked()) }

// view indexes a record for the checks.
type view struct {
	record.All
	Bounds
	tries    map[string]*record.Try       // by id
	arrivals map[string][]*record.Arrival // by attempt, in order
	seals    map[string]*record.Arrival   // by the issued seal
	lives    map[string]*record.Life      // of servers, by id
	versions []version                    // by number, without changes whose configuration does not parse
	routes   map[string]wire.Route        // by name, as in the last change that has it
}

// newView indexes a record.
func newView(all record.All, bounds Bounds) *view {
	v := &view{
		All:      all,
		Bounds:   bounds,
		tries:    map[string]*record.Try{},
		arrivals: map[string][]*record.Arrival{},
		seals:    map[string]*record.Arrival{},
		lives:    map[string]*record.Life{},
		routes:   map[string]wire.Route{},
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
		if json.Unmarshal(c.Config, &x.config) == nil {
			v.versions = append(v.versions, x)
			for _, r := range x.config.Routes {
				v.routes[r.Name] = r
			}
		}
	}
	slices.SortStableFunc(v.versions, func(a, b version) int { return a.Version - b.Version })
	return v
}

// repeatable reports whether a try's request may run more than once. A request without
// a known route may.
func (v *view) repeatable(t *record.Try) bool {
	r, ok := v.routes[t.Route]
	return !ok || r.Repeatable()
}

// inTouch reports whether bounds apply to a daemon's machine at a moment.
func (v *view) inTouch(daemon string, at time.Duration) bool {
	coreAway := map[string]bool{} // core machines with a recent trouble
	for _, t := range v.Troubles {
		if t.Hup {
			continue
		}
		active := at >= t.From && (t.To == 0 || at <= t.To+v.InTouch)
		if active && t.Core {
			coreAway[t.Daemon] = true
			if v.Core > 0 && 2*len(coreAway) >= v.Core {
				return false
			}
		}
		if active && t.Daemon == daemon {
			return false
		}
		if t.Core && (v.isSoonAfter(t.From, at) || v.isSoonAfter(t.To, at)) {
			return false
		}
	}
	return true
}

// isSoonAfter reports whether a moment is within the InTouch bound after an event; 0 means
// that there was no event.
func (v *view) isSoonAfter(event, at time.Duration) bool {
	return event > 0 && at >= event && at <= event+v.InTouch
}

// inTouchThroughout reports whether bounds apply to a daemon's machine from one moment to
// another.
func (v *view) inTouchThroughout(daemon string, from, to time.Duration) bool {
	for at := from; at < to; at += v.InTouch / 4 {
		if !v.inTouch(daemon, at) {
			return false
		}
	}
	return v.inTouch(daemon, to)
}

// pathOf returns a request target without its query.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}

// seconds converts a duration for printing.
func seconds(d time.Duration) float64 { return d.Seconds() }
