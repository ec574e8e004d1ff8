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

// maxPastRequests is how many past requests that released a once key are kept in its record.
const maxPastRequests = 16

// OnceKey returns the record key of a once key.
//
// Example: leader.OnceKey("express/k-17") == "once/express/k-17"
func OnceKey(key string) string { return kindOnceKey + "/" + key }

// handleServers stores a list of servers. Lists without a version have no sequence, so a call with such a list is
// executed only once.
func (r callRequest) handleServers(body []byte) (partition.Job, error) {
	in, err := decodeBody[ServersCall](body)
	if err != nil {
		return partition.Job{}, err
	}
	job := serverListJob(in)
	if in.List.Version == 0 {
		job = r.deduplicate(job)
	}
	return job, nil
}

// serverListJob stores a list unless the current one has the same or a later version: a delayed call must not
// bring back a leaving server. An unreadable record is overwritten, since its source keeps resending the list.
// A list with a version that arrives while an earlier list's record is being invalidated replaces that list.
func serverListJob(in ServersCall) partition.Job {
	next := message.Record{Key: fleetconfig.ListKey(in.Service), Value: leadercall.MustMarshal(in.List)}
	return partition.Job{Keys: []string{next.Key}, Mergeable: in.List.Version > 0, Build: func(read lease.RecordSource) ([]message.Record, any) {
		current := read(next.Key)
		if current.Deleted {
			return []message.Record{next}, responseDone
		}
		if string(current.Value) == string(next.Value) {
			return nil, responseDone
		}
		currentList, err := fleetconfig.ReadList(current)
		if err == nil && in.List.Version > 0 && in.List.Version <= currentList.Version {
			return nil, leadercall.Response{
				Result: leadercall.ResultConflict, Version: currentList.Version,
				Reason: "a list of a later or the same version is in force",
			}
		}
		return []message.Record{next}, responseDone
	}}
}

// withdrawLeaving makes placement write the records of leaving servers concurrently with the list that names
// them, not after it, since either write may have to wait for an unresponsive daemon. Lists that may be older
// than the current one are ignored.
func (c *Controller) withdrawLeaving(body []byte) {
	in, err := decodeBody[ServersCall](body)
	if err != nil || c.placement == nil {
		return
	}
	committed, _ := c.partition.Replica.Records().Get(fleetconfig.ListKey(in.Service))
	if current, err := fleetconfig.ReadList(committed); err == nil && in.List.Version > current.Version {
		c.placement.WithdrawLeaving(in.Service, in.List)
	}
}

// handleClaim claims a once key, a client's idempotency key, for a request, or returns the existing claim.
func (r callRequest) handleClaim(body []byte) (partition.Job, error) {
	in, err := decodeBody[ClaimCall](body)
	if err != nil {
		return partition.Job{}, err
	}
	change := func(k onceKey) (*leadercall.Claim, leadercall.Response) { return k.claimFor(in.Claim) }
	return onceKeyJob(in.Key, change), nil
}

// handleRelease records that a request with a once key has ended: it either completed, or released the key so
// that another request can claim it.
func (r callRequest) handleRelease(body []byte) (partition.Job, error) {
	in, err := decodeBody[ClaimCall](body)
	if err != nil {
		return partition.Job{}, err
	}
	change := func(k onceKey) (*leadercall.Claim, leadercall.Response) { return k.release(in.Claim) }
	return onceKeyJob(in.Key, change), nil
}

// onceKeyJob changes the record of a once key; change returns the claim to write, or nil to leave the record alone.
func onceKeyJob(name string, change func(onceKey) (*leadercall.Claim, leadercall.Response)) partition.Job {
	key := OnceKey(name)
	return partition.Job{Keys: []string{key}, Build: func(read lease.RecordSource) ([]message.Record, any) {
		record := read(key)
		current := onceKey{exists: !record.Deleted}
		if current.exists {
			if err := json.Unmarshal(record.Value, &current.claim); err != nil {
				return nil, unclearResponse(err)
			}
		}
		next, response := change(current)
		if next == nil {
			return nil, response
		}
		return []message.Record{{Key: key, Value: leadercall.MustMarshal(*next)}}, response
	}}
}

// onceKey is the current record of a once key.
type onceKey struct {
	exists bool
	claim  leadercall.Claim
}

// claimFor claims the key for a request. A request that released the key before its claim arrived
// can no longer claim it, even if other requests have held the key since.
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

// release records the end of a request. Either the request holds the key, or its claim may still arrive.
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

// withRequest appends a request to those that released a key, and keeps only the latest maxPastRequests.
func withRequest(past []string, request string) []string {
	past = append(slices.Clone(past), request)
	return past[max(0, len(past)-maxPastRequests):]
}
