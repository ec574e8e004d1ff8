// Package eventqueue is the event queue of a discrete-event simulation. Events are ordered by time;
// events at the same time keep the order in which they were added.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue holds the pending events. The zero value is an empty queue.
type Queue struct {
	list  events
	added int
}

// Add schedules do to run at the given time.
//
// Example: q.Add(now+time.Second, n.start)
func (q *Queue) Add(at time.Duration, do func()) {
	q.added++
	heap.Push(&q.list, event{at, q.added, do})
}

// Next removes the earliest event and returns its time and function. It reports false
// if the queue is empty.
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
	at  time.Duration
	seq int
	do  func()
}

type events []event

// Len implements heap.Interface.
//
// Example: q.Len() == 0
func (q events) Len() int { return len(q) }

// Less implements heap.Interface.
//
// Example: q.Less(0, 1)
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

// Swap implements heap.Interface.
//
// Example: q.Swap(0, 1)
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
//
// Example: heap.Push(&q, e)
func (q *events) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
//
// Example: e := heap.Pop(&q).(event)
func (q *events) Pop() any {
	old := *q
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return x
}
