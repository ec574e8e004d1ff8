package daemon

import (
	"sync"
	"sync/atomic"
)

// superseded is how a daemon learns that another process, or a later state, bears
// the identity of its data folder.
type superseded struct {
	once sync.Once
	why  atomic.Pointer[string]
	told chan struct{}
}

// Superseded is closed once this daemon's state is superseded: it has no voice any
// more and is to end; its next start is an empty one.
//
// Example: <-c.Superseded()
func (c *Daemon) Superseded() <-chan struct{} { return c.superseded.told }

// WhySuperseded tells why this daemon's state is superseded, if it is.
//
// Example: if why := c.WhySuperseded(); why != "" { leave() }
func (c *Daemon) WhySuperseded() string {
	if why := c.superseded.why.Load(); why != nil {
		return *why
	}
	return ""
}

// supersede takes all of this daemon's copies their voice. A shard's lock is held.
func (c *Daemon) supersede(partition int, why string) {
	c.superseded.once.Do(func() {
		c.superseded.why.Store(&why)
		c.ready.Store(false)
		c.Events.Trouble("disk", "partition %d: %s: the state in %s is superseded and has no vote; this daemon ends, and starts empty the next time", partition, why, c.Cfg.DataFolder)
		go c.silence(why)
	})
}

// silence marks the folder, so that the next start sets the state aside, and has
// no partition speak for it until then.
func (c *Daemon) silence(why string) {
	for _, s := range c.shards {
		s.mu.Lock()
		c.carry(s, s.Supersede(c.Now(), why))
		s.mu.Unlock()
	}
	if err := c.arch.MarkSuperseded(); err != nil { // it will be told again
		c.Events.Trouble("disk", "%v", err)
	}
	close(c.superseded.told)
}
