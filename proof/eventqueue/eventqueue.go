// Package eventqueue is the queue of a simulation: what happens when, in the order of
// time, and at the same time in the order in which it was added.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue holds what is still to happen. The zero value is empty.
type Queue struct {
	list  events
	added int
}

// Add has something happen at a time.
//
// Example: q.Add(now+time.Second, n.start)
func (q *Queue) Add(at time.Duration, do func()) {
	q.added++
	heap.Push(&q.list, event{at, q.added, do})
}

// Next takes what happens next off the queue; at tells when. There is none in an
// empty queue.
//
// Example: at, do, ok := q.Next()
func (q *Queue) Next() (at time.Duration, do func(), ok bool) {
	if len(q.list) == 0 {
		return 0, nil, false
	}
	e := heap.Pop(&q.list).(event)
	return e.at, e.do, true
}

type event struct {
	at time.Duration
	no int
	do func()
}

type events []event

// Len is for container/heap.
//
// Example: q.Len() == 0
func (q events) Len() int { return len(q) }

// Less is for container/heap.
//
// Example: q.Less(0, 1)
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].no < q[j].no
}

// Swap is for container/heap.
//
// Example: q.Swap(0, 1)
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is for container/heap.
//
// Example: heap.Push(&q, e)
func (q *events) Push(x any) { *q = append(*q, x.(event)) }

// Pop is for container/heap.
//
// Example: e := heap.Pop(&q).(event)
func (q *events) Pop() any {
	old := *q
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return x
}
