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

// A good request is changed in one place at a time; each change is named.
func TestEveryFaultOfARequestIsNamed(t *testing.T) {
	good := func() scheduler.ClientRequest {
		return scheduler.ClientRequest{Model: "m", Tenant: "t", Parts: []serverpool.Part{{Text: "x"}}, Tokens: 3}
	}
	if f := check(good()); f.Any() {
		t.Fatal(f)
	}
	spent := int64(0)
	for where, change := range map[string]func(*scheduler.ClientRequest){
		"model":           func(q *scheduler.ClientRequest) { q.Model = "" },
		"tenant":          func(q *scheduler.ClientRequest) { q.Tenant = "" },
		"parts: missing":  func(q *scheduler.ClientRequest) { q.Parts = nil },
		"parts: the":      func(q *scheduler.ClientRequest) { q.Parts[0].Text = "" },
		"parts: 300":      func(q *scheduler.ClientRequest) { q.Parts = make([]serverpool.Part, 300) },
		"tokens: -1":      func(q *scheduler.ClientRequest) { q.Tokens = -1 },
		"budget_ms: 0":    func(q *scheduler.ClientRequest) { q.TimeoutMillis = &spent },
		"once: expected ": func(q *scheduler.ClientRequest) { q.OnceKey = "a/b" },
	} {
		q := good()
		change(&q)
		if f := check(q); len(f.List) != 1 || !strings.HasPrefix(f.List[0], where) {
			t.Errorf("%s: got %v", where, f.List)
		}
	}
	body := leadercall.Pack(good())
	broken := 0
	for i := range body {
		b := append([]byte(nil), body...)
		b[i] = 'x'
		var q scheduler.ClientRequest
		if f := fleetconfig.Decode(b, &q); f.Any() || check(q).Any() {
			broken++
		} else if !json.Valid(b) {
			t.Errorf("%s passes", b)
		}
	}
	if broken < len(body)/2 {
		t.Errorf("%d of %d mutations were named", broken, len(body))
	}
}
