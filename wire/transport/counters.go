package transport

import (
	"sync/atomic"
	"time"

	"mulleinmast/wire/message"
)

// kinds is room for every kind of message of this version.
const kinds = 32

// Counters count, by kind, the messages that were sent and received, their bytes with
// the frame, and the time that handling them took here.
type Counters struct {
	sent, sentBytes, received, receivedBytes, handlingTime [kinds]atomic.Int64
}

// KindCount is what a transport carried of one kind of message since its start.
type KindCount struct {
	Sent          int64         `json:"sent"`
	SentBytes     int64         `json:"sent_bytes"`
	Received      int64         `json:"got"`
	ReceivedBytes int64         `json:"got_bytes"`
	HandlingTime  time.Duration `json:"hearing_ns"`
}

func (c *Counters) countSent(kind message.Kind, size int) {
	c.sent[kind%kinds].Add(1)
	c.sentBytes[kind%kinds].Add(int64(size))
}

func (c *Counters) countReceived(kind message.Kind, size int) {
	c.received[kind%kinds].Add(1)
	c.receivedBytes[kind%kinds].Add(int64(size))
}

func (c *Counters) countHandling(kind message.Kind, took time.Duration) {
	c.handlingTime[kind%kinds].Add(int64(took))
}

// Counts gives the counts by the kinds' names, of those that came up.
//
// Example: t.Counts()["grant"].ReceivedBytes
func (c *Counters) Counts() map[string]KindCount {
	counts := map[string]KindCount{}
	for kind := range kinds {
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
