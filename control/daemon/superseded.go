package daemon

import (
	"sync"
	"sync/atomic"
)

// supersession is whether another process, or a later state, bears the identity of
// this daemon's data folder, and why.
type supersession struct {
	once   sync.Once
	reason atomic.Pointer[string]
	done   chan struct{} // closed when no partition speaks for the folder any more
}

func newSupersession() *supersession { return &supersession{done: make(chan struct{})} }

// Superseded is closed once this daemon's state is superseded: it has no vote any
// more and is to end; its next start is an empty one.
//
// Example: <-d.Superseded()
func (d *Daemon) Superseded() <-chan struct{} { return d.supersession.done }

// WhySuperseded says why this daemon's state is superseded; empty: it isn't.
//
// Example: if reason := d.WhySuperseded(); reason != "" { leave() }
func (d *Daemon) WhySuperseded() string {
	if reason := d.supersession.reason.Load(); reason != nil {
		return *reason
	}
	return ""
}

// supersede takes the vote from all of this daemon's replicas. A shard's lock is held.
func (d *Daemon) supersede(partition int, reason string) {
	d.supersession.once.Do(func() {
		d.supersession.reason.Store(&reason)
		d.readiness.ready.Store(false)
		d.Events.Warn("disk", "the state here is superseded and has no vote; this daemon ends, and starts empty next time",
			"partition", partition, "reason", reason, "folder", d.Cfg.DataFolder)
		go d.supersedeAll(reason)
	})
}

// supersedeAll has no partition speak for the folder any more, and marks it, so that
// the next start sets the state aside.
func (d *Daemon) supersedeAll(reason string) {
	for _, s := range d.shards {
		s.mu.Lock()
		d.carryOut(s, s.controller.Supersede(d.Now(), reason))
		s.mu.Unlock()
	}
	if err := d.store.MarkSuperseded(); err != nil { // the next start learns it from the others again
		d.Events.Warn("disk", "the data folder can't be marked as superseded", "error", err)
	}
	close(d.supersession.done)
}
