package scene

import (
	"context"
	"testing"
)

// Guards against daemons that ignore the customers of a configuration. Then requests with
// unknown keys were served, servers received keys instead of tenants, and a customer had
// 1,357 requests in 5 s served where 1,201 were allowed; each change of a customer was
// refused. The scene uses valid, unknown, missing and removed keys on six daemons, and a
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
