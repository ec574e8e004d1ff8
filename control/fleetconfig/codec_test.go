package fleetconfig

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"mulleinmast/wire/message"
)

// planOf returns a plan with the given number of routes, with raw fields as operators send them.
func planOf(routes int) Plan {
	p := Plan{ID: "p", Version: 7, Services: []Service{{Name: "m", PrefillServers: 1, DecodeServers: 1}}}
	for i := range routes {
		raw := fmt.Sprintf(
			`{"name":"r-%07x","host":"host%05x.example","prefix":"/%06x/","kind":"streaming","give_up":3000,"aim":400,"urgency":0,"service":"m","tries":2}`,
			i*7919, i*104729, i*31,
		)
		p.Routes = append(
			p.Routes,
			Route{
				Name: fmt.Sprintf("r-%07x", i*7919), Host: fmt.Sprintf("host%05x.example", i*104729),
				Prefix: fmt.Sprintf("/%06x/", i*31), Kind: Safe, GiveUpMillis: 3000,
				Services: []Share{{Service: "m", Weight: 1}}, Raw: json.RawMessage(raw),
			},
		)
	}
	return p
}

func recordOf(t testing.TB, p Plan) []byte {
	t.Helper()
	b, err := EncodePlan(p)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// The patch for a change to one of 1,500 routes has at most 200 bytes. Applying it to the
// uncompressed form that daemons keep results in the same plan as the new record.
func TestPatchOfOneRouteIsSmall(t *testing.T) {
	p := planOf(1500)
	stored := recordOf(t, p)
	kept := stored
	for n := range 20 {
		next := p
		next.Version, next.ID = p.Version+3, fmt.Sprintf("%032x", n*12345)
		next.Routes = append([]Route(nil), p.Routes...)
		next.Routes[(n*97)%1500].GiveUpMillis = 1000 + n
		to := recordOf(t, next)
		patch := Codec{}.Patch(stored, to)
		if len(patch) == 0 || len(patch) > 200 {
			t.Fatalf("change %d: a patch of %d bytes for a plan of %d", n, len(patch), len(to))
		}
		val, err := Codec{}.Apply(kept, patch)
		if err != nil {
			t.Fatal(err)
		}
		got, err := ReadPlan(message.Record{Key: PlanKey, Value: val})
		if err != nil || !reflect.DeepEqual(got, MustReadPlan(message.Record{Key: PlanKey, Value: to})) {
			t.Fatalf("change %d: the plan differs, or %v", n, err)
		}
		if again := (Codec{}).Whole(val); string(again) != string(to) {
			t.Fatalf("change %d: the value differs after compressing it again", n)
		}
		p, stored, kept = next, to, val
	}
}

// Applying a patch to a value other than its base must fail, and so must applying a truncated
// or corrupted patch.
func TestPatchAppliesOnlyToItsBase(t *testing.T) {
	a, b := planOf(200), planOf(200)
	b.Routes[7].GiveUpMillis = 17
	other := planOf(200)
	other.Routes[3].Host = "another.example"
	patch := Codec{}.Patch(recordOf(t, a), recordOf(t, b))
	if _, err := (Codec{}).Apply(recordOf(t, a), patch); err != nil {
		t.Fatal(err)
	}
	if _, err := (Codec{}).Apply(recordOf(t, other), patch); err == nil {
		t.Error("the patch was applied to another base")
	}
	for i := range patch {
		damaged := append([]byte(nil), patch...)
		damaged[i] ^= 0x20
		if val, err := (Codec{}).Apply(recordOf(t, a), damaged); err == nil && string(val[1:]) != plainOf(t, b) {
			t.Fatalf("byte %d corrupted: the patch results in another value", i)
		}
		if _, err := (Codec{}).Apply(recordOf(t, a), patch[:i]); err == nil && i > 0 {
			t.Fatalf("accepted although truncated to %d bytes", i)
		}
	}
}

func plainOf(t *testing.T, p Plan) string {
	t.Helper()
	b, err := p.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// Dissimilar values have no patch. Server lists can be patched as well as plans.
func TestDissimilarValuesHaveNoPatch(t *testing.T) {
	if patch := (Codec{}).Patch([]byte(`{"a":1}`), recordOf(t, planOf(100))); patch != nil {
		t.Errorf("a patch of %d bytes between dissimilar values", len(patch))
	}
	var before List
	for i := range 60 {
		before.Servers = append(before.Servers, Server{Addr: fmt.Sprintf("10.1.64.%d:8080", i), Zone: "north"})
	}
	after := before
	after.Servers = before.Servers[1:]
	from, to := mustJSON(t, before), mustJSON(t, after)
	patch := Codec{}.Patch(from, to)
	if len(patch) == 0 || len(patch) > 100 {
		t.Errorf("removing one of 60 servers: a patch of %d bytes", len(patch))
	}
	if val, err := (Codec{}).Apply(from, patch); err != nil || string(val) != string(to) {
		t.Errorf("the list differs, or %v", err)
	}
}

func mustJSON(t *testing.T, x any) []byte {
	t.Helper()
	b, err := json.Marshal(x)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func BenchmarkPatch(b *testing.B) {
	p := planOf(1500)
	from := recordOf(b, p)
	p.Routes[700].GiveUpMillis = 17
	to := recordOf(b, p)
	patch := Codec{}.Patch(from, to)
	base, err := uncompressed(from)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("make", func(b *testing.B) {
		for b.Loop() {
			Codec{}.Patch(from, to)
		}
	})
	b.Run("apply", func(b *testing.B) {
		for b.Loop() {
			if _, err := (Codec{}).Apply(base, patch); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("make from uncompressed", func(b *testing.B) {
		for b.Loop() {
			Codec{}.Patch(base, to)
		}
	})
	b.Run("read compressed", func(b *testing.B) {
		for b.Loop() {
			if _, err := ReadPlan(message.Record{Value: to}); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("read uncompressed", func(b *testing.B) {
		for b.Loop() {
			if _, err := ReadPlan(message.Record{Value: base}); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Logf("plan: %d bytes compressed, %d uncompressed; patch: %d", len(to), len(base), len(patch))
}
