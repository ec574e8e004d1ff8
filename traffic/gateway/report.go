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
	maxTraces        = 512 // of requests that were not served
	maxReasons       = 48  // told apart; others are counted together
	summaryIntervals = 40  // of load reports, between two lines on what was not served
	otherReason      = "other"
)

// RequestTrace is what became of one request that was not served, for those who ask
// afterwards.
type RequestTrace struct {
	Request    string    `json:"request"`
	Wall       time.Time `json:"wall"` // of its end; for people
	Host       string    `json:"host"`
	Path       string    `json:"path"`
	Service    string    `json:"service,omitempty"`
	Tenant     string    `json:"tenant,omitempty"`
	Plan       uint64    `json:"plan,omitempty"` // version of the plan that it was admitted by
	Result     string    `json:"result"`
	Reason     string    `json:"why"`
	TookMillis int64     `json:"took_ms"`
	Steps      []string  `json:"choice,omitempty"` // the sends, each with its outcome
}

// report counts how requests end, and keeps the traces of those that were not
// served.
type report struct {
	set *metrics.Set

	mu      sync.Mutex // guards all below
	traces  [maxTraces]RequestTrace
	next    int
	reasons map[string]bool
	since   map[string]int // ends and reasons since the last summary

	withoutLease  int           // sends by records whose leases had lapsed, since the last summary
	longestLapsed time.Duration // and the longest time that they had
}

func newReport(set *metrics.Set) *report {
	return &report{set: set, reasons: map[string]bool{}, since: map[string]int{}}
}

// reason is a message up to its particulars; only so many are told apart.
func (r *report) reason(why string) string {
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

// served counts a request that was served.
func (r *report) served() { r.count(forward.Done.String(), "") }

// failed counts a request that was not served and keeps its trace.
func (r *report) failed(t RequestTrace) {
	t.Wall = time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	why := r.reason(t.Reason)
	r.since[t.Result+", "+why]++
	r.count(t.Result, why)
	r.traces[r.next%maxTraces] = t
	r.next++
}

// sent notes a send to a server by records whose leases had lapsed for so long; 0: they stand.
func (r *report) sent(lapsedFor time.Duration) {
	if lapsedFor == 0 {
		return
	}
	r.set.GetOrCreateHistogram("mulleinmast_sends_without_lease_seconds").Update(lapsedFor.Seconds())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.withoutLease++
	r.longestLapsed = max(r.longestLapsed, lapsedFor)
}

// summaryOfSends is how many sends went by records without a lease since the last one; ""
// if none did.
func (r *report) summaryOfSends() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.withoutLease == 0 {
		return ""
	}
	text := fmt.Sprintf("%d sends by records whose leases had lapsed, for %v at most",
		r.withoutLease, r.longestLapsed.Round(time.Millisecond))
	r.withoutLease, r.longestLapsed = 0, 0
	return text
}

// explain lists the traces of a request, or all of them.
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

// summary is how many requests ended how since the last one; "" if there were
// none.
func (r *report) summary() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var parts []string
	for _, what := range slices.Sorted(maps.Keys(r.since)) {
		parts = append(parts, fmt.Sprintf("%d %s", r.since[what], what))
	}
	clear(r.since)
	return strings.Join(parts, "; ")
}

// rejectEarly ends a request that comes to no dispatcher.
func (g *Gateway) rejectEarly(q *Request, w Client, status int, why string) {
	if status == http.StatusServiceUnavailable {
		g.rejectFor(q, w, status, why, g.cfg.RetryAfter)
		return
	}
	w.Fail(status, why)
	g.Unread(q.ID, status, why)
}

// rejectFor refuses a request that comes to no dispatcher, for a while.
func (g *Gateway) rejectFor(q *Request, w Client, status int, why string, retryAfter time.Duration) {
	w.Refuse(status, retryAfter, why)
	g.Unread(q.ID, status, why)
}

// Unread notes a request that ended before anything was decided about it; status
// 0: its client broke off.
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
	g.report.failed(RequestTrace{Request: id, Result: end, Reason: why})
}

// finished notes the end of a request that was taken in at a time.
func (g *Gateway) finished(q *Request, a *admission, c forward.Request, m forward.Decision, took time.Duration) {
	if m.Action == forward.Done {
		g.report.served()
		return
	}
	g.daemon.Events.Debug("request", m.Reason, "request", c.ID, "result", m.Action)
	g.report.failed(RequestTrace{
		Request: q.ID, Host: q.Host, Path: q.Path, Service: c.Service, Tenant: c.Tenant, Plan: a.plan.plan.Version,
		Result: m.Action.String(),
		Reason: m.Reason, TookMillis: took.Milliseconds(), Steps: m.Trace,
	})
}
