package narrowlinks

import (
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/lease"
	"mulleinmast/wire/message"
)

func (n *node) tree() *lease.Node { return n.controller.Partition().Node }

// Read returns a record as the daemon does; no zone is evacuated.
//
// Example: rec, ok := n.Read(1, fleetconfig.ListKey("models"))
func (n *node) Read(p int, key string) (message.Record, bool) {
	if p != partitionNumber {
		return message.Record{Key: key, Value: fleetconfig.EncodeZones(nil), Version: message.Version{Term: 1, Seq: 1}}, true
	}
	return n.tree().ReadAllowingStale(n.sim.now, key, n.sim.cfg.MaxStaleness(p, key, false))
}

// Generation returns a number that increases with each change of the partition's records.
//
// Example: n.Generation(1)
func (n *node) Generation(p int) uint64 {
	if p != partitionNumber {
		return 1
	}
	return n.tree().Generation()
}

// Until returns until when Read may serve records.
//
// Example: now < n.Until(1)
func (n *node) Until(p int) time.Duration {
	if p != partitionNumber {
		return time.Hour
	}
	return n.tree().StaleUntil(n.sim.now, n.sim.cfg.MaxStaleness(p, fleetconfig.ListKey(service), false))
}

// noLoad is a load report without load at any server.
type noLoad struct{}

// AddLoad does nothing.
//
// Example: noLoad{}.AddLoad("server", 100, 0)
func (noLoad) AddLoad(string, int, int) {}

// Load returns no load.
//
// Example: tokens, _, _ := noLoad{}.Load(now, "server"); tokens == 0
func (noLoad) Load(time.Duration, string) (tokens, writing int, pause time.Duration) { return 0, 0, 0 }

// ObserveInterTokenLatency does nothing.
//
// Example: noLoad{}.ObserveInterTokenLatency("server", time.Second)
func (noLoad) ObserveInterTokenLatency(string, time.Duration) {}

// CallEnded does nothing.
//
// Example: noLoad{}.CallEnded(now, "server", true)
func (noLoad) CallEnded(time.Duration, string, bool) {}

// IsDown returns false.
//
// Example: noLoad{}.IsDown(now, "server") == false
func (noLoad) IsDown(time.Duration, string) bool { return false }

// RecordPrefix does nothing.
//
// Example: noLoad{}.RecordPrefix(1, "server", 100)
func (noLoad) RecordPrefix(uint64, string, int) {}

// HasPrefix returns false.
//
// Example: noLoad{}.HasPrefix(1, "server") == false
func (noLoad) HasPrefix(uint64, string) bool { return false }
