package nativeapi

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"

	"mulleinmast/control/daemon"
	"mulleinmast/control/leadercall"
	"mulleinmast/traffic/scheduler"
)

// traceRing keeps the traces of the last requests for the query shell.
type traceRing struct {
	mu     sync.Mutex // guards the fields below
	traces [maxTraces]scheduler.Trace
	count  int // number of traces ever added
}

func (t *traceRing) add(trace scheduler.Trace) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.traces[t.count%maxTraces] = trace
	t.count++
}

// find returns the traces of a request, oldest first; the ID "all" selects all traces.
func (t *traceRing) find(id string) []any {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := []any{}
	for i := max(0, t.count-maxTraces); i < t.count; i++ {
		if trace := t.traces[i%maxTraces]; id == "all" || trace.Request == id {
			found = append(found, trace)
		}
	}
	return found
}

// handleWhy answers with the traces that explain a request's result.
func (a *API) handleWhy(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("request")
	found := a.traces.find(id)
	for _, explain := range a.daemon.Explainers {
		found = append(found, explain(id)...)
	}
	if len(found) == 0 {
		daemon.Respond(w, http.StatusNotFound, leadercall.Response{
			Result: "not known", Reason: "this daemon has no such request among its last " + fmt.Sprint(maxTraces),
		})
		return
	}
	daemon.Respond(w, http.StatusOK, found)
}

// counts returns the sums of the dispatchers' counters, and the number of refusals by reason.
func (a *API) counts() (counts, refusedByReason map[string]int64) {
	var sum scheduler.Counts
	refusedByReason = map[string]int64{}
	for d := range a.allDispatchers() {
		d.mu.Lock()
		c := d.Counts()
		d.mu.Unlock()
		sum.FirstSends += c.FirstSends
		sum.Retries += c.Retries
		sum.Served += c.Served
		sum.Refused += c.Refused
		sum.Uncertain += c.Uncertain
		sum.Broken += c.Broken
		sum.Duplicates += c.Duplicates
		sum.Abandoned += c.Abandoned
		sum.WastedPrefills += c.WastedPrefills
		sum.CachedParts += c.CachedParts
		sum.PromptParts += c.PromptParts
		for reason, n := range c.RefusedByReason {
			refusedByReason[reason] += n
		}
	}
	refusedEarly := a.refusedEarly.Load()
	if refusedEarly > 0 {
		refusedByReason["before a lane"] = refusedEarly
	}
	return map[string]int64{
		"first_tries": sum.FirstSends, "retries": sum.Retries, "served": sum.Served,
		"shed": sum.Refused + refusedEarly, "uncertain": sum.Uncertain, "broken": sum.Broken,
		"duplicates": sum.Duplicates, "gone": sum.Abandoned, "bad": a.badRequests.Load(),
		"wasted_prefills": sum.WastedPrefills, "prefix_parts_held": sum.CachedParts, "prefix_parts": sum.PromptParts,
		"open": a.inFlight.Load(),
	}, refusedByReason
}

// trafficState returns the queues and counters for the daemon's state dump.
func (a *API) trafficState() map[string]any {
	queues := map[string]any{}
	for d := range a.allDispatchers() {
		d.mu.Lock()
		r, valid := d.Report(), d.HasValidShare(a.daemon.Now())
		d.mu.Unlock()
		intervals := [2]int64{r.SlotInterval[0].Milliseconds(), r.SlotInterval[1].Milliseconds()}
		queues[d.Service()] = map[string]any{
			"waiting": r.Waiting, "held": r.InFlight, "share": r.Share, "share_valid": valid, "pace_ms": intervals,
		}
	}
	counts, refusedByReason := a.counts()
	return map[string]any{"counts": counts, "queues": queues, "sheds": refusedByReason}
}

// handleMetrics writes the metrics in the Prometheus text format.
func (a *API) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	counts, refusedByReason := a.counts()
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		_, _ = fmt.Fprintf(w, "mulleinmast_%s %d\n", name, counts[name])
	}
	for _, reason := range slices.Sorted(maps.Keys(refusedByReason)) {
		_, _ = fmt.Fprintf(w, "mulleinmast_refusals{why=%q} %d\n", reason, refusedByReason[reason])
	}
	a.daemon.WriteMetrics(w)
}
