package leader

import (
	"encoding/json"
	"slices"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leadercall"
	"mulleinmast/control/lease"
	"mulleinmast/control/partition"
	"mulleinmast/wire/message"
)

// maxPastRequests bounds the requests that gave a once key back and are kept with it.
const maxPastRequests = 16

// OnceKey is the key of a once key's record.
//
// Example: leader.OnceKey("express/k-17") == "once/express/k-17"
func OnceKey(key string) string { return kindOnceKey + "/" + key }

// handleServers takes a list of servers. One without a version has no order: it is carried out once a call.
func (r request) handleServers(body []byte) (partition.Job, error) {
	in, err := decodeBody[ServersCall](body)
	if err != nil {
		return partition.Job{}, err
	}
	job := listJob(in)
	if in.List.Version == 0 {
		job = r.onceOnly("", job)
	}
	return job, nil
}

// listJob takes a list unless one with a later version is in force: a call
// that was held up on its way must not bring a leaving server back. A record that can't
// be read gives way: its source sends the list again all the time. One that comes while an
// earlier one is withdrawn takes its place.
func listJob(in ServersCall) partition.Job {
	next := message.Record{Key: fleetconfig.ListKey(in.Service), Value: leadercall.Pack(in.List)}
	return partition.Job{Keys: []string{next.Key}, Mergeable: in.List.Version > 0, Build: func(read lease.RecordSource) ([]message.Record, any) {
		current := read(next.Key)
		if current.Deleted {
			return []message.Record{next}, responseDone
		}
		if string(current.Value) == string(next.Value) {
			return nil, responseDone
		}
		inForce, err := fleetconfig.ReadList(current)
		if err == nil && in.List.Version > 0 && in.List.Version <= inForce.Version {
			return nil, leadercall.Response{
				Result: leadercall.ResultConflict, Version: inForce.Version,
				Reason: "a list of a later or the same version is in force",
			}
		}
		return []message.Record{next}, responseDone
	}}
}

// withdrawLeaving has the records of servers that a list names as leaving written beside the list,
// not after it: either may wait for a daemon that doesn't answer. Lists that may be older than the
// one in force say nothing.
func (c *Controller) withdrawLeaving(body []byte) {
	in, err := decodeBody[ServersCall](body)
	if err != nil || c.placement == nil {
		return
	}
	committed, _ := c.partition.Replica.Records().Get(fleetconfig.ListKey(in.Service))
	if inForce, err := fleetconfig.ReadList(committed); err == nil && in.List.Version > inForce.Version {
		c.placement.WithdrawLeaving(in.Service, in.List)
	}
}

// handleClaim claims a once key for a request, or says what became of it.
func (r request) handleClaim(body []byte) (partition.Job, error) {
	in, err := decodeBody[ClaimCall](body)
	if err != nil {
		return partition.Job{}, err
	}
	change := func(k onceKey) (*leadercall.Claim, leadercall.Response) { return k.claimFor(in.Claim) }
	return onceKeyJob(in.Key, change), nil
}

// handleRelease takes the end of a once key's request: it gives the key back, or was done under it.
func (r request) handleRelease(body []byte) (partition.Job, error) {
	in, err := decodeBody[ClaimCall](body)
	if err != nil {
		return partition.Job{}, err
	}
	change := func(k onceKey) (*leadercall.Claim, leadercall.Response) { return k.release(in.Claim) }
	return onceKeyJob(in.Key, change), nil
}

// onceKeyJob changes the record of a once key; change gives what to write, nil for nothing.
func onceKeyJob(name string, change func(onceKey) (*leadercall.Claim, leadercall.Response)) partition.Job {
	key := OnceKey(name)
	return partition.Job{Keys: []string{key}, Build: func(read lease.RecordSource) ([]message.Record, any) {
		record := read(key)
		current := onceKey{exists: !record.Deleted}
		if current.exists {
			if err := json.Unmarshal(record.Value, &current.claim); err != nil {
				return nil, unclear(err)
			}
		}
		next, response := change(current)
		if next == nil {
			return nil, response
		}
		return []message.Record{{Key: key, Value: leadercall.Pack(*next)}}, response
	}}
}

// onceKey is the record of a once key as it stands.
type onceKey struct {
	exists bool
	claim  leadercall.Claim
}

// claimFor claims the key for a request. One that gave the key back before its claim arrived
// can't claim it any more, also when other requests had the key since.
func (k onceKey) claimFor(claim leadercall.Claim) (*leadercall.Claim, leadercall.Response) {
	isSameRequest := k.claim.Request == claim.Request
	if isSameRequest && k.claim.State == claim.State {
		return nil, responseDone
	}
	isTaken := k.exists && k.claim.State != leadercall.ClaimReleased
	if isSameRequest || isTaken || k.wasReleasedBy(claim.Request) {
		known := k.claim
		known.Past = nil
		return nil, leadercall.Response{Result: leadercall.ResultDuplicate, Claim: &known}
	}
	claim.Past = nil
	if k.exists {
		claim.Past = withRequest(k.claim.Past, k.claim.Request)
	}
	return &claim, responseDone
}

// release takes the end of a request: of the one that has the key, or of one whose claim may still be on its way.
func (k onceKey) release(ended leadercall.Claim) (*leadercall.Claim, leadercall.Response) {
	if !k.exists || k.claim.Request == ended.Request {
		ended.Past = k.claim.Past
		return &ended, responseDone
	}
	if k.wasReleasedBy(ended.Request) {
		return nil, responseDone
	}
	next := k.claim
	next.Past = withRequest(k.claim.Past, ended.Request)
	return &next, responseDone
}

func (k onceKey) wasReleasedBy(request string) bool { return slices.Contains(k.claim.Past, request) }

// withRequest adds a request to those that gave a key back; the last ones are kept.
func withRequest(past []string, request string) []string {
	past = append(slices.Clone(past), request)
	return past[max(0, len(past)-maxPastRequests):]
}
