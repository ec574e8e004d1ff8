package gateway

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mulleinmast/traffic/forward"
)

const (
	maxTraces        = 512 // traces kept of requests that were not served
	maxReasons       = 48  // distinct reasons counted; the rest are counted as otherReason
	summaryIntervals = 40  // load report intervals between two summaries in the log
	otherReason      = "other"
)

// RequestTrace records how a request that was not served ended, for diagnosis.
type RequestTrace struct {
	Request    string    `json:"request"`
	Wall       time.Time `json:"wall"` // wall-clock time at which the request ended, informational
	Host       string    `json:"host"`
	Path       string    `json:"path"`
	Service    string    `json:"service,omitempty"`
	Tenant     string    `json:"tenant,omitempty"`
	Plan       uint64    `json:"plan,omitempty"` // version of the plan by which it was admitted
	Result     string    `json:"result"`
	Reason     string    `json:"why"`
	TookMillis int64     `json:"took_ms"`
	Steps      []string  `json:"choice,omitempty"` // the sends, each with its outcome
}

// report counts the ends of requests and keeps the traces of those that were not served.
type report struct {
	set *metrics.Set

	mu           sync.Mutex // guards the fields below
	traces       [maxTraces]RequestTrace
	next         int
	reasons      map[string]bool
	sinceSummary map[string]int // by end and reason

	withoutLease  int           // sends based on records with expired leases, since the last summary
	longestLapsed time.Duration // the longest time since the expiry of a lease behind these sends
}

func newReport(set *metrics.Set) *report {
	return &report{set: set, reasons: map[string]bool{}, sinceSummary: map[string]int{}}
}

// reasonLabel returns a reason without the details after its first colon, for use as a metric
// label. After maxReasons distinct reasons it returns otherReason for any new reason. The caller
// holds r.mu.
func (r *report) reasonLabel(why string) string {
	short, _, _ := strings.Cut(why, ":")
	if !r.reasons[short] {
		if len(r.reasons) >= maxReasons {
			return otherReason
		}
		r.reasons[short] = true
	}
	return short
}

func (r *report) count(end, why string) {
	r.set.GetOrCreateCounter(fmt.Sprintf("mulleinmast_requests_total{end=%q,why=%q}", end, why)).Inc()
}

// recordServed counts a request that was served.
func (r *report) recordServed() { r.count(forward.Done.String(), "") }

// recordFailure counts a request that was not served and keeps its trace.
func (r *report) recordFailure(t RequestTrace) {
	t.Wall = time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	why := r.reasonLabel(t.Reason)
	r.sinceSummary[t.Result+", "+why]++
	r.count(t.Result, why)
	r.traces[r.next%maxTraces] = t
	r.next++
}

// recordSend records a send to a server that was based on records whose leases had been
// expired for lapsedFor, which is 0 if the leases are valid.
func (r *report) recordSend(lapsedFor time.Duration) {
	if lapsedFor == 0 {
		return
	}
	r.set.GetOrCreateHistogram("mulleinmast_sends_without_lease_seconds").Update(lapsedFor.Seconds())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.withoutLease++
	r.longestLapsed = max(r.longestLapsed, lapsedFor)
}

// staleSendSummary describes the sends based on records with expired leases since the last
// summary. It returns "" if there were none.
func (r *report) staleSendSummary() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.withoutLease == 0 {
		return ""
	}
	text := fmt.Sprintf("%d sends based on records with expired leases, expired for at most %v",
		r.withoutLease, r.longestLapsed.Round(time.Millisecond))
	r.withoutLease, r.longestLapsed = 0, 0
	return text
}

// explain returns the traces of a request, or all traces if id is "all".
func (r *report) explain(id string) (out []any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := max(0, r.next-maxTraces); i < r.next; i++ {
		if t := r.traces[i%maxTraces]; id == "all" || t.Request == id {
			out = append(out, t)
		}
	}
	return out
}

// failureSummary describes the requests that were not served since the last summary, by end
// and reason. It returns "" if there were none.
func (r *report) failureSummary() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var parts []string
	for _, what := range slices.Sorted(maps.Keys(r.sinceSummary)) {
		parts = append(parts, fmt.Sprintf("%d %s", r.sinceSummary[what], what))
	}
	clear(r.sinceSummary)
	return strings.Join(parts, "; ")
}

// rejectEarly ends a request before it reaches a dispatcher.
func (g *Gateway) rejectEarly(req *Request, w Client, status int, why string) {
	if status == http.StatusServiceUnavailable {
		g.rejectWithRetryAfter(req, w, status, why, g.cfg.RetryAfter)
		return
	}
	w.Fail(status, why)
	g.Unread(req.ID, status, why)
}

// rejectWithRetryAfter refuses a request before it reaches a dispatcher and lets the client
// retry later.
func (g *Gateway) rejectWithRetryAfter(req *Request, w Client, status int, why string, retryAfter time.Duration) {
	w.Refuse(status, retryAfter, why)
	g.Unread(req.ID, status, why)
}

// Unread records a request that ended before it reached a dispatcher. Status 0 means that its
// client disconnected.
//
// Example: g.Unread(id, 413, "the body is too large")
func (g *Gateway) Unread(id string, status int, why string) {
	end := "deny"
	switch status {
	case 0:
		end = forward.Break.String()
	case http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusTooManyRequests:
		end = forward.Refuse.String()
	}
	g.report.recordFailure(RequestTrace{Request: id, Result: end, Reason: why})
}

// recordEnd records the end of a request that took the given time in a dispatcher.
func (g *Gateway) recordEnd(
	req *Request, a *admission, fwd forward.Request, decision forward.Decision, took time.Duration,
) {
	if decision.Action == forward.Done {
		g.report.recordServed()
		return
	}
	g.daemon.Events.Debug("request", decision.Reason, "request", fwd.ID, "result", decision.Action)
	g.report.recordFailure(RequestTrace{
		Request: req.ID, Host: req.Host, Path: req.Path, Service: fwd.Service, Tenant: fwd.Tenant,
		Plan: a.plan.plan.Version, Result: decision.Action.String(),
		Reason: decision.Reason, TookMillis: took.Milliseconds(), Steps: decision.Trace,
	})
}
