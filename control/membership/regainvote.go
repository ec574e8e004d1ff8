package membership

import (
	"fmt"
	"slices"
	"time"

	"mulleinmast/wire/message"
)

// A seed that comes back with an empty disk can't tell whether it was killed before its vote was on disk or has
// lost its vote with its disk. It gets a vote again, with what the other seeds have accepted, if no group can
// have been formed that none of them remembers. A daemon with a disk that has once learned of a group
// notes that there, and never votes on a first group again.

// firstSeeds returns the seeds of the first start, as far as this daemon knows them.
func (t *Table) firstSeeds() []string {
	switch {
	case len(t.vote.Seeds) > 0:
		return t.vote.Seeds
	case len(t.bootstrap.namedSeeds) > 0:
		return t.bootstrap.namedSeeds
	}
	return t.seeds
}

// learnFirstSeeds records the seeds that another seed names, unless this daemon has a vote. What a seed with a
// vote names is the first start's. One without knows only its settings, which may be newer than this daemon's:
// they replace a list of which a seed has been silent for long.
func (t *Table) learnFirstSeeds(seeds []string, hasVote bool) {
	b := &t.bootstrap
	isSilentForLong := b.silent != "" && t.now-b.silentSince >= silentSeedTimeouts*t.cfg.SessionTimeout
	if t.hasVote() || b.namedByVoter || !slices.Contains(seeds, t.self.Addr) || !hasVote && !isSilentForLong {
		return
	}
	b.namedSeeds, b.namedByVoter = seeds, hasVote
	t.AddControlAddrs(seeds...)
}

// mayVote reports whether this daemon has a vote on the first group or may get one again.
func (t *Table) mayVote() bool {
	return t.hasVote() || t.cfg.FirstStartOnce && slices.Contains(t.firstSeeds(), t.self.Addr)
}

// isWitness reports whether this process has run since a time when the fleet had no group, and knows of none. If
// a group had been formed and used since, its leader would have made itself known.
func (t *Table) isWitness() bool {
	return t.cfg.FirstStartOnce && (t.cfg.FirstStart || t.bootstrap.sawNoGroup) && t.knowsNoGroup()
}

// ownWitnesses returns the identities of the witnesses with a session here, and this daemon's if it is one.
func (t *Table) ownWitnesses() (idents []string) {
	for ident, s := range t.controls.sessions {
		if s.isWitness {
			idents = append(idents, ident)
		}
	}
	if t.isWitness() {
		idents = append(idents, t.self.Ident)
	}
	slices.Sort(idents)
	return idents
}

// witnessCount returns the number of witnesses that this daemon knows.
func (t *Table) witnessCount() int {
	idents := t.ownWitnesses()
	for _, g := range t.gossip.received {
		idents = append(idents, g.witnesses...)
	}
	slices.Sort(idents)
	return len(slices.Compact(idents))
}

// knowGroup reports whether a daemon with a session here knows of a group.
func (h *sessionHost) knowGroup() bool {
	for _, s := range h.sessions {
		if s.knowsGroup {
			return true
		}
	}
	return false
}

// tryRegainVote gives this seed, which has no vote, a vote if nothing speaks against it.
func (t *Table) tryRegainVote(now time.Duration, c census) {
	b := &t.bootstrap
	if b.obstacle = t.reasonForNoVote(c); b.obstacle != "" {
		b.regainable = false
		return
	}
	if !b.regainable {
		b.regainable, b.regainableSince = true, now
	}
	if !c.isRemembered(t.cfg.ToleratedLosses) && now-b.regainableSince < silentSeedTimeouts*t.cfg.SessionTimeout {
		b.obstacle = "daemons that know of a group may still report it"
		return
	}
	t.vote.FirstGroupVote = c.inheritedVote(t.firstSeeds())
}

// reasonForNoVote returns why this seed may not get a vote again, or "" if it may.
func (t *Table) reasonForNoVote(c census) string {
	switch {
	case c.obstacle != "":
		return c.obstacle
	case t.controls.knowGroup():
		return "a daemon with a session here knows of a group"
	case !c.agreeOnSeeds(t.firstSeeds()):
		return "the seeds name different seeds, or one runs an earlier build"
	case len(c.silent) > 0 && !t.isWitnessed(c):
		return "no answer from the seeds " + t.bootstrap.silent + ", which may have formed a group"
	case len(c.silent) == 0 && c.mayForget(t.cfg.ToleratedLosses) && len(c.disks) < t.firstGroupSize():
		return fmt.Sprintf("more than half of the seeds may have lost their votes, and only %d of %d empty disks "+
			"show that there is no group", len(c.disks), t.firstGroupSize())
	}
	return ""
}

// isRemembered reports whether a group that was formed would be known to a seed that has answered.
func (c *census) isRemembered(lostDisks int) bool {
	return len(c.silent) == 0 && c.coordinator != "" && !c.mayForget(lostDisks)
}

// isWitnessed reports whether more daemons than may be lost at once witness that there is no group, while no more
// seeds are silent than may be lost.
func (t *Table) isWitnessed(c census) bool {
	losses := t.cfg.ToleratedLosses
	return len(c.silent) <= losses && t.witnessCount() > losses
}

// mayForget reports whether more than half of the seeds, all of which have answered, may have lost a vote, if at
// most so many disks are lost at a time. A seed without a disk loses its vote with its process.
func (e electorate) mayForget(lostDisks int) bool {
	emptyDisks, diskless := 0, 0
	for _, v := range e.voters {
		switch {
		case v.hasVote:
		case v.hasDisk:
			emptyDisks++
		default:
			diskless++
		}
	}
	return min(emptyDisks, lostDisks)+diskless >= e.majority()
}

// agreeOnSeeds reports whether the seeds that have answered name the given seeds. Where one has a vote, only
// those with a vote count, as the settings of the others may be newer.
func (e electorate) agreeOnSeeds(seeds []string) bool {
	anyVote := slices.ContainsFunc(e.voters, func(v voter) bool { return v.hasVote })
	want := slices.Sorted(slices.Values(seeds))
	for _, v := range e.voters[1:] { // the first is this daemon
		if v.earlyBuild || v.hasVote == anyVote && !slices.Equal(slices.Sorted(slices.Values(v.seeds)), want) {
			return false
		}
	}
	return true
}

// inheritedVote returns the vote of a seed that promises and accepts what the other seeds have.
func (c *census) inheritedVote(seeds []string) message.FirstGroupVote {
	term, group := c.latestAccepted()
	return message.FirstGroupVote{Seeds: seeds, Voted: c.highestTerm(), Accepted: term, Group: group}
}
