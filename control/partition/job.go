package partition

import (
	"slices"
	"strings"
	"time"

	"mulleinmast/control/lease"
	"mulleinmast/wire/message"
)

// Job is a read-modify-write of some records.
type Job struct {
	// Keys are those of all records that the job reads or writes: no other job that
	// has one of them runs beside it.
	Keys []string
	// Mergeable jobs of the same keys are written together where they wait for one
	// another: what Build reads may then have no version yet.
	Mergeable bool
	// Build makes the records to write, each under one of the keys, from those that
	// are there; none if nothing is to be written. The answer is for the caller alone.
	// It runs when no other job has the keys.
	Build func(read lease.RecordSource) (records []message.Record, answer any)
}

// Outcome is what became of a job.
type Outcome uint8

// The outcomes of a job.
const (
	Done      Outcome = iota + 1 // invalidated, committed and in force
	Unchanged                    // Build gave no records
	Uncertain                    // may or may not be in force
	NotLeader                    // nothing was done
)

// String names an outcome.
//
// Example: partition.Done.String() == "done"
func (o Outcome) String() string {
	return [...]string{"none", "done", "unchanged", "uncertain", "not leader"}[o]
}

// Result is a job's outcome.
type Result struct {
	Tag     uint64 // that Submit was given
	Outcome Outcome
	Answer  any // that Build gave; nil where nothing was done
}

// job is a Job with its place in the queue or a batch.
type job struct {
	Job
	tag          uint64
	answer       any  // once built
	writesNought bool // Build gave no records
}

// keySet names the keys of a job, for those of the same ones.
func (j *job) keySet() string { return strings.Join(j.Keys, "\n") }

func (j *job) hasKeyIn(keys map[string]bool) bool {
	return slices.ContainsFunc(j.Keys, func(key string) bool { return keys[key] })
}

// Submit queues a job; its Result carries the tag, which must not be zero.
//
// Example: out := p.Submit(now, 17, job)
func (p *Partition) Submit(now time.Duration, tag uint64, j Job) (out Out) {
	if !p.IsLeader(now) {
		out.Results = append(out.Results, Result{Tag: tag, Outcome: NotLeader})
		return out
	}
	p.queue = append(p.queue, &job{Job: j, tag: tag})
	p.finish(now, &out)
	return out
}
