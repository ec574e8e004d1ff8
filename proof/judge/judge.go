// Package judge merges the event histories of fake servers, clients, operators
// and monitors and reports every violated rule. It implements the users' rules
// and does not depend on the fleet's code, so that simulated runs and runs of
// real processes are checked alike.
package judge

import (
	"fmt"
	"sort"

	"mulleinmast/proof/history"
)

// Bounds are the limits of the rules. Times are in nanoseconds, as in events.
type Bounds struct {
	Drain        int64   // from the notice that a server leaves until it gets no new work
	Evacuation   int64   // from the evacuation of a zone until its servers get no new work
	LeaderChange int64   // least time between the orders of two holders of a server
	Apply        int64   // from the acknowledgement of a plan until every daemon serves by it
	Recovery     int64   // from the end of a failure until a client of each zone gets a complete answer
	RetryRatio   float64 // retries per first attempt
	RetryWindow  int64   // the ratio holds in every window of this length
}

// Default returns the bounds of the users' requirements.
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

// Break is one violation of a rule.
type Break struct {
	Rule string
	What string
}

// String formats a violation as "rule: description".
//
// Example: fmt.Println(b)
func (b Break) String() string { return b.Rule + ": " + b.What }

// reporter records a violation; its arguments are those of fmt.Printf.
type reporter = func(format string, args ...any)

// Rules are the checks by name. A check receives the events sorted by time.
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

// maxBreaks is the number of violations reported per rule.
const maxBreaks = 20

// All applies every rule to the events, which may be in any order.
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

// seconds converts a time of an event for printing.
func seconds(nanoseconds int64) float64 { return float64(nanoseconds) / 1e9 }
