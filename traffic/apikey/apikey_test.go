package apikey

import (
	"testing"

	"mulleinmast/control/fleetconfig"
)

func TestFindTheTenantOfAKey(t *testing.T) {
	urgency := 2
	plan := fleetconfig.Plan{Tenants: []fleetconfig.Tenant{
		{Name: "a", ByKey: true, Keys: []string{"a1", "a2"}, Urgency: &urgency, Rate: 5, Burst: 7},
		{Name: "b", ByKey: true, Keys: []string{"b1"}},
		{Name: "none", ByKey: true},
	}}
	index := NewIndex(plan, NewHasher())
	for key, want := range map[string]string{"a1": "a", "a2": "a", "b1": "b", "A1": "", "a": "", "": "", "a1 ": ""} {
		got := ""
		if tenant := index.Find(key); tenant != nil {
			got = tenant.Name
		}
		if got != want {
			t.Errorf("%q is a key of %q, expected %q", key, got, want)
		}
	}
	if a := index.Find("a1"); *a.Urgency != 2 || a.Rate != 5 || a.Burst != 7 || !a.IsLimited() || index.Find("b1").IsLimited() {
		t.Errorf("%+v", a)
	}
	if !index.Required() || NewIndex(fleetconfig.Plan{}, NewHasher()).Required() {
		t.Error("keys are required by plans with tenants that are known by keys, and by no others")
	}
}

// A tenant that lost its last key still makes keys necessary: it must not open the routes.
func TestWithoutAnyKeyNobodyIsFound(t *testing.T) {
	plan := fleetconfig.Plan{Tenants: []fleetconfig.Tenant{{Name: "a", ByKey: true}}}
	index := NewIndex(plan, NewHasher())
	if !index.Required() || index.Find("") != nil {
		t.Error("a plan whose tenants have no keys serves everybody")
	}
}

// Two processes hash a key differently, and neither hash is the key's own.
func TestHashesAreKeyed(t *testing.T) {
	if first, second := NewHasher().of("k"), NewHasher().of("k"); first == second {
		t.Error("two processes share a secret")
	}
}
