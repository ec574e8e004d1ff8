package scene

import (
	"context"
	"testing"
)

// Guards against daemons that acknowledge a complete configuration with customers but ignore
// these ("fields without effect here"), and refuse changes of a customer
// ("replace.customers: not known here"). Then requests with unknown keys were served,
// servers received clients' keys and no tenant, and a customer had 1,357 requests in 5 s
// served where 1,201 are allowed. The scene uses valid, unknown, missing and removed keys on six daemons, and a
// tenant that sends five times its limit to all daemons in turn.
func TestTenantKeysAndLimitsHoldAcrossDaemons(t *testing.T) {
	t.Parallel()
	program := build(t)
	slots <- true
	defer func() { <-slots }()
	report, err := Play(context.Background(), Config{
		Dir: t.TempDir(), Program: program, Pace: 1, PerZone: 2, Short: true, Rate: 30, Seed: 11, Customers: Customers(),
	}, Scenes["tenants"])
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range report.Broken {
		t.Error(b)
	}
	if report.Failed {
		t.Errorf("failed:\n%s", report)
	}
	t.Log(report)
}
