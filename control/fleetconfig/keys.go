package fleetconfig

import "slices"

// Bounds on tenants' keys and limits.
const (
	maxKeyBytes = 1024
	maxRate     = 1e9 // maximum of Tenant.Rate and of Tenant.Burst
)

// NeedsKeys reports whether clients need keys, because the plan has a list of tenants that
// are identified by keys, even if that list is empty.
//
// Example: if plan.NeedsKeys() && !route.Public { lookUp(key) }
func (p Plan) NeedsKeys() bool { return p.KeysRequired || p.hasTenantsByKey() }

// hasTenantsByKey reports whether any tenant is identified by keys.
func (p Plan) hasTenantsByKey() bool {
	return slices.ContainsFunc(p.Tenants, func(t Tenant) bool { return t.ByKey })
}

// validateKeys adds the faults of the tenants' keys. A fault names tenants and positions, but
// never a key, since keys are secrets.
func (p Plan) validateKeys(f *Faults) {
	tenantOfKey := map[string]int{} // index of the first tenant with the key
	for i, t := range p.Tenants {
		// Without ByKey, these fields would have no effect.
		if !t.ByKey && (len(t.Keys) > 0 || t.Urgency != nil || t.Rate != 0 || t.Burst != 0) {
			f.Add("tenants[%d]: keys, urgency, rate and burst are for tenants that are known by keys", i)
		}
		for j, key := range t.Keys {
			if key == "" || len(key) > maxKeyBytes {
				f.Add("tenants[%d].keys[%d]: expected 1 to %d bytes", i, j, maxKeyBytes)
			}
			if first, ok := tenantOfKey[key]; ok && first != i {
				f.Add("tenants[%d].keys[%d]: %q and %q have a key in common", i, j, p.Tenants[first].Name, t.Name)
				continue
			}
			tenantOfKey[key] = i
		}
	}
}
