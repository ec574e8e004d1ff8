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

// diskWriter writes the replicas' saves to the data folder and combines all pending saves into one
// transaction. Only its run loop writes.
type diskWriter struct {
	store       *storage.Store // nil without a data folder; no saves are added in this case
	events      *eventlog.Log
	now         func() time.Duration
	volumeLease time.Duration
	writeTimes  *metrics.Histogram
	// onSaved is called for each save that is on disk, in order, with no lock held.
	onSaved func(storage.Ticket)

	consecutiveFailures atomic.Int64 // failed writes since the last successful one
	delay               atomic.Int64 // extra delay of each write, in nanoseconds; set by tests

	wake chan struct{} // buffers one signal while saves may be pending

	mu      sync.Mutex // guards pending
	pending storage.Batch
}

func newDiskWriter(d *Daemon) *diskWriter {
	return &diskWriter{
		store:       d.store,
		events:      d.Events,
		now:         d.Now,
		volumeLease: d.Cfg.VolumeLease(),
		writeTimes:  d.Metrics.NewHistogram("mulleinmast_disk_write_seconds"),
		onSaved:     d.handleSaved,
		wake:        make(chan struct{}, 1),
	}
}

// add queues saves. The caller may hold a shard's lock.
func (w *diskWriter) add(list []quorum.Save) {
	w.mu.Lock()
	for _, save := range list {
		w.pending.Add(save)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run writes queued saves until the context ends.
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

// flush writes the pending saves. It returns false if there are none or the context has ended. A
// failed batch is put back in front of the saves that were added in the meantime, and the combined
// batch is retried until it succeeds or the daemon stops. Retrying is safe because nothing depends
// on a save until it is on disk.
func (w *diskWriter) flush(ctx context.Context) bool {
	batch := w.takePending()
	if batch.IsEmpty() || ctx.Err() != nil {
		return false
	}
	if delay := w.delay.Load(); delay > 0 {
		sleep(ctx, time.Duration(delay))
	}
	if err := w.write(batch); err != nil {
		w.events.Warn("disk", "write failed", "error", err)
		w.consecutiveFailures.Add(1)
		w.requeue(batch)
		sleep(ctx, w.volumeLease/4)
		return true
	}
	if failures := w.consecutiveFailures.Swap(0); failures > 0 {
		w.events.Info("disk", "writes succeed again", "refused", failures)
	}
	for _, ticket := range batch.Tickets {
		w.onSaved(ticket)
	}
	return true
}

// write writes a batch in one transaction and records how long that took.
func (w *diskWriter) write(batch storage.Batch) error {
	from := w.now()
	err := w.store.Write(batch.Saves())
	took := w.now() - from
	w.writeTimes.Update(took.Seconds())
	if took > w.volumeLease {
		w.events.Warn("disk", "slow write", "partitions", len(batch.Saves()), "took", took.Round(time.Millisecond))
	}
	return err
}

func (w *diskWriter) takePending() storage.Batch {
	w.mu.Lock()
	defer w.mu.Unlock()
	batch := w.pending
	w.pending = storage.Batch{}
	return batch
}

func (w *diskWriter) requeue(batch storage.Batch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	batch.Append(w.pending)
	w.pending = batch
}

// handleSaved notifies a save's partition that the save is on disk.
func (d *Daemon) handleSaved(ticket storage.Ticket) {
	s := d.shards[ticket.Partition]
	d.step(s, func(c *leader.Controller, now time.Duration) leader.Out {
		s.checkSaveOrder(ticket.Number)
		return c.Saved(now, ticket.Number)
	})
}

// checkSaveOrder checks that saves are reported as done in the order of their numbers.
func (s *shard) checkSaveOrder(save uint64) {
	savesInOrder.Hold(save > s.lastSave, "partition %d: save %d reported as done after save %d",
		s.partition, save, s.lastSave)
	s.lastSave = save
}

// sleep waits for d and reports false if the context ended first.
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
