package transport

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// Faults are switches for tests, off unless set. Each set of addresses may hold "*",
// which stands for all.
type Faults struct {
	// DropPeers loses the messages to and from these addresses.
	DropPeers atomic.Pointer[map[string]bool]
	// DropSenders loses the messages from these addresses, and not those to them.
	DropSenders atomic.Pointer[map[string]bool]
	// MaxDelay is up to how many nanoseconds a message is on its way, each for itself, so
	// that later ones arrive before earlier ones.
	MaxDelay atomic.Int64
	// Latency is how long each message to an address is on its way; nil: no time. It
	// is set before Serve.
	Latency func(addr string) time.Duration
}

// allAddresses stands for every address in a set of the switches.
const allAddresses = "*"

func contains(set *atomic.Pointer[map[string]bool], addr string) bool {
	addresses := set.Load()
	return addresses != nil && ((*addresses)[addr] || (*addresses)[allAddresses])
}

func (f *Faults) dropsTo(addr string) bool { return contains(&f.DropPeers, addr) }

func (f *Faults) dropsFrom(addr string) bool {
	return contains(&f.DropPeers, addr) || contains(&f.DropSenders, addr)
}

// delayTo is how long a message to an address is held back.
func (f *Faults) delayTo(addr string) (delay time.Duration) {
	if f.Latency != nil {
		delay = f.Latency(addr)
	}
	if limit := f.MaxDelay.Load(); limit > 0 {
		delay += time.Duration(rand.Int64N(limit))
	}
	return delay
}
