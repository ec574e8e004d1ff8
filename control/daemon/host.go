package daemon

import (
	"time"

	"github.com/thejerf/suture/v4"
)

// Add has the daemon's supervisor run one more service; call it before Run.
//
// Example: c.Add(listener)
func (c *Daemon) Add(s suture.Service) { c.extra = append(c.extra, s) }

// Ready tells whether the daemon serves under valid leases and isn't stopping, or
// did within a volume lease: each change withdraws the configuration for some
// tens of ms, in which requests wait for it, and hundreds of changes in a row
// make no daemon unready.
//
// Example: if c.Ready() { respond(200) }
func (c *Daemon) Ready() bool {
	return c.ready.Load() && c.isReady() || c.wasReady(c.Cfg.VolumeLease())
}

// wasReady tells whether it was ready within a time, and isn't stopping.
func (c *Daemon) wasReady(within time.Duration) bool {
	at := time.Duration(c.readyAt.Load())
	return at > 0 && !c.stop.Load() && c.Now()-at < within
}

// AddControlAddrs names more control daemons, such as those in a config that was changed.
//
// Example: c.AddControlAddrs("10.0.0.7:7000")
func (c *Daemon) AddControlAddrs(addrs ...string) {
	c.rmu.Lock()
	defer c.rmu.Unlock()
	c.rost.AddControlAddrs(addrs...)
}
