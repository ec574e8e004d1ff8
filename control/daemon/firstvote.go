package daemon

import (
	"mulleinmast/control/eventlog"
	"mulleinmast/wire/message"
)

// vote returns the vote on the first group.
func (t *memberTable) vote() message.FirstGroupVote {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Vote()
}

// saveVote writes the vote on the first group to disk, unless it is there already.
func (t *memberTable) saveVote() error {
	if t.store == nil {
		return nil
	}
	t.saving.Lock()
	defer t.saving.Unlock()
	return t.writeVote()
}

// writeVote is saveVote for a caller that holds the lock saving.
func (t *memberTable) writeVote() error {
	vote := t.vote()
	if !vote.IsEqual(t.store.FirstGroupVote) {
		if err := t.store.SaveFirstGroupVote(vote); err != nil {
			return err
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.VoteSaved(vote)
	return nil
}

// saveVoteLogged is saveVote, with one line in the log when writes begin to fail and one when they succeed
// again. It reports whether the vote is on disk.
func (t *memberTable) saveVoteLogged(events *eventlog.Log) bool {
	t.saving.Lock()
	defer t.saving.Unlock()
	return t.writeVoteLogged(events)
}

// saveVoteIfIdle is saveVoteLogged unless another write is in progress. The table requests the write again.
func (t *memberTable) saveVoteIfIdle(events *eventlog.Log) {
	if t.saving.TryLock() {
		defer t.saving.Unlock()
		t.writeVoteLogged(events)
	}
}

// writeVoteLogged is saveVoteLogged for a caller that holds the lock saving.
func (t *memberTable) writeVoteLogged(events *eventlog.Log) bool {
	err := t.writeVote()
	switch failed := err != nil; {
	case failed && !t.saveFailed:
		events.Warn("disk", "cannot save the vote on the first group, trying again", "error", err)
	case !failed && t.saveFailed:
		events.Info("disk", "saved the vote on the first group")
	}
	t.saveFailed = err != nil
	return err == nil
}
