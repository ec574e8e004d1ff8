package daemon

import (
	"context"
	"time"
)

// handOverRatio is the part of the grace period that a stopping daemon waits at
// most for its replicas to be taken over.
const handOverRatio = 0.6

// handOverTicks is how often it looks in a volume lease whether they are.
const handOverTicks = 32

// Leave makes the daemon not ready and resigns its leaderships.
//
// Example: d.Leave(); waitForStreams()
func (d *Daemon) Leave() {
	d.readiness.stopFrom.Store(int64(d.Now()))
	d.readiness.stopping.Store(true)
	d.readiness.ready.Store(false)
	d.Events.Debug("stop", "asked to stop")
	for _, s := range d.shards {
		s.mu.Lock()
		if replica := s.replica(); replica != nil {
			replica.Resign()
		}
		s.mu.Unlock()
	}
}

// RefusesRequests reports whether the daemon was asked to stop so long ago that the
// platform has seen it is not ready; until then it still takes requests.
//
// Example: if d.RefusesRequests() { refuse() }
func (d *Daemon) RefusesRequests() bool {
	return d.readiness.stopping.Load() && d.Now()-time.Duration(d.readiness.stopFrom.Load()) >= d.Cfg.Bounds.Plan
}

// PartitionsToHandOver counts the partitions that still need this daemon's replica
// though a learner could take its place, or is about to; none where the replica is
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

// HandOver returns when no partition needs this daemon's replica any more, at once
// if no learner could take its place, and at the latest when the context ends or
// most of the grace period is over since the daemon was asked to stop.
//
// Example: d.Leave(); serveOn(); d.HandOver(ctx)
func (d *Daemon) HandOver(ctx context.Context) {
	limit := time.Duration(d.readiness.stopFrom.Load()) + fraction(d.Cfg.GracePeriod, handOverRatio)
	for d.PartitionsToHandOver() > 0 && d.Now() < limit {
		if !sleep(ctx, d.Cfg.VolumeLease()/handOverTicks) {
			break
		}
	}
	if n := d.PartitionsToHandOver(); n > 0 {
		d.Events.Info("stop", "partitions still need this replica", "partitions", n)
	}
}

// replicaStage is what a control daemon has reached since its start.
type replicaStage uint8

const (
	stageIncomplete replicaStage = iota // some partition's replica is missing here
	stageComplete                       // it has all records of every partition
	stageVoting                         // and a vote in every partition
)

// String names a stage in the log.
//
// Example: stageVoting.String() == "counts in all partitions"
func (s replicaStage) String() string {
	return [...]string{"incomplete", "holds a copy of all partitions", "counts in all partitions"}[s]
}

// updateReplicaStage writes out once when this daemon has a complete replica of
// every partition, and once when it has a vote in every partition.
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

// replicaStage is the stage that the replicas are at now.
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
