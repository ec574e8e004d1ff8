package main

import (
	"os"
	"os/signal"
	"syscall"
)

// signals are what the process was asked to do, from its first step to its last.
type signals struct {
	reload chan struct{} // the settings have changed
	stop   chan struct{} // closed by the first signal to end; the same signal again changes nothing
	hurry  chan struct{} // closed when somebody at a terminal interrupts once more
}

// catchSignals takes all signals that mean something from now on. It comes before
// anything that may take time: without it SIGHUP ends a process.
func catchSignals() *signals {
	s := &signals{reload: make(chan struct{}, 1), stop: make(chan struct{}), hurry: make(chan struct{})}
	received := make(chan os.Signal, 8)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go s.run(received)
	return s
}

// run passes the signals on.
func (s *signals) run(received <-chan os.Signal) {
	stopping, hurrying := false, false
	for sig := range received {
		switch {
		case sig == syscall.SIGHUP:
			select {
			case s.reload <- struct{}{}:
			default: // one reload does for several
			}
		case !stopping:
			stopping = true
			close(s.stop)
		case sig == syscall.SIGINT && !hurrying:
			hurrying = true
			close(s.hurry)
		}
	}
}

// exitDuringStart ends the process if it is asked to before it has started:
// nothing is under way, and what is on disk is as after a kill.
func (s *signals) exitDuringStart(started <-chan struct{}) {
	select {
	case <-started:
	case <-s.stop:
		select {
		case <-started: // both: it stops in order
		default:
			os.Exit(exitStopped)
		}
	}
}
