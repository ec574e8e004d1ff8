package daemon

import (
	"github.com/thejerf/suture/v4"
)

// Add has the daemon's supervisor run one more service; call it before Run.
//
// Example: c.Add(listener)
func (c *Daemon) Add(s suture.Service) { c.extra = append(c.extra, s) }

// Ready tells whether the daemon serves under valid leases and isn't stopping.
//
// Example: if c.Ready() { respond(200) }
func (c *Daemon) Ready() bool { return c.ready.Load() && c.isReady() }

// Know names more control daemons, such as those in a config that was changed.
//
// Example: c.Know("10.0.0.7:7000")
func (c *Daemon) Know(addrs ...string) {
	c.rmu.Lock()
	defer c.rmu.Unlock()
	c.rost.Know(addrs...)
}
