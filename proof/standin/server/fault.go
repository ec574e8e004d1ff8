package server

import "sync"

// Fault is one kind of server fault.
type Fault uint8

// Kinds of server faults.
const (
	Break         Fault = iota + 1 // the answer is cut off midway
	Garble                         // bytes that are not an HTTP answer
	Extra                          // a second answer right after a complete one
	Late                           // an extra answer just before the next answer
	NoSeal                         // a success without the seal header
	Encoded                        // a Content-Encoding that the request did not ask for
	Close                          // Connection: close, and the connection is closed
	Slow                           // long pauses between events
	Silent                         // no answer at all
	Forget                         // the connection is abandoned once idle
	Lapse                          // handles expire at once
	Full                           // refused as full despite free slots
	Unwarned                       // closed right after a complete answer, without Connection: close
	Doubled                        // a complete answer sent twice
	Reset                          // the request runs, then the connection is reset instead of an answer
	HeadOnly                       // the connection is reset right after the answer's head
	Denied                         // a success marked as not run
	Interim                        // an interim (1xx) answer before the final one
	Unframed                       // no length: the end of the connection ends the answer
	UnframedReset                  // the same, with the connection reset midway
	Early                          // refused before the body is read, which is then read and discarded
)

// faults holds how many more times each fault is to be injected.
type faults struct {
	mu      sync.Mutex
	pending map[Fault]int
}

// InjectFault makes the server inject a fault at its next n opportunities. A negative n
// means at every opportunity, until reset with 0.
//
// Example: s.InjectFault(server.Break, 3)
func (s *Server) InjectFault(f Fault, n int) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	if s.faults.pending == nil {
		s.faults.pending = map[Fault]int{}
	}
	s.faults.pending[f] = n
}

// take reports whether a fault is pending and consumes one occurrence of it.
func (f *faults) take(k Fault) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.pending[k]
	if n > 0 {
		f.pending[k]--
	}
	return n != 0
}
