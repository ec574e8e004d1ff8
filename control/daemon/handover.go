package daemon

import (
	"context"
	"time"
)

// handOverRatio is the maximum part of the grace period that a stopping daemon waits for its
// replicas to be taken over.
const handOverRatio = 0.6

// handOverTicks is how often per volume lease a stopping daemon checks whether its replicas are
// taken over.
const handOverTicks = 32

// Leave marks the daemon as not ready and resigns its leaderships.
//
// Example: d.Leave(); waitForStreams()
func (d *Daemon) Leave() {
	d.readiness.stopRequestedAt.Store(int64(d.Now()))
	d.readiness.stopping.Store(true)
	d.readiness.ready.Store(false)
	d.Events.Debug("stop", "stop requested")
	for _, s := range d.shards {
		s.mu.Lock()
		if replica := s.replica(); replica != nil {
			replica.Resign()
		}
		s.mu.Unlock()
	}
}

// RefusesRequests reports whether the daemon was asked to stop at least Bounds.Plan ago. By then the
// platform has seen that the daemon isn't ready; before, the daemon still accepts requests.
//
// Example: if d.RefusesRequests() { refuse() }
func (d *Daemon) RefusesRequests() bool {
	return d.readiness.stopping.Load() && d.Now()-time.Duration(d.readiness.stopRequestedAt.Load()) >= d.Cfg.Bounds.Plan
}

// PartitionsToHandOver returns the number of partitions that still need this daemon's replica
// although a learner could take its place or is about to. It returns 0 if the replica is
// superseded.
//
// Example: if d.PartitionsToHandOver() == 0 { end() }
func (d *Daemon) PartitionsToHandOver() (n int) {
	if d.WhySuperseded() != "" {
		return 0
	}
	view := d.View()
	for _, s := range d.shards {
		s.mu.Lock()
		if replica := s.replica(); replica != nil && view.MustHandOver(replica.Group()) {
			n++
		}
		s.mu.Unlock()
	}
	return n
}

// HandOver waits until no partition needs this daemon's replica. It returns immediately if no
// learner could take the replica's place. It returns at the latest when the context ends or
// handOverRatio of the grace period has passed since the stop request.
//
// Example: d.Leave(); serveOn(); d.HandOver(ctx)
func (d *Daemon) HandOver(ctx context.Context) {
	limit := time.Duration(d.readiness.stopRequestedAt.Load()) + fraction(d.Cfg.GracePeriod, handOverRatio)
	for d.PartitionsToHandOver() > 0 && d.Now() < limit {
		if !sleep(ctx, d.Cfg.VolumeLease()/handOverTicks) {
			break
		}
	}
	if n := d.PartitionsToHandOver(); n > 0 {
		d.Events.Info("stop", "partitions were not handed over in time", "partitions", n)
	}
}

// replicaStage is the progress of a control daemon's replicas since its start.
type replicaStage uint8

const (
	stageIncomplete replicaStage = iota // some partition has no complete replica here
	stageComplete                       // every partition has a complete replica here
	stageVoting                         // complete, and this daemon votes in every partition
)

// String returns the stage as shown in the log.
//
// Example: stageVoting.String() == "votes in all partitions"
func (s replicaStage) String() string {
	return [...]string{"incomplete", "has a complete replica of all partitions", "votes in all partitions"}[s]
}

// updateReplicaStage logs once when this daemon has a complete replica of every partition, and
// once when it votes in every partition.
func (d *Daemon) updateReplicaStage() {
	if d.store == nil || d.readiness.stage == stageVoting {
		return
	}
	stage := d.replicaStage()
	if stage <= d.readiness.stage {
		return
	}
	d.readiness.stage = stage
	d.Events.Info("replicas", stage.String(), "partitions", len(d.shards), "after", d.Now().Round(time.Millisecond))
}

// replicaStage returns the current stage of the replicas.
func (d *Daemon) replicaStage() replicaStage {
	stage := stageVoting
	for _, s := range d.shards {
		s.mu.Lock()
		group, complete := s.replica().Group(), s.replica().Meta().LastComplete > 0
		s.mu.Unlock()
		switch {
		case group.Number == 0 || !complete:
			return stageIncomplete
		case len(group.Next) > 0 || !group.Has(d.self.Ident):
			stage = stageComplete
		}
	}
	return stage
}
