package membership

import "mulleinmast/wire/message"

// census is the combined result of the seeds' answers.
type census struct {
	electorate
	obstacle    string                    // why no group may be formed; "": nothing speaks against it
	coordinator string                    // lowest address of a seed that answers and has a vote; "": none
	silent      []string                  // addresses of the seeds that don't answer, in the order of the settings
	disks       map[string]message.Member // control daemons known to any seed, by address
}

// addControls adds the control daemons known to one seed. It rules out a bootstrap if there are
// two identities at one address or a disk that is not empty.
func (c *census) addControls(controls []message.Member) {
	for _, m := range controls {
		known, ok := c.disks[m.Addr]
		switch {
		case !m.Empty:
			c.obstacle = "the disk of " + m.Addr + " isn't empty"
		case ok && known.Ident != m.Ident:
			c.obstacle = "two identities are known at " + m.Addr
		case ok && known.Epoch > m.Epoch:
			continue
		}
		c.disks[m.Addr] = m
	}
}

// controls returns the control daemons in unspecified order.
func (c *census) controls() []message.Member {
	list := make([]message.Member, 0, len(c.disks))
	for _, m := range c.disks {
		list = append(list, m)
	}
	return list
}

// highestTerm returns the highest term in which a seed has voted.
func (c *census) highestTerm() (highest uint64) {
	for _, v := range c.voters {
		highest = max(highest, v.vote.Voted)
	}
	return highest
}

// latestAccepted returns the latest term in which a voter has accepted a group, and the group; 0: none did.
func (c *census) latestAccepted() (term uint64, group message.Group) {
	for _, v := range c.voters {
		if v.vote.Accepted > term {
			term, group = v.vote.Accepted, v.vote.Group
		}
	}
	return term, group
}

// readCensus combines the latest answers of the seeds.
func (t *Table) readCensus() census {
	b := &t.bootstrap
	c := census{
		electorate: electorate{
			seedCount: len(t.firstSeeds()), majoritySuffices: t.cfg.FirstStartOnce, voters: []voter{t.ownVoter()},
		},
		disks: map[string]message.Member{},
	}
	if t.hasVote() {
		c.coordinator = t.self.Addr
	}
	c.addControls(t.controlDaemons())
	for _, addr := range t.firstSeeds() {
		if addr == t.self.Addr {
			continue
		}
		answer, ok := b.answers[addr]
		if !ok || b.isStale(answer) {
			c.silent = append(c.silent, addr)
			continue
		}
		c.addAnswer(addr, answer)
	}
	return c
}

// addAnswer adds the answer of another seed.
func (c *census) addAnswer(addr string, answer message.CensusAnswer) {
	c.addControls(answer.ControlDaemons)
	voter := voter{
		hasVote: answer.HasVote && answer.UsesTerms, hasDisk: answer.Self.HasDisk,
		earlyBuild: answer.HasVote && !answer.UsesTerms, seeds: answer.Seeds,
	}
	if voter.hasVote {
		voter.vote = message.FirstGroupVote{Voted: answer.Voted, Accepted: answer.Accepted, Group: answer.Group}
	}
	c.voters = append(c.voters, voter)
	if !answer.Self.Empty {
		c.obstacle = "the seed " + addr + " knows of a group"
	}
	if voter.hasVote && (c.coordinator == "" || addr < c.coordinator) {
		c.coordinator = addr
	}
}
