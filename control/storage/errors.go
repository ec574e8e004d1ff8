package storage

import (
	"errors"
	"fmt"
	"syscall"

	"github.com/mattn/go-sqlite3"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("data folder")

// ErrLocked says that another process has the folder open.
var ErrLocked = errors.New("another daemon has it open")

var (
	errBackup     = errors.New("it is a back-up, and no file " + MajorityLostFile + " stands beside it")
	errSuperseded = errors.New("its identity is another's")
)

// NewerFormatError says that a file was written by a later build.
type NewerFormatError struct {
	Path   string
	Format int // of the file; Format is the highest that is read here
}

// Error says which format was found.
//
// Example: storage.NewerFormatError{Path: "/data/state.db", Format: 9}.Error()
func (e NewerFormatError) Error() string {
	return fmt.Sprintf("%s: written in format %d, this build reads up to %d", e.Path, e.Format, Format)
}

// OtherFleetError says that a file belongs to another fleet.
type OtherFleetError struct {
	Path, Fleet string // the file, and the fleet that it belongs to
	Want        string // this daemon's fleet
}

// Error names both fleets.
//
// Example: storage.OtherFleetError{Path: "/data/state.db", Fleet: "a", Want: "b"}.Error()
func (e OtherFleetError) Error() string {
	return fmt.Sprintf("%s: belongs to fleet %q, not %q", e.Path, e.Fleet, e.Want)
}

// corruptError says that a file's content is at fault, where SQLite finds no fault
// with it.
type corruptError struct{ error }

// isCorrupt tells whether a file's content is at fault. A disk that is full, slow
// to come back or refuses to be read says nothing of the content: what is on it
// is kept, and opening fails.
func isCorrupt(err error) bool {
	var sqliteErr sqlite3.Error
	if errors.As(err, &sqliteErr) {
		return sqliteErr.Code == sqlite3.ErrCorrupt || sqliteErr.Code == sqlite3.ErrNotADB
	}
	var corrupt corruptError
	return errors.As(err, &corrupt)
}

// IsTransient tells whether an error is of a disk that is full or in trouble, which
// may pass, and not of what is on it.
//
// Example: if storage.IsTransient(err) { tryAgainLater() }
func IsTransient(err error) bool {
	var sqliteErr sqlite3.Error
	if errors.As(err, &sqliteErr) {
		switch sqliteErr.Code {
		case sqlite3.ErrFull, sqlite3.ErrIoErr, sqlite3.ErrBusy:
			return true
		}
		return false
	}
	for _, transient := range []syscall.Errno{syscall.ENOSPC, syscall.EIO, syscall.EDQUOT, syscall.EFBIG} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}
