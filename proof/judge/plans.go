package judge

import (
	"mulleinmast/proof/history"
)

// races: of the plans on one base only one is acknowledged.
func races(ev []history.Event, _ Bounds, bad func(string, ...any)) {
	won := map[uint64]string{}
	for _, e := range ev {
		if e.Ev != "plan" || e.Result != "taken" {
			continue
		}
		if by, ok := won[e.Base]; ok && by != e.Plan {
			bad("plans %s and %s on base %d were both acknowledged", by, e.Plan, e.Base)
		}
		won[e.Base] = e.Plan
	}
}

// refusedPlans: a refused, in conflict or broken plan is never in force.
func refusedPlans(ev []history.Event, _ Bounds, bad func(string, ...any)) {
	no := map[string]string{}
	for _, e := range ev {
		if e.Ev == "plan" && (e.Result == "beaten" || e.Result == "broken" || e.Result == "not done") {
			no[e.Plan] = e.Result
		}
	}
	for _, e := range ev {
		if e.Ev == "serves" && no[e.Plan] != "" {
			bad("%s works by plan %s (version %d), which was %s", e.Who, e.Plan, e.Ver, no[e.Plan])
		}
	}
}

// fallsBack: no daemon goes back to an older plan, and a version is one plan.
func fallsBack(ev []history.Event, _ Bounds, bad func(string, ...any)) {
	top := map[string]uint64{}
	of := map[uint64]string{}
	for _, e := range ev {
		if e.Ev != "serves" {
			continue
		}
		if e.Ver < top[e.Who] {
			bad("%s works by plan version %d after %d", e.Who, e.Ver, top[e.Who])
		}
		top[e.Who] = max(top[e.Who], e.Ver)
		if was, ok := of[e.Ver]; ok && was != e.Plan {
			bad("version %d is plan %s and plan %s", e.Ver, was, e.Plan)
		}
		of[e.Ver] = e.Plan
	}
}

// late: an acknowledged plan is in force everywhere within the bound.
func late(ev []history.Event, b Bounds, bad func(string, ...any)) {
	type ack struct {
		ver uint64
		at  int64
	}
	var acks []ack
	for _, e := range ev {
		switch {
		case e.Ev == "plan" && e.Result == "taken":
			acks = append(acks, ack{e.Ver, e.At})
		case e.Ev == "serves":
			for _, a := range acks {
				if e.Ver < a.ver && e.At-a.at > b.Plan {
					bad("%s works by plan version %d, %.2fs after %d was acknowledged", e.Who, e.Ver, sec(e.At-a.at), a.ver)
				}
			}
		}
	}
}

// old: a plan that is read back, or that an order is refused for, is no older
// than one that was acknowledged before it was asked for.
func old(ev []history.Event, _ Bounds, bad func(string, ...any)) {
	acks := map[uint64]int64{} // by version, when first
	for _, e := range ev {
		if _, ok := acks[e.Ver]; e.Ev == "plan" && e.Result == "taken" && !ok {
			acks[e.Ver] = e.At
		}
	}
	for _, e := range ev {
		if e.Ev != "readback" && (e.Ev != "plan" || e.Result != "beaten") {
			continue
		}
		for ver, at := range acks {
			if e.Ver < ver && at < e.At-e.Took {
				bad("%s: %s %s tells version %d, asked %.2fs after %d was acknowledged", e.Who, e.Ev, e.Plan, e.Ver, sec(e.At-e.Took-at), ver)
				break
			}
		}
	}
}
