package rules

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"mulleinmast/proof/standin/record"
	"mulleinmast/proof/standin/wire"
)

// wasProcessed reports whether a server ran an arrival or prefilled its prompt.
func wasProcessed(a *record.Arrival) bool { return a.Out == record.Ran || a.Out == record.Prefilled }

// holdsInEveryVersion reports whether a condition holds for every version that may have been current during a try. It
// is false if there is no such version.
func (v *view) holdsInEveryVersion(t *record.Try, condition func(version) bool) bool {
	known := false
	for _, x := range v.versions {
		if !x.mayApply() || x.Sent > t.End {
			continue
		}
		if !condition(x) {
			return false
		}
		known = true
	}
	return known
}

// acceptsKey reports whether a version has a customer with the key of a try, or asks for no key.
func (x version) acceptsKey(t *record.Try) bool {
	r, _ := x.config.Match(t.Host, pathOf(t.Target)) // without a route, r isn't public
	_, held := x.config.CustomerByKey(t.Key)
	return held || r.Public || !x.config.NeedsKeys()
}

// needsKey reports whether every version that may have been current requires a key of a try.
func (v *view) needsKey(t *record.Try) bool {
	return v.holdsInEveryVersion(t, func(x version) bool {
		r, ok := x.config.Match(t.Host, pathOf(t.Target))
		return ok && !r.Public && x.config.NeedsKeys()
	})
}

// checkTenants checks that a server receives the name of the tenant that has the client's
// key, and never the key itself.
func checkTenants(v *view, report reporter) {
	for _, a := range v.Arrivals {
		t := v.tries[a.Attempt]
		if t == nil || !wasProcessed(a) {
			continue
		}
		if a.Key != "" {
			report("%s received the key of %s", a.Server, a.Attempt)
		}
		if v.needsKey(t) && v.wasHeld(t) && !v.mayHold(t, a.Tenant) {
			report("%s ran %s for the tenant %q, which does not have its key", a.Server, a.Attempt, a.Tenant)
		}
	}
}

// mayHold reports whether a version that may have been current assigns the key of a try to a
// tenant.
func (v *view) mayHold(t *record.Try, tenant string) bool {
	return slices.ContainsFunc(v.versions, func(x version) bool {
		name, ok := x.config.CustomerByKey(t.Key)
		return x.mayApply() && ok && name == tenant
	})
}

// wasHeld reports whether any configuration ever had the key of a try.
func (v *view) wasHeld(t *record.Try) bool {
	return slices.ContainsFunc(v.versions, func(x version) bool { _, ok := x.config.CustomerByKey(t.Key); return ok })
}

// checkKeys checks that no request runs with a key that no configuration ever had, or
// without a key.
func checkKeys(v *view, report reporter) {
	for _, a := range v.Arrivals {
		t := v.tries[a.Attempt]
		if t == nil || !wasProcessed(a) || !v.needsKey(t) {
			continue
		}
		if !v.wasHeld(t) {
			report("%s ran %s, whose key was never in a configuration", a.Server, a.Attempt)
		}
	}
}

// checkKeysApplied checks that once the Apply bound has passed after the acknowledgement,
// connected machines serve no request with a removed key.
func checkKeysApplied(v *view, report reporter) {
	for _, a := range v.Arrivals {
		t := v.tries[a.Attempt]
		if t == nil || !wasProcessed(a) || !v.needsKey(t) || !v.wasHeld(t) {
			continue
		}
		oldest := v.oldestAllowed(t.Sent)
		allowed := oldest < 0 || slices.ContainsFunc(v.versions, func(x version) bool {
			_, ok := x.config.CustomerByKey(t.Key)
			return ok && x.mayApply() && x.Version >= oldest && x.Sent <= a.At
		})
		if !allowed && v.inTouchThroughout(t.Daemon, t.Sent, a.At) {
			report("%s ran %s, forwarded by %s, with a key that version %d does not have, %.2fs after its acknowledgement",
				a.Server, a.Attempt, t.Daemon, oldest, seconds(t.Sent-v.ackedAt(oldest)))
		}
	}
}

// checkKeysKnown checks that no request is answered 401 if every version that may be
// current has its key or needs none. A version with an empty list of customers needs one, and has none.
func checkKeysKnown(v *view, report reporter) {
	for _, t := range v.Tries {
		if t.Status != http.StatusUnauthorized || t.Seal != "" {
			continue
		}
		if v.holdsInEveryVersion(t, func(x version) bool { return x.acceptsKey(t) }) {
			report("%s was answered 401, but every configuration has its key", t.ID)
		}
	}
}

// checkQuotas checks that the requests of a tenant that ran in any window, summed over all
// machines, are within its limit.
func checkQuotas(v *view, report reporter) {
	if v.QuotaWindow <= 0 {
		return
	}
	ran := map[string][]time.Duration{} // arrival times of requests that ran, by tenant
	for _, a := range v.Arrivals {
		t := v.tries[a.Attempt]
		if t == nil || a.Out != record.Ran {
			continue
		}
		for _, x := range v.versions {
			if name, ok := x.config.CustomerByKey(t.Key); ok {
				ran[name] = append(ran[name], a.At)
				break
			}
		}
	}
	for tenant, times := range ran {
		slices.Sort(times)
		v.checkQuota(tenant, times, report)
	}
}

// checkQuota reports the first window in which a tenant exceeded its limit.
func (v *view) checkQuota(tenant string, times []time.Duration, report reporter) {
	end := 0
	for i, from := range times {
		for end < len(times) && times[end] < from+v.QuotaWindow {
			end++
		}
		limit, limited := v.quota(tenant, from)
		if limited && float64(end-i) > limit {
			report("the tenant %s had %d requests run in the %v from %.2fs on; the limit is %.0f",
				tenant, end-i, v.QuotaWindow, seconds(from), limit)
			return
		}
	}
}

// quota returns the largest number of requests that any applicable version allows a tenant
// in a window that starts at a moment. A version remains applicable until one window after
// a later one is applied.
func (v *view) quota(tenant string, from time.Duration) (most float64, limited bool) {
	oldest := v.oldestAllowed(from - v.QuotaWindow)
	for _, x := range v.versions {
		if !x.mayApply() || x.Version < oldest || x.Sent > from+v.QuotaWindow {
			continue
		}
		i := slices.IndexFunc(x.config.Customers, func(c wire.Customer) bool { return c.Name == tenant })
		if i < 0 {
			continue
		}
		c := x.config.Customers[i]
		if c.Rate == 0 {
			return 0, false
		}
		limit := (c.Rate*v.QuotaWindow.Seconds()+c.Burst)*(1+v.QuotaOverrun) + v.QuotaSlack
		most, limited = cmp.Or(max(most, limit), limit), true
	}
	return most, limited
}
