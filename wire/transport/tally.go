package transport

import (
	"sync/atomic"
	"time"

	"mulleinmast/wire/message"
)

// kinds is room for every kind of message of this version.
const kinds = 32

// Tally counts the messages of each kind on a line, their bytes with the frame,
// and the time that hearing them took here.
type Tally struct {
	sent, sentBytes, got, gotBytes, hearing [kinds]atomic.Int64
}

// Count is what a line carried of one kind of message.
type Count struct {
	Sent      int64         `json:"sent"`
	SentBytes int64         `json:"sent_bytes"`
	Got       int64         `json:"got"`
	GotBytes  int64         `json:"got_bytes"`
	Hearing   time.Duration `json:"hearing_ns"`
}

func (t *Tally) out(k message.Kind, bytes int) {
	t.sent[k%kinds].Add(1)
	t.sentBytes[k%kinds].Add(int64(bytes))
}

func (t *Tally) in(k message.Kind, bytes int) {
	t.got[k%kinds].Add(1)
	t.gotBytes[k%kinds].Add(int64(bytes))
}

func (t *Tally) took(k message.Kind, d time.Duration) { t.hearing[k%kinds].Add(int64(d)) }

// Counts gives the counts by the kinds' names, of those that came up.
//
// Example: line.Counts()["grant"].GotBytes
func (t *Tally) Counts() map[string]Count {
	out := map[string]Count{}
	for k := range kinds {
		c := Count{t.sent[k].Load(), t.sentBytes[k].Load(), t.got[k].Load(), t.gotBytes[k].Load(), time.Duration(t.hearing[k].Load())}
		if c != (Count{}) {
			out[message.Kind(k).String()] = c
		}
	}
	return out
}
