package partition

import (
	"slices"
	"strings"
	"time"

	"mulleinmast/control/lease"
	"mulleinmast/wire/message"
)

// Job is a read-modify-write operation on one or more records.
type Job struct {
	// Keys are the keys of all records that the job reads or writes. Jobs that share a
	// key do not run concurrently.
	Keys []string
	// Mergeable allows the job to be written in one batch with other jobs that have the
	// same keys. Build may then read records that do not have a version yet.
	Mergeable bool
	// Build returns the records to write, each under one of Keys. It reads the current
	// records with read, and returns no records if there is nothing to write. The answer
	// is passed to the caller in Result. Build runs when no other job holds the keys, or
	// when the job joins a batch with the same keys.
	Build func(read lease.RecordSource) (records []message.Record, answer any)
}

// Outcome is the final state of a job.
type Outcome uint8

// The outcomes of a job.
const (
	Done      Outcome = iota + 1 // invalidated, committed and granted again
	Unchanged                    // Build returned no records
	Uncertain                    // the write may or may not take effect
	NotLeader                    // nothing was done
)

// String returns the name of an outcome.
//
// Example: partition.Done.String() == "done"
func (o Outcome) String() string {
	return [...]string{"none", "done", "unchanged", "uncertain", "not leader"}[o]
}

// Result is the outcome of a job.
type Result struct {
	Tag     uint64 // as passed to Submit
	Outcome Outcome
	Answer  any // as returned by Build; nil if Outcome is NotLeader
}

// job is a submitted Job, in the queue or in a batch.
type job struct {
	Job
	tag    uint64
	answer any  // as returned by Build
	isNoOp bool // Build returned no records
}

// keySet returns a job's keys as one string, which is equal for jobs with the same keys.
func (j *job) keySet() string { return strings.Join(j.Keys, "\n") }

func (j *job) hasKeyIn(keys map[string]bool) bool {
	return slices.ContainsFunc(j.Keys, func(key string) bool { return keys[key] })
}

// Submit queues a job. Its Result has the given tag, which must not be zero.
//
// Example: out := p.Submit(now, 17, job)
func (p *Partition) Submit(now time.Duration, tag uint64, j Job) (out Out) {
	if !p.IsLeader(now) {
		out.Results = append(out.Results, Result{Tag: tag, Outcome: NotLeader})
		return out
	}
	p.queue = append(p.queue, &job{Job: j, tag: tag})
	p.finishStep(now, &out)
	return out
}
