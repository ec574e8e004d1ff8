package fleetconfig

import (
	"slices"

	"mulleinmast/wire/message"
)

// Verdict is the answer to a plan or a change.
type Verdict struct {
	Result  string   `json:"result"`  // one of the results of a verdict
	Version uint64   `json:"version"` // version of the accepted plan, otherwise the current version
	Faults  []string `json:"faults,omitempty"`
}

// Results of a verdict. Operators' programs depend on these values.
const (
	VerdictAccepted = "taken"
	VerdictConflict = "beaten" // its base is no longer the current version
	VerdictInvalid  = "broken" // the proposal has faults
)

// Proposal proposes the next plan, as a complete plan or as named changes to the current one.
type Proposal struct {
	ID     string // chosen by the operator; a repeated id gets the same answer
	Base   uint64 // version that must be the current one
	Number uint64 // version that the operator chose for the next plan; 0: none
	// Next returns the proposed plan. It is called only if the current version is Base.
	Next func(current Plan) (Plan, Faults)
}

// Propose returns the proposal to replace the current plan by p.
//
// Example: records, verdict, err := fleetconfig.Decide(read, plans, plan.Propose())
func (p Plan) Propose() Proposal {
	return Proposal{p.ID, p.Base, p.Number, func(Plan) (Plan, Faults) { return p, p.Validate() }}
}

// Propose returns the proposal to apply the named changes to the current plan.
//
// Example: records, verdict, err := fleetconfig.Decide(read, plans, changes.Propose())
func (c Changes) Propose() Proposal {
	return Proposal{c.ID, c.Base, c.Number, func(current Plan) (Plan, Faults) { return current.Apply(c) }}
}

// Judge validates a proposal against the current plan. It returns the value of the new plan
// record if the proposal is accepted. If the current plan's record names the proposal's id,
// the proposal is answered as accepted again, without a value. Decide also recognizes ids
// that were accepted earlier.
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

// Decide judges a proposal and returns the records to write. A proposal that was accepted
// before gets the same answer again. For a newly accepted proposal, the records hold the new
// plan and the proposal's id. plans reads the plan record. Decide returns an error, and no
// verdict, if this build can't read the current plan.
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
	// Accepted ids that an older build stored in the plan record move to the pages.
	change := AcceptedChange{ID: proposal.ID, Version: verdict.Version}
	remembered := accepted.Add(slices.Concat(current.PastChanges, []AcceptedChange{change})...)
	return append([]message.Record{{Key: PlanKey, Value: value}}, remembered...), verdict, nil
}
