package storage

import (
	"fmt"

	"mulleinmast/control/incarnation"
)

// fileHead is what the table meta says of the file; entries that this build doesn't
// know stay in it.
type fileHead map[string]string

// The entries of a file's head.
const (
	headFormat = "format"
	headFleet  = "fleet"
	headIdent  = "ident"
	headEpoch  = "epoch" // the latest start's, with the largest nonce
	headBackup = "copy"  // there in a back-up, and in no folder's own state
)

// restoredStarts is by how many starts an identity is moved on when an operator
// says that a back-up is the state that is left: past all that the others may know
// of it, since they would count it as superseded otherwise.
const restoredStarts = 1 << 16

func newHead(fleet, identity string) fileHead {
	return fileHead{headFormat: fmt.Sprint(Format), headFleet: fleet, headIdent: identity}
}

// isBackup tells whether the file is a back-up.
func (h fileHead) isBackup() bool {
	_, ok := h[headBackup]
	return ok
}

// readHead reads the head; that of a new file is empty.
func (s *Store) readHead() (fileHead, error) {
	head := fileHead{}
	err := s.each("select k, v from meta", func(scan func(...any) error) error {
		var key, value string
		err := scan(&key, &value)
		head[key] = value
		return err
	})
	return head, err
}

// checkHead refuses a file that this daemon must not go on with, and takes its
// identity and its latest epoch from it.
func (s *Store) checkHead(head fileHead, fleet string, restored bool) error {
	path, format := s.statePath(), 0
	if _, err := fmt.Sscan(head[headFormat], &format); err != nil {
		return corruptError{Error.New("%s: no format number", path)}
	}
	if format > Format {
		return Error.Wrap(NewerFormatError{Path: path, Format: format})
	}
	if head[headFleet] != fleet {
		return Error.Wrap(OtherFleetError{Path: path, Fleet: head[headFleet], Want: fleet})
	}
	if head.isBackup() && !restored {
		return errBackup
	}
	s.Ident = head[headIdent]
	if _, err := fmt.Sscan(head[headEpoch], &s.Epoch); err != nil || s.Ident == "" {
		return corruptError{Error.New("%s: no identity or epoch", path)}
	}
	return nil
}

// beginIncarnation counts a start and writes the head; a back-up is the folder's own
// state from here on.
func (s *Store) beginIncarnation(head fileHead, restored bool) error {
	starts := incarnation.Starts(s.Epoch) + 1
	if restored {
		starts += restoredStarts
	}
	s.Epoch = incarnation.Number(starts, newNonce())
	head[headEpoch] = fmt.Sprint(incarnation.Number(starts, incarnation.MaxNonce))
	delete(head, headBackup)
	return s.writeHead(head)
}

func (s *Store) writeHead(head fileHead) error {
	tx, err := s.db.Begin()
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = tx.Exec("delete from meta where k=?", headBackup)
	for key, value := range head {
		if err == nil {
			_, err = tx.Exec("insert or replace into meta values(?,?)", key, value)
		}
	}
	if err != nil {
		_ = tx.Rollback()
		return Error.Wrap(err)
	}
	if err := tx.Commit(); err != nil {
		return Error.Wrap(fmt.Errorf("%s: can't be written: %w", s.statePath(), err))
	}
	return nil
}
