package transport

import (
	"sync/atomic"
	"time"

	"mulleinmast/wire/message"
)

// kinds is room for every kind of message of this version.
const kinds = 32

// Counters counts the messages of each kind on a line, their bytes with the frame,
// and the time that hearing them took here.
type Counters struct {
	sent, sentBytes, got, gotBytes, hearing [kinds]atomic.Int64
}

// KindCount is what a line carried of one kind of message.
type KindCount struct {
	Sent          int64         `json:"sent"`
	SentBytes     int64         `json:"sent_bytes"`
	Received      int64         `json:"got"`
	ReceivedBytes int64         `json:"got_bytes"`
	HandlingTime  time.Duration `json:"hearing_ns"`
}

func (t *Counters) out(k message.Kind, bytes int) {
	t.sent[k%kinds].Add(1)
	t.sentBytes[k%kinds].Add(int64(bytes))
}

func (t *Counters) in(k message.Kind, bytes int) {
	t.got[k%kinds].Add(1)
	t.gotBytes[k%kinds].Add(int64(bytes))
}

func (t *Counters) took(k message.Kind, d time.Duration) { t.hearing[k%kinds].Add(int64(d)) }

// Counts gives the counts by the kinds' names, of those that came up.
//
// Example: line.Counts()["grant"].ReceivedBytes
func (t *Counters) Counts() map[string]KindCount {
	out := map[string]KindCount{}
	for k := range kinds {
		c := KindCount{t.sent[k].Load(), t.sentBytes[k].Load(), t.got[k].Load(), t.gotBytes[k].Load(), time.Duration(t.hearing[k].Load())}
		if c != (KindCount{}) {
			out[message.Kind(k).String()] = c
		}
	}
	return out
}
