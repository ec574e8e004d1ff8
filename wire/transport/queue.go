package transport

import (
	"sync"

	"mulleinmast/wire/message"
)

const (
	// maxQueued is the maximum number of messages queued for one address.
	maxQueued = 4096
	// maxSpareCapacity is the largest capacity, in messages, that is reused once a queue is empty.
	maxSpareCapacity = 32
)

// sendQueue holds the messages waiting to be written to one address.
type sendQueue struct {
	wake chan struct{} // holds a token if the writer has to check the queue

	mu       sync.Mutex // guards the fields below
	messages []message.Message
	closed   bool // the queue has been removed and accepts no more messages
}

// put appends a message. It returns false if the queue is full or has been closed.
func (q *sendQueue) put(m message.Message) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || len(q.messages) >= maxQueued {
		return false
	}
	q.messages = append(q.messages, m)
	return true
}

// takeAll empties the queue and returns its messages. The queue reuses the memory of spare,
// the previous batch, unless its capacity is above maxSpareCapacity.
func (q *sendQueue) takeAll(spare []message.Message) []message.Message {
	clear(spare)
	if cap(spare) > maxSpareCapacity {
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

// wakeWriter makes the writer check the queue.
func (q *sendQueue) wakeWriter() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// removeIfEmpty removes the queue of an address if it is empty, and reports whether it did.
func (t *Transport) removeIfEmpty(addr string, queue *sendQueue) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	queue.mu.Lock()
	defer queue.mu.Unlock()
	if len(queue.messages) > 0 {
		return false
	}
	queue.closed = true
	delete(t.queues, addr)
	delete(t.compactSeen, addr)
	return true
}
