package apikey

import (
	"testing"

	"mulleinmast/control/fleetconfig"
)

func TestFindTenantByKey(t *testing.T) {
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
			t.Errorf("key %q: got tenant %q, expected %q", key, got, want)
		}
	}
	if a := index.Find("a1"); *a.Urgency != 2 || a.Rate != 5 || a.Burst != 7 || !a.IsLimited() || index.Find("b1").IsLimited() {
		t.Errorf("%+v", a)
	}
	if !index.Required() || NewIndex(fleetconfig.Plan{}, NewHasher()).Required() {
		t.Error("expected keys to be required if and only if the plan has tenants identified by key")
	}
}

// Keys stay required when the last key of a tenant is removed; the routes must not become
// open to everyone.
func TestTenantWithoutKeysStillRequiresKeys(t *testing.T) {
	plan := fleetconfig.Plan{Tenants: []fleetconfig.Tenant{{Name: "a", ByKey: true}}}
	index := NewIndex(plan, NewHasher())
	if !index.Required() || index.Find("") != nil {
		t.Error("a plan whose tenants have no keys admits requests without a key")
	}
}

// Two hashers, as of two processes, hash the same key differently.
func TestHashesAreKeyed(t *testing.T) {
	if first, second := NewHasher().sum("k"), NewHasher().sum("k"); first == second {
		t.Error("two hashers share a secret")
	}
}
