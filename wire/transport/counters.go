package transport

import (
	"sync/atomic"
	"time"

	"mulleinmast/wire/message"
)

// maxKinds is the capacity of the counters. The number of each message kind must be below it.
const maxKinds = 32

// Counters hold, for each kind of message, the number of messages sent and received, their
// total size including the frame headers, and the time spent on handling received messages.
type Counters struct {
	sent, sentBytes, received, receivedBytes, handlingTime [maxKinds]atomic.Int64
}

// KindCount holds the counters of one kind of message since the start of the transport.
type KindCount struct {
	Sent          int64         `json:"sent"`
	SentBytes     int64         `json:"sent_bytes"`
	Received      int64         `json:"got"`
	ReceivedBytes int64         `json:"got_bytes"`
	HandlingTime  time.Duration `json:"hearing_ns"`
}

func (c *Counters) countSent(kind message.Kind, size int) {
	c.sent[kind%maxKinds].Add(1)
	c.sentBytes[kind%maxKinds].Add(int64(size))
}

func (c *Counters) countReceived(kind message.Kind, size int) {
	c.received[kind%maxKinds].Add(1)
	c.receivedBytes[kind%maxKinds].Add(int64(size))
}

func (c *Counters) countHandling(kind message.Kind, took time.Duration) {
	c.handlingTime[kind%maxKinds].Add(int64(took))
}

// Counts returns the non-zero counters by the name of the kind.
//
// Example: t.Counts()["grant"].ReceivedBytes
func (c *Counters) Counts() map[string]KindCount {
	counts := map[string]KindCount{}
	for kind := range maxKinds {
		count := KindCount{
			Sent:          c.sent[kind].Load(),
			SentBytes:     c.sentBytes[kind].Load(),
			Received:      c.received[kind].Load(),
			ReceivedBytes: c.receivedBytes[kind].Load(),
			HandlingTime:  time.Duration(c.handlingTime[kind].Load()),
		}
		if count != (KindCount{}) {
			counts[message.Kind(kind).String()] = count
		}
	}
	return counts
}
