package storage

import (
	"fmt"

	"mulleinmast/control/incarnation"
)

// fileHeader is the content of the table meta, which describes the file. Entries that
// this build doesn't know are kept.
type fileHeader map[string]string

// Keys of the file header.
const (
	headerFormat = "format"
	headerFleet  = "fleet"
	headerIdent  = "ident"
	headerEpoch  = "epoch" // incarnation number of the latest start, but with the largest nonce
	headerBackup = "copy"  // present only in a back-up
	headerVote   = "vote"  // vote on the first group of the fleet, as JSON
)

// restoreStartOffset is added to the start count when an operator restores a back-up
// after the loss of a majority. The count must exceed every count that the other daemons may
// have seen from this identity. Otherwise they would treat the restored state as superseded.
const restoreStartOffset = 1 << 16

func newHeader(fleet, identity string) fileHeader {
	return fileHeader{headerFormat: fmt.Sprint(Format), headerFleet: fleet, headerIdent: identity}
}

// isBackup reports whether the file is a back-up.
func (h fileHeader) isBackup() bool {
	_, ok := h[headerBackup]
	return ok
}

// readHeader reads the file header, which is empty in a new file.
func (s *Store) readHeader() (fileHeader, error) {
	header := fileHeader{}
	err := s.forEachRow("select k, v from meta", func(scan func(...any) error) error {
		var key, value string
		err := scan(&key, &value)
		header[key] = value
		return err
	})
	return header, err
}

// checkHeader returns an error if this daemon must not use the file; otherwise it sets the
// identity and the latest epoch from it.
func (s *Store) checkHeader(header fileHeader, fleet string, restored bool) error {
	path, format := s.statePath(), 0
	if _, err := fmt.Sscan(header[headerFormat], &format); err != nil {
		return corruptError{Error.New("%s: the file header has no format number", path)}
	}
	if format > Format {
		return Error.Wrap(NewerFormatError{Path: path, Format: format})
	}
	if header[headerFleet] != fleet {
		return Error.Wrap(OtherFleetError{Path: path, Fleet: header[headerFleet], Want: fleet})
	}
	if header.isBackup() && !restored {
		return errBackup
	}
	s.Ident = header[headerIdent]
	if _, err := fmt.Sscan(header[headerEpoch], &s.Epoch); err != nil || s.Ident == "" {
		return corruptError{Error.New("%s: the file header has no identity or no epoch", path)}
	}
	return nil
}

// beginIncarnation increments the start count and writes the file header. A restored
// back-up loses its mark and becomes the live state of the folder.
func (s *Store) beginIncarnation(header fileHeader, restored bool) error {
	starts := incarnation.Starts(s.Epoch) + 1
	if restored {
		starts += restoreStartOffset
	}
	s.Epoch = incarnation.Number(starts, newNonce())
	header[headerEpoch] = fmt.Sprint(incarnation.Number(starts, incarnation.MaxNonce))
	delete(header, headerBackup)
	return s.writeHeader(header)
}

func (s *Store) writeHeader(header fileHeader) error {
	tx, err := s.db.Begin()
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = tx.Exec("delete from meta where k=?", headerBackup)
	for key, value := range header {
		if err == nil {
			_, err = tx.Exec("insert or replace into meta values(?,?)", key, value)
		}
	}
	if err != nil {
		_ = tx.Rollback()
		return Error.Wrap(err)
	}
	if err := tx.Commit(); err != nil {
		return Error.Wrap(fmt.Errorf("write the file header of %s: %w", s.statePath(), err))
	}
	return nil
}
