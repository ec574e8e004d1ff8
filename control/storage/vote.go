package storage

import (
	"encoding/json"
	"fmt"

	"mulleinmast/wire/message"
)

// SaveFirstGroupVote writes this daemon's vote on the first group of the fleet. It is on disk when
// SaveFirstGroupVote returns.
//
// Example: err := s.SaveFirstGroupVote(table.Vote())
func (s *Store) SaveFirstGroupVote(vote message.FirstGroupVote) error {
	text, err := json.Marshal(vote)
	if err != nil {
		return Error.Wrap(err)
	}
	if _, err := s.db.Exec("insert or replace into meta values(?,?)", headerVote, string(text)); err != nil {
		return Error.Wrap(fmt.Errorf("write the vote on the first group: %w", err))
	}
	s.FirstGroupVote = vote
	return nil
}

// readFirstGroupVote sets the vote from the file header. The file of an earlier build has none.
func (s *Store) readFirstGroupVote(header fileHeader) error {
	text, ok := header[headerVote]
	if !ok {
		return nil
	}
	if err := json.Unmarshal([]byte(text), &s.FirstGroupVote); err != nil {
		return corruptError{Error.New("%s: the vote on the first group can't be read: %v", s.statePath(), err)}
	}
	return nil
}
