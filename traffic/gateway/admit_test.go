package gateway

import (
	"testing"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/traffic/apikey"
	"mulleinmast/traffic/route"
	"mulleinmast/wire/message"
)

// planOf makes a plan ready for look-ups, as the gateway does.
func planOf(version uint64, tenants ...fleetconfig.Tenant) *activePlan {
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

// Who is let in follows the table of keys and routes.
func TestWhoIsAdmitted(t *testing.T) {
	urgency := 1
	keyed := planOf(7, fleetconfig.Tenant{Name: "a", ByKey: true, Keys: []string{"k"}, Urgency: &urgency})
	free := planOf(7, fleetconfig.Tenant{Name: "native", TimeoutMillis: 1})
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
		{free, "/closed/x", "", "", 0},
		{free, "/closed/x", "any", "", 0},
	} {
		a := x.plan.admit(&Request{Host: "h", Path: x.path, Key: x.key})
		tenant := ""
		if a.tenant != nil {
			tenant = a.tenant.Name
		}
		if a.status != x.status || tenant != x.tenant || (a.status != 0) != (a.reason != "") {
			t.Errorf("%s with %q: %d %q, tenant %q; expected %d, %q", x.path, x.key, a.status, a.reason, tenant, x.status, x.tenant)
		}
	}
}

// A tenant's urgency goes before its route's.
func TestTheUrgencyOfATenant(t *testing.T) {
	urgency := 1
	plan := planOf(7, fleetconfig.Tenant{Name: "a", ByKey: true, Keys: []string{"k"}, Urgency: &urgency},
		fleetconfig.Tenant{Name: "b", ByKey: true, Keys: []string{"l"}})
	for key, want := range map[string]int{"k": 1, "l": 4} {
		q := &Request{ID: "r", Host: "h", Path: "/closed/x", Key: key}
		if c := routed(q, plan.admit(q), 0); c.Urgency != want || c.Tenant == "" {
			t.Errorf("with %q: urgency %d of tenant %q, expected %d", key, c.Urgency, c.Tenant, want)
		}
	}
}

// A request that waits is sent only while its key stands: it may be taken away or go to
// another tenant meanwhile.
func TestAKeyThatIsTakenAwayMeanwhile(t *testing.T) {
	of := func(tenant string, keys ...string) fleetconfig.Tenant {
		return fleetconfig.Tenant{Name: tenant, ByKey: true, Keys: keys}
	}
	first := planOf(7, of("a", "k"))
	admitted := first.admit(&Request{Host: "h", Path: "/closed/x", Key: "k"})
	for _, x := range []struct {
		what string
		plan *activePlan
		want bool
	}{
		{"the same plan", first, true},
		{"another key was added", planOf(8, of("a", "new", "k")), true},
		{"it was taken away", planOf(8, of("a", "new")), false},
		{"its tenant was dropped", planOf(8, of("b", "l")), false},
		{"another tenant has it", planOf(8, of("a"), of("b", "k")), false},
	} {
		if got := admitted.standsIn(x.plan, "k"); got != x.want {
			t.Errorf("%s: it stands: %v", x.what, got)
		}
	}
}
