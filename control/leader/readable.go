package leader

import (
	"encoding/json"
	"strings"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leadercall"
	"mulleinmast/control/placement"
	"mulleinmast/wire/message"
)

// Kinds of records: the part of a key before the first '/'.
const (
	kindList         = "list"
	kindServerRecord = "berth"
	kindOnceKey      = "once"
)

// CheckReadable returns an error if this build can't read a record. Such a record
// comes from another build, or was corrupted before its checksum was computed. It carries
// no usable information, but must not be treated as absent either.
//
// Example: if err := leader.CheckReadable(&plans, rec); err != nil { serveNothing() }
func CheckReadable(plans *fleetconfig.PlanReader, r message.Record) (err error) {
	kind, _, _ := strings.Cut(r.Key, "/")
	switch {
	case r.Deleted:
	case r.Key == fleetconfig.PlanKey:
		_, err = plans.Read(r)
	case r.Key == fleetconfig.ZoneKey:
		_, err = fleetconfig.ReadZones(r)
	case r.Key == fleetconfig.ReplicaKey:
		_, err = readReplicas(r)
	case r.Key == pastCallsKey:
		_, err = readPastCalls(r)
	case kind == kindList:
		_, err = fleetconfig.ReadList(r)
	case kind == kindServerRecord:
		_, _, err = placement.ReadServerRecord(r)
	case kind == kindOnceKey:
		err = json.Unmarshal(r.Value, new(leadercall.Claim))
	}
	return err
}

// readReplicas reads the record of the replicas that an operator requested; an absent record means none.
func readReplicas(r message.Record) (replicas []message.Replica, err error) {
	if !r.Deleted && len(r.Value) > 0 {
		err = json.Unmarshal(r.Value, &replicas)
	}
	return replicas, err
}
