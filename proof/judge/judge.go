// Package judge joins the journals of stand-in servers, clients, operators
// and watchers and names every rule that was broken. It knows the users'
// rules, not the fleet's code; simulated runs and real processes are judged
// alike.
package judge

import (
	"fmt"
	"slices"
	"sort"

	"mulleinmast/proof/history"
)

// Bounds are the rules' figures.
type Bounds struct {
	Leave, Evacuate, Swap, Plan, Recover int64 // nanoseconds
	Retry                                float64
	Window                               int64 // retries are bounded in every window of this length
}

// Default is the bounds that the users named.
//
// Example: rows := judge.All(events, judge.Default())
func Default() Bounds {
	return Bounds{Leave: 3e9, Evacuate: 5e9, Swap: 3e9, Plan: 2e9, Recover: 12e9, Retry: 0.2, Window: 12e9}
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

// Rules are the checks by name.
var Rules = []struct {
	Name  string
	check func([]history.Event, Bounds, func(string, ...any))
}{
	{"once", once},
	{"refused", refused},
	{"foreign", foreign},
	{"stream", streams},
	{"whole", whole},
	{"final", final},
	{"answered", answered},
	{"told", told},
	{"holders", holders},
	{"leaving", leaving},
	{"evacuated", evacuated},
	{"retries", retries},
	{"flood", flood},
	{"plan-race", races},
	{"plan-refused", refusedPlans},
	{"plan-back", fallsBack},
	{"plan-late", late},
	{"plan-old", old},
	{"recovery", recovery},
	{"linear", linear},
}

// All applies every rule to events in any order.
//
// Example: for _, b := range judge.All(events, judge.Default()) { fmt.Println(b) }
func All(events []history.Event, b Bounds) (out []Break) {
	ev := append([]history.Event(nil), events...)
	sort.SliceStable(ev, func(i, j int) bool { return ev[i].At < ev[j].At })
	for _, r := range Rules {
		n := 0
		r.check(ev, b, func(how string, args ...any) {
			if n++; n <= 20 {
				out = append(out, Break{r.Name, fmt.Sprintf(how, args...)})
			}
		})
	}
	return out
}

func sec(ns int64) float64 { return float64(ns) / 1e9 }

// once: a request that may run only once never runs twice.
func once(ev []history.Event, _ Bounds, bad func(string, ...any)) {
	ran := map[string]string{}
	for _, e := range ev {
		if e.Ev != "decode" || e.Once == "" {
			continue
		}
		if by, ok := ran[e.Once]; ok {
			bad("key %s ran as %s and as %s", e.Once, by, e.Run)
		}
		ran[e.Once] = e.Run
	}
}

// refused: a refusal means that it was not run and never will be.
func refused(ev []history.Event, _ Bounds, bad func(string, ...any)) {
	no := map[string]bool{}
	for _, e := range ev {
		if e.Ev == "reply" && e.Result == "shed" && e.Request != "" {
			no[e.Request] = true
		}
	}
	ran := map[string]int64{}
	for _, e := range ev {
		if e.Ev == "decode" && no[e.Request] {
			bad("request %s was refused and ran on %s", e.Request, e.Who)
		}
		if _, ok := ran[e.Once]; e.Ev == "decode" && !ok {
			ran[e.Once] = e.At
		}
	}
	// Nor is a once key refused that had run before it was sent this time.
	for _, e := range ev {
		if at, ok := ran[e.Once]; e.Ev == "reply" && e.Result == "shed" && e.Once != "" && ok && at < e.At-e.Took {
			bad("key %s was refused to request %s after it had run", e.Once, e.Request)
		}
	}
}

// foreign: a decode server never takes up the KV cache of another request.
func foreign(ev []history.Event, _ Bounds, bad func(string, ...any)) {
	for _, e := range ev {
		if e.Ev == "decode" && e.CacheOf != e.Request {
			bad("%s decoded %s with the cache of %s", e.Who, e.Request, e.CacheOf)
		}
	}
}

// streams: what the client itself found wrong in a stream.
func streams(ev []history.Event, _ Bounds, bad func(string, ...any)) {
	for _, e := range ev {
		if e.Ev == "reply" && e.Result == "wrong" {
			bad("request %s: %s", e.Request, e.Why)
		}
	}
}

// whole: every whole answer is one ended run of that request, with its count.
func whole(ev []history.Event, _ Bounds, bad func(string, ...any)) {
	ended := map[string]history.Event{}
	for _, e := range ev {
		if e.Ev == "ended" {
			ended[e.Run] = e
		}
	}
	for _, e := range ev {
		if e.Ev != "reply" || e.Result != "ok" {
			continue
		}
		switch r, ok := ended[e.Run]; {
		case !ok:
			bad("request %s looks whole, but its run %q never ended", e.Request, e.Run)
		case r.Request != e.Request || r.Count != e.Count:
			bad("request %s took %d pieces, its run %s had %d for %s", e.Request, e.Count, e.Run, r.Count, r.Request)
		}
	}
}

// final: a request gets one final answer.
func final(ev []history.Event, _ Bounds, bad func(string, ...any)) {
	seen := map[string]string{}
	for _, e := range ev {
		if e.Ev == "reply" && e.Request != "" {
			if was, ok := seen[e.Request]; ok {
				bad("request %s was told %q and %q", e.Request, was, e.Result)
			}
			seen[e.Request] = e.Result
		}
	}
}

// answered: no request is left without a final answer.
func answered(ev []history.Event, _ Bounds, bad func(string, ...any)) {
	for _, e := range ev {
		if e.Ev == "reply" && e.Result == "hung" {
			bad("request %s at %s: no final answer %.1fs after it was sent", e.Request, e.Who, sec(e.Took))
		}
	}
}

// told: who is given up on is told when to come back.
func told(ev []history.Event, _ Bounds, bad func(string, ...any)) {
	for _, e := range ev {
		if e.Ev == "reply" && (e.Result == "shed" || e.Result == "uncertain") && e.After <= 0 {
			bad("request %s was told %q and not when to come back", e.Request, e.Result)
		}
	}
}

// holders: one holder at a time, and none within the swap bound of another.
func holders(ev []history.Event, b Bounds, bad func(string, ...any)) {
	by := map[string]history.Event{}
	for _, e := range ev {
		if e.Ev != "order" {
			continue
		}
		l, ok := by[e.Who]
		if ok && (l.Holder != e.Holder || l.Term != e.Term) && e.At-l.At < b.Swap {
			bad("%s ordered by %s/%d, %.2fs after %s/%d", e.Who, e.Holder, e.Term, sec(e.At-l.At), l.Holder, l.Term)
		}
		by[e.Who] = e
	}
}

func work(e history.Event) bool { return e.Ev == "prefill" || e.Ev == "decode" }

// leaving: nothing starts on a leaving server after the bound.
func leaving(ev []history.Event, b Bounds, bad func(string, ...any)) {
	since := map[string]int64{}
	for _, e := range ev {
		switch {
		case e.Ev == "leaving":
			since[e.Who] = e.At
		case e.Ev == "staying" || e.Ev == "boot":
			delete(since, e.Who)
		case work(e):
			if at, ok := since[e.Who]; ok && e.At-at > b.Leave {
				bad("%s got a %s %.2fs after it was known to leave", e.Who, e.Ev, sec(e.At-at))
			}
		}
	}
}

// evacuated: nothing starts in an evacuated zone after the bound.
func evacuated(ev []history.Event, b Bounds, bad func(string, ...any)) {
	since := map[string]int64{}
	zone := map[string]string{}
	for _, e := range ev {
		switch {
		case e.Ev == "boot":
			zone[e.Who] = e.Zone
		case e.Ev == "evacuated":
			since[e.Zone] = e.At
		case e.Ev == "returned":
			delete(since, e.Zone)
		case work(e):
			if at, ok := since[zone[e.Who]]; ok && e.At-at > b.Evacuate {
				bad("%s in %s got a %s %.2fs after its evacuation", e.Who, zone[e.Who], e.Ev, sec(e.At-at))
			}
		}
	}
}

// retries: tries beyond the first stay within the bound, over the whole and in
// every window: a retry follows its first try by up to a window, so the first
// tries of the window before count too. What reached a server counts, taken or
// turned away: a prefill beyond a request's first, and a decode beyond the
// request's prefills.
func retries(ev []history.Event, b Bounds, bad func(string, ...any)) {
	read, mk := map[string]int{}, map[string]int{}
	var first, again []int64
	for _, e := range ev {
		away := e.Ev == "shed" || e.Ev == "lapsed"
		switch {
		case e.Request == "":
		case e.Ev == "prefill" || away && e.Part == "reader":
			if read[e.Request]++; read[e.Request] == 1 {
				first = append(first, e.At)
			} else {
				again = append(again, e.At)
			}
		case e.Ev == "decode" || away && e.Part == "maker":
			if mk[e.Request]++; mk[e.Request] > max(1, read[e.Request]) {
				again = append(again, e.At)
			}
		}
	}
	i, j := 0, 0
	for k, at := range again {
		for i < len(first) && first[i] <= at-2*b.Window {
			i++
		}
		for again[j] <= at-b.Window {
			j++
		}
		n, _ := slices.BinarySearch(first, at+1)
		tries := n - i
		// A few more may fall into a window at its edges, where the daemons' own
		// windows don't begin and end together.
		if got := k - j + 1; float64(got) > b.Retry*float64(tries)*1.1+2 {
			bad("%d retries in the %.0fs that end at %.2fs, %d first tries in twice that", got, sec(b.Window), sec(at-ev[0].At), tries)
		}
	}
	if float64(len(again)) > b.Retry*float64(len(first))*1.1+2 {
		bad("%d retries over %d first tries in all", len(again), len(first))
	}
}

// flood: over its own warm-up a server never works at more than half of its
// slots.
func flood(ev []history.Event, _ Bounds, bad func(string, ...any)) {
	boot := map[string]history.Event{}
	for _, e := range ev {
		if e.Ev == "boot" {
			boot[e.Who] = e
		}
		if s, ok := boot[e.Who]; ok && work(e) && e.At-s.At < s.Warm && e.N > max(1, s.N/2) {
			bad("%s had %d of %d slots busy %.2fs after its start, its warm-up takes %.2fs", e.Who, e.N, s.N, sec(e.At-s.At), sec(s.Warm))
		}
	}
}

// recovery: after everything is back ("mended"), a client of every zone
// gets a whole answer within the bound.
func recovery(ev []history.Event, b Bounds, bad func(string, ...any)) {
	zones := map[string]bool{}
	for _, e := range ev {
		if e.Ev == "reply" && e.Zone != "" {
			zones[e.Zone] = true
		}
	}
	for _, m := range ev {
		if m.Ev != "mended" {
			continue
		}
		for zone := range zones {
			asked, ok, took := 0, false, int64(0)
			for _, e := range ev {
				if e.Ev == "reply" && e.Zone == zone && e.At >= m.At {
					asked++
					if e.Result == "ok" {
						ok, took = true, e.At-m.At
						break
					}
				}
			}
			if ok && took > b.Recover || !ok && asked > 0 && ev[len(ev)-1].At-m.At > b.Recover {
				bad("%s: no whole answer within %.0fs after the machines were back (%d asked, first after %.1fs)", zone, sec(b.Recover), asked, sec(took))
			}
		}
	}
}
