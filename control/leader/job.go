package leader

import (
	"encoding/json"
	"fmt"
	"slices"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leadercall"
	"mulleinmast/control/lease"
	"mulleinmast/control/partition"
	"mulleinmast/wire/message"
)

var done = leadercall.Response{Result: "done"}

// ServersCall is the body of a call that names a service's servers.
type ServersCall struct {
	Service string
	List    fleetconfig.List
}

// ReplicaCall is the body of a call that gives a replica away.
type ReplicaCall struct {
	Out   string `json:"out"`
	Ident string `json:"ident"`
	Addr  string `json:"addr"`
}

// ClaimCall is the body of a call that claims or settles a once key.
type ClaimCall struct {
	Key   string
	Claim leadercall.Claim
}

// keepPast is how many requests that gave a once key back are kept with it.
const keepPast = 16

// OnceKey is the key of a once key's record.
//
// Example: leader.OnceKey("express/k-17") == "once/express/k-17"
func OnceKey(key string) string { return "once/" + key }

// job turns a call into a write; fault says what is wrong with its body.
// replicas are those of the partition's group.
func job(plans *fleetconfig.PlanReader, by ask, op string, body []byte, replicas ...message.Replica) (j partition.Job, fault string) {
	read := func(to any) bool {
		if err := json.Unmarshal(body, to); err != nil {
			fault = err.Error()
		}
		return fault == ""
	}
	switch op {
	case "plan", "changes":
		return planJob(plans, by, op, body)
	case "evacuate", "return":
		return by.onceOnly(op+"/"+string(body), zoneJob(op, string(body))), ""
	case "seat":
		var in ReplicaCall
		if read(&in) {
			j = by.onceOnly("", replicaJob(in, replicas))
		}
	case "servers":
		var in ServersCall
		if read(&in) {
			if j = listJob(in); in.List.Version == 0 {
				j = by.onceOnly("", j)
			}
		}
	case "claim", "unclaim":
		var in ClaimCall
		if read(&in) {
			j = claimJob(op, in)
		}
	default:
		fault = fmt.Sprintf("unknown call %q", op)
	}
	return j, fault
}

func planJob(plans *fleetconfig.PlanReader, by ask, op string, body []byte) (partition.Job, string) {
	var whole fleetconfig.Plan
	var named fleetconfig.Changes
	var f fleetconfig.Faults
	body, err := fleetconfig.Decompress(body) // a daemon may pack what it passes on
	if err != nil {
		return partition.Job{}, err.Error()
	}
	if op == "plan" {
		f = fleetconfig.Decode(body, &whole)
	} else {
		f = fleetconfig.Decode(body, &named)
	}
	if f.Any() {
		return partition.Job{}, f.List[0]
	}
	id, base, number := whole.ID, whole.Base, whole.Number
	next := func(fleetconfig.Plan) (fleetconfig.Plan, fleetconfig.Faults) { return whole, whole.Validate() }
	if op == "changes" {
		id, base, number = named.ID, named.Base, named.Number
		next = func(p fleetconfig.Plan) (fleetconfig.Plan, fleetconfig.Faults) { return p.Apply(named) }
	}
	return partition.Job{Keys: []string{fleetconfig.PlanKey}, Mergeable: true, Build: func(read lease.RecordSource) ([]message.Record, any) {
		unread := ""
		readable := func(p fleetconfig.Plan) (fleetconfig.Plan, fleetconfig.Faults) {
			out, f := next(p)
			if unread = by.unread(out); unread != "" {
				f.Add("%s", unread) // it is not written
			}
			return out, f
		}
		recs, verdict, err := fleetconfig.Decide(read, plans, id, base, number, readable)
		switch {
		case err != nil:
			return nil, notClear(err)
		case unread != "":
			return nil, leadercall.Response{Result: "not done", Reason: unread}
		}
		return recs, verdict
	}}, ""
}

func zoneJob(op, zone string) partition.Job {
	return partition.Job{Keys: []string{fleetconfig.ZoneKey}, Build: func(read lease.RecordSource) ([]message.Record, any) {
		out, err := fleetconfig.ReadZones(read(fleetconfig.ZoneKey))
		if err != nil {
			return nil, notClear(err)
		}
		if out[zone] == (op == "evacuate") {
			return nil, done
		}
		out[zone] = op == "evacuate"
		return []message.Record{{Key: fleetconfig.ZoneKey, Value: fleetconfig.EncodeZones(out)}}, done
	}}
}

// replicaJob changes the replicas that an operator wants: those that were wanted
// before, or as the group has become since.
func replicaJob(in ReplicaCall, now []message.Replica) partition.Job {
	return partition.Job{Keys: []string{fleetconfig.ReplicaKey}, Build: func(read lease.RecordSource) ([]message.Record, any) {
		replicas, err := readReplicas(read(fleetconfig.ReplicaKey))
		if err != nil {
			return nil, notClear(err)
		}
		if !(message.Group{Replicas: replicas}).Has(in.Out) && (message.Group{Replicas: now}).Has(in.Out) {
			replicas = slices.Clone(now)
		}
		for i := range replicas {
			if replicas[i].Ident == in.Ident {
				return nil, done
			}
			if replicas[i].Ident == in.Out {
				replicas[i] = message.Replica{Ident: in.Ident, Addr: in.Addr}
				return []message.Record{{Key: fleetconfig.ReplicaKey, Value: leadercall.Pack(replicas)}}, done
			}
		}
		return nil, leadercall.Response{Result: "not done", Reason: fmt.Sprintf("no replica of %q in %v", in.Out, replicas)}
	}}
}

// listJob takes a list unless one with a later version is in force: a call
// that was held up on its way must not bring a leaving server back. One that can't
// be read gives way: its source tells the list again all the time.
func listJob(in ServersCall) partition.Job {
	key := fleetconfig.ListKey(in.Service)
	val := leadercall.Pack(in.List)
	return partition.Job{Keys: []string{key}, Build: func(read lease.RecordSource) ([]message.Record, any) {
		if cur := read(key); !cur.Deleted {
			if string(cur.Value) == string(val) {
				return nil, done
			}
			if now, err := fleetconfig.ReadList(cur); err == nil && in.List.Version > 0 && in.List.Version <= now.Version {
				return nil, leadercall.Response{Result: "beaten", Version: now.Version, Reason: "a list of a later or the same version is in force"}
			}
		}
		return []message.Record{{Key: key, Value: val}}, done
	}}
}

// claimJob takes a once key or says what became of it. A key that was settled
// before its claim arrived stays settled: the late claim finds it so, also when
// other requests had the key since.
func claimJob(op string, in ClaimCall) partition.Job {
	key := OnceKey(in.Key)
	return partition.Job{Keys: []string{key}, Build: func(read lease.RecordSource) ([]message.Record, any) {
		var cur leadercall.Claim
		r := read(key)
		if !r.Deleted {
			if err := json.Unmarshal(r.Value, &cur); err != nil {
				return nil, notClear(err)
			}
		}
		mine, next := cur.Request == in.Claim.Request, in.Claim
		next.Past = cur.Past
		over := slices.Contains(cur.Past, in.Claim.Request)
		switch {
		case op == "claim" && mine && cur.State == next.State:
			return nil, done
		case op == "claim" && (mine || over || !r.Deleted && cur.State != "shed"):
			cur.Past = nil
			return nil, leadercall.Response{Result: "duplicate", Claim: &cur}
		case op == "claim" && !r.Deleted:
			next.Past = settled(cur.Past, cur.Request)
		case op == "unclaim" && !r.Deleted && !mine:
			if over {
				return nil, done
			}
			next, next.Past = cur, settled(cur.Past, in.Claim.Request)
		}
		return []message.Record{{Key: key, Value: leadercall.Pack(next)}}, done
	}}
}

// settled adds a request to those that gave a key back; the last are kept.
func settled(past []string, request string) []string {
	past = append(slices.Clone(past), request)
	return past[max(0, len(past)-keepPast):]
}

// readReplicas reads the record of the replicas that an operator wants; absence is
// none.
func readReplicas(r message.Record) (replicas []message.Replica, err error) {
	if !r.Deleted && len(r.Value) > 0 {
		err = json.Unmarshal(r.Value, &replicas)
	}
	return replicas, err
}

// resultNotClear says that nothing was changed, and that it isn't known what became
// of the call, or would have.
const resultNotClear = "not clear"

// notClear is the word for a call on a record that this build can't read: nothing
// was changed, and nobody here knows what the call would have met.
func notClear(err error) leadercall.Response {
	return leadercall.Response{Result: resultNotClear, Reason: err.Error()}
}
