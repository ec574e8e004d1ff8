// Package partition is one part of the state on one daemon: its place in the
// lease tree, its replica in the group if the daemon has a disk, and the writes
// that join the two. A write goes: stop granting, invalidate down the tree, commit to a
// majority, grant again and answer. Messages a partition sends to itself never
// leave it.
package partition

import (
	"maps"
	"slices"
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/control/lease"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// Outcome is what became of a job.
type Outcome uint8

// The fates of a job.
const (
	Done      Outcome = iota + 1 // invalidated, committed and in force
	Unchanged                    // Build gave no records
	Uncertain                    // may or may not be in force
	NotLeader                    // nothing was done
)

// String names a fate.
//
// Example: partition.Done.String() == "done"
func (f Outcome) String() string {
	return [...]string{"none", "done", "unchanged", "uncertain", "not leader"}[f]
}

// Result is a job's fate.
type Result struct {
	Tag     uint64
	Outcome Outcome
	Answer  any
}

// Out is what a step asks for.
type Out struct {
	Sends     []message.Envelope
	Saves     []quorum.Save
	Results   []Result
	Readable  []string
	Withdrawn []string
	Won       bool
	Lost      bool
	Orphaned  bool
	Redirect  message.Replica
	// Superseded says why this daemon's copy has no voice any more, if it lost it.
	Superseded string
}

// Partition is the state machine.
type Partition struct {
	partition int
	me        message.Replica
	epoch     uint64
	Replica   *quorum.Replica // nil on a daemon without a disk
	Node      *lease.Node
	// WritesFrom is when a leader may begin to write: the replica's unless a proof says
	// otherwise.
	WritesFrom func() time.Duration

	queue []*job
	busy  map[string]bool
	runs  map[uint64]*batch // by the tag of the first job
}

// New joins a replica (or nil) and a node.
//
// Example: s := partition.New(0, me, epoch, replica, node)
func New(partition int, me message.Replica, epoch uint64, replica *quorum.Replica, node *lease.Node) *Partition {
	s := &Partition{partition: partition, me: me, epoch: epoch, Replica: replica, Node: node, busy: map[string]bool{}, runs: map[uint64]*batch{}}
	if replica != nil {
		s.WritesFrom = replica.WritesFrom
	}
	return s
}

// Leader tells whether this daemon holds the partition's leadership now.
//
// Example: if !s.Leader(now) { passOn() }
func (s *Partition) Leader(now time.Duration) bool { return s.Replica != nil && s.Replica.Leader(now) }

func (s *Partition) read(key string) message.Record {
	if r, ok := s.Replica.Records().Get(key); ok {
		return r
	}
	return message.Record{Key: key, Deleted: true}
}

// Step takes a message.
//
// Example: out := s.Step(now, message)
func (s *Partition) Step(now time.Duration, n message.Message) (o Out) {
	s.hear(now, n, &o)
	s.turn(now, &o)
	return o
}

func (s *Partition) hear(now time.Duration, n message.Message, o *Out) {
	if n.Kind >= message.KindRequestVote && n.Kind <= message.KindHeartbeatAck || n.Kind == message.KindIncarnation {
		if s.Replica != nil {
			s.fromReplica(now, s.Replica.Step(now, n), o)
		}
		return
	}
	s.fromNode(now, s.Node.Step(now, n), o)
}

// Saved tells that a save is on disk.
//
// Example: out := s.Saved(now, ticket)
func (s *Partition) Saved(now time.Duration, ticket uint64) (o Out) {
	s.fromReplica(now, s.Replica.Saved(ticket), &o)
	s.turn(now, &o)
	return o
}

// Tick lets time pass.
//
// Example: out := s.Tick(now)
func (s *Partition) Tick(now time.Duration) (o Out) {
	if s.Replica != nil {
		s.fromReplica(now, s.Replica.Tick(now), &o)
	}
	s.fromNode(now, s.Node.Tick(now), &o)
	s.turn(now, &o)
	return o
}

// Bootstrap makes the first group.
//
// Example: out := s.Bootstrap(now, group)
func (s *Partition) Bootstrap(now time.Duration, g message.Group) (o Out) {
	s.fromReplica(now, s.Replica.Bootstrap(now, g), &o)
	s.turn(now, &o)
	return o
}

// SetLearners names the standbys of the partition, if we own it.
//
// Example: out := s.SetLearners(now, standbys)
func (s *Partition) SetLearners(now time.Duration, list []message.Replica) (o Out) {
	s.fromReplica(now, s.Replica.SetLearners(now, list), &o)
	s.turn(now, &o)
	return o
}

// ReplaceReplica begins to put a standby in a replica's place, if we own the partition.
//
// Example: out := s.ReplaceReplica(now, "c", standby)
func (s *Partition) ReplaceReplica(now time.Duration, out string, in message.Replica) (o Out) {
	if s.Leader(now) && now >= s.WritesFrom() {
		step, _ := s.Replica.ReplaceReplica(now, 0, out, in)
		s.fromReplica(now, step, &o)
		s.turn(now, &o)
	}
	return o
}

// ContinueChange goes on with a change of the group, if we own the partition.
//
// Example: out := s.ContinueChange(now)
func (s *Partition) ContinueChange(now time.Duration) (o Out) {
	if s.Leader(now) && now >= s.WritesFrom() {
		s.fromReplica(now, s.Replica.ContinueChange(now, 0), &o)
		s.turn(now, &o)
	}
	return o
}

// Supersede takes this daemon's copy its voice: its identity is another's by now.
//
// Example: out := s.Supersede(now, why)
func (s *Partition) Supersede(now time.Duration, why string) (o Out) {
	if s.Replica != nil {
		s.fromReplica(now, s.Replica.Supersede(why), &o)
		s.turn(now, &o)
	}
	return o
}

// Submit queues a write; its Result carries the tag (which must not be zero).
//
// Example: out := s.Submit(now, 17, job)
func (s *Partition) Submit(now time.Duration, tag uint64, j Job) (o Out) {
	if !s.Leader(now) {
		o.Results = append(o.Results, Result{Tag: tag, Outcome: NotLeader})
		return o
	}
	s.queue = append(s.queue, &job{Job: j, tag: tag})
	s.turn(now, &o)
	return o
}

// SetParent sets the node's parent.
//
// Example: out := s.SetParent(now, replica)
func (s *Partition) SetParent(now time.Duration, p message.Replica) (o Out) {
	s.fromNode(now, s.Node.SetParent(now, p), &o)
	return o
}

// Pin keeps a record wanted here.
//
// Example: out := s.Pin(now, "plan/now")
func (s *Partition) Pin(now time.Duration, key string) (o Out) {
	s.fromNode(now, s.Node.Pin(now, key), &o)
	s.turn(now, &o)
	return o
}

// turn starts the jobs whose keys are free and delivers messages to ourselves.
func (s *Partition) turn(now time.Duration, o *Out) {
	for {
		s.start(now, o)
		var self []message.Message
		rest := o.Sends[:0]
		for _, m := range o.Sends {
			m.Message.From, m.Message.Epoch, m.Message.Addr = s.me.Ident, s.epoch, s.me.Addr
			if m.Message.To == s.me.Ident {
				self = append(self, m.Message)
			} else {
				rest = append(rest, m)
			}
		}
		o.Sends = rest
		if len(self) == 0 {
			return
		}
		for _, n := range self {
			s.hear(now, n, o)
		}
	}
}

func (s *Partition) fromNode(now time.Duration, p lease.Out, o *Out) {
	o.Sends = append(o.Sends, p.Sends...)
	o.Readable = append(o.Readable, p.Readable...)
	o.Withdrawn = append(o.Withdrawn, p.Withdrawn...)
	o.Orphaned = o.Orphaned || p.Orphaned
	if p.Redirect.Ident != "" {
		o.Redirect = p.Redirect
	}
	for _, tag := range p.Invalidated {
		b := s.runs[tag]
		if b == nil {
			continue
		}
		if b.due--; b.due > 0 {
			continue
		}
		b.due = written
		if !s.Leader(now) { // nothing was committed
			delete(s.runs, tag)
			o.Results = append(o.Results, b.results(NotLeader)...)
			continue
		}
		out, recs := s.Replica.Write(now, tag, b.recs)
		b.recs = recs
		s.fromReplica(now, out, o)
	}
}

func (s *Partition) fromReplica(now time.Duration, n quorum.Out, o *Out) {
	o.Sends = append(o.Sends, n.Sends...)
	o.Saves = append(o.Saves, n.Saves...)
	if n.Superseded != "" {
		o.Superseded = n.Superseded
	}
	for _, d := range n.Results {
		b := s.runs[d.Tag]
		if b == nil {
			continue
		}
		delete(s.runs, d.Tag)
		fate := Uncertain
		if d.Outcome == quorum.Committed {
			fate = Done
			for _, k := range b.jobs[0].Keys {
				delete(s.busy, k)
			}
			for _, r := range b.recs {
				s.fromNode(now, s.Node.Resume(now, r.Key), o)
			}
		}
		o.Results = append(o.Results, b.results(fate)...)
	}
	if n.Lost {
		s.handleLeadershipLost(o)
	}
	if n.Won {
		o.Won = true
		s.Node.BecomeRoot(s.Replica.Term(), s.read, s.Replica.LeaseEnd)
	}
}

func (s *Partition) handleLeadershipLost(o *Out) {
	o.Lost = true
	s.Node.ResignRoot()
	for _, j := range s.queue {
		o.Results = append(o.Results, Result{Tag: j.tag, Outcome: NotLeader})
	}
	for _, tag := range slices.Sorted(maps.Keys(s.runs)) { // invalidating, not yet committed
		o.Results = append(o.Results, s.runs[tag].results(NotLeader)...)
	}
	s.queue, s.busy, s.runs = nil, map[string]bool{}, map[uint64]*batch{}
}

// Digests is the digest of every range of this replica's records.
//
// Example: digest.DifferingRanges(a.Digests(), b.Digests())
func (s *Partition) Digests() []uint64 {
	if s.Replica == nil {
		return make([]uint64, digest.Ranges)
	}
	return s.Replica.Records().Digests()
}
