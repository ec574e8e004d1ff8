package rules

import (
	"slices"
	"time"

	"mulleinmast/proof/standin/record"
)

// checkRoutes checks that a service runs only requests that some configuration routed to it.
func checkRoutes(v *view, report reporter) {
	for _, a := range v.Arrivals {
		if a.Out != record.Ran && a.Out != record.Prefilled {
			continue
		}
		if !slices.ContainsFunc(v.versions, func(x version) bool {
			r, ok := x.config.Match(a.Host, pathOf(a.Target))
			return ok && x.Sent <= a.At && slices.Contains(r.Services(), a.Service)
		}) {
			report("%s of %s ran %s %s%s, which no configuration routes there",
				a.Server, a.Service, a.Attempt, a.Host, a.Target)
		}
	}
}

// cameInTouch reports whether bounds applied to the machine that forwarded an arrival.
func (v *view) cameInTouch(a *record.Arrival) bool {
	t := v.tries[a.Attempt]
	return t != nil && v.inTouchThroughout(t.Daemon, t.Sent, a.At)
}

// checkDrained checks that no request reaches a server after the Drain bound from the
// moment that the list shows it as leaving or gone.
func checkDrained(v *view, report reporter) {
	for _, a := range v.Arrivals {
		l := v.lives[a.Server]
		if a.Out == record.Misdirected || l == nil || !v.cameInTouch(a) {
			continue
		}
		for what, since := range map[string]time.Duration{"draining": l.DrainShown, "gone": l.GoneShown} {
			if since > 0 && a.At > since+v.Drain {
				report("%s reached %s %.2fs after the list showed the server as %s",
					a.Attempt, a.Server, seconds(a.At-since), what)
			}
		}
	}
}

// checkEvacuated checks that no request reaches a zone after the Evacuate bound from the
// acknowledgement of its evacuation.
func checkEvacuated(v *view, report reporter) {
	for _, e := range v.Evacuations {
		if e.Acked == 0 {
			continue
		}
		for _, a := range v.Arrivals {
			applies := a.At > e.Acked+v.Evacuate && (e.Back == 0 || a.At < e.Back)
			if a.Zone == e.Zone && a.Out != record.Misdirected && applies && v.cameInTouch(a) {
				report("%s reached %s in %s %.2fs after its evacuation was acknowledged",
					a.Attempt, a.Server, a.Zone, seconds(a.At-e.Acked))
			}
		}
	}
}

// checkEvacuationKept checks that an acknowledged evacuation survives the closing fault.
func checkEvacuationKept(v *view, report reporter) {
	for _, e := range v.Evacuations {
		if v.Back == 0 || e.Acked == 0 || e.Acked > v.Fault || e.Back > 0 {
			continue
		}
		for _, a := range v.Arrivals {
			if a.Zone == e.Zone && a.Out != record.Misdirected && a.At > v.Back+v.Recovery+v.Evacuate {
				report("%s reached %s: the evacuation of %s was lost", a.Attempt, a.Server, a.Zone)
			}
		}
	}
}

// checkRetries checks that the arrivals after the first one of each request stay within
// the fleet's retry bound in every window.
func checkRetries(v *view, report reporter) {
	requests := v.requestTimes()
	for service, retries := range v.retryTimes() {
		slices.Sort(retries)
		sent := requests[service]
		for _, to := range retries {
			window := v.RetryWindow
			count := countWithin(retries, to-window, to)
			most := max(
				countWithin(sent, to-window, to),
				countWithin(sent, to-2*window, to-window),
				countWithin(sent, to-window*3/2, to-window/2),
			)
			if allowed := v.RetryRatio*float64(most) + float64(v.RetrySlack); float64(count) > allowed {
				report("%s got %d retries in the %.0fs up to %.2fs; the limit is %.1f",
					service, count, seconds(window), seconds(to), allowed)
			}
		}
	}
}

// retryTimes returns, by service, the times of arrivals after the first one of their
// request. The first prefill that a server accepts does not count.
func (v *view) retryTimes() map[string][]time.Duration {
	retries := map[string][]time.Duration{}
	for _, arrivals := range v.arrivals {
		arrived, read := map[string]bool{}, map[string]bool{} // by service
		for _, a := range arrivals {
			switch {
			case a.Reading && a.Out == record.Prefilled && !read[a.Service]:
				read[a.Service] = true
			case !arrived[a.Service]:
				arrived[a.Service] = true
			default:
				retries[a.Service] = append(retries[a.Service], a.At)
			}
		}
	}
	return retries
}

// requestTimes returns, by service, when requests were sent on its routes.
func (v *view) requestTimes() map[string][]time.Duration {
	requests := map[string][]time.Duration{}
	for _, t := range v.Tries {
		for _, service := range v.routes[t.Route].Services() {
			requests[service] = append(requests[service], t.Sent)
		}
	}
	return requests
}

// countWithin counts the times after from, up to to.
func countWithin(times []time.Duration, from, to time.Duration) (count int) {
	for _, at := range times {
		if at > from && at <= to {
			count++
		}
	}
	return count
}

// checkColdServers checks that a cold server gets no more requests per second than it can
// handle.
func checkColdServers(v *view, report reporter) {
	cold := map[string][]*record.Arrival{} // by server
	for _, a := range v.Arrivals {
		if l := v.lives[a.Server]; l != nil && a.At < l.ColdUntil && a.Out != record.Misdirected {
			cold[a.Server] = append(cold[a.Server], a)
		}
	}
	for id, list := range cold {
		most := v.lives[id].ColdRate*v.ColdOverrun + v.ColdSlack
		for i, a := range list {
			n := 0
			for j := i; j >= 0 && list[j].At > a.At-time.Second; j-- {
				n++
			}
			if float64(n) > most {
				report("%s got %d requests in the second up to %.2fs while cold; the limit is %.1f",
					id, n, seconds(a.At), most)
			}
		}
	}
}

// checkHolders checks that each server has one holder at a time.
func checkHolders(v *view, report reporter) {
	orders := map[string][]*record.Order{} // by server
	for _, o := range v.Orders {
		orders[o.Server] = append(orders[o.Server], o)
	}
	for id, list := range orders {
		slices.SortStableFunc(list, func(a, b *record.Order) int { return int(a.At - b.At) })
		holderOf := map[int64]string{} // by fence
		highest := int64(0)            // fence so far
		for i, o := range list {
			if holder, ok := holderOf[o.Fence]; ok && holder != o.Holder {
				report("%s was ordered by %s and by %s with the fence %d", id, holder, o.Holder, o.Fence)
			}
			holderOf[o.Fence] = o.Holder
			if o.Fence < highest && !v.ChecksFence {
				report("%s was ordered with the fence %d after %d", id, o.Fence, highest)
			}
			highest = max(highest, o.Fence)
			if i > 0 && list[i-1].Holder != o.Holder && o.At-list[i-1].At < v.Lease {
				report("%s was ordered by %s %.2fs after %s",
					id, o.Holder, seconds(o.At-list[i-1].At), list[i-1].Holder)
			}
		}
	}
}

// checkPlannedWork checks that no request that was read is lost because of a SIGTERM or a
// SIGHUP.
func checkPlannedWork(v *view, report reporter) {
	for _, t := range v.Tries {
		if !v.wasLost(t) {
			continue
		}
		for _, x := range v.Troubles {
			if x.Daemon != t.Daemon {
				continue
			}
			if x.Planned && t.End >= x.From && t.Sent <= x.From+v.Grace+time.Second {
				report("%s was cut %.2fs after the SIGTERM of %s (%d arrivals)",
					t.ID, seconds(t.End-x.From), x.Daemon, len(v.arrivals[t.ID]))
			}
			if x.Hup && t.Sent <= x.From+v.Apply && t.End >= x.From && t.End <= x.From+v.Apply+time.Second {
				report("%s was cut %.2fs after the SIGHUP of %s", t.ID, seconds(t.End-x.From), x.Daemon)
			}
		}
	}
}

// wasLost reports whether a request that was read got no complete answer, though neither
// the client, the deadline, a server nor an unplanned trouble was the cause.
func (v *view) wasLost(t *record.Try) bool {
	if t.SentFully == 0 || t.Complete || t.GaveUp || t.Probe || t.Status/100 > 2 || t.End >= t.Deadline {
		return false
	}
	arrivals := v.arrivals[t.ID]
	if len(arrivals) == 0 && t.End <= t.SentFully+v.LostSlack {
		return false // it may not have been read
	}
	route, known := v.routes[t.Route]
	if !known || t.End-t.Sent >= time.Duration(route.GiveUpMs)*time.Millisecond {
		return false
	}
	return !v.brokenByServer(arrivals, t.End) && !v.hadUnplannedTrouble(t)
}

// brokenByServer reports whether a server aborted its answer or died.
func (v *view) brokenByServer(list []*record.Arrival, end time.Duration) bool {
	return slices.ContainsFunc(list, func(a *record.Arrival) bool {
		l := v.lives[a.Server]
		return a.FaultInjected || l != nil && l.Died > 0 && l.Died <= end
	})
}

// hadUnplannedTrouble reports whether an unplanned trouble affected a try's daemon or the
// core around the time of the try.
func (v *view) hadUnplannedTrouble(t *record.Try) bool {
	return slices.ContainsFunc(v.Troubles, func(x *record.Disruption) bool {
		affects := !x.Planned && !x.Hup && (x.Daemon == t.Daemon || x.Core)
		return affects && t.End >= x.From && (x.To == 0 || t.Sent <= x.To+v.InTouch)
	})
}

// checkRecovery checks that requests are served again after the closing fault.
func checkRecovery(v *view, report reporter) {
	if v.Back == 0 {
		return
	}
	count := func(from, to time.Duration) (all, ok int) {
		for _, t := range v.Tries {
			if t.ID != "" && !t.Probe && t.Sent >= from && t.Sent < to {
				all++
				if t.Served() {
					ok++
				}
			}
		}
		return all, ok
	}
	before, ok := count(0, v.Fault)
	if before == 0 || ok*4 < before {
		return
	}
	if after, ok := count(v.Back+v.Recovery, v.End); after > 0 && ok*4 < after {
		report("%d of %d requests sent more than %.0fs after the machines were back were served, "+
			"compared with %d of %d before the fault", ok, after, seconds(v.Recovery), ok, before)
	}
}
