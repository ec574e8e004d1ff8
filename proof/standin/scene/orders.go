package scene

import (
	"context"
	"sync"
	"time"

	"mulleinmast/proof/standin/operator"
	"mulleinmast/proof/standin/record"
	"mulleinmast/proof/standin/wire"
)

// Sleep waits for a duration on the record's clock.
//
// Example: w.Sleep(ctx, w.Bounds.InTouch)
func (w *World) Sleep(ctx context.Context, d time.Duration) {
	end := w.Log.Now() + d
	w.Until(ctx, d+5*time.Second, "time passes", func() bool { return w.Log.Now() > end })
}

// probe requests a path from every daemon, which must serve it, or answer 404 if it should
// not be routed.
func (w *World) probe(ctx context.Context, path string, routed bool) {
	w.Sleep(ctx, w.Bounds.Apply)
	for _, d := range w.Fleet.Daemons() {
		t := w.Load.Probe(ctx, d, w.Routes[0].Host, path, w.Routes[0])
		if t == nil {
			w.Fail("%s accepts no connection", d.Name)
			continue
		}
		if t.Served() != routed || !routed && t.Status != 404 {
			w.Fail("%s answers %d for %s (routed: %v)", d.Name, t.Status, path, routed)
		}
	}
}

// evacuate takes a zone out of service and returns it.
func evacuate(ctx context.Context, w *World) {
	zone := Zones[1]
	e := w.Op.Evacuate(ctx, zone)
	if e.Acked == 0 {
		w.Fail("the evacuation was not acknowledged")
		return
	}
	w.Note("%s was evacuated, acknowledged after %.2fs", zone, (e.Acked - e.Sent).Seconds())
	w.Sleep(ctx, w.Bounds.Evacuate)
	w.WaitServed(ctx, int(2*w.Rate))
	if !w.Op.CancelEvacuation(ctx, e) {
		w.Fail("the return of the zone was not acknowledged")
		return
	}
	back := w.Log.Now()
	w.waitZoneUsed(ctx, zone, back)
}

// config moves, adds and removes routes and changes timeouts under load, with both complete
// configurations and changes.
func config(ctx context.Context, w *World) {
	now := func() wire.Config { return w.Op.Now() }
	steps := []func() *record.Change{
		func() *record.Change { // a route moves
			ch := wire.Change{Version: now().Version + 2}
			r := w.Routes[0]
			r.Service = "other"
			ch.Replace.Routes = []wire.Route{r}
			return w.Op.Patch(ctx, ch, now())
		},
		func() *record.Change { return w.addRoute(ctx, "later") },
		func() *record.Change { // a complete configuration: a route is split, another has a shorter timeout
			c := now()
			c.Routes = append([]wire.Route(nil), c.Routes...)
			c.Version += 7
			c.Routes[1].Service, c.Routes[1].Weighted = "", []wire.Weighted{{Service: "plain", Share: 30}, {Service: "other", Share: 70}}
			c.Routes[2].GiveUpMs = 4000
			return w.Op.Put(ctx, c, now().Version)
		},
		func() *record.Change { // the initial routes again
			ch := wire.Change{Version: now().Version + 1}
			ch.Replace.Routes = []wire.Route{w.Routes[0], w.Routes[1]}
			ch.Remove.Routes = []string{"r-later"}
			return w.Op.Patch(ctx, ch, now())
		},
	}
	for i, step := range steps {
		c := step()
		if c.Status != 200 {
			w.Fail("change %d was answered %d", i, c.Status)
			return
		}
		w.Note("version %d acknowledged after %.2fs", c.Version, (c.Done - c.Sent).Seconds())
		w.Load.SetRequestKinds(w.Menu(now().Routes))
		w.WaitServed(ctx, int(w.Rate/2))
		w.probe(ctx, "/later/", i == 1 || i == 2)
	}
	w.probe(ctx, "/never/", false)
}

// race sends two changes of the same version at once, several times, with invalid
// configurations between them.
func race(ctx context.Context, w *World) {
	won, conflict := 0, 0
	for i := range 6 {
		on := w.Op.Now()
		var wait sync.WaitGroup
		var sent [2]wire.Change
		var got [2]*record.Change
		for k := range got {
			wait.Go(func() {
				r := w.Routes[0]
				r.GiveUpMs = 4000 + 10*i + k
				sent[k].Version, sent[k].Replace.Routes = on.Version+1+k*(i%2), []wire.Route{r}
				got[k] = w.Op.Patch(ctx, sent[k], on)
			})
		}
		wait.Wait()
		for k, c := range got {
			if again := w.Op.Patch(ctx, sent[k], on); again.Status != c.Status {
				w.Fail("a change was answered %d, and its retry %d", c.Status, again.Status)
			}
			switch c.Status {
			case 200:
				won++
			case 412:
				conflict++
			default:
				w.Fail("a change in a race was answered %d", c.Status)
			}
		}
		if c := w.Op.PutInvalid(ctx, i%operator.InvalidKinds); c.Status/100 != 4 {
			w.Fail("an invalid configuration (kind %d) was answered %d", i%operator.InvalidKinds, c.Status)
		}
	}
	w.Note("%d changes won, %d were in conflict", won, conflict)
	if won != 6 || conflict != 6 {
		w.Fail("one of two racing changes must win each time, but %d won and %d were in conflict", won, conflict)
	}
	w.WaitServed(ctx, int(w.Rate))
}

// waitZoneUsed waits until a server of a returned zone has run a request.
func (w *World) waitZoneUsed(ctx context.Context, zone string, back time.Duration) {
	w.Until(ctx, w.Bounds.Evacuate+10*time.Second, "the zone is used again", func() bool {
		return w.arrivalsIn(zone, back, func(x *record.Arrival) bool { return x.Out == record.Ran }) > 0
	})
}

// arrivalsIn returns how many arrivals at the servers of a zone since a moment meet a condition.
func (w *World) arrivalsIn(zone string, since time.Duration, condition func(*record.Arrival) bool) int {
	return w.Log.Count(func(a *record.All) (arrived int) {
		for _, x := range a.Arrivals {
			if x.Zone == zone && x.At > since && condition(x) {
				arrived++
			}
		}
		return arrived
	})
}
