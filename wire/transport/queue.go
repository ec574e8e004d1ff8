package transport

import (
	"sync"

	"mulleinmast/wire/message"
)

// queue is what waits for one address.
type queue struct {
	mu   sync.Mutex
	list []message.Message
	shut bool // it is forgotten
	wake chan struct{}
}

func (q *queue) put(n message.Message) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.shut || len(q.list) >= depth {
		return false
	}
	q.list = append(q.list, n)
	return true
}

// take empties the queue; spare is room from before, if it isn't much.
func (q *queue) take(spare []message.Message) []message.Message {
	clear(spare)
	if cap(spare) > 32 {
		spare = nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	list := q.list
	q.list = spare[:0]
	return list
}

func (q *queue) ring() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// forget takes down an address that nothing waits for.
func (l *Transport) forget(addr string, q *queue) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.list) > 0 {
		return false
	}
	q.shut = true
	delete(l.outs, addr)
	delete(l.heard, addr)
	return true
}

// Addresses is how many addresses have a queue here.
//
// Example: line.Addresses() == 3
func (l *Transport) Addresses() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.outs)
}
