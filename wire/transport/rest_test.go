package transport

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"mulleinmast/wire/message"
)

// Machines are replaced at new addresses: one that nothing is sent to any more
// is forgotten with its queue, and one that is spoken to stays.
func TestAnAddressThatRestsIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		l := &Transport{ctx: ctx, outs: map[string]*queue{}, heard: map[string]time.Time{}}
		send := func(i int) {
			l.Send(message.Envelope{Addr: fmt.Sprintf("127.0.0.%d:1", i), Message: message.Message{Kind: message.KindRenewLease}})
		}
		for i := range 40 {
			send(i + 1)
		}
		if n := l.Addresses(); n != 40 {
			t.Fatalf("%d addresses", n)
		}
		<-time.After(resting / 2)
		send(1)
		<-time.After(resting * 3 / 4)
		if n := l.Addresses(); n != 1 {
			t.Errorf("%d addresses, expected the one that is spoken to", n)
		}
		<-time.After(2 * resting)
		if n := l.Addresses(); n != 0 {
			t.Errorf("%d addresses that rest", n)
		}
		if send(1); l.Addresses() != 1 || l.Sent.Load() != 42 {
			t.Errorf("%d addresses, %d sent", l.Addresses(), l.Sent.Load())
		}
		stop()
	})
}
