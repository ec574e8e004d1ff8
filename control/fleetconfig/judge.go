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

// Proposal is a next plan on the version that it is made for: a whole plan, or named changes of the one in force.
type Proposal struct {
	ID     string // the operator's; the same id again gets the same answer
	Base   uint64 // version that must be in force
	Number uint64 // the operator's own, for the next version; 0: none
	// Next makes the proposed plan of the one in force. It is called only if that is the base.
	Next func(current Plan) (Plan, Faults)
}

// Propose is the proposal of a whole plan.
//
// Example: records, verdict, err := fleetconfig.Decide(read, plans, plan.Propose())
func (p Plan) Propose() Proposal {
	return Proposal{p.ID, p.Base, p.Number, func(Plan) (Plan, Faults) { return p, p.Validate() }}
}

// Propose is the proposal of named changes.
//
// Example: records, verdict, err := fleetconfig.Decide(read, plans, changes.Propose())
func (c Changes) Propose() Proposal {
	return Proposal{c.ID, c.Base, c.Number, func(current Plan) (Plan, Faults) { return current.Apply(c) }}
}

// Judge decides about a proposal against the plan in force, which is accepted
// again; what was accepted before that is for Decide. It returns the record's value
// when the proposal is accepted.
//
// Example: val, verdict := fleetconfig.Judge(current, changes.Propose())
func Judge(current Plan, proposal Proposal) ([]byte, Verdict) {
	for _, past := range slices.Concat(current.PastChanges, []AcceptedChange{{ID: current.ID, Version: current.Version}}) {
		if past.ID == proposal.ID && proposal.ID != "" {
			return nil, Verdict{Result: VerdictAccepted, Version: past.Version}
		}
	}
	if proposal.Base != current.Version {
		return nil, Verdict{Result: VerdictConflict, Version: current.Version}
	}
	plan, faults := proposal.Next(current)
	if plan.Number > 0 && plan.Number <= current.Version {
		faults.Add("plan.number: %d: expected more than %d, the version in force", plan.Number, current.Version)
	}
	if faults.Any() {
		return nil, Verdict{Result: VerdictInvalid, Version: current.Version, Faults: faults.List}
	}
	plan.ID, plan.Base, plan.Version = proposal.ID, proposal.Base, current.Version+1
	if plan.Number > 0 {
		plan.Version, plan.Number = plan.Number, 0
	}
	plan.PastChanges = nil // see AcceptedChanges
	plan.Needs = plan.RequiredFormat()
	value, err := EncodePlan(plan)
	if err != nil {
		return nil, Verdict{Result: VerdictInvalid, Version: current.Version, Faults: []string{err.Error()}}
	}
	return value, Verdict{Result: VerdictAccepted, Version: plan.Version}
}

// Decide judges a proposal by the records: one that was accepted before gets
// its answer again, one that is accepted now is written together with its id. plans
// reads the plan's record. The error is of a plan in force that this build can't read:
// nothing is decided on it.
//
// Example: records, verdict, err := fleetconfig.Decide(read, plans, plan.Propose())
func Decide(
	read func(key string) message.Record, plans *PlanReader, proposal Proposal,
) ([]message.Record, Verdict, error) {
	current, err := plans.Read(read(PlanKey))
	if err != nil {
		return nil, Verdict{}, err
	}
	accepted := ReadAcceptedChanges(read)
	if version, ok := accepted.Find(proposal.ID, proposal.Number); ok {
		return nil, Verdict{Result: VerdictAccepted, Version: version}, nil
	}
	value, verdict := Judge(current, proposal)
	if value == nil {
		return nil, verdict, nil
	}
	// What a build before this one kept in the plan's record moves out of it.
	change := AcceptedChange{ID: proposal.ID, Version: verdict.Version}
	remembered := accepted.Add(slices.Concat(current.PastChanges, []AcceptedChange{change})...)
	return append([]message.Record{{Key: PlanKey, Value: value}}, remembered...), verdict, nil
}
