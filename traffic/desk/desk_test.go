package desk

import (
	"encoding/json"
	"strings"
	"testing"

	"mulleinmast/control/errand"
	"mulleinmast/control/tariff"
	"mulleinmast/traffic/dispatch"
	"mulleinmast/traffic/yard"
)

// A good request is changed in one place at a time; each change is named.
func TestEveryFaultOfARequestIsNamed(t *testing.T) {
	good := func() dispatch.Asked {
		return dispatch.Asked{Model: "m", Tenant: "t", Parts: []yard.Part{{Text: "x"}}, Tokens: 3}
	}
	if f := check(good()); f.Any() {
		t.Fatal(f)
	}
	spent := int64(0)
	for where, change := range map[string]func(*dispatch.Asked){
		"model":           func(q *dispatch.Asked) { q.Model = "" },
		"tenant":          func(q *dispatch.Asked) { q.Tenant = "" },
		"parts: missing":  func(q *dispatch.Asked) { q.Parts = nil },
		"parts: the":      func(q *dispatch.Asked) { q.Parts[0].Text = "" },
		"parts: 300":      func(q *dispatch.Asked) { q.Parts = make([]yard.Part, 300) },
		"tokens: -1":      func(q *dispatch.Asked) { q.Tokens = -1 },
		"budget_ms: 0":    func(q *dispatch.Asked) { q.Budget = &spent },
		"once: expected ": func(q *dispatch.Asked) { q.Once = "a/b" },
	} {
		q := good()
		change(&q)
		if f := check(q); len(f.List) != 1 || !strings.HasPrefix(f.List[0], where) {
			t.Errorf("%s: got %v", where, f.List)
		}
	}
	body := errand.Pack(good())
	broken := 0
	for i := range body {
		b := append([]byte(nil), body...)
		b[i] = 'x'
		var q dispatch.Asked
		if f := tariff.Decode(b, &q); f.Any() || check(q).Any() {
			broken++
		} else if !json.Valid(b) {
			t.Errorf("%s passes", b)
		}
	}
	if broken < len(body)/2 {
		t.Errorf("%d of %d mutations were named", broken, len(body))
	}
}
