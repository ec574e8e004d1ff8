package nativeapi

import (
	"encoding/json"
	"strings"
	"testing"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leadercall"
	"mulleinmast/traffic/scheduler"
	"mulleinmast/traffic/serverpool"
)

// Each invalid field must be reported under its own name, and corrupt bodies must be rejected.
func TestEveryInvalidFieldIsReported(t *testing.T) {
	validRequest := func() scheduler.ClientRequest {
		return scheduler.ClientRequest{Model: "m", Tenant: "t", Parts: []serverpool.Part{{Text: "x"}}, Tokens: 3}
	}
	if f := validate(validRequest()); f.Any() {
		t.Fatal(f)
	}
	zero := int64(0)
	for prefix, change := range map[string]func(*scheduler.ClientRequest){
		"model":           func(q *scheduler.ClientRequest) { q.Model = "" },
		"tenant":          func(q *scheduler.ClientRequest) { q.Tenant = "" },
		"parts: missing":  func(q *scheduler.ClientRequest) { q.Parts = nil },
		"parts: the":      func(q *scheduler.ClientRequest) { q.Parts[0].Text = "" },
		"parts: 300":      func(q *scheduler.ClientRequest) { q.Parts = make([]serverpool.Part, 300) },
		"tokens: -1":      func(q *scheduler.ClientRequest) { q.Tokens = -1 },
		"budget_ms: 0":    func(q *scheduler.ClientRequest) { q.TimeoutMillis = &zero },
		"once: expected ": func(q *scheduler.ClientRequest) { q.OnceKey = "a/b" },
	} {
		q := validRequest()
		change(&q)
		if f := validate(q); len(f.List) != 1 || !strings.HasPrefix(f.List[0], prefix) {
			t.Errorf("expected one error with prefix %q, got %v", prefix, f.List)
		}
	}
	body := leadercall.MustMarshal(validRequest())
	rejected := 0
	for i := range body {
		b := append([]byte(nil), body...)
		b[i] = 'x'
		var q scheduler.ClientRequest
		if f := fleetconfig.Decode(b, &q); f.Any() || validate(q).Any() {
			rejected++
		} else if !json.Valid(b) {
			t.Errorf("invalid JSON was accepted: %s", b)
		}
	}
	if rejected < len(body)/2 {
		t.Errorf("%d of %d corrupt bodies were rejected, expected at least half", rejected, len(body))
	}
}
