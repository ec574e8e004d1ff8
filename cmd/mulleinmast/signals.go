package main

import (
	"os"
	"os/signal"
	"syscall"

	"mulleinmast/control/eventlog"
)

// signals turns the signals that the process receives into channel events, from start
// to exit.
type signals struct {
	reload chan struct{} // receives a value when the settings have changed
	stop   chan struct{} // closed by the first SIGTERM or SIGINT; a repeated SIGTERM has no effect
	abort  chan struct{} // closed by a SIGINT after stop, such as a second Ctrl-C
}

// catchSignals starts to handle SIGTERM, SIGINT and SIGHUP. It must run before anything
// that takes time, because an unhandled SIGHUP ends the process.
func catchSignals() *signals {
	s := &signals{reload: make(chan struct{}, 1), stop: make(chan struct{}), abort: make(chan struct{})}
	// Without this, a write to standard error ends the process once nobody reads it any more.
	signal.Ignore(syscall.SIGPIPE)
	received := make(chan os.Signal, 8)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go s.dispatch(received)
	return s
}

// dispatch maps the received signals to the channels.
func (s *signals) dispatch(received <-chan os.Signal) {
	stopping, aborting := false, false
	for sig := range received {
		switch {
		case sig == syscall.SIGHUP:
			select {
			case s.reload <- struct{}{}:
			default: // a pending reload covers this one
			}
		case !stopping:
			stopping = true
			close(s.stop)
		case sig == syscall.SIGINT && !aborting:
			aborting = true
			close(s.abort)
		}
	}
}

// exitDuringStart exits immediately if a stop is requested before the daemon has started.
// This is safe because no requests are in progress, and the data on disk is as consistent
// as after a kill.
func (s *signals) exitDuringStart(started <-chan struct{}, output *eventlog.Output) {
	select {
	case <-started:
	case <-s.stop:
		select {
		case <-started: // both happened: shut down gracefully
		default:
			output.Flush(flushTimeout)
			os.Exit(exitStopped)
		}
	}
}
