package partition

import (
	"maps"
	"slices"
	"time"

	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// maxRunning is how many batches run beside one another: each is waited for by
// every daemon below, and what comes in a crowd (all servers of a model) would
// else be on its way to all of them at once.
const maxRunning = 32

// stage is how far a batch has come. It ends with the replica's result, or with the
// leadership.
type stage uint8

const (
	built        stage = iota // its records are made
	invalidating              // its records are granted no more and withdrawn from the tree
	committing                // its records are on their way to a majority
)

// batch is one write of a job, or of several that are merged.
type batch struct {
	jobs    []*job // in order; all of the same keys
	records []message.Record
	stage   stage
	// invalidationsLeft counts, while invalidating, the records that are not yet
	// invalidated.
	invalidationsLeft int
}

// results gives the results of a batch's jobs. Those that wrote nothing judged by what
// was about to be written: that counts only once it is.
func (b *batch) results(outcome Outcome) (results []Result) {
	for _, j := range b.jobs {
		result := Result{Tag: j.tag, Outcome: outcome, Answer: j.answer}
		switch {
		case j.writesNought && outcome == Done:
			result.Outcome = Unchanged
		case j.writesNought:
			result = Result{Tag: j.tag, Outcome: NotLeader}
		case outcome == NotLeader:
			result.Answer = nil
		}
		results = append(results, result)
	}
	return results
}

// find is the place of a key among the records to write; -1: none.
func (b *batch) find(key string) int {
	return slices.IndexFunc(b.records, func(r message.Record) bool { return r.Key == key })
}

// put sets a record to write, over one of the same key.
func (b *batch) put(r message.Record) {
	if i := b.find(r.Key); i >= 0 {
		b.records[i] = r
	} else {
		b.records = append(b.records, r)
	}
}

// add builds a job's records over those that the batch is about to write.
func (p *Partition) add(b *batch, j *job) {
	records, answer := j.Build(func(key string) message.Record {
		if i := b.find(key); i >= 0 {
			return b.records[i]
		}
		return p.read(key)
	})
	j.answer, j.writesNought = answer, len(records) == 0
	b.jobs = append(b.jobs, j)
	for _, r := range records {
		b.put(r)
	}
}

// startJobs starts the jobs of the queue whose keys are free. A job that has to wait
// keeps those behind it that have one of its keys waiting too.
func (p *Partition) startJobs(now time.Duration, out *Out) {
	if len(p.queue) == 0 || !p.mayWrite(now) {
		return
	}
	var waiting []*job
	waitingKeys := map[string]bool{}
	mergeable := map[string]*batch{} // begun in this turn, by their keys
	for _, j := range p.queue {
		if b := mergeable[j.keySet()]; b != nil && j.Mergeable && !j.hasKeyIn(waitingKeys) {
			p.add(b, j)
			continue
		}
		if b := p.openBatch(j); b != nil && !j.hasKeyIn(waitingKeys) {
			p.add(b, j)
			continue
		}
		if j.hasKeyIn(p.busyKeys) || j.hasKeyIn(waitingKeys) || len(p.running) >= maxRunning {
			for _, key := range j.Keys {
				waitingKeys[key] = true
			}
			waiting = append(waiting, j)
			continue
		}
		if b := p.startJob(j, out); b != nil && j.Mergeable {
			mergeable[j.keySet()] = b
		}
	}
	p.queue = waiting
	p.startInvalidations(now, out)
}

// openBatch is the batch that a job of one record can still join: of the same record, which isn't
// on its way to the replicas yet. Else each job of a row would wait anew for those that are silent.
func (p *Partition) openBatch(j *job) *batch {
	if !j.Mergeable || len(j.Keys) != 1 || !p.busyKeys[j.Keys[0]] {
		return nil
	}
	for _, b := range p.running {
		isOpen := b.stage == built || b.stage == invalidating
		if isOpen && len(b.records) == 1 && b.jobs[0].Mergeable && b.jobs[0].keySet() == j.keySet() {
			return b
		}
	}
	return nil
}

// startJob makes a batch of a job; nil if it writes nothing, which ends it.
func (p *Partition) startJob(j *job, out *Out) *batch {
	b := &batch{}
	p.add(b, j)
	if len(b.records) == 0 {
		out.Results = append(out.Results, Result{Tag: j.tag, Outcome: Unchanged, Answer: j.answer})
		return nil
	}
	p.running[j.tag] = b
	for _, key := range j.Keys {
		p.busyKeys[key] = true
	}
	return b
}

// startInvalidations stops granting the records of the batches that were built, and
// withdraws them from the tree.
func (p *Partition) startInvalidations(now time.Duration, out *Out) {
	for _, tag := range slices.Sorted(maps.Keys(p.running)) {
		b := p.running[tag]
		if b == nil || b.stage != built {
			continue
		}
		b.stage, b.invalidationsLeft = invalidating, len(b.records)
		for _, r := range slices.Clone(b.records) {
			p.handleNodeOut(now, p.Node.Suspend(now, r.Key, tag), out)
		}
	}
}

// handleRecordInvalidated counts a record of a batch as invalidated; after the last one the
// batch is committed.
func (p *Partition) handleRecordInvalidated(now time.Duration, tag uint64, out *Out) {
	b := p.running[tag]
	if b == nil {
		return
	}
	b.invalidationsLeft--
	if b.invalidationsLeft > 0 {
		return
	}
	b.stage = committing
	if !p.IsLeader(now) { // nothing was committed
		delete(p.running, tag)
		out.Results = append(out.Results, b.results(NotLeader)...)
		return
	}
	replicaOut, records := p.Replica.Write(now, tag, b.records)
	b.records = records
	p.handleReplicaOut(now, replicaOut, out)
}

// handleWriteResult ends a batch: its records are granted again if they are committed.
// If that is uncertain they stay withdrawn, and their keys busy: the replica gives the
// leadership up.
func (p *Partition) handleWriteResult(now time.Duration, write quorum.WriteResult, out *Out) {
	b := p.running[write.Tag]
	if b == nil {
		return
	}
	delete(p.running, write.Tag)
	outcome := Uncertain
	if write.Outcome == quorum.Committed {
		outcome = Done
		p.release(now, b, out)
	}
	out.Results = append(out.Results, b.results(outcome)...)
}

// release frees the keys of a committed batch and grants its records again.
func (p *Partition) release(now time.Duration, b *batch, out *Out) {
	for _, key := range b.jobs[0].Keys {
		delete(p.busyKeys, key)
	}
	keys := make([]string, 0, len(b.records))
	for _, r := range b.records {
		keys = append(keys, r.Key)
	}
	p.handleNodeOut(now, p.Node.ResumeAll(now, keys), out)
}
