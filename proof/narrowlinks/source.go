package narrowlinks

import (
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/lease"
	"mulleinmast/wire/message"
)

func (n *node) tree() *lease.Node { return n.controller.Partition().Node }

// Read serves a record as the daemon does; no zone is evacuated.
//
// Example: rec, ok := n.Read(1, fleetconfig.ListKey("models"))
func (n *node) Read(p int, key string) (message.Record, bool) {
	if p != number {
		return message.Record{Key: key, Value: fleetconfig.EncodeZones(nil), Version: message.Version{Term: 1, Seq: 1}}, true
	}
	return n.tree().ReadAllowingStale(n.w.now, key, n.w.cfg.MaxStaleness(p, key, false))
}

// Generation counts the changes of the partition's records.
//
// Example: n.Generation(1)
func (n *node) Generation(p int) uint64 {
	if p != number {
		return 1
	}
	return n.tree().Generation()
}

// Until is when what Read serves ends.
//
// Example: now < n.Until(1)
func (n *node) Until(p int) time.Duration {
	if p != number {
		return time.Hour
	}
	return n.tree().StaleUntil(n.w.now, n.w.cfg.MaxStaleness(p, fleetconfig.ListKey(service), false))
}

// idle reports no load at any server.
type idle struct{}

// AddLoad takes nothing.
//
// Example: idle{}.AddLoad("server", 100, 0)
func (idle) AddLoad(string, int, int) {}

// Load is none.
//
// Example: tokens, _, _ := idle{}.Load(now, "server"); tokens == 0
func (idle) Load(time.Duration, string) (tokens, writing int, pause time.Duration) { return 0, 0, 0 }

// ObserveInterTokenLatency takes nothing.
//
// Example: idle{}.ObserveInterTokenLatency("server", time.Second)
func (idle) ObserveInterTokenLatency(string, time.Duration) {}

// CallEnded takes nothing.
//
// Example: idle{}.CallEnded(now, "server", true)
func (idle) CallEnded(time.Duration, string, bool) {}

// IsDown says that no server is.
//
// Example: idle{}.IsDown(now, "server") == false
func (idle) IsDown(time.Duration, string) bool { return false }

// RecordPrefix takes nothing.
//
// Example: idle{}.RecordPrefix(1, "server", 100)
func (idle) RecordPrefix(uint64, string, int) {}

// HasPrefix says that no server keeps a prompt.
//
// Example: idle{}.HasPrefix(1, "server") == false
func (idle) HasPrefix(uint64, string) bool { return false }
