package judge

import (
	"maps"
	"slices"

	"mulleinmast/proof/history"
)

// checkPlanRace: of the plans on one base only one is acknowledged.
func checkPlanRace(events []history.Event, _ Bounds, report reporter) {
	taken := map[uint64]string{} // plan, by its base
	for _, e := range events {
		if !isTaken(e) {
			continue
		}
		if plan, ok := taken[e.Base]; ok && plan != e.Plan {
			report("plans %s and %s on base %d were both acknowledged", plan, e.Plan, e.Base)
		}
		taken[e.Base] = e.Plan
	}
}

// checkPlanRefused: a plan that was refused, in conflict or broken is never in
// force.
func checkPlanRefused(events []history.Event, _ Bounds, report reporter) {
	refused := map[string]string{} // result, by plan
	for _, e := range events {
		if e.Ev != eventPlan {
			continue
		}
		switch e.Result {
		case planConflict, planBroken, planNotDone:
			refused[e.Plan] = e.Result
		}
	}
	for _, e := range events {
		if e.Ev == eventServes && refused[e.Plan] != "" {
			report("%s works by plan %s (version %d), which was %s", e.Who, e.Plan, e.Ver, refused[e.Plan])
		}
	}
}

// checkPlanOrder: no daemon returns to an older plan, and a version is one plan.
func checkPlanOrder(events []history.Event, _ Bounds, report reporter) {
	newest := map[string]uint64{} // version, by daemon
	plans := map[uint64]string{}  // by version
	for _, e := range events {
		if e.Ev != eventServes {
			continue
		}
		if e.Ver < newest[e.Who] {
			report("%s works by plan version %d after %d", e.Who, e.Ver, newest[e.Who])
		}
		newest[e.Who] = max(newest[e.Who], e.Ver)
		if plan, ok := plans[e.Ver]; ok && plan != e.Plan {
			report("version %d is plan %s and plan %s", e.Ver, plan, e.Plan)
		}
		plans[e.Ver] = e.Plan
	}
}

// checkPlanApplied: an acknowledged plan is in force everywhere within the
// bound.
func checkPlanApplied(events []history.Event, bounds Bounds, report reporter) {
	var acks []history.Event
	for _, e := range events {
		if isTaken(e) {
			acks = append(acks, e)
		}
		if e.Ev != eventServes {
			continue
		}
		for _, ack := range acks {
			if e.Ver < ack.Ver && e.At-ack.At > bounds.Apply {
				report("%s works by plan version %d, %.2fs after %d was acknowledged",
					e.Who, e.Ver, seconds(e.At-ack.At), ack.Ver)
			}
		}
	}
}

// checkPlanAnswers: a plan that is read back, or that an order is refused for,
// is no older than one that was acknowledged before it was asked for.
func checkPlanAnswers(events []history.Event, _ Bounds, report reporter) {
	firstAck := map[uint64]int64{} // by version
	for _, e := range events {
		if _, ok := firstAck[e.Ver]; isTaken(e) && !ok {
			firstAck[e.Ver] = e.At
		}
	}
	versions := slices.Sorted(maps.Keys(firstAck))
	for _, e := range events {
		if e.Ev != eventReadBack && (e.Ev != eventPlan || e.Result != planConflict) {
			continue
		}
		for _, version := range versions {
			if ackedAt := firstAck[version]; e.Ver < version && ackedAt < sentAt(e) {
				report("%s: %s %s tells version %d, asked %.2fs after %d was acknowledged",
					e.Who, e.Ev, e.Plan, e.Ver, seconds(sentAt(e)-ackedAt), version)
				break
			}
		}
	}
}
