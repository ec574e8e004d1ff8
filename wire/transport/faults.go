package transport

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// Faults inject network faults for tests; all are off by default. A set of addresses may
// contain "*", which matches every address.
type Faults struct {
	// DropPeers drops messages to and from these addresses.
	DropPeers atomic.Pointer[map[string]bool]
	// DropSenders drops messages from these addresses, but not messages to them.
	DropSenders atomic.Pointer[map[string]bool]
	// MaxDelay is the upper limit, in nanoseconds, of a random delay that is chosen for each
	// message, so that messages can overtake one another.
	MaxDelay atomic.Int64
	// Latency returns the delay of each message to an address; nil: no delay. It must be
	// set before Serve.
	Latency func(addr string) time.Duration
}

// allAddresses matches every address in a set of Faults.
const allAddresses = "*"

func containsAddr(set *atomic.Pointer[map[string]bool], addr string) bool {
	addresses := set.Load()
	return addresses != nil && ((*addresses)[addr] || (*addresses)[allAddresses])
}

func (f *Faults) dropsTo(addr string) bool { return containsAddr(&f.DropPeers, addr) }

func (f *Faults) dropsFrom(addr string) bool {
	return containsAddr(&f.DropPeers, addr) || containsAddr(&f.DropSenders, addr)
}

// delayTo returns the delay for one message to an address.
func (f *Faults) delayTo(addr string) (delay time.Duration) {
	if f.Latency != nil {
		delay = f.Latency(addr)
	}
	if limit := f.MaxDelay.Load(); limit > 0 {
		delay += time.Duration(rand.Int64N(limit))
	}
	return delay
}
