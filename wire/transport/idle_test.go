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
// is forgotten with its queue, and one that is sent to stays.
func TestIdleAddressIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		transport := &Transport{ctx: ctx, queues: map[string]*sendQueue{}, compact: map[string]time.Time{}}
		send := func(i int) {
			m := message.Message{Kind: message.KindRenewLease}
			transport.Send(message.Envelope{Addr: fmt.Sprintf("127.0.0.%d:1", i), Message: m})
		}
		for i := range 40 {
			send(i + 1)
		}
		if n := transport.Addresses(); n != 40 {
			t.Fatalf("%d addresses", n)
		}
		<-time.After(idleTimeout / 2)
		send(1)
		<-time.After(idleTimeout * 3 / 4)
		if n := transport.Addresses(); n != 1 {
			t.Errorf("%d addresses, expected the one that is sent to", n)
		}
		<-time.After(2 * idleTimeout)
		if n := transport.Addresses(); n != 0 {
			t.Errorf("%d idle addresses", n)
		}
		if send(1); transport.Addresses() != 1 || transport.Sent.Load() != 42 {
			t.Errorf("%d addresses, %d sent", transport.Addresses(), transport.Sent.Load())
		}
		stop()
	})
}
