package partition

import (
	"maps"
	"slices"
	"strings"
	"time"

	"mulleinmast/control/lease"
	"mulleinmast/wire/message"
)

// Job is a write: the keys it touches, and what to write given what is there.
// Build runs when no other write holds the keys; it returns the records of some
// of them, or none when nothing is to be written, and any word for the caller.
// Jobs of the same keys that are Mergeable are written together where they wait for one
// another: what Build reads may then have no version yet.
type Job struct {
	Keys      []string
	Mergeable bool
	Build     func(read lease.RecordSource) (recs []message.Record, word any)
}

type job struct {
	Job
	tag  uint64
	word any
	none bool // it writes nothing
}

// batch is one write of a job, or of several that are joined.
type batch struct {
	jobs []*job
	due  int // holds not yet invalidated
	recs []message.Record
}

// results tells the fate of a batch's jobs. Those that wrote nothing judged by what
// was about to be written: that counts only once it is.
func (b *batch) results(f Outcome) (out []Result) {
	for _, j := range b.jobs {
		r := Result{Tag: j.tag, Outcome: f, Answer: j.word}
		switch {
		case j.none && f == Done:
			r.Outcome = Unchanged
		case j.none:
			r = Result{Tag: j.tag, Outcome: NotLeader}
		case f == NotLeader:
			r.Answer = nil
		}
		out = append(out, r)
	}
	return out
}

// written marks a batch whose records are withdrawn and on their way to a majority.
const written = -1

// abreast is how many writes run beside one another: each is waited for by
// every daemon below, and what comes in a crowd (all servers of a model) would
// else be on its way to all of them at once.
const abreast = 32

func (s *Partition) start(now time.Duration, o *Out) {
	if len(s.queue) == 0 || !s.Leader(now) || now < s.WritesFrom() {
		return
	}
	var rest []*job
	blocked := map[string]bool{}
	joining := map[string]*batch{} // begun in this turn, by their keys
	for _, j := range s.queue {
		if b := joining[strings.Join(j.Keys, "\n")]; b != nil && j.Mergeable && !j.blockedBy(blocked) {
			s.join(b, j)
			continue
		}
		if j.blockedBy(s.busy) || j.blockedBy(blocked) || len(s.runs) >= abreast {
			for _, k := range j.Keys {
				blocked[k] = true
			}
			rest = append(rest, j)
			continue
		}
		b := &batch{}
		s.join(b, j)
		if len(b.recs) == 0 {
			o.Results = append(o.Results, Result{Tag: j.tag, Outcome: Unchanged, Answer: j.word})
			continue
		}
		s.runs[j.tag] = b
		for _, k := range j.Keys {
			s.busy[k] = true
		}
		if j.Mergeable {
			joining[strings.Join(j.Keys, "\n")] = b
		}
	}
	s.queue = rest
	s.withdraw(now, o)
}

func (j *job) blockedBy(keys map[string]bool) bool {
	return slices.ContainsFunc(j.Keys, func(k string) bool { return keys[k] })
}

// join makes a job's records over those that its batch is about to write.
func (s *Partition) join(b *batch, j *job) {
	recs, word := j.Build(func(key string) message.Record {
		for _, r := range b.recs {
			if r.Key == key {
				return r
			}
		}
		return s.read(key)
	})
	j.word, j.none = word, len(recs) == 0
	b.jobs = append(b.jobs, j)
	for _, r := range recs {
		if i := slices.IndexFunc(b.recs, func(x message.Record) bool { return x.Key == r.Key }); i >= 0 {
			b.recs[i] = r
		} else {
			b.recs = append(b.recs, r)
		}
	}
}

// withdraw stops granting the records of the batches that were begun.
func (s *Partition) withdraw(now time.Duration, o *Out) {
	for _, tag := range slices.Sorted(maps.Keys(s.runs)) {
		b := s.runs[tag]
		if b == nil || b.due != 0 {
			continue
		}
		b.due = len(b.recs)
		for _, r := range slices.Clone(b.recs) {
			s.fromNode(now, s.Node.Suspend(now, r.Key, tag), o)
		}
	}
}
