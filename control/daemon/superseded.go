package daemon

import (
	"sync"
	"sync/atomic"
)

// supersession records whether, and why, this daemon's state is superseded: another process, or a
// later state, uses the identity of its data folder.
type supersession struct {
	once   sync.Once
	reason atomic.Pointer[string]
	done   chan struct{} // closed once all partitions have stopped using this state
}

func newSupersession() *supersession { return &supersession{done: make(chan struct{})} }

// Superseded returns a channel that is closed once this daemon's state is superseded. The daemon
// then no longer votes and must exit. Its next start begins with empty state.
//
// Example: <-d.Superseded()
func (d *Daemon) Superseded() <-chan struct{} { return d.supersession.done }

// WhySuperseded returns why this daemon's state is superseded; empty if it isn't.
//
// Example: if reason := d.WhySuperseded(); reason != "" { leave() }
func (d *Daemon) WhySuperseded() string {
	if reason := d.supersession.reason.Load(); reason != nil {
		return *reason
	}
	return ""
}

// supersede removes the votes of all of this daemon's replicas. The caller holds a shard's lock.
func (d *Daemon) supersede(partition int, reason string) {
	d.supersession.once.Do(func() {
		d.supersession.reason.Store(&reason)
		d.readiness.ready.Store(false)
		d.Events.Warn("disk",
			"the state in the data folder is superseded and has no vote; stopping, the next start begins empty",
			"partition", partition, "reason", reason, "folder", d.Cfg.DataFolder)
		go d.supersedeAll(reason)
	})
}

// supersedeAll supersedes the state of all partitions and marks the data folder, so that the next
// start moves the state aside.
func (d *Daemon) supersedeAll(reason string) {
	for _, s := range d.shards {
		s.mu.Lock()
		d.apply(s, s.controller.Supersede(d.Now(), reason))
		s.mu.Unlock()
	}
	if err := d.store.MarkSuperseded(); err != nil { // the next start will learn it from the other daemons
		d.Events.Warn("disk", "cannot mark the data folder as superseded", "error", err)
	}
	close(d.supersession.done)
}
