package membership

import (
	"slices"
	"strings"
	"time"

	"mulleinmast/wire/message"
)

// answerRounds is the number of rounds after which a census answer no longer counts.
const answerRounds = 3

// firstGroupNumber is the number of a fleet's first group.
const firstGroupNumber = 1

// bootstrap is how a new fleet gets its first group. The founder is the lowest
// seed that is still in its first incarnation; it may lack a disk. When every seed
// answers, nobody knows of a group and the disks known to the seeds have been
// the same for a session, it proposes replicas. A seed binds itself to the first
// proposal it hears of, for its incarnation; once all are bound, the replicas are
// informed. So a founder that comes after one that failed can only go on with the same
// replicas.
type bootstrap struct {
	round   uint64                          // of our census; no two incarnations share one
	answers map[string]message.CensusAnswer // by the seed's address: the latest; nil: no census yet

	disks      string        // identities of the control daemons that were seen last
	disksSince time.Duration // since when these are the same

	bound       []message.Replica // that this seed is bound to; nil: none
	ownProposal bool              // bound is our own proposal
	proposed    bool              // our census proposes bound
	announced   bool              // the replicas are informed, until a leader is known

	formed bool // we have a group, or know that the fleet has one
}

// isStale tells whether an answer is of too early a round.
func (b *bootstrap) isStale(answer message.CensusAnswer) bool {
	return answer.Round+answerRounds <= b.round
}

// boundGroup is the group that this seed is bound to.
func (b *bootstrap) boundGroup() message.Group {
	return message.Group{Number: firstGroupNumber, Replicas: b.bound}
}

// adopt binds the founder to what an earlier founder proposed, unless it is bound so
// already.
func (b *bootstrap) adopt(g message.Group) {
	if g.Number > 0 && (b.bound == nil || b.ownProposal) {
		b.bound, b.ownProposal = g.Replicas, false
	}
}

// noteDisks takes the control daemons that are known now; it tells whether they are
// others than before.
func (b *bootstrap) noteDisks(now time.Duration, disks map[string]message.Member) (changed bool) {
	idents := make([]string, 0, len(disks))
	for _, m := range disks {
		idents = append(idents, m.Ident)
	}
	slices.Sort(idents)
	joined := strings.Join(idents, " ")
	if joined == b.disks {
		return false
	}
	b.disks, b.disksSince, b.proposed = joined, now, false
	return true
}

// isSeed tells whether an address is that of a seed.
func (t *Table) isSeed(addr string) bool { return slices.Contains(t.seeds, addr) }

// knowsNoGroup tells whether this daemon knows of no group, of its own or another's.
func (t *Table) knowsNoGroup() bool {
	return !t.bootstrap.formed && len(t.leaderships) == 0 && (!t.self.HasDisk || t.self.Empty)
}

// stepBootstrap takes a seed one step further towards the first group.
func (t *Table) stepBootstrap(now time.Duration, out *Out) {
	b := &t.bootstrap
	if len(t.leaderships) > 0 || !t.isSeed(t.self.Addr) || !t.cfg.FirstStart {
		return
	}
	if b.announced {
		t.announceGroup(out)
		return
	}
	if !t.knowsNoGroup() {
		return
	}
	if !t.isGroupAgreed(now) {
		t.sendCensus(out)
		return
	}
	b.announced, b.formed = true, true
	t.announceGroup(out)
	if b.boundGroup().Has(t.self.Ident) {
		out.Bootstrap = b.bound
	}
}

// sendCensus asks the other seeds, in a new round.
func (t *Table) sendCensus(out *Out) {
	b := &t.bootstrap
	b.round++
	if b.answers == nil {
		b.answers = map[string]message.CensusAnswer{}
		b.round = rendezvousWeight(int(t.self.Epoch), t.self.Ident) >> 1
	}
	census := message.Census{Round: b.round, Self: t.self}
	if b.proposed {
		census.Group = b.boundGroup()
	}
	for _, addr := range t.seeds {
		if addr != t.self.Addr {
			out.send(addr, census.Message())
		}
	}
}

// announceGroup informs the replicas of the first group.
func (t *Table) announceGroup(out *Out) {
	for _, replica := range t.bootstrap.bound {
		if replica.Ident != t.self.Ident {
			m := message.Bootstrap{Group: t.bootstrap.boundGroup()}.Message()
			m.To = replica.Ident
			out.send(replica.Addr, m)
		}
	}
}

// isGroupAgreed looks at the answers to the last round: it proposes replicas when the
// time has come, and tells whether every seed is bound to them. A seed that has
// restarted is bound by nothing: it can be no founder.
func (t *Table) isGroupAgreed(now time.Duration) bool {
	b, c := &t.bootstrap, t.readCensus()
	if !c.calm {
		b.disks, b.proposed = "", false
		return false
	}
	if b.noteDisks(now, c.disks) || now-b.disksSince < t.cfg.SessionTimeout {
		return false
	}
	if b.bound == nil {
		needed := 2*t.cfg.ToleratedLosses + 1
		if len(c.disks) < needed {
			return false
		}
		b.bound, b.ownProposal = Spread(c.controls(), t.seeds, needed), true
	}
	b.proposed = true
	return c.allBound
}

// census is what the seeds' answers say together.
type census struct {
	calm     bool                      // every other seed answered, none may be the founder, nobody knows of a group
	allBound bool                      // every seed in its first incarnation is bound to what this one is
	disks    map[string]message.Member // by address: control daemons that any seed knows
}

// add takes the control daemons that one seed knows. Two incarnations at one address,
// or a disk that isn't empty, are no calm.
func (c *census) add(controls []message.Member) {
	for _, m := range controls {
		known, ok := c.disks[m.Addr]
		if ok && (known.Ident != m.Ident || known.Epoch != m.Epoch) || !m.Empty {
			c.calm = false
		}
		c.disks[m.Addr] = m
	}
}

// controls lists the control daemons, in no order.
func (c *census) controls() []message.Member {
	list := make([]message.Member, 0, len(c.disks))
	for _, m := range c.disks {
		list = append(list, m)
	}
	return list
}

// readCensus reads the seeds' latest answers, and adopts what an earlier founder
// proposed.
func (t *Table) readCensus() census {
	b := &t.bootstrap
	c := census{calm: true, allBound: true, disks: map[string]message.Member{}}
	c.add(t.controlDaemons())
	for _, addr := range t.seeds {
		if addr == t.self.Addr {
			continue
		}
		answer, ok := b.answers[addr]
		mayBeFounder := answer.FirstStart && addr < t.self.Addr
		if !ok || b.isStale(answer) || !answer.Self.Empty || mayBeFounder {
			c.calm = false
			continue
		}
		c.add(answer.Controls)
		if answer.FirstStart && !slices.Equal(answer.Group.Replicas, b.bound) {
			c.allBound = false
			b.adopt(answer.Group)
		}
	}
	return c
}

// handleCensus answers a census, and binds a seed to the group that it proposes.
func (t *Table) handleCensus(from string, m message.Census, out *Out) {
	answer := message.CensusAnswer{
		Round: m.Round, Self: t.self, Controls: t.controlDaemons(), FirstStart: t.cfg.FirstStart,
	}
	answer.Self.Empty = t.knowsNoGroup()
	if t.cfg.FirstStart {
		if t.mayBind(from, m.Group) {
			t.bootstrap.bound = m.Group.Replicas
		}
		if t.bootstrap.bound != nil {
			answer.Group = t.bootstrap.boundGroup()
		}
	}
	out.send(from, answer.Message())
}

// mayBind tells whether this seed binds itself to a seed's proposal.
func (t *Table) mayBind(from string, proposed message.Group) bool {
	return t.bootstrap.bound == nil && proposed.Number > 0 && t.knowsNoGroup() && t.isSeed(from) &&
		t.knowsAll(proposed.Replicas)
}

// knowsAll tells whether all these replicas are control daemons known here.
func (t *Table) knowsAll(replicas []message.Replica) bool {
	controls := t.controlDaemons()
	for _, replica := range replicas {
		if !slices.ContainsFunc(controls, func(m message.Member) bool { return m.Ident == replica.Ident }) {
			return false
		}
	}
	return len(replicas) > 0
}

// handleCensusAnswer keeps a seed's answer to one of the last rounds.
func (t *Table) handleCensusAnswer(from string, m message.CensusAnswer) {
	b := &t.bootstrap
	if b.answers != nil && m.Round <= b.round && !b.isStale(m) && t.isSeed(from) {
		b.answers[from] = m
	}
}

// handleBootstrap makes this daemon a replica of the first group.
func (t *Table) handleBootstrap(from string, m message.Bootstrap, out *Out) {
	if t.self.HasDisk && t.knowsNoGroup() && len(m.Group.Replicas) > 0 && m.Group.Has(t.self.Ident) && t.isSeed(from) {
		out.Bootstrap, t.bootstrap.formed = m.Group.Replicas, true
	}
}
