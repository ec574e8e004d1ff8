package partition

import (
	"maps"
	"slices"
	"time"

	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// maxRunningBatches limits the batches that run concurrently. While a batch runs, the descendants in
// the lease tree wait for its records. Without the limit, all batches of a burst of writes, such as
// writes to all servers of a model, would be sent to all descendants at the same time.
const maxRunningBatches = 32

// stage is the progress of a batch. A batch ends with the replica's result or when the
// leadership is lost.
type stage uint8

const (
	built        stage = iota // its records are built
	invalidating              // its records are no longer granted and are being withdrawn from the lease tree
	committing                // its records are being replicated to a majority
)

// batch is one write, made by a single job or by several merged jobs.
type batch struct {
	jobs    []*job // in submission order; all have the same keys
	records []message.Record
	stage   stage
	// invalidationsLeft counts the records that are not yet invalidated, in stage
	// invalidating.
	invalidationsLeft int
}

// results returns the results of a batch's jobs. A job that wrote nothing may have been built
// from records that the batch was about to write, so its result is valid only if the batch was
// committed.
func (b *batch) results(outcome Outcome) (results []Result) {
	for _, j := range b.jobs {
		result := Result{Tag: j.tag, Outcome: outcome, Answer: j.answer}
		switch {
		case j.isNoOp && outcome == Done:
			result.Outcome = Unchanged
		case j.isNoOp:
			result = Result{Tag: j.tag, Outcome: NotLeader}
		case outcome == NotLeader:
			result.Answer = nil
		}
		results = append(results, result)
	}
	return results
}

// indexOf returns the index of a key among the records to write, or -1.
func (b *batch) indexOf(key string) int {
	return slices.IndexFunc(b.records, func(r message.Record) bool { return r.Key == key })
}

// put adds a record to write and replaces an earlier one with the same key.
func (b *batch) put(r message.Record) {
	if i := b.indexOf(r.Key); i >= 0 {
		b.records[i] = r
	} else {
		b.records = append(b.records, r)
	}
}

// addToBatch builds a job's records on top of those that the batch is about to write.
func (p *Partition) addToBatch(b *batch, j *job) {
	records, answer := j.Build(func(key string) message.Record {
		if i := b.indexOf(key); i >= 0 {
			return b.records[i]
		}
		return p.read(key)
	})
	j.answer, j.isNoOp = answer, len(records) == 0
	b.jobs = append(b.jobs, j)
	for _, r := range records {
		b.put(r)
	}
}

// startJobs starts the queued jobs whose keys are free. A job that has to wait also blocks
// later jobs that share one of its keys.
func (p *Partition) startJobs(now time.Duration, out *Out) {
	if len(p.queue) == 0 || !p.mayWrite(now) {
		return
	}
	var waiting []*job
	waitingKeys := map[string]bool{}
	mergeable := map[string]*batch{} // batches started by this call, by key set
	for _, j := range p.queue {
		if b := mergeable[j.keySet()]; b != nil && j.Mergeable && !j.hasKeyIn(waitingKeys) {
			p.addToBatch(b, j)
			continue
		}
		if b := p.findOpenBatch(j); b != nil && !j.hasKeyIn(waitingKeys) {
			p.addToBatch(b, j)
			continue
		}
		if j.hasKeyIn(p.busyKeys) || j.hasKeyIn(waitingKeys) || len(p.running) >= maxRunningBatches {
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

// findOpenBatch returns the batch that a job with a single key can still join, or nil. Such a
// batch writes the same record and is not being committed yet. If jobs could not join a running
// batch, each job of a sequence would wait again for descendants that do not answer.
func (p *Partition) findOpenBatch(j *job) *batch {
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

// startJob starts a batch with a job. If the job writes nothing, startJob completes it and returns
// nil.
func (p *Partition) startJob(j *job, out *Out) *batch {
	b := &batch{}
	p.addToBatch(b, j)
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

// startInvalidations stops granting the records of newly built batches and withdraws them
// from the lease tree.
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

// handleRecordInvalidated counts one record of a batch as invalidated. After the last one it
// starts to commit the batch.
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

// handleWriteResult ends a batch. Its records are granted again if they were committed.
// If the outcome is uncertain they stay withdrawn and their keys stay busy, because the
// replica then gives up the leadership.
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
