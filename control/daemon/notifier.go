package daemon

import "sync"

// changeNotifier wakes all goroutines that wait for a change of any record here.
type changeNotifier struct {
	mu      sync.Mutex // guards changed
	changed chan struct{}
}

func newChangeNotifier() *changeNotifier { return &changeNotifier{changed: make(chan struct{})} }

// next returns a channel that is closed at the next change.
func (n *changeNotifier) next() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// notify wakes all waiting goroutines. The caller may hold a shard's lock.
func (n *changeNotifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.changed)
	n.changed = make(chan struct{})
}

// Changed returns a channel that is closed when any record changes here.
//
// Example: <-d.Changed()
func (d *Daemon) Changed() <-chan struct{} { return d.changes.next() }
