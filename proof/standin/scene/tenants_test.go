package scene

import (
	"context"
	"testing"
)

// Customers of the shared deployments were served with keys that no configuration holds,
// servers were shown the clients' keys and no tenant, and one customer got more than its
// limit: 1,357 requests in 5 s where 1,201 are allowed. A whole configuration with
// customers was acknowledged, and none of its fields about them meant anything: daemons
// logged "fields without effect here", and each change of a customer was refused with
// "replace.customers: not known here". Here the same is brought about on six daemons: keys
// that are known, unknown, absent and taken away, and a tenant that asks all daemons in
// turn for five times its limit.
func TestKeysAndLimitsOfTenantsHoldOverAllDaemons(t *testing.T) {
	t.Parallel()
	program := build(t)
	four <- true
	defer func() { <-four }()
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
