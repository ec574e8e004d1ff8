package scene

import (
	"context"
	"net/http"
	"slices"
	"time"

	"mulleinmast/proof/standin/fleet"
	"mulleinmast/proof/standin/record"
	"mulleinmast/proof/standin/wire"
)

// maxAcknowledgement is the time within which an order is acknowledged.
const maxAcknowledgement = 4 * time.Second

// orderGivenAgain evacuates a zone, returns it and evacuates it again at once. Every daemon must acknowledge the
// new order, and its repeats, and no request may then reach the zone.
func orderGivenAgain(ctx context.Context, w *World) {
	zone := Zones[1]
	first := w.Op.Evacuate(ctx, zone)
	if first.Acked == 0 || !w.Op.CancelEvacuation(ctx, first) {
		w.Fail("the evacuation or its end was not acknowledged")
		return
	}
	again := w.Op.Evacuate(ctx, zone)
	if again.Acked == 0 || again.Acked-again.Sent > maxAcknowledgement {
		w.Fail("the evacuation given again was acknowledged at %v, sent at %v", again.Acked, again.Sent)
		return
	}
	for _, code := range w.Op.Repeat(ctx, http.MethodPost, wire.EvacPath+zone, "", nil) {
		if code != http.StatusOK {
			w.Fail("a repeat of the evacuation was answered %d", code)
		}
	}
	w.Sleep(ctx, w.Bounds.Evacuate)
	w.WaitServed(ctx, int(w.Rate))
	reachesServer := func(x *record.Arrival) bool { return x.Out != record.Misdirected }
	if arrived := w.arrivalsIn(zone, again.Acked+w.Bounds.Evacuate, reachesServer); arrived > 0 {
		w.Fail("%d requests reached %s after its second evacuation", arrived, zone)
	}
	if !w.Op.CancelEvacuation(ctx, again) {
		w.Fail("the second return of %s was not acknowledged", zone)
		return
	}
	w.waitZoneUsed(ctx, zone, w.Log.Now())
}

// lateOrder sends an evacuation to a frozen daemon, whose caller gives up and has it done and undone by others. The
// daemon must not carry it out when it resumes.
func lateOrder(ctx context.Context, w *World) {
	zone := Zones[1]
	frozen := w.anyFollower()
	if frozen == nil {
		w.Fail("no daemon but the leader of the configuration is up")
		return
	}
	w.Fleet.Freeze(frozen)
	if code := w.Op.SendTo(ctx, http.MethodPost, frozen.Name, wire.EvacPath+zone); code != 0 {
		w.Fail("a frozen daemon answered %d", code)
	}
	order := w.Op.Evacuate(ctx, zone)
	if order.Acked == 0 || !w.Op.CancelEvacuation(ctx, order) {
		w.Fail("the evacuation or its end was not acknowledged beside a frozen daemon")
	}
	w.Fleet.Thaw(frozen)
	thawed := w.Log.Now()
	w.Sleep(ctx, w.Bounds.Apply)
	for _, m := range w.Fleet.Machines() {
		if state, ok := w.Fleet.State(m); ok && slices.Contains(state.ZonesOut, zone) {
			w.Fail("%s has %s evacuated: an order was carried out after its caller had given up", m.Name, zone)
		}
	}
	w.waitZoneUsed(ctx, zone, thawed)
}

// anyFollower returns a running machine that doesn't lead the configuration, or nil.
func (w *World) anyFollower() *fleet.Machine {
	leader := w.Fleet.Leader(0)
	for _, m := range w.Fleet.Machines() {
		if m != leader && m.Up() {
			return m
		}
	}
	return nil
}
