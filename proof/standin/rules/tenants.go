package rules

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"mulleinmast/proof/standin/record"
	"mulleinmast/proof/standin/wire"
)

// tookPlace reports whether a server worked at an arrival, be it only to read its prompt.
func tookPlace(a *record.Arrival) bool { return a.Out == record.Ran || a.Out == record.Read }

// needsKey reports whether every version that may have been in force asks a try for a key.
func (v *view) needsKey(t *record.Try) bool {
	known := false
	for _, x := range v.versions {
		if !x.mayApply() || x.Sent > t.End {
			continue
		}
		r, ok := x.config.Match(t.Host, pathOf(t.Target))
		if !ok || r.Public || len(x.config.Customers) == 0 {
			return false
		}
		known = true
	}
	return known
}

// checkTenants: a server is told the tenant that has the client's key, and never the key.
func checkTenants(v *view, report reporter) {
	for _, a := range v.Arrivals {
		t := v.tries[a.Attempt]
		if t == nil || !tookPlace(a) {
			continue
		}
		if a.Key != "" {
			report("%s was shown the key of %s", a.Server, a.Attempt)
		}
		if v.needsKey(t) && v.wasHeld(t) && !v.mayHold(t, a.Tenant) {
			report("%s ran %s for the tenant %q, who doesn't have its key", a.Server, a.Attempt, a.Tenant)
		}
	}
}

// mayHold reports whether a version that may have been in force gives a tenant the key of a try.
func (v *view) mayHold(t *record.Try, tenant string) bool {
	return slices.ContainsFunc(v.versions, func(x version) bool {
		name, ok := x.config.Holder(t.Key)
		return x.mayApply() && ok && name == tenant
	})
}

// wasHeld reports whether any configuration ever held the key of a try.
func (v *view) wasHeld(t *record.Try) bool {
	return slices.ContainsFunc(v.versions, func(x version) bool { _, ok := x.config.Holder(t.Key); return ok })
}

// checkKeys: nothing runs with a key that no configuration ever held, or without one.
func checkKeys(v *view, report reporter) {
	for _, a := range v.Arrivals {
		t := v.tries[a.Attempt]
		if t == nil || !tookPlace(a) || !v.needsKey(t) {
			continue
		}
		if !v.wasHeld(t) {
			report("%s ran %s, whose key no configuration has held", a.Server, a.Attempt)
		}
	}
}

// checkKeysApplied: soon after an acknowledgement, machines in touch serve nobody whose key
// was taken away.
func checkKeysApplied(v *view, report reporter) {
	for _, a := range v.Arrivals {
		t := v.tries[a.Attempt]
		if t == nil || !tookPlace(a) || !v.needsKey(t) || !v.wasHeld(t) {
			continue
		}
		oldest := v.oldestAllowed(t.Sent)
		allowed := oldest < 0 || slices.ContainsFunc(v.versions, func(x version) bool {
			_, ok := x.config.Holder(t.Key)
			return ok && x.mayApply() && x.Version >= oldest && x.Sent <= a.At
		})
		if !allowed && v.inTouchThroughout(t.Daemon, t.Sent, a.At) {
			report("%s ran %s by %s with a key that version %d doesn't have, %.2fs after its acknowledgement",
				a.Server, a.Attempt, t.Daemon, oldest, seconds(t.Sent-v.ackedAt(oldest)))
		}
	}
}

// checkKeysKnown: nobody is told 401 whose key every version has that may be in force.
func checkKeysKnown(v *view, report reporter) {
	for _, t := range v.Tries {
		if t.Status != http.StatusUnauthorized || t.Seal != "" {
			continue
		}
		all, known := 0, 0
		for _, x := range v.versions {
			if !x.mayApply() || x.Sent > t.End {
				continue
			}
			all++
			r, routed := x.config.Match(t.Host, pathOf(t.Target))
			if _, ok := x.config.Holder(t.Key); ok || routed && r.Public || len(x.config.Customers) == 0 {
				known++
			}
		}
		if all > 0 && known == all {
			report("%s was told 401, and every configuration has its key", t.ID)
		}
	}
}

// checkQuotas: summed over all machines, the requests of a tenant that ran in any window keep
// its limit.
func checkQuotas(v *view, report reporter) {
	if v.QuotaWindow <= 0 {
		return
	}
	ran := map[string][]time.Duration{} // when servers got what they ran, by tenant
	for _, a := range v.Arrivals {
		t := v.tries[a.Attempt]
		if t == nil || a.Out != record.Ran {
			continue
		}
		for _, x := range v.versions {
			if name, ok := x.config.Holder(t.Key); ok {
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

// checkQuota looks for the first window in which a tenant had more than its limit.
func (v *view) checkQuota(tenant string, times []time.Duration, report reporter) {
	end := 0
	for i, from := range times {
		for end < len(times) && times[end] < from+v.QuotaWindow {
			end++
		}
		limit, limited := v.quota(tenant, from)
		if limited && float64(end-i) > limit {
			report("the tenant %s had %d requests run in %v from %.2fs on, at most %.0f may be",
				tenant, end-i, v.QuotaWindow, seconds(from), limit)
			return
		}
	}
}

// quota is the largest number of requests that any version allows a tenant in a window from a
// moment on: those that may have been in force until one window after a later one applied.
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
