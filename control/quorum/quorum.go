// Package quorum is one partition's replica on a control daemon: it votes, stands for
// the leadership when that falls vacant, and as leader commits writes to a
// majority. It is a plain state machine: inputs in, messages and saves out.
//
// There is no log. A replica's state is a set of versioned records and the last
// complete term: the one under which all of them were last made equal to a
// leader's. A candidate reads a majority, takes the records of the highest
// complete term, merges them by version, and fills every replica with the result
// under its own term before it serves.
package quorum

import (
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/wire/message"
)

// Config holds the bounds a replica works by.
type Config struct {
	LeaderLease       time.Duration // length of a leader lease
	Drift             float64       // most by which one clock runs faster than another
	Margin            time.Duration // added to every wait on another's clock
	HeartbeatInterval time.Duration // renew and resend interval
	LostAfter         time.Duration // a replica that is silent for so long counts as gone where a standby is at hand
}

// Wait is how long a granter waits out a lease of the given length.
//
// Example: c.Wait(time.Second) > time.Second
func (c Config) Wait(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.Drift) + c.Margin
}

// Save is something to be synced to disk; the replica hears Saved(Ticket) when it is.
type Save struct {
	Ticket     uint64
	Partition  int
	Meta       Meta
	WipeRanges []int // ranges whose other records are to be deleted
	Records    []message.Record
	Delete     []string // records below the floor; after Recs
	Sum        uint64   // of the whole state, this included; 0: not told
}

// FloorKey is the record that says up to which version the records under
// FloorPrefix are no longer kept. Every replica drops them on its own; one that comes
// back from a replica that was late is dropped again.
const (
	FloorKey    = "floor/once"
	FloorPrefix = "once/"
)

// Meta is a replica's durable state beside its records.
type Meta struct {
	VotedTerm     uint64        `json:"Promised"`
	VotedFor      string        `json:"To"`
	VotedForEpoch uint64        `json:"ToEpoch"` // the incarnation of VotedFor that was voted for
	CandidateTerm uint64        `json:"Tried"`   // highest term this replica ever stood with: none is used twice
	LastComplete  uint64        `json:"Set"`     // the key on disk is that of older builds
	Group         message.Group `json:"Group"`
	Incomplete    bool          `json:"Short,omitempty"` // the disk lost some of the records: no vote before they are filled

	State   message.SavePoint         `json:"State,omitzero"`    // the stamp of this state
	History []message.SavePoint       `json:"History,omitempty"` // the last of each earlier incarnation, the latest at the end
	Peers   []message.PeerIncarnation `json:"Peers,omitempty"`   // what is known of the other replicas
}

// Outcome is what became of a write.
type Outcome uint8

// The fates of a write.
const (
	Committed Outcome = iota + 1
	Uncertain         // may or may not be found by the next leader
)

// WriteResult tells the fate of the write with this tag.
type WriteResult struct {
	Tag     uint64
	Outcome Outcome
}

// Out is what a step asks for.
type Out struct {
	Sends   []message.Envelope
	Saves   []Save
	Results []WriteResult
	Won     bool // became leader
	Lost    bool // is no longer leader
	// Superseded says why this replica has no voice from now on, if it just lost it.
	Superseded string
}

func (o *Out) send(to message.Replica, n message.Message) {
	n.To = to.Ident
	o.Sends = append(o.Sends, message.Envelope{Addr: to.Addr, Message: n})
}

type mode uint8

const (
	idle    mode = iota
	probing      // asking, without a promise, whether a term could be won
	asking
	filling
	owning
)

type vote struct {
	lastComplete uint64
	digs         []uint64
	recs         []message.Record
}

type write struct {
	tag  uint64
	recs []message.Record
	acks map[string]bool
	sent time.Duration
}

// Replica is the state machine.
type Replica struct {
	cfg       Config
	partition int
	me        message.Replica

	meta    Meta
	records *digest.Records

	born    time.Duration
	support string
	till    time.Duration     // until when we support nobody else
	quiet   time.Duration     // until when leases under an earlier leader may stand
	lives   map[string]uint64 // the latest life of each replica that was heard
	calm    time.Duration     // as leader: nothing is written before this
	hint    message.Leadership
	backed  time.Duration // when we last supported it
	before  Meta          // what our vote was bound to before its last promise
	undo    uint64        // the term of that promise; none since the start

	tick      uint64
	bound     uint64                        // the ticket with which our present vote is on disk
	after     map[uint64][]message.Envelope // sends held until the ticket is synced
	mode      mode
	num       uint64
	high      uint64
	askAt     time.Duration
	next      time.Duration
	votes     map[string]vote
	probed    map[string]bool
	stuck     map[string]time.Duration // voters bound to another term, and since when
	filled    map[string]bool
	fillAt    map[string]time.Duration
	learn     []message.Replica        // as leader: standbys that are sent a copy and have no vote
	heard     map[string]time.Duration // as leader: when a replica or standby last replied
	ending    map[string]time.Duration // as leader: since when those that were told to end are known as such
	whole     map[string]bool          // as leader: newcomers of this step that hold the whole state
	step      uint64                   // as leader: the write that commits the present group
	stepRound uint64                   // as leader: the last renewal before that group was made
	leased    bool                     // as leader: a later renewal had the group's majority, or both
	seenAt    map[string]time.Duration // when a replica's copy was last compared
	lease     time.Duration
	wonAt     time.Duration
	round     uint64
	rounds    map[uint64]time.Duration
	yes       map[uint64]map[string]bool
	beatAt    time.Duration
	seq       uint64
	writes    map[uint64]*write
	few       map[uint64]*write  // taken by a majority, and not yet by all
	behind    map[string]*behind // replicas that missed writes
	unsynced
	guard
	quit bool

	Repairs int // times that a replica's copy was found to differ and sent ours
}

// New makes a replica from what the disk held; a replica waits one full lease after
// its start before it promises anything. Without a folder it neither tells of
// incarnations nor judges them.
//
// Example: s := quorum.New(cfg, 0, me, folder, meta, records, now, false)
func New(cfg Config, partition int, me message.Replica, folder *Folder, meta Meta, records *digest.Records, now time.Duration, fresh bool) *Replica {
	s := &Replica{
		cfg: cfg, partition: partition, me: me, meta: meta, records: records, born: now, after: map[uint64][]message.Envelope{}, lives: map[string]uint64{},
		rounds: map[uint64]time.Duration{}, yes: map[uint64]map[string]bool{}, writes: map[uint64]*write{}, few: map[uint64]*write{},
	}
	s.guard = guard{folder: folder, admitted: map[string]bool{}}
	s.now = now
	s.till = now + cfg.Wait(cfg.LeaderLease)
	if fresh {
		s.till = now
	}
	s.quiet = s.till
	s.next = now + s.delay()
	if !fresh && meta.VotedFor == me.Ident && meta.VotedForEpoch > 0 {
		s.lives[me.Ident] = meta.VotedForEpoch + 1 // that was an earlier life of ours
	}
	return s
}

// over tells whether the leader that this replica is bound to is known to be gone:
// its daemon has started anew since, and a new life holds no leadership.
func (s *Replica) over() bool {
	return s.meta.VotedForEpoch > 0 && s.lives[s.meta.VotedFor] > s.meta.VotedForEpoch
}

// free tells whether this replica may promise itself to another now: the lease of
// the leader that it supported has lapsed, or that leader is gone. In the second
// case leases that were granted under it may still stand, so the next leader is
// told how long to write nothing.
func (s *Replica) free(now time.Duration) bool { return now >= s.till || s.over() }

// live records the life of a daemon that a message came from.
func (s *Replica) live(now time.Duration, n message.Message) {
	if n.Epoch <= s.lives[n.From] {
		return
	}
	was := s.over()
	s.lives[n.From] = n.Epoch
	if s.over() && !was && s.mode == idle {
		s.quiet = max(s.quiet, s.till)
		s.next = now + s.delay()
	}
}

// WritesFrom is when a leader may begin to write: leases that stood under an earlier
// one whose daemon is gone have lapsed by then.
//
// Example: if now >= s.WritesFrom() { write() }
func (s *Replica) WritesFrom() time.Duration { return s.calm }

// Leader tells whether the leadership is held and its lease valid now.
//
// Example: if s.Leader(now) { grant() }
func (s *Replica) Leader(now time.Duration) bool { return s.mode == owning && now < s.lease }

// Term is the term under which this replica is leader or candidate.
//
// Example: mark.Term = s.Term()
func (s *Replica) Term() uint64 { return s.num }

// LeaseEnd is when the leader lease ends.
//
// Example: left := s.LeaseEnd() - now
func (s *Replica) LeaseEnd() time.Duration { return s.lease }

// LeaderSince is when this replica knew that no older leader could act.
//
// Example: if now-s.LeaderSince() < swap { holdOrders() }
func (s *Replica) LeaderSince() time.Duration { return s.wonAt }

// KnownLeader is the leader that this replica last supported.
//
// Example: own := s.KnownLeader()
func (s *Replica) KnownLeader() message.Leadership { return s.hint }

// Group is the partition's voters as this replica knows them.
//
// Example: if s.Group().Number == 0 { standby() }
func (s *Replica) Group() message.Group { return s.meta.Group }

// Records is the replica's records; read it only while the replica is leader.
//
// Example: rec, ok := s.Records().Get(key)
func (s *Replica) Records() *digest.Records { return s.records }

// Meta is the durable state beside the records.
//
// Example: s.Meta().LastComplete
func (s *Replica) Meta() Meta { return s.meta }

// Step takes a message from another replica (or from itself).
//
// Example: out := s.Step(now, message)
func (s *Replica) Step(now time.Duration, n message.Message) (o Out) {
	from := message.Replica{Ident: n.From, Addr: n.Addr}
	s.now = now
	defer func() { s.sign(&o) }()
	if !s.counts(now, n, &o) || !s.audible(n) || n.Epoch < s.lives[n.From] { // what an earlier life sent is nobody's
		return o
	}
	s.live(now, n)
	s.replied(now, n)
	switch n.Kind {
	case message.KindRequestVote:
		s.asked(now, from, n, &o)
	case message.KindGrantVote:
		s.promise(now, n, &o)
	case message.KindRejectVote:
		s.refuseBy(now, n, &o)
	case message.KindInstallState:
		s.fill(from, n, &o)
	case message.KindStateInstalled:
		if s.standing(n.Term) && n.Op == compare {
			if s.meta.Group.Has(n.From) {
				s.reported(n, &o)
			}
			s.caughtUp(n)
		} else if s.standing(n.Term) && n.Op == wholeCopy {
			s.holdsAll(n)
		} else if s.standing(n.Term) {
			s.filled[n.From] = true
			s.settle(now, &o)
		}
	case message.KindStateMismatch:
		if s.standing(n.Term) && n.Op == compare {
			s.mend(from, n.Digests, &o)
		} else if s.standing(n.Term) && n.Op == wholeCopy {
			s.complete(from, n, &o)
		} else if s.standing(n.Term) {
			delete(s.filled, n.From)
			s.sendFill(now, from, n.Digests, &o)
		}
	case message.KindReplicate:
		s.accept(now, from, n, &o)
	case message.KindReplicated:
		s.accepted(now, n, &o)
	case message.KindHeartbeat:
		if s.meta.VotedTerm == n.Term && s.meta.VotedFor == n.From {
			s.support, s.till = n.From, max(s.till, now+s.cfg.Wait(s.cfg.LeaderLease))
			s.hint, s.backed = message.Leadership{Partition: s.partition, Term: n.Term, Leader: from}, now
			rep := message.Message{Kind: message.KindHeartbeatAck, Partition: s.partition, Term: n.Term, ResponseTo: n.RequestID}
			if s.quit {
				rep.Op = parting
			}
			s.uphold(from, rep, &o)
			if s.meta.Incomplete { // the leader may take this for a whole copy
				o.send(from, message.Message{Kind: message.KindStateMismatch, Partition: s.partition, Term: n.Term, Digests: s.records.Digests()})
			}
		} else {
			s.refuse(now, from, n, &o)
		}
	case message.KindAbandonTerm:
		// Nobody can ever be leader under a term that its candidate gave up, so
		// the vote need not stay bound to it. A later life of that candidate may
		// have asked for it again.
		if s.meta.VotedTerm == n.Term && s.meta.VotedFor == n.From && s.meta.VotedForEpoch == n.Epoch && s.undo == n.Term {
			s.meta.VotedTerm, s.meta.VotedFor, s.meta.VotedForEpoch = s.before.VotedTerm, s.before.VotedFor, s.before.VotedForEpoch
			s.save(&o, nil, nil)
			s.bound = s.tick
		}
	case message.KindHeartbeatAck:
		s.supported(now, n)
	}
	return o
}
