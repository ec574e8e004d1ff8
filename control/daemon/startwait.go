package daemon

import (
	"errors"
	"net"
	"syscall"
	"time"

	"mulleinmast/control/eventlog"
	"mulleinmast/control/storage"
	"mulleinmast/wire/transport"
)

// startRetriesPerLease is how often a step of the start is tried within a volume lease.
const startRetriesPerLease = 16

// startWaiter repeats steps of a daemon's start that fail because of what passes by itself: a predecessor
// that still holds a port or the data folder, a folder that isn't mounted yet, a full or failing disk.
type startWaiter struct {
	events   *eventlog.Log
	now      func() time.Duration
	until    time.Duration // when the start gives up, except on the disk
	interval time.Duration
}

func newStartWaiter(cfg Config, events *eventlog.Log, now func() time.Duration) *startWaiter {
	return &startWaiter{
		events: events, now: now, until: now() + cfg.StartWait, interval: cfg.VolumeLease() / startRetriesPerLease,
	}
}

// retry repeats a step until it succeeds, fails because of something that doesn't pass, or the time is over.
// It returns the step's last error.
func (w *startWaiter) retry(what string, step func() error, mayPass func(error) bool) error {
	waiting := false
	for {
		err := step()
		switch {
		case err == nil && waiting:
			w.events.Info("start", "no longer waiting", "for", what, "after", w.now().Round(time.Millisecond))
			return nil
		case err == nil || !mayPass(err):
			return err
		case w.now() >= w.until && !storage.IsTransient(err):
			return err
		case !waiting:
			waiting = true
			w.events.Info("start", "waiting", "for", what, "until", w.giveUpAfter(err), "error", err)
		}
		<-time.After(w.interval)
	}
}

// giveUpAfter says when a start that fails because of an error gives up.
func (w *startWaiter) giveUpAfter(err error) string {
	if storage.IsTransient(err) {
		return "the disk works"
	}
	return w.until.Round(time.Millisecond).String()
}

// isFolderUnusableForNow reports whether a step that uses the data folder may succeed later.
func isFolderUnusableForNow(err error) bool {
	return storage.IsTransient(err) || storage.IsUnavailable(err)
}

// openFolder opens the data folder. While the disk is full or failing it retries without end, because a daemon
// must not send messages before its epoch is on disk, and the stored state is worth more than an early start.
func (w *startWaiter) openFolder(cfg Config) (store *storage.Store, err error) {
	err = w.retry("the data folder "+cfg.DataFolder, func() error {
		store, err = storage.Open(cfg.DataFolder, cfg.Fleet)
		return err
	}, isFolderUnusableForNow)
	return store, err
}

// writeVote writes the vote on the first group before a daemon listens: a wait for an address may outlast the
// process.
func (w *startWaiter) writeVote(folder string, members *memberTable) error {
	return w.retry("a write to the data folder "+folder, members.saveVote, isFolderUnusableForNow)
}

// listen opens a listener.
func (w *startWaiter) listen(addr string) (listener net.Listener, err error) {
	err = w.retry("the address "+addr, func() error {
		listener, err = transport.Listen(addr)
		return err
	}, isAddressUnavailable)
	return listener, AddressError.Wrap(err)
}

// isAddressUnavailable reports whether an address can't be bound for a reason that may pass by itself: another
// process has it, the machine doesn't have it yet, or the kernel lacks resources.
func isAddressUnavailable(err error) bool {
	for _, passing := range []syscall.Errno{
		syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}

// Listen opens a listener. While another process has the address it waits, as long as a start may wait.
//
// Example: listener, err := d.Listen("10.0.0.4:8263")
func (d *Daemon) Listen(addr string) (net.Listener, error) { return d.starting.listen(addr) }
