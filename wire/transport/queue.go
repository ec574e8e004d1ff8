package transport

import (
	"bufio"
	"encoding/binary"
	"sync"

	"mulleinmast/wire/message"
)

// queue is what waits for one address.
type queue struct {
	mu   sync.Mutex
	list []message.Message
	wake chan struct{}
}

func (q *queue) put(n message.Message) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.list) >= depth {
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

// whole tells whether a whole frame is in the buffer already.
func whole(r *bufio.Reader) bool {
	if r.Buffered() < head {
		return false
	}
	h, err := r.Peek(head)
	return err == nil && r.Buffered()-head >= int(binary.BigEndian.Uint32(h[1:]))
}
