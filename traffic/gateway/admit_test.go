package gateway

import (
	"testing"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/traffic/apikey"
	"mulleinmast/traffic/route"
	"mulleinmast/wire/message"
)

// newTestPlan returns a plan prepared for lookups, as the gateway does it.
func newTestPlan(version uint64, tenants ...fleetconfig.Tenant) *activePlan {
	shares := []fleetconfig.Share{{Service: "one", Weight: 1}}
	plan := fleetconfig.Plan{Version: version, Tenants: tenants, Routes: []fleetconfig.Route{
		{Name: "closed", Host: "h", Prefix: "/closed/", Kind: fleetconfig.Safe, GiveUpMillis: 1000, Urgency: 4, Services: shares},
		{Name: "open", Host: "h", Prefix: "/open/", Kind: fleetconfig.Safe, GiveUpMillis: 1000, Public: true, Services: shares},
	}}
	return &activePlan{
		version: message.Version{Term: 1, Seq: version}, plan: plan, table: route.New(plan),
		tenants: apikey.NewIndex(plan, apikey.NewHasher()),
	}
}

// Requests are admitted or refused according to their route and key.
func TestAdmission(t *testing.T) {
	urgency := 1
	keyed := newTestPlan(7, fleetconfig.Tenant{Name: "a", ByKey: true, Keys: []string{"k"}, Urgency: &urgency})
	free := newTestPlan(7, fleetconfig.Tenant{Name: "native", TimeoutMillis: 1})
	withoutKeys := newTestPlan(7, fleetconfig.Tenant{Name: "a", ByKey: true})
	empty := newTestPlan(7)
	empty.plan.KeysRequired = true
	empty.tenants = apikey.NewIndex(empty.plan, apikey.NewHasher())
	for _, x := range []struct {
		plan              *activePlan
		path, key, tenant string
		status            int
	}{
		{keyed, "/closed/x", "k", "a", 0},
		{keyed, "/closed/x", "other", "", 401},
		{keyed, "/closed/x", "", "", 401},
		{keyed, "/open/x", "k", "a", 0},
		{keyed, "/open/x", "other", "", 0},
		{keyed, "/open/x", "", "", 0},
		{keyed, "/nowhere", "k", "", 404},
		{keyed, "/nowhere", "other", "", 404},
		{withoutKeys, "/closed/x", "k", "", 401},
		{withoutKeys, "/closed/x", "", "", 401},
		{withoutKeys, "/open/x", "k", "", 0},
		{empty, "/closed/x", "k", "", 401},
		{empty, "/closed/x", "", "", 401},
		{empty, "/open/x", "k", "", 0},
		{empty, "/open/x", "", "", 0},
		{empty, "/nowhere", "", "", 404},
		{free, "/closed/x", "", "", 0},
		{free, "/closed/x", "any", "", 0},
	} {
		a := x.plan.admit(&Request{Host: "h", Path: x.path, Key: x.key})
		tenant := ""
		if a.tenant != nil {
			tenant = a.tenant.Name
		}
		if a.status != x.status || tenant != x.tenant || (a.status != 0) != (a.reason != "") {
			t.Errorf("%s with key %q: got %d %q, tenant %q; expected %d, tenant %q", x.path, x.key, a.status, a.reason, tenant, x.status, x.tenant)
		}
	}
}

// The urgency of a tenant overrides that of the route.
func TestTenantUrgencyOverridesRoute(t *testing.T) {
	urgency := 1
	plan := newTestPlan(7, fleetconfig.Tenant{Name: "a", ByKey: true, Keys: []string{"k"}, Urgency: &urgency},
		fleetconfig.Tenant{Name: "b", ByKey: true, Keys: []string{"l"}})
	for key, want := range map[string]int{"k": 1, "l": 4} {
		req := &Request{ID: "r", Host: "h", Path: "/closed/x", Key: key}
		if c := newForwardRequest(req, plan.admit(req), 0); c.Urgency != want || c.Tenant == "" {
			t.Errorf("with key %q: urgency %d of tenant %q, expected urgency %d", key, c.Urgency, c.Tenant, want)
		}
	}
}

// A request that waited is sent only if its key is still valid: in the meantime the key may
// have been removed or assigned to another tenant.
func TestKeyRevokedWhileRequestWaits(t *testing.T) {
	keyedTenant := func(tenant string, keys ...string) fleetconfig.Tenant {
		return fleetconfig.Tenant{Name: tenant, ByKey: true, Keys: keys}
	}
	first := newTestPlan(7, keyedTenant("a", "k"))
	admitted := first.admit(&Request{Host: "h", Path: "/closed/x", Key: "k"})
	for _, x := range []struct {
		what string
		plan *activePlan
		want bool
	}{
		{"the same plan", first, true},
		{"another key was added", newTestPlan(8, keyedTenant("a", "new", "k")), true},
		{"the key was removed", newTestPlan(8, keyedTenant("a", "new")), false},
		{"its tenant was removed", newTestPlan(8, keyedTenant("b", "l")), false},
		{"another tenant has it", newTestPlan(8, keyedTenant("a"), keyedTenant("b", "k")), false},
	} {
		if got := admitted.isValidIn(x.plan, "k"); got != x.want {
			t.Errorf("%s: valid: %v", x.what, got)
		}
	}
}
