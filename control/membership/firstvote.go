package membership

import (
	"slices"

	"mulleinmast/wire/message"
)

// The seeds of the first start choose the first group by single-decree Paxos. A proposer collects
// votes for a term of its own, proposes the group that was accepted in the latest earlier term,
// or else one of its choice, and has formed the group once a quorum has accepted it. A daemon with a
// disk writes its vote there before it tells it, so a restart doesn't end it. A seed without a disk
// loses its vote with its process.

// termSeedBits is the number of bits of a term that hold the proposer's index among the seeds.
const termSeedBits = 8

// initialTermShift reduces a hash of the incarnation to the first term's counter, so that a proposer
// that has lost its vote doesn't use a term again.
const initialTermShift = 24

// firstVote is this daemon's vote on the first group, with the vote that is known to be on its disk.
type firstVote struct {
	message.FirstGroupVote
	saved message.FirstGroupVote
}

// voteFor votes in a term, unless this daemon has voted in a later one.
func (v *firstVote) voteFor(term uint64) { v.Voted = max(v.Voted, term) }

// accept accepts a group in a term, unless this daemon has voted in a later term.
func (v *firstVote) accept(term uint64, group message.Group) {
	if term >= v.Voted {
		v.Voted, v.Accepted, v.Group = term, term, group
	}
}

// Restore sets the vote on the first group that the data folder holds. Call it before the first step.
//
// Example: table.Restore(store.FirstGroupVote())
func (t *Table) Restore(vote message.FirstGroupVote) {
	if len(vote.Seeds) == 0 && !vote.Formed {
		return
	}
	if t.hasVote() && !t.cfg.FirstStartOnce { // the operator names the seeds of a fleet that isn't formed
		vote.Seeds = t.vote.Seeds
	}
	t.vote.FirstGroupVote, t.vote.saved = vote, vote
	t.AddControlAddrs(vote.Seeds...)
	t.setSelf(t.self)
}

// Vote returns this daemon's vote on the first group. A daemon with a disk writes it there before it sends
// the messages that depend on it, and calls VoteSaved.
//
// Example: err := store.SaveFirstGroupVote(table.Vote())
func (t *Table) Vote() message.FirstGroupVote { return t.vote.FirstGroupVote }

// VoteSaved records that a vote is on this daemon's disk.
//
// Example: table.VoteSaved(vote)
func (t *Table) VoteSaved(vote message.FirstGroupVote) { t.vote.saved = vote }

// hasVote reports whether this daemon votes on the first group.
func (t *Table) hasVote() bool { return slices.Contains(t.vote.Seeds, t.self.Addr) }

// mustSaveVote reports whether this daemon has a disk on which its vote isn't known to be.
func (t *Table) mustSaveVote() bool { return t.self.HasDisk && !t.vote.IsEqual(t.vote.saved) }

// ownVoter returns this daemon as a voter, with no more than others may know of its vote.
func (t *Table) ownVoter() voter {
	own := voter{hasVote: t.hasVote(), hasDisk: t.self.HasDisk, vote: t.vote.FirstGroupVote}
	if t.self.HasDisk {
		own.vote = t.vote.saved
	}
	return own
}

// nextTerm returns a term of this daemon's own above a given one.
func (t *Table) nextTerm(highest uint64) uint64 {
	initial := rendezvousWeight(int(t.self.Epoch), t.self.Ident) >> initialTermShift
	seeds := slices.Sorted(slices.Values(t.vote.Seeds))
	counter := max(highest>>termSeedBits, initial) + 1
	return counter<<termSeedBits | uint64(slices.Index(seeds, t.self.Addr))
}

// voter is a seed that has answered the census, or this daemon itself.
type voter struct {
	hasVote    bool // false: the seed was restarted and has lost its vote
	hasDisk    bool
	earlyBuild bool     // the seed's build binds itself to a proposal instead of voting
	seeds      []string // that it names: of the first start if it has a vote, else of its settings
	vote       message.FirstGroupVote
}

// electorate are the seeds of the first start, as far as they have answered.
type electorate struct {
	seedCount        int
	voters           []voter
	majoritySuffices bool // see Config.FirstStartOnce
}

// majority returns how many seeds are more than half of them.
func (e electorate) majority() int { return e.seedCount/2 + 1 }

// durableVoters returns the number of seeds that have a vote and keep it on disk.
func (e electorate) durableVoters() (count int) {
	for _, v := range e.voters {
		if v.hasVote && v.hasDisk {
			count++
		}
	}
	return count
}

// isQuorum reports whether the voters whose vote matches decide. They are a quorum
//   - if they are more than half of the seeds and keep their votes on disk, or
//   - if all seeds have answered and every other one has lost its vote for good (see regainvote.go).
//
// Any two quorums have a voter in common that remembers its vote, unless more than half of the seeds lose
// their disks after they have voted.
func (e electorate) isQuorum(matches func(message.FirstGroupVote) bool) bool {
	matching, durable, lost := 0, 0, 0
	for _, v := range e.voters {
		switch {
		case v.hasVote && matches(v.vote):
			matching++
			if v.hasDisk {
				durable++
			}
		case !v.hasVote && !v.earlyBuild && !(e.majoritySuffices && v.hasDisk):
			lost++
		}
	}
	return e.majoritySuffices && durable >= e.majority() || matching > 0 && matching+lost == e.seedCount
}
