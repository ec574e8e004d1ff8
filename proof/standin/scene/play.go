package scene

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"

	"mulleinmast/proof/standin/record"
	"mulleinmast/proof/standin/rules"
)

// countTries counts the finished tries of clients: all, those that were served, and all by
// outcome.
func (w *World) countTries() (all, served int, ends map[string]int) {
	ends = map[string]int{}
	w.Log.Count(func(a *record.All) int {
		for _, t := range a.Tries {
			if t.ID == "" || t.Probe || t.End == 0 {
				continue
			}
			all++
			switch {
			case t.Served():
				served++
				ends["served"]++
			case t.Status == 0 && len(t.Pieces) == 0:
				ends["no answer"]++
			case !t.Complete:
				ends["broken off"]++
			default:
				ends[fmt.Sprint(t.Status)]++
			}
		}
		return 0
	})
	return all, served, ends
}

// countArrivals counts what became of arrivals at servers, and orders.
func (w *World) countArrivals() map[string]int {
	out := map[string]int{}
	w.Log.Count(func(a *record.All) int {
		for _, x := range a.Arrivals {
			switch {
			case x.Out == record.Ran && x.HandleOf != "":
				out["handed over"]++
			case x.Out == record.Ran && x.After > 0:
				out["gone on with"]++
			case x.Out == record.Open:
				out["open"]++
			default:
				out[x.Out]++
			}
		}
		if n := len(a.Orders); n > 0 {
			out["orders"] = n
		}
		return 0
	})
	return out
}

// Report is the result of a scene.
type Report struct {
	Notes  []string
	Broken []rules.Broken
	All    int
	Served int
	Ends   map[string]int
	Calls  int            // to the server list
	Denied int            // calls to the server list over its rate
	Seen   map[string]int // arrivals at servers by outcome, and orders
	Failed bool
}

// String formats the report as lines of text.
//
// Example: fmt.Print(rep)
func (r Report) String() string {
	out := strings.Join(r.Notes, "\n") + fmt.Sprintf("\n%d tries, %d served: %v; at servers %v; %d calls to the list, %d of them over its rate\n", r.All, r.Served, r.Ends, r.Seen, r.Calls, r.Denied)
	for _, b := range r.Broken {
		out += "BROKEN " + b.String() + "\n"
	}
	return out
}

// faultTexts are texts that must not occur in a daemon's log.
var faultTexts = []string{"panic", "fatal error", "trouble invariant"}

// searchLogs fails the scene if a daemon logged a panic or a violated invariant.
func (w *World) searchLogs() {
	for _, m := range w.Fleet.All() {
		text, err := os.ReadFile(w.Fleet.LogOf(m))
		if err != nil {
			w.Fail("%v", err)
			continue
		}
		for line := range strings.SplitSeq(string(text), "\n") {
			if slices.ContainsFunc(faultTexts, func(part string) bool { return strings.Contains(line, part) }) {
				w.Fail("%s logged: %.300s", m.Name, line)
				break
			}
		}
	}
}

// Play starts a deployment, plays a scene on it and checks the rules.
//
// Example: rep, err := scene.Play(ctx, cfg, scene.Scenes["calm"])
func Play(ctx context.Context, c Config, s Scene) (Report, error) {
	w, err := New(c)
	defer w.Stop()
	if err == nil {
		err = w.Start(ctx)
	}
	if err != nil {
		return Report{}, err
	}
	w.WaitServed(ctx, int(c.Rate))
	s(ctx, w)
	w.WaitServed(ctx, int(c.Rate))
	w.Op.ReadBack(ctx)
	calls, denied := w.Cloud.Calls()
	w.Stop()
	w.searchLogs()
	rep := Report{Calls: calls, Denied: denied, Notes: w.notes, Failed: w.failed}
	rep.All, rep.Served, rep.Ends = w.countTries()
	rep.Seen = w.countArrivals()
	rep.Broken = rules.Check(w.Log.Copy(), w.Bounds)
	return rep, nil
}
