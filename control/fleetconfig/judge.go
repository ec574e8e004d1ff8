package fleetconfig

import (
	"slices"

	"mulleinmast/wire/message"
)

// Verdict is the answer to a plan or a change.
type Verdict struct {
	Result  string   `json:"result"`  // one of the results of a verdict
	Version uint64   `json:"version"` // that the plan became; else the one in force
	Faults  []string `json:"faults,omitempty"`
}

// Results of a verdict. Operators' programs read them.
const (
	VerdictAccepted = "taken"
	VerdictConflict = "beaten" // the version that it is based on is no longer in force
	VerdictInvalid  = "broken" // it has faults
)

// Judge decides about a next plan against the one in force, which is accepted
// again; what was accepted before that is for Decide. It returns the record's value
// when the plan is accepted.
//
// Example: val, verdict := fleetconfig.Judge(current, "id-1", 4, func(p Plan) (Plan, Faults) { return p.Apply(c) })
func Judge(current Plan, id string, base uint64, next func(Plan) (Plan, Faults)) ([]byte, Verdict) {
	for _, past := range slices.Concat(current.PastChanges, []AcceptedChange{{ID: current.ID, Version: current.Version}}) {
		if past.ID == id && id != "" {
			return nil, Verdict{Result: VerdictAccepted, Version: past.Version}
		}
	}
	if base != current.Version {
		return nil, Verdict{Result: VerdictConflict, Version: current.Version}
	}
	plan, faults := next(current)
	if plan.Number > 0 && plan.Number <= current.Version {
		faults.Add("plan.number: %d: expected more than %d, the version in force", plan.Number, current.Version)
	}
	if faults.Any() {
		return nil, Verdict{Result: VerdictInvalid, Version: current.Version, Faults: faults.List}
	}
	plan.ID, plan.Base, plan.Version = id, base, current.Version+1
	if plan.Number > 0 {
		plan.Version, plan.Number = plan.Number, 0
	}
	plan.PastChanges = nil // see AcceptedChanges
	value, err := EncodePlan(plan)
	if err != nil {
		return nil, Verdict{Result: VerdictInvalid, Version: current.Version, Faults: []string{err.Error()}}
	}
	return value, Verdict{Result: VerdictAccepted, Version: plan.Version}
}

// Decide judges a next plan by the records: one that was accepted before gets
// its answer again, one that is accepted now is written together with its id. plans
// reads the plan's record; number is the one that the call names, if any. The
// error is of a plan in force that this build can't read: nothing is decided on it.
//
// Example: records, verdict, err := fleetconfig.Decide(read, plans, "id-1", 4, 7, next)
func Decide(
	read func(key string) message.Record, plans *PlanReader,
	id string, base, number uint64, next func(Plan) (Plan, Faults),
) ([]message.Record, Verdict, error) {
	current, err := plans.Read(read(PlanKey))
	if err != nil {
		return nil, Verdict{}, err
	}
	accepted := ReadAcceptedChanges(read)
	if version, ok := accepted.Find(id, number); ok {
		return nil, Verdict{Result: VerdictAccepted, Version: version}, nil
	}
	value, verdict := Judge(current, id, base, next)
	if value == nil {
		return nil, verdict, nil
	}
	// What a build before this one kept in the plan's record moves out of it.
	remembered := accepted.Add(slices.Concat(current.PastChanges, []AcceptedChange{{ID: id, Version: verdict.Version}})...)
	return append([]message.Record{{Key: PlanKey, Value: value}}, remembered...), verdict, nil
}
