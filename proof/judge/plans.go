package judge

import (
	"maps"
	"slices"

	"mulleinmast/proof/history"
)

// checkPlanRace: at most one plan is acknowledged per base version.
func checkPlanRace(events []history.Event, _ Bounds, report reporter) {
	taken := map[uint64]string{} // plan, by its base
	for _, e := range events {
		if !isAcknowledged(e) {
			continue
		}
		if plan, ok := taken[e.Base]; ok && plan != e.Plan {
			report("plans %s and %s on base %d were both acknowledged", plan, e.Plan, e.Base)
		}
		taken[e.Base] = e.Plan
	}
}

// checkPlanRefused: a plan that was refused, invalid or in conflict never takes
// effect.
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
			report("%s serves by plan %s (version %d), which was answered with %q", e.Who, e.Plan, e.Ver, refused[e.Plan])
		}
	}
}

// checkPlanOrder: no daemon returns to an older plan, and a version identifies one plan.
func checkPlanOrder(events []history.Event, _ Bounds, report reporter) {
	newest := map[string]uint64{} // version, by daemon
	plans := map[uint64]string{}  // by version
	for _, e := range events {
		if e.Ev != eventServes {
			continue
		}
		if e.Ver < newest[e.Who] {
			report("%s serves by plan version %d after version %d", e.Who, e.Ver, newest[e.Who])
		}
		newest[e.Who] = max(newest[e.Who], e.Ver)
		if plan, ok := plans[e.Ver]; ok && plan != e.Plan {
			report("version %d belongs to plan %s and to plan %s", e.Ver, plan, e.Plan)
		}
		plans[e.Ver] = e.Plan
	}
}

// checkPlanApplied: every daemon serves by an acknowledged plan within the
// bound.
func checkPlanApplied(events []history.Event, bounds Bounds, report reporter) {
	var acks []history.Event
	for _, e := range events {
		if isAcknowledged(e) {
			acks = append(acks, e)
		}
		if e.Ev != eventServes {
			continue
		}
		for _, ack := range acks {
			if e.Ver < ack.Ver && e.At-ack.At > bounds.Apply {
				report("%s serves by plan version %d, %.2fs after version %d was acknowledged",
					e.Who, e.Ver, seconds(e.At-ack.At), ack.Ver)
			}
		}
	}
}

// checkPlanAnswers: the version that a read or a conflict returns is no older than
// any version that was acknowledged before the call was sent.
func checkPlanAnswers(events []history.Event, _ Bounds, report reporter) {
	firstAck := map[uint64]int64{} // by version
	for _, e := range events {
		if _, ok := firstAck[e.Ver]; isAcknowledged(e) && !ok {
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
				report("%s: %s %s returned version %d, sent %.2fs after version %d was acknowledged",
					e.Who, e.Ev, e.Plan, e.Ver, seconds(sentAt(e)-ackedAt), version)
				break
			}
		}
	}
}
