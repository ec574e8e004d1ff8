// Package membership maintains the table of the fleet's members. A daemon is a member while
// it has a valid session with a control daemon, and control daemons exchange their sessions.
// The package also distributes the leader of each partition, computes the static lease tree
// and forms the first group of a new fleet.
//
// A daemon opens or renews its session with a Hello; the Welcome returns the changes of the
// view or refers the daemon to control daemons (session.go). Control daemons exchange their
// sessions as Gossip (gossip.go) and build the view from all of them (currentview.go). Control
// daemons that disappear from the view are kept as lost for a limited time (lost.go). Until a
// group exists, seeds query each other with Census and CensusAnswer, and notify the replicas of
// the new group with Bootstrap (bootstrap.go). Other packages read a View (view.go), which
// includes the relay of each zone (relay.go). A ParentChooser selects the daemon's parent in the
// lease tree from the View (parent.go).
package membership

import (
	"slices"
	"time"

	"mulleinmast/wire/message"
)

// Config holds the session timing and fleet settings. Durations are positive and measured on
// the daemon's own clock; control/daemon derives them from the configured bound on a change.
type Config struct {
	// SessionTimeout is the time without a renewal after which a session expires. The default
	// is 0.6 of the bound on a change.
	SessionTimeout time.Duration
	// HeartbeatInterval is the time between two renewals or gossip rounds. The default is 0.1
	// of the bound on a change.
	HeartbeatInterval time.Duration
	// MinRelayMembers is the minimum number of members of a zone that gets a relay. The default
	// is 3.
	MinRelayMembers int
	// ToleratedLosses is the number of control daemons whose concurrent loss is tolerated, 0 to
	// 4. The first group has 2*ToleratedLosses+1 replicas. The default is 1.
	ToleratedLosses int
	// FirstStart is set if both the fleet and this daemon start for the first time, so that
	// a seed may form the first group. The default is true.
	FirstStart bool
	// FirstStartOnce is set if FirstStart is never set at a later start of a daemon. More than half of
	// the seeds then suffice for the first group, if they have disks, and a seed that comes back with an
	// empty disk may get a vote again. The default is false.
	FirstStartOnce bool
}

// Table is the membership state machine. It is not safe for concurrent use, but the Views that it
// publishes are.
type Table struct {
	cfg   Config
	self  message.Member // this daemon as of the last tick
	now   time.Duration  // time of the last step
	seeds []string       // addresses from the configuration

	learnedAddrs []string // addresses of control daemons from other sources, such as stored groups and referrals
	controls     sessionHost
	client       sessionClient
	gossip       gossipState
	view         currentView
	leaderships  map[int]message.Leadership // by partition: the one with the highest term
	lost         map[string]LostDaemon      // by address: control daemons that disappeared from the view
	bootstrap    bootstrap
	vote         firstVote

	lastHeartbeat time.Duration
	published     *View // latest snapshot, reused until something changes
}

// New returns the membership table of one daemon.
//
// Example: t := membership.New(cfg, self, seeds)
func New(cfg Config, self message.Member, seeds []string) *Table {
	t := &Table{
		cfg:         cfg,
		self:        self,
		seeds:       seeds,
		controls:    sessionHost{sessions: map[string]session{}},
		client:      newSessionClient(cfg, self.Addr),
		gossip:      gossipState{received: map[string]receivedGossip{}, acknowledged: map[string]uint64{}},
		leaderships: map[int]message.Leadership{},
		lost:        map[string]LostDaemon{},
	}
	if cfg.FirstStart && slices.Contains(seeds, self.Addr) {
		t.vote.Seeds = seeds
	}
	return t
}

// Out holds the actions that a step requests from the caller.
type Out struct {
	Sends     []message.Envelope
	SaveVote  bool               // the table's Vote must be written to disk
	VoteSends []message.Envelope // may be sent only once that is done
	Bootstrap []message.Replica  // replicas of the first group, including this daemon; nil: none
}

// send adds a message to an address to Sends.
func (o *Out) send(addr string, m message.Message) {
	o.Sends = append(o.Sends, message.Envelope{Addr: addr, Message: m})
}

// sendVote adds a message to an address to VoteSends.
func (o *Out) sendVote(addr string, m message.Message) {
	o.VoteSends = append(o.VoteSends, message.Envelope{Addr: addr, Message: m})
}

// SetSeeds sets the seeds that a changed configuration names. The earlier ones stay known as addresses.
//
// Example: t.SetSeeds([]string{"10.0.0.7:7000"})
func (t *Table) SetSeeds(seeds []string) {
	t.AddControlAddrs(t.seeds...)
	t.AddControlAddrs(seeds...)
	t.seeds = seeds
	if !t.bootstrap.namedByVoter {
		t.bootstrap.namedSeeds = nil
	}
}

// AddControlAddrs adds addresses of control daemons from sources other than the configuration.
// They are needed because all seeds may have been replaced since the configuration was written.
//
// Example: t.AddControlAddrs("10.0.0.7:7000")
func (t *Table) AddControlAddrs(addrs ...string) {
	for _, addr := range addrs {
		if !slices.Contains(t.learnedAddrs, addr) {
			t.learnedAddrs = append(t.learnedAddrs, addr)
		}
	}
}

// setSelf sets the current state of this daemon. A disk of which a group was known once doesn't count as empty.
func (t *Table) setSelf(self message.Member) {
	t.self = self
	t.self.Empty = self.Empty && !t.vote.Formed
}

// Tick advances the time: it sends heartbeats and gossip and expires sessions. self is the
// current state of this daemon; leaderships are those that this daemon holds or knows of.
//
// Example: out := t.Tick(now, self, leaderships)
func (t *Table) Tick(now time.Duration, self message.Member, leaderships []message.Leadership) (out Out) {
	t.setSelf(self)
	t.now = now
	t.pruneLost()
	t.learnLeaderships(leaderships)
	t.expireGossip(now)
	if self.HasDisk {
		t.client.hasSession = true
		t.expireSessions(now)
	} else {
		t.client.expire(now, t.cfg.SessionTimeout)
	}
	if now-t.lastHeartbeat < t.cfg.HeartbeatInterval {
		return out
	}
	t.lastHeartbeat = now
	if self.HasDisk {
		t.sendGossip(&out)
	} else {
		t.sendHellos(now, &out)
	}
	t.stepBootstrap(now, &out)
	return out
}

// Step handles a message; message kinds of other packages are ignored.
//
// Example: out := t.Step(now, m)
func (t *Table) Step(now time.Duration, m message.Message) (out Out) {
	t.now = now
	switch m.Kind {
	case message.KindHello:
		t.handleHello(now, m.AsHello(), &out)
	case message.KindWelcome:
		t.handleWelcome(now, m.Addr, m.AsWelcome(), &out)
	case message.KindGossip:
		t.handleGossip(now, m.AsGossip(), &out)
	case message.KindCensus:
		t.handleCensus(m.Addr, m.AsCensus(), &out)
	case message.KindCensusAnswer:
		t.handleCensusAnswer(m.Addr, m.AsCensusAnswer())
	case message.KindBootstrap:
		t.handleBootstrap(m.Addr, m.AsBootstrap(), &out)
	}
	return out
}
