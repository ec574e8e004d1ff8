package rules

import (
	"slices"
	"time"

	"mulleinmast/proof/standin/record"
)

// routed: a service runs only what some configuration ever let come to it.
func routed(v *view, bad say) {
	for _, a := range v.Arrivals {
		if a.Out != record.Ran && a.Out != record.Read {
			continue
		}
		if !slices.ContainsFunc(v.versions, func(x version) bool {
			r, ok := x.cfg.Match(a.Host, path(a.Target))
			return ok && x.Sent <= a.At && slices.Contains(r.Services(), a.Service)
		}) {
			bad("%s of %s ran %s %s%s, which no configuration lets come there", a.Server, a.Service, a.Attempt, a.Host, a.Target)
		}
	}
}

// from tells whether a request came through a machine that is in touch.
func (v *view) from(a *record.Arrival) bool {
	t := v.tries[a.Attempt]
	return t != nil && v.through(t.Daemon, t.Sent, a.At)
}

// drained: nothing reaches a server long after the list shows that it leaves.
func drained(v *view, bad say) {
	for _, a := range v.Arrivals {
		l := v.lives[a.Server]
		if a.Out == record.Other || l == nil || !v.from(a) {
			continue
		}
		for what, since := range map[string]time.Duration{"draining": l.DrainShown, "gone": l.GoneShown} {
			if since > 0 && a.At > since+v.Drain {
				bad("%s reached %s %.2fs after the list showed it %s", a.Attempt, a.Server, sec(a.At-since), what)
			}
		}
	}
}

// evacuated: nothing reaches a zone long after its evacuation was acknowledged.
func evacuated(v *view, bad say) {
	for _, e := range v.Evacuations {
		if e.Acked == 0 {
			continue
		}
		for _, a := range v.Arrivals {
			if a.Zone == e.Zone && a.Out != record.Other && a.At > e.Acked+v.Evacuate && (e.Back == 0 || a.At < e.Back) && v.from(a) {
				bad("%s reached %s in %s %.2fs after its evacuation was acknowledged", a.Attempt, a.Server, a.Zone, sec(a.At-e.Acked))
			}
		}
	}
}

// kept: an evacuation that was acknowledged outlasts the closing fault.
func kept(v *view, bad say) {
	for _, e := range v.Evacuations {
		if v.Back == 0 || e.Acked == 0 || e.Acked > v.Fault || e.Back > 0 {
			continue
		}
		for _, a := range v.Arrivals {
			if a.Zone == e.Zone && a.Out != record.Other && a.At > v.Back+v.Recovery+v.Evacuate {
				bad("%s reached %s: the evacuation of %s was lost", a.Attempt, a.Server, a.Zone)
			}
		}
	}
}

// further: arrivals after the first of each request stay within the fleet's
// bound in every window.
func further(v *view, bad say) {
	again := map[string][]time.Duration{}
	for _, list := range v.arrivals {
		first, read := map[string]bool{}, map[string]bool{}
		for _, a := range list {
			switch {
			case a.Reading && a.Out == record.Read && !read[a.Service]: // the first reading that is taken up
				read[a.Service] = true
			case !first[a.Service]:
				first[a.Service] = true
			default:
				again[a.Service] = append(again[a.Service], a.At)
			}
		}
	}
	asked := map[string][]time.Duration{}
	for _, t := range v.Tries {
		for _, s := range v.routes[t.Route].Services() {
			asked[s] = append(asked[s], t.Sent)
		}
	}
	in := func(list []time.Duration, from, to time.Duration) (n int) {
		for _, x := range list {
			if x > from && x <= to {
				n++
			}
		}
		return n
	}
	for svc, list := range again {
		slices.Sort(list)
		for _, to := range list {
			w := v.RetryWindow
			n := in(list, to-w, to)
			most := max(in(asked[svc], to-w, to), in(asked[svc], to-2*w, to-w), in(asked[svc], to-w*3/2, to-w/2))
			if allowed := v.RetryRatio*float64(most) + float64(v.RetrySlack); float64(n) > allowed {
				bad("%s got %d further arrivals in the %.0fs up to %.2fs, at most %.1f may come", svc, n, sec(w), sec(to), allowed)
			}
		}
	}
}

// flooded: a cold server gets no more in a second than it bears.
func flooded(v *view, bad say) {
	by := map[string][]*record.Arrival{}
	for _, a := range v.Arrivals {
		if l := v.lives[a.Server]; l != nil && a.At < l.ColdUntil && a.Out != record.Other {
			by[a.Server] = append(by[a.Server], a)
		}
	}
	for id, list := range by {
		most := v.lives[id].ColdRate*v.ColdOverrun + v.ColdSlack
		for i, a := range list {
			n := 0
			for j := i; j >= 0 && list[j].At > a.At-time.Second; j-- {
				n++
			}
			if float64(n) > most {
				bad("%s got %d requests in the second up to %.2fs while cold, at most %.1f may come", id, n, sec(a.At), most)
			}
		}
	}
}

// holders: each server has one holder at a time.
func holders(v *view, bad say) {
	by := map[string][]*record.Order{}
	for _, o := range v.Orders {
		by[o.Server] = append(by[o.Server], o)
	}
	for id, list := range by {
		slices.SortStableFunc(list, func(a, b *record.Order) int { return int(a.At - b.At) })
		fences, top := map[int64]string{}, int64(0)
		for i, o := range list {
			if h, ok := fences[o.Fence]; ok && h != o.Holder {
				bad("%s was ordered by %s and by %s with the fence %d", id, h, o.Holder, o.Fence)
			}
			fences[o.Fence] = o.Holder
			if o.Fence < top && !v.ChecksFence {
				bad("%s was ordered with the fence %d after %d", id, o.Fence, top)
			}
			top = max(top, o.Fence)
			if i > 0 && list[i-1].Holder != o.Holder && o.At-list[i-1].At < v.Lease {
				bad("%s was ordered by %s %.2fs after %s", id, o.Holder, sec(o.At-list[i-1].At), list[i-1].Holder)
			}
		}
	}
}

// planned: around planned work no request that was read is lost.
func planned(v *view, bad say) {
	for _, t := range v.Tries {
		if t.Whole == 0 || t.Complete || t.GaveUp || t.Probe || t.Status/100 > 2 || t.End >= t.Deadline {
			continue
		}
		list := v.arrivals[t.ID]
		if len(list) == 0 && t.End <= t.Whole+v.LostSlack {
			continue // it may not have been read
		}
		if r, ok := v.routes[t.Route]; !ok || t.End-t.Sent >= time.Duration(r.GiveUpMs)*time.Millisecond {
			continue
		}
		if v.serverBroke(list, t.End) || v.unplanned(t) {
			continue
		}
		for _, x := range v.Troubles {
			if x.Daemon != t.Daemon {
				continue
			}
			if x.Planned && t.End >= x.From && t.Sent <= x.From+v.Grace+time.Second {
				bad("%s was cut %.2fs after the SIGTERM of %s (%d arrivals)", t.ID, sec(t.End-x.From), x.Daemon, len(list))
			}
			if x.Hup && t.Sent <= x.From+v.Apply && t.End >= x.From && t.End <= x.From+v.Apply+time.Second {
				bad("%s was cut %.2fs after the SIGHUP of %s", t.ID, sec(t.End-x.From), x.Daemon)
			}
		}
	}
}

// serverBroke tells whether a server ended its answer or itself.
func (v *view) serverBroke(list []*record.Arrival, end time.Duration) bool {
	return slices.ContainsFunc(list, func(a *record.Arrival) bool {
		l := v.lives[a.Server]
		return a.Broke || l != nil && l.Died > 0 && l.Died <= end
	})
}

// unplanned tells whether trouble that was not planned befell a try's daemon or
// the core around it.
func (v *view) unplanned(t *record.Try) bool {
	return slices.ContainsFunc(v.Troubles, func(x *record.Trouble) bool {
		return !x.Planned && !x.Hup && (x.Daemon == t.Daemon || x.Core) && t.End >= x.From && (x.To == 0 || t.Sent <= x.To+v.InTouch)
	})
}

// recovered: after the closing fault requests are served again.
func recovered(v *view, bad say) {
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
		bad("%d of %d requests were served that were sent more than %.0fs after the machines were back, %d of %d before", ok, after, sec(v.Recovery), ok, before)
	}
}
