package server

import "sync"

// Fault is one way to misbehave.
type Fault uint8

// The ways.
const (
	Break         Fault = iota + 1 // the answer is cut off midway
	Garble                         // bytes that are no answer
	Extra                          // a second answer right after a whole one
	Late                           // an extra answer in the place of the next
	NoSeal                         // a success without its seal
	Encoded                        // a body in an encoding that nobody asked for
	Close                          // Connection: close, and it is closed
	Slow                           // events far apart
	Silent                         // no answer at all
	Forget                         // the connection is forgotten once idle
	Lapse                          // handles lapse at once
	Full                           // turned away, though there is room
	Unwarned                       // the connection is closed right after a whole answer, with no word
	Doubled                        // a whole answer twice
	Reset                          // it runs, and the connection is reset in place of an answer
	HeadOnly                       // reset right after the answer's head
	Denied                         // a success that says that it has not run
	Interim                        // an answer that is not the last, before it
	Unframed                       // no length: the answer ends with its connection
	UnframedReset                  // the same, and it is reset midway
	Early                          // turned away before its body is read, which is read on later
)

// faults are those that are due: each is played so many times.
type faults struct {
	mu  sync.Mutex
	due map[Fault]int
}

// Misbehave has the server misbehave in its next n chances; a negative n means
// always, until told 0.
//
// Example: s.Misbehave(server.Break, 3)
func (s *Server) Misbehave(f Fault, n int) {
	s.faults.mu.Lock()
	defer s.faults.mu.Unlock()
	if s.faults.due == nil {
		s.faults.due = map[Fault]int{}
	}
	s.faults.due[f] = n
}

// take tells whether a fault is due, and counts it.
func (f *faults) take(k Fault) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.due[k]
	if n > 0 {
		f.due[k]--
	}
	return n != 0
}
