package membership

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"mulleinmast/wire/message"
)

// answerValidRounds is the number of rounds for which a census answer remains valid.
const answerValidRounds = 3

// silentSeedTimeouts is how many session timeouts a seed may be silent before the others go on without it.
const silentSeedTimeouts = 2

// firstGroupNumber is the number of the first group of a fleet.
const firstGroupNumber = 1

// absentIdentPrefix begins the identity that stands in the first group for the daemon of a silent seed.
const absentIdentPrefix = "absent-"

// bootstrap is the state of forming the first group of a new fleet. The coordinator is the seed with the
// lowest address among the seeds that answer and have a vote; it may lack a disk. It collects votes while
// no seed knows of a group, and proposes one once the set of control daemons known to the seeds has not changed
// for a session timeout; firstvote.go says how the seeds vote. Once a quorum has accepted the group, its
// replicas are notified.
type bootstrap struct {
	round   uint64                          // current census round of this seed; no two incarnations use the same round
	answers map[string]message.CensusAnswer // latest answer by seed address; nil: no census yet

	disks       string        // identities of the control daemons known as of the last step
	disksSince  time.Duration // time of the last change of disks
	silent      string        // addresses of the seeds that did not answer as of the last step
	silentSince time.Duration // time of the last change of silent

	term     uint64        // of this seed's own proposal; 0: it proposes nothing
	proposal message.Group // proposed in term; Number 0: votes are collected
	obstacle string        // why this seed proposes no group; "": it does, or will in the next step

	namedSeeds      []string      // seeds of the first start that another seed has named; see learnFirstSeeds
	namedByVoter    bool          // that seed has a vote
	sawNoGroup      bool          // all seeds have answered this process once, and none could have missed a group
	regainable      bool          // nothing but the wait below speaks against a vote for this seed, which has none
	regainableSince time.Duration // since when

	announced bool // the replicas are being notified, until a leader is known
	formed    bool // this daemon announced the first group or became one of its replicas
}

// isStale reports whether an answer belongs to a round that is no longer valid.
func (b *bootstrap) isStale(answer message.CensusAnswer) bool {
	return answer.Round+answerValidRounds <= b.round
}

// abandon gives the current proposal up.
func (b *bootstrap) abandon(obstacle string) {
	b.term, b.proposal, b.obstacle = 0, message.Group{}, obstacle
}

// observe records the known control daemons and the silent seeds, and since when they are the same.
func (b *bootstrap) observe(now time.Duration, c census) {
	idents := make([]string, 0, len(c.disks))
	for _, m := range c.disks {
		idents = append(idents, m.Ident)
	}
	slices.Sort(idents)
	if disks := strings.Join(idents, " "); disks != b.disks {
		b.disks, b.disksSince = disks, now
	}
	if silent := strings.Join(c.silent, ", "); silent != b.silent {
		b.silent, b.silentSince = silent, now
	}
}

// isSeed reports whether an address belongs to a seed, of the current settings or of the first start.
func (t *Table) isSeed(addr string) bool {
	return slices.Contains(t.seeds, addr) || slices.Contains(t.firstSeeds(), addr)
}

// knowsNoGroup reports whether this daemon neither has a group nor knows of one.
func (t *Table) knowsNoGroup() bool {
	return !t.bootstrap.formed && len(t.leaderships) == 0 && (!t.self.HasDisk || t.self.Empty)
}

// WhyNoGroup returns what the first group of the fleet waits for, as far as this daemon knows, and ""
// if it knows of a group.
//
// Example: events.Warn("fleet", table.WhyNoGroup())
func (t *Table) WhyNoGroup() string {
	switch {
	case !t.knowsNoGroup():
		return ""
	case !t.isSeed(t.self.Addr):
		return "no group is known; only the seeds " + strings.Join(t.seeds, ", ") + " can form the first one"
	case !t.mayVote():
		return "no group is known, and this daemon was started with the statement that the fleet is formed"
	case t.bootstrap.obstacle == "":
		return "the first group is being formed"
	case !t.hasVote():
		return "the first group isn't formed, and this seed has no vote on it: " + t.bootstrap.obstacle
	}
	return "the first group isn't formed: " + t.bootstrap.obstacle
}

// stepBootstrap advances the bootstrap at a seed by one step.
func (t *Table) stepBootstrap(now time.Duration, out *Out) {
	b := &t.bootstrap
	switch {
	case len(t.leaderships) > 0:
		t.rememberGroup(out)
		return
	case !t.mayVote():
		return
	case b.announced:
		t.announceGroup(out)
		return
	case !t.knowsNoGroup():
		return
	}
	c := t.readCensus()
	b.observe(now, c)
	b.sawNoGroup = b.sawNoGroup || c.obstacle == "" && c.isRemembered(t.cfg.ToleratedLosses)
	if !t.hasVote() {
		t.tryRegainVote(now, c)
	} else if obstacle := t.obstacleTo(c); obstacle != "" {
		b.abandon(obstacle)
	} else if t.agreeOnGroup(now, c) {
		b.announced, b.formed = true, true
		t.announceGroup(out)
		if b.proposal.Has(t.self.Ident) {
			out.Bootstrap = b.proposal.Replicas
		}
		return
	}
	t.sendCensus(out)
	out.SaveVote = t.mustSaveVote()
}

// rememberGroup notes on disk that the fleet has a group, so that this daemon never again helps to form a first one.
func (t *Table) rememberGroup(out *Out) {
	if t.self.HasDisk {
		t.vote.Formed = true
		out.SaveVote = t.mustSaveVote()
	}
}

// sendCensus sends a census to the other seeds in a new round.
func (t *Table) sendCensus(out *Out) {
	b := &t.bootstrap
	b.round++
	if b.answers == nil {
		b.answers = map[string]message.CensusAnswer{}
		b.round = rendezvousWeight(int(t.self.Epoch), t.self.Ident) >> 1
	}
	census := message.Census{
		Round: b.round, Self: t.self, Term: b.term, Group: b.proposal, Seeds: t.vote.Seeds,
	}
	for _, addr := range t.firstSeeds() {
		if addr != t.self.Addr {
			out.sendVote(addr, census.Message())
		}
	}
}

// announceGroup notifies the replicas of the first group.
func (t *Table) announceGroup(out *Out) {
	group := t.bootstrap.proposal
	for _, replica := range group.Replicas {
		if replica.Ident != t.self.Ident {
			m := message.Bootstrap{Group: group}.Message()
			m.To = replica.Ident
			out.send(replica.Addr, m)
		}
	}
}

// obstacleTo returns why this seed can't collect votes now, or "" if it can.
func (t *Table) obstacleTo(c census) string {
	switch {
	case c.obstacle != "":
		return c.obstacle
	case c.coordinator != t.self.Addr:
		return "it is up to the seed " + c.coordinator
	case len(c.silent) > 0 && !(c.majoritySuffices && c.durableVoters() >= c.majority()):
		return "no answer from the seeds " + t.bootstrap.silent
	}
	return ""
}

// reasonToWait returns why this seed doesn't choose the replicas of the first group yet, or "" if it does.
func (t *Table) reasonToWait(now time.Duration, c census) string {
	b := &t.bootstrap
	switch {
	case len(c.silent) > 0 && now-b.silentSince < silentSeedTimeouts*t.cfg.SessionTimeout:
		return "no answer from the seeds " + b.silent + ", which may still come"
	case now-b.disksSince < t.cfg.SessionTimeout:
		return "the known daemons with a data folder have just changed"
	case t.chooseReplicas(c) == nil:
		return fmt.Sprintf("%d daemons with a data folder are known, %d are needed", len(c.disks), t.firstGroupSize())
	}
	return ""
}

// agreeOnGroup advances this seed's proposal and reports whether a quorum has accepted it.
func (t *Table) agreeOnGroup(now time.Duration, c census) bool {
	b := &t.bootstrap
	switch {
	case b.term == 0 || c.highestTerm() > b.term:
		b.term, b.proposal, b.obstacle = t.nextTerm(max(c.highestTerm(), t.vote.Voted)), message.Group{}, ""
		t.vote.voteFor(b.term)
	case b.proposal.Number > 0:
		return c.isQuorum(func(v message.FirstGroupVote) bool { return v.Accepted == b.term })
	case c.isQuorum(func(v message.FirstGroupVote) bool { return v.Voted == b.term }):
		t.propose(now, c)
	default:
		b.obstacle = "too few seeds have voted for this one's proposal"
	}
	return false
}

// propose proposes the group that was accepted in the latest term, or else one of this seed's choice, once
// nothing speaks for waiting.
func (t *Table) propose(now time.Duration, c census) {
	b := &t.bootstrap
	_, group := c.latestAccepted()
	if group.Number == 0 {
		if b.obstacle = t.reasonToWait(now, c); b.obstacle != "" {
			return
		}
		group = message.Group{Number: firstGroupNumber, Replicas: t.chooseReplicas(c)}
	}
	b.proposal, b.obstacle = group, ""
	t.vote.accept(b.term, group)
}

// firstGroupSize returns the number of replicas of the first group.
func (t *Table) firstGroupSize() int { return 2*t.cfg.ToleratedLosses + 1 }

// chooseReplicas returns the replicas of the first group, or nil while too few control daemons are known.
// Where the others suffice for a majority, a silent seed stands for a daemon that isn't known, and is replaced
// as any lost replica is.
func (t *Table) chooseReplicas(c census) []message.Replica {
	size := t.firstGroupSize()
	replicas := Spread(c.controls(), t.vote.Seeds, size)
	if len(replicas) <= t.cfg.ToleratedLosses {
		return nil
	}
	for _, addr := range c.silent {
		if _, known := c.disks[addr]; !known && len(replicas) < size {
			replicas = append(replicas, message.Replica{Ident: absentIdentPrefix + addr, Addr: addr})
		}
	}
	if len(replicas) < size {
		return nil
	}
	slices.SortFunc(replicas, func(a, b message.Replica) int { return strings.Compare(a.Addr, b.Addr) })
	return replicas
}

// handleCensus answers a census. If it contains a term, this seed first votes on it.
func (t *Table) handleCensus(from string, m message.Census, out *Out) {
	t.learnFirstSeeds(m.Seeds, len(m.Seeds) > 0) // only a seed with a vote names seeds in its census
	answer := message.CensusAnswer{
		Round: m.Round, Self: t.self, ControlDaemons: t.controlDaemons(), HasVote: t.hasVote(), UsesTerms: t.hasVote(),
		Seeds: t.firstSeeds(),
	}
	answer.Self.Empty = t.knowsNoGroup() && !t.controls.knowGroup()
	if t.hasVote() {
		if answer.Self.Empty && slices.Contains(t.vote.Seeds, from) {
			t.voteOn(m.Term, m.Group)
		}
		answer.Voted, answer.Accepted, answer.Group = t.vote.Voted, t.vote.Accepted, t.vote.Group
	}
	out.sendVote(from, answer.Message())
	out.SaveVote = t.mustSaveVote()
}

// voteOn votes for another seed's term, or accepts the group that it proposes.
func (t *Table) voteOn(term uint64, proposed message.Group) {
	switch {
	case term == 0:
	case proposed.Number == 0:
		t.vote.voteFor(term)
	default:
		t.vote.accept(term, proposed)
	}
}

// handleCensusAnswer stores a seed's answer to a recent round.
func (t *Table) handleCensusAnswer(from string, m message.CensusAnswer) {
	b := &t.bootstrap
	if b.answers != nil && m.Round <= b.round && !b.isStale(m) && slices.Contains(t.firstSeeds(), from) {
		b.answers[from] = m
		t.learnFirstSeeds(m.Seeds, m.HasVote)
	}
}

// handleBootstrap makes this daemon a replica of the first group if the message names it.
func (t *Table) handleBootstrap(from string, m message.Bootstrap, out *Out) {
	if t.self.HasDisk && t.knowsNoGroup() && len(m.Group.Replicas) > 0 && m.Group.Has(t.self.Ident) && t.isSeed(from) {
		out.Bootstrap, t.bootstrap.formed = m.Group.Replicas, true
	}
}
