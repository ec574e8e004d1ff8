package nativeapi

import (
	"fmt"
	"iter"
	"maps"
	"net/http"
	"slices"

	"mulleinmast/control/daemon"
	"mulleinmast/control/leadercall"
	"mulleinmast/traffic/scheduler"
)

// tell keeps a request's story for the query shell.
func (d *API) tell(s scheduler.Trace) {
	d.mu.Lock()
	d.stories[d.told%explained] = s
	d.told++
	d.mu.Unlock()
}

func (d *API) why(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("request")
	d.mu.Lock()
	defer d.mu.Unlock()
	list := []any{}
	for i := max(0, d.told-explained); i < d.told; i++ {
		if s := d.stories[i%explained]; id == "all" || s.Request == id {
			list = append(list, s)
		}
	}
	for _, explain := range d.c.Explainers {
		list = append(list, explain(id)...)
	}
	if len(list) == 0 {
		daemon.Respond(w, 404, leadercall.Response{Result: "not known", Reason: "this daemon has no such request among its last " + fmt.Sprint(explained)})
		return
	}
	daemon.Respond(w, 200, list)
}

// numbers sums the lanes' counts, and why requests were refused.
func (d *API) numbers() (map[string]int64, map[string]int64) {
	var n scheduler.Counts
	why := map[string]int64{}
	for l := range d.all() {
		l.mu.Lock()
		c := l.Counts()
		l.mu.Unlock()
		n.FirstSends, n.Retries, n.Served, n.Refused = n.FirstSends+c.FirstSends, n.Retries+c.Retries, n.Served+c.Served, n.Refused+c.Refused
		n.Unknown, n.Broken, n.Duplicates, n.Abandoned = n.Unknown+c.Unknown, n.Broken+c.Broken, n.Duplicates+c.Duplicates, n.Abandoned+c.Abandoned
		n.WastedPrefills, n.CachedParts, n.PromptParts = n.WastedPrefills+c.WastedPrefills, n.CachedParts+c.CachedParts, n.PromptParts+c.PromptParts
		for k, v := range c.RefusalReasons {
			why[k] += v
		}
	}
	if early := d.early.Load(); early > 0 {
		why["before a lane"] = early
	}
	return map[string]int64{
		"first_tries": n.FirstSends, "retries": n.Retries, "served": n.Served, "shed": n.Refused + d.early.Load(), "uncertain": n.Unknown,
		"broken": n.Broken, "duplicates": n.Duplicates, "gone": n.Abandoned, "bad": d.bad.Load(), "wasted_prefills": n.WastedPrefills,
		"prefix_parts_held": n.CachedParts, "prefix_parts": n.PromptParts, "open": d.open.Load(),
	}, why
}

// all iterates over the lanes.
func (d *API) all() iter.Seq[*lane] {
	return func(yield func(*lane) bool) {
		d.lanes.Range(func(_, v any) bool { return yield(v.(*lane)) })
	}
}

func (d *API) more() map[string]any {
	queues := map[string]any{}
	for l := range d.all() {
		l.mu.Lock()
		r, left := l.Report(), l.HasValidShare(d.c.Now())
		l.mu.Unlock()
		queues[l.Service()] = map[string]any{"waiting": r.Waiting, "held": r.InFlight, "share": r.Share, "share_valid": left, "pace_ms": [2]int64{r.SlotInterval[0].Milliseconds(), r.SlotInterval[1].Milliseconds()}}
	}
	n, why := d.numbers()
	return map[string]any{"counts": n, "queues": queues, "sheds": why}
}

// metrics prints the numbers as plain lines that the usual collectors read.
func (d *API) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	n, why := d.numbers()
	for _, k := range slices.Sorted(maps.Keys(n)) {
		_, _ = fmt.Fprintf(w, "mulleinmast_%s %d\n", k, n[k])
	}
	for _, k := range slices.Sorted(maps.Keys(why)) {
		_, _ = fmt.Fprintf(w, "mulleinmast_refusals{why=%q} %d\n", k, why[k])
	}
	d.c.WriteMetrics(w)
}
