package forward

import (
	"strings"
	"testing"
	"time"
)

// A request is refused if it would wait too long for other requests, not because its own
// prompt takes long, and only before it has started.
func TestRequestThatWouldWaitTooLongIsRefused(t *testing.T) {
	const target = 400 * time.Millisecond
	now := time.Minute
	for _, x := range []struct {
		name                   string
		maxPredictedWait       float64
		elapsed, wait, prefill time.Duration
		started, handle        bool
		accepted               bool
	}{
		{"no other requests", 1, 0, 0, 100 * time.Millisecond, false, false, true},
		{"just in time", 1, 0, 300 * time.Millisecond, 100 * time.Millisecond, false, false, true},
		{"late", 1, 0, 301 * time.Millisecond, 100 * time.Millisecond, false, false, false},
		{"late by the time already elapsed", 1, 50 * time.Millisecond, 251 * time.Millisecond, 100 * time.Millisecond, false, false, false},
		{"late, but three times the target is allowed", 3, 0, 899 * time.Millisecond, 100 * time.Millisecond, false, false, true},
		{"later than three times the target", 3, 0, 901 * time.Millisecond, 100 * time.Millisecond, false, false, false},
		{"prompt longer than the target, no wait", 1, 0, 0, 900 * time.Millisecond, false, false, true},
		{"prompt longer than the target, wait too long", 1, 0, 201 * time.Millisecond, 900 * time.Millisecond, false, false, false},
		{"stream has started", 1, 0, time.Hour, 0, true, false, true},
		{"prompt is prefilled", 1, 0, time.Hour, 0, false, true, true},
		{"late, of a tenant at its limit", 3, 0, 451 * time.Millisecond, 100 * time.Millisecond, false, false, false},
		{"not late, of a tenant at its limit", 3, 0, 449 * time.Millisecond, 100 * time.Millisecond, false, false, true},
		{"limit disabled", 0, 0, time.Hour, 0, false, false, true},
	} {
		d := &Dispatcher{cfg: Config{MaxPredictedWait: x.maxPredictedWait}}
		atLimit := strings.HasSuffix(x.name, "at its limit")
		r := &pendingRequest{Request: Request{TTFTTarget: target, TenantAtLimit: atLimit}, arrivedAt: now - x.elapsed, predictedWait: x.wait, predictedPrefill: x.prefill, streamStarted: x.started}
		if x.handle {
			r.handle = &Handle{ID: "h"}
		}
		if accepted := d.canMeetTarget(now, r); accepted != x.accepted {
			t.Errorf("%s: accepted %v", x.name, accepted)
		}
	}
}
