package transport

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"mulleinmast/wire/message"
)

// TestIdleAddressIsRemoved checks that an address to which nothing is sent loses its
// queue while an active address keeps it. As machines are replaced at new addresses,
// unused queues would otherwise accumulate.
func TestIdleAddressIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		transport := &Transport{ctx: ctx, queues: map[string]*sendQueue{}, compactSeen: map[string]time.Time{}}
		send := func(i int) {
			m := message.Message{Kind: message.KindRenewLease}
			transport.Send(message.Envelope{Addr: fmt.Sprintf("127.0.0.%d:1", i), Message: m})
		}
		for i := range 40 {
			send(i + 1)
		}
		if n := transport.AddressCount(); n != 40 {
			t.Fatalf("%d addresses, expected 40", n)
		}
		<-time.After(idleTimeout / 2)
		send(1)
		<-time.After(idleTimeout * 3 / 4)
		if n := transport.AddressCount(); n != 1 {
			t.Errorf("%d addresses, expected only the active one", n)
		}
		<-time.After(2 * idleTimeout)
		if n := transport.AddressCount(); n != 0 {
			t.Errorf("%d addresses after the idle timeout, expected 0", n)
		}
		if send(1); transport.AddressCount() != 1 || transport.Sent.Load() != 42 {
			t.Errorf("%d addresses and %d messages sent, expected 1 and 42", transport.AddressCount(), transport.Sent.Load())
		}
		stop()
	})
}
