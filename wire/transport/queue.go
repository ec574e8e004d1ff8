package transport

import (
	"sync"

	"mulleinmast/wire/message"
)

const (
	// maxQueued is how many messages wait for one address, at most.
	maxQueued = 4096
	// maxSpare is the largest room, in messages, that an emptied queue keeps.
	maxSpare = 32
)

// sendQueue is what waits for one address.
type sendQueue struct {
	wake chan struct{} // holds one token while the writer has something to look at

	mu       sync.Mutex // guards what follows
	messages []message.Message
	closed   bool // the address is forgotten: nothing is taken any more
}

// put appends a message; false if there is no room or no writer for it.
func (q *sendQueue) put(m message.Message) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || len(q.messages) >= maxQueued {
		return false
	}
	q.messages = append(q.messages, m)
	return true
}

// take empties the queue; spare is room from before, if it isn't much.
func (q *sendQueue) take(spare []message.Message) []message.Message {
	clear(spare)
	if cap(spare) > maxSpare {
		spare = nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	batch := q.messages
	q.messages = spare[:0]
	return batch
}

func (q *sendQueue) isEmpty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.messages) == 0
}

// wakeWriter has the queue written soon.
func (q *sendQueue) wakeWriter() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// forget removes the queue of an address if nothing waits in it.
func (t *Transport) forget(addr string, queue *sendQueue) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	queue.mu.Lock()
	defer queue.mu.Unlock()
	if len(queue.messages) > 0 {
		return false
	}
	queue.closed = true
	delete(t.queues, addr)
	delete(t.compact, addr)
	return true
}
