package daemon

import "sync"

// changeNotifier wakes all who wait for any record here to change.
type changeNotifier struct {
	mu      sync.Mutex // guards changed
	changed chan struct{}
}

func newChangeNotifier() *changeNotifier { return &changeNotifier{changed: make(chan struct{})} }

// next is closed at the next change.
func (n *changeNotifier) next() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// notify wakes all who wait. A shard's lock may be held.
func (n *changeNotifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.changed)
	n.changed = make(chan struct{})
}

// Changed is closed when any record changes here.
//
// Example: <-d.Changed()
func (d *Daemon) Changed() <-chan struct{} { return d.changes.next() }
