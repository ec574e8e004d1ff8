package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mulleinmast/control/eventlog"
	"mulleinmast/control/leader"
	"mulleinmast/control/quorum"
	"mulleinmast/control/storage"
)

// diskWriter writes the replicas' saves to the data folder; what waits together is
// one transaction. Its run loop alone writes.
type diskWriter struct {
	store       *storage.Store // nil without a data folder: nothing is ever added
	events      *eventlog.Log
	now         func() time.Duration
	volumeLease time.Duration
	writeTimes  *metrics.Histogram
	// saved is called with each save that is on disk, in their order, no lock held.
	saved func(storage.Ticket)

	refusals atomic.Int64 // writes in a row that the disk refused
	delay    atomic.Int64 // set by tests: each write takes so much longer

	wake chan struct{} // holds one token while something may wait

	mu      sync.Mutex // guards waiting
	waiting storage.Batch
}

func newDiskWriter(d *Daemon) *diskWriter {
	return &diskWriter{
		store:       d.store,
		events:      d.Events,
		now:         d.Now,
		volumeLease: d.Cfg.VolumeLease(),
		writeTimes:  d.Metrics.NewHistogram("mulleinmast_disk_write_seconds"),
		saved:       d.handleSaved,
		wake:        make(chan struct{}, 1),
	}
}

// add queues saves. A shard's lock may be held.
func (w *diskWriter) add(list []quorum.Save) {
	w.mu.Lock()
	for _, save := range list {
		w.waiting.Add(save)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run writes what is added until the context ends.
func (w *diskWriter) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-w.wake:
		}
		for w.flush(ctx) {
		}
	}
}

// flush writes what waits; false: nothing does. What the disk refuses goes before
// what was added since, in one batch with it: nobody relies on it yet, so it is
// tried until it works or the daemon is stopped.
func (w *diskWriter) flush(ctx context.Context) bool {
	batch := w.takeWaiting()
	if batch.IsEmpty() || ctx.Err() != nil {
		return false
	}
	if delay := w.delay.Load(); delay > 0 {
		sleep(ctx, time.Duration(delay))
	}
	if err := w.write(batch); err != nil {
		w.events.Warn("disk", "a write was refused", "error", err)
		w.refusals.Add(1)
		w.requeue(batch)
		sleep(ctx, w.volumeLease/4)
		return true
	}
	if refused := w.refusals.Swap(0); refused > 0 {
		w.events.Info("disk", "takes writes again", "refused", refused)
	}
	for _, ticket := range batch.Tickets {
		w.saved(ticket)
	}
	return true
}

// write is one transaction; its time is measured.
func (w *diskWriter) write(batch storage.Batch) error {
	from := w.now()
	err := w.store.Write(batch.Saves())
	took := w.now() - from
	w.writeTimes.Update(took.Seconds())
	if took > w.volumeLease {
		w.events.Warn("disk", "a write took long", "partitions", len(batch.Saves()), "took", took.Round(time.Millisecond))
	}
	return err
}

func (w *diskWriter) takeWaiting() storage.Batch {
	w.mu.Lock()
	defer w.mu.Unlock()
	batch := w.waiting
	w.waiting = storage.Batch{}
	return batch
}

func (w *diskWriter) requeue(batch storage.Batch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	batch.Append(w.waiting)
	w.waiting = batch
}

// handleSaved reports a save that is on disk to its partition.
func (d *Daemon) handleSaved(ticket storage.Ticket) {
	s := d.shards[ticket.Partition]
	d.step(s, func(c *leader.Controller, now time.Duration) leader.Out {
		s.noteSaved(ticket.Number)
		return c.Saved(now, ticket.Number)
	})
}

// noteSaved checks that saves are reported in order.
func (s *shard) noteSaved(save uint64) {
	savesInOrder.Hold(save > s.lastSave, "partition %d: save %d is reported as done after save %d",
		s.partition, save, s.lastSave)
	s.lastSave = save
}

// sleep waits; false: the context ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
