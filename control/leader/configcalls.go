package leader

import (
	"errors"
	"fmt"
	"slices"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leadercall"
	"mulleinmast/control/lease"
	"mulleinmast/control/partition"
	"mulleinmast/wire/message"
)

// handlePlan proposes a complete plan.
func (r callRequest) handlePlan(body []byte) (partition.Job, error) {
	plan, err := decodeStrictly[fleetconfig.Plan](body)
	if err != nil {
		return partition.Job{}, err
	}
	return r.planJob(plan.Propose()), nil
}

// handleChanges proposes individual changes to the current plan.
func (r callRequest) handleChanges(body []byte) (partition.Job, error) {
	changes, err := decodeStrictly[fleetconfig.Changes](body)
	if err != nil {
		return partition.Job{}, err
	}
	return r.planJob(changes.Propose()), nil
}

// decodeStrictly decodes a body that the calling daemon may have compressed; the error is the first fault found.
func decodeStrictly[T any](body []byte) (value T, err error) {
	body, err = fleetconfig.Decompress(body)
	if err != nil {
		return value, err
	}
	if faults := fleetconfig.Decode(body, &value); faults.Any() {
		return value, errors.New(faults.List[0])
	}
	return value, nil
}

// planJob returns the write that decides on a proposal. A proposal is accepted only if all daemons can read the
// resulting plan.
func (r callRequest) planJob(proposal fleetconfig.Proposal) partition.Job {
	build := func(read lease.RecordSource) ([]message.Record, any) {
		unreadable := ""
		checked := proposal
		checked.Next = func(current fleetconfig.Plan) (fleetconfig.Plan, fleetconfig.Faults) {
			plan, faults := proposal.Next(current)
			if unreadable = r.whyUnreadable(plan); unreadable != "" {
				faults.Add("%s", unreadable) // a proposal with faults isn't written
			}
			return plan, faults
		}
		records, verdict, err := fleetconfig.Decide(read, r.plans, checked)
		if err != nil {
			return nil, unclearResponse(err)
		}
		if unreadable != "" {
			return nil, leadercall.Response{Result: leadercall.ResultNotDone, Reason: unreadable}
		}
		return records, verdict
	}
	return partition.Job{Keys: []string{fleetconfig.PlanKey}, Mergeable: true, Build: build}
}

// whyUnreadable returns why a plan can't be accepted because some daemons couldn't read it, or "" if all can.
func (r callRequest) whyUnreadable(p fleetconfig.Plan) string {
	needs := p.RequiredFormat()
	if r.readableFormat == nil || needs == 0 {
		return ""
	}
	if format := r.readableFormat(); format > 0 && needs > format {
		return fmt.Sprintf(
			"the plan needs a build that reads format %d, and there are daemons that read up to %d", needs, format)
	}
	return ""
}

// handleZone evacuates a zone or ends its evacuation.
func (r callRequest) handleZone(op, zone string) partition.Job {
	evacuated := op == leadercall.OpEvacuate
	build := func(read lease.RecordSource) ([]message.Record, any) {
		zones, err := fleetconfig.ReadZones(read(fleetconfig.ZoneKey))
		if err != nil {
			return nil, unclearResponse(err)
		}
		if zones[zone] == evacuated {
			return nil, responseDone
		}
		zones[zone] = evacuated
		return []message.Record{{Key: fleetconfig.ZoneKey, Value: fleetconfig.EncodeZones(zones)}}, responseDone
	}
	return r.deduplicate(partition.Job{Keys: []string{fleetconfig.ZoneKey}, Build: build})
}

// handleReplica replaces one replica in the list of replicas that an operator requested. If the outgoing replica
// is in the current group but not in that list, the call changes a copy of the current group instead.
func (r callRequest) handleReplica(body []byte) (partition.Job, error) {
	in, err := decodeBody[ReplicaCall](body)
	if err != nil {
		return partition.Job{}, err
	}
	build := func(read lease.RecordSource) ([]message.Record, any) {
		desired, err := readReplicas(read(fleetconfig.ReplicaKey))
		if err != nil {
			return nil, unclearResponse(err)
		}
		if !isReplica(desired, in.Out) && isReplica(r.replicas, in.Out) {
			desired = slices.Clone(r.replicas)
		}
		for i := range desired {
			if desired[i].Ident == in.Ident {
				return nil, responseDone
			}
			if desired[i].Ident == in.Out {
				desired[i] = message.Replica{Ident: in.Ident, Addr: in.Addr}
				return []message.Record{{Key: fleetconfig.ReplicaKey, Value: leadercall.MustMarshal(desired)}}, responseDone
			}
		}
		reason := fmt.Sprintf("no replica of %q in %v", in.Out, desired)
		return nil, leadercall.Response{Result: leadercall.ResultNotDone, Reason: reason}
	}
	return r.deduplicate(partition.Job{Keys: []string{fleetconfig.ReplicaKey}, Build: build}), nil
}

func isReplica(replicas []message.Replica, ident string) bool {
	return message.Group{Replicas: replicas}.Has(ident)
}
