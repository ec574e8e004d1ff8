package storage

import (
	"errors"
	"fmt"
	"slices"
	"syscall"

	"github.com/mattn/go-sqlite3"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("data folder")

// ErrLocked means that another process has the folder open.
var ErrLocked = errors.New("another daemon has the folder open")

var (
	errBackup     = errors.New("the state is a back-up, and there is no file " + MajorityLostFile + " next to it")
	errSuperseded = errors.New("the state is superseded: another process or a later state uses its identity")
)

// NewerFormatError means that a file was written by a newer build.
type NewerFormatError struct {
	Path   string
	Format int // of the file, above the constant Format
}

// Error names the file's format and the newest one that this build reads.
//
// Example: storage.NewerFormatError{Path: "/data/state.db", Format: 9}.Error()
func (e NewerFormatError) Error() string {
	return fmt.Sprintf("%s: the file has format %d, but this build reads formats up to %d", e.Path, e.Format, Format)
}

// OtherFleetError means that a file belongs to another fleet.
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

// corruptError marks content that is corrupt although SQLite itself reports no error.
type corruptError struct{ error }

// isCorrupt reports whether an error is due to the content of a file. Errors of a full,
// stalled or unreadable disk don't show that the content is corrupt. After such an error
// Open fails and leaves the file in place.
func isCorrupt(err error) bool {
	switch sqliteCode(err) {
	case sqlite3.ErrCorrupt, sqlite3.ErrNotADB:
		return true
	}
	var corrupt corruptError
	return errors.As(err, &corrupt)
}

// Errors of the operating system after which a folder can't be used for a reason that may pass by itself.
var (
	// The disk is full or failing.
	diskErrors = []syscall.Errno{syscall.ENOSPC, syscall.EIO, syscall.EDQUOT, syscall.EFBIG}
	// The folder isn't there, or the process or the machine lacks resources.
	unavailableErrors = []syscall.Errno{
		syscall.ENOENT, syscall.ENOTDIR, syscall.EROFS, syscall.ENODEV, syscall.ENXIO, syscall.ESTALE, syscall.ENOTCONN,
		syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM,
	}
)

// isAnyOf reports whether an error is due to one of the given errors of the operating system, also if SQLite
// met it.
func isAnyOf(err error, causes []syscall.Errno) bool {
	var sqliteErr sqlite3.Error
	if errors.As(err, &sqliteErr) {
		return slices.Contains(causes, sqliteErr.SystemErrno)
	}
	return slices.ContainsFunc(causes, func(cause syscall.Errno) bool { return errors.Is(err, cause) })
}

// sqliteCode returns the code of an error of SQLite, or 0.
func sqliteCode(err error) sqlite3.ErrNo {
	var sqliteErr sqlite3.Error
	if errors.As(err, &sqliteErr) {
		return sqliteErr.Code
	}
	return 0
}

// IsUnavailable reports whether the folder can't be opened for a reason that may pass by itself: another
// process has it open, it isn't mounted or only to be read, or resources are short.
//
// Example: if storage.IsUnavailable(err) { tryAgainFor(bound) }
func IsUnavailable(err error) bool {
	switch sqliteCode(err) {
	case sqlite3.ErrReadonly, sqlite3.ErrNomem:
		return true
	}
	return errors.Is(err, ErrLocked) || isAnyOf(err, unavailableErrors)
}

// IsTransient reports whether an error is due to a full or failing disk, which may
// recover, rather than to the content on it.
//
// Example: if storage.IsTransient(err) { tryAgainLater() }
func IsTransient(err error) bool {
	switch sqliteCode(err) {
	case sqlite3.ErrFull, sqlite3.ErrIoErr, sqlite3.ErrBusy:
		return true
	}
	return isAnyOf(err, diskErrors)
}
