// Package judge joins the journals of stand-in servers, clients, operators
// and watchers and names every rule that was broken. It knows the users'
// rules, not the fleet's code; simulated runs and real processes are judged
// alike.
package judge

import (
	"fmt"
	"sort"

	"mulleinmast/proof/history"
)

// Bounds are the rules' figures. Times are in nanoseconds, as those of events.
type Bounds struct {
	Drain        int64   // a server that is known to leave gets no new work after it
	Evacuation   int64   // the same, of the servers of an evacuated zone
	LeaderChange int64   // between the orders of two holders of a server
	Apply        int64   // from a plan's acknowledgement until it is in force everywhere
	Recovery     int64   // from the end of a loss until a client of each zone has a whole answer
	RetryRatio   float64 // retries, as a part of the first attempts
	RetryWindow  int64   // retries are bounded in every window of this length
}

// Default is the bounds that the users named.
//
// Example: rows := judge.All(events, judge.Default())
func Default() Bounds {
	return Bounds{
		Drain:        3e9,
		Evacuation:   5e9,
		LeaderChange: 3e9,
		Apply:        2e9,
		Recovery:     12e9,
		RetryRatio:   0.2,
		RetryWindow:  12e9,
	}
}

// Break is one rule broken once.
type Break struct {
	Rule string
	What string
}

// String prints a break.
//
// Example: fmt.Println(b)
func (b Break) String() string { return b.Rule + ": " + b.What }

// reporter takes what breaks a rule, in the form of fmt.Printf.
type reporter = func(format string, args ...any)

// Rules are the checks by name. A check gets the events in the order of their
// time.
var Rules = []struct {
	Name  string
	check func(events []history.Event, bounds Bounds, report reporter)
}{
	{"once", checkOnce},
	{"refused", checkRefused},
	{"foreign", checkForeignCache},
	{"stream", checkStreams},
	{"whole", checkComplete},
	{"final", checkFinal},
	{"answered", checkAnswered},
	{"told", checkRetryAfter},
	{"holders", checkHolders},
	{"leaving", checkLeaving},
	{"evacuated", checkEvacuated},
	{"retries", checkRetries},
	{"flood", checkWarmUp},
	{"plan-race", checkPlanRace},
	{"plan-refused", checkPlanRefused},
	{"plan-back", checkPlanOrder},
	{"plan-late", checkPlanApplied},
	{"plan-old", checkPlanAnswers},
	{"recovery", checkRecovery},
	{"linear", checkLinear},
}

// maxBreaks is how many breaks of one rule are reported.
const maxBreaks = 20

// All applies every rule to events in any order.
//
// Example: for _, b := range judge.All(events, judge.Default()) { fmt.Println(b) }
func All(events []history.Event, bounds Bounds) (breaks []Break) {
	ordered := append([]history.Event(nil), events...)
	sort.SliceStable(ordered, func(i, j int) bool { return ordered[i].At < ordered[j].At })
	for _, rule := range Rules {
		reported := 0
		rule.check(ordered, bounds, func(format string, args ...any) {
			if reported++; reported <= maxBreaks {
				breaks = append(breaks, Break{rule.Name, fmt.Sprintf(format, args...)})
			}
		})
	}
	return breaks
}

// seconds is a time of events as it is printed.
func seconds(nanoseconds int64) float64 { return float64(nanoseconds) / 1e9 }
