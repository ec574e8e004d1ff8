package leader

import (
	"encoding/json"
	"strings"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leadercall"
	"mulleinmast/control/placement"
	"mulleinmast/wire/message"
)

// CheckReadable gives the error of a record that this build can't read. Such a record
// comes from another build, or was spoilt before it got its checksum; it says
// nothing, and is not the absence of one either.
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
	case r.Key == callsKey:
		_, err = readCalls(r)
	case kind == "list":
		_, err = fleetconfig.ReadList(r)
	case kind == "berth":
		_, _, err = placement.ReadServerRecord(r)
	case kind == "once":
		err = json.Unmarshal(r.Value, new(leadercall.Claim))
	}
	return err
}
