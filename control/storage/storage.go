// Package storage keeps a control daemon's state in a single SQLite file in its data
// folder. A batch of saves is one transaction, which is on disk when Write returns.
//
// Open checks the state at start. A file that is damaged, is a back-up or has been
// superseded is quarantined (renamed), and the daemon starts empty under a new identity.
// A record that doesn't match its checksum counts as missing, and its partition as
// incomplete.
package storage

import (
	"crypto/rand"
	"database/sql"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"

	"mulleinmast/control/digest"
	"mulleinmast/control/incarnation"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// Format is the version of the file format that this build writes.
const Format = 1

// Names of files in the data folder.
const (
	stateFile = "state.db"
	lockFile  = "lock"
)

// PartitionState is the state of one partition as found on disk.
type PartitionState struct {
	Meta    quorum.Meta
	Records *digest.Records
}

// Store is an open data folder. Its exported fields describe the state found by Open;
// this package doesn't update them afterwards, except FirstGroupVote.
type Store struct {
	db   *sql.DB
	lock *os.File // locked while the folder is open
	dir  string

	// Ident is the identity of the daemon. It is stored with the state.
	Ident string
	// Epoch is the incarnation number of this start (package incarnation).
	Epoch uint64
	// Empty reports that the folder had no usable state.
	Empty bool
	// QuarantinePath is the new name of a quarantined file; "" if none was quarantined.
	QuarantinePath string
	// WasBackup reports that the file at QuarantinePath is a back-up.
	WasBackup bool
	// WasSuperseded reports that the file at QuarantinePath is superseded: another
	// process, or a later state, uses its identity.
	WasSuperseded bool
	// FirstGroupVote is this daemon's vote on the first group of the fleet; it has no seeds if it has none.
	FirstGroupVote message.FirstGroupVote
	// Partitions is the state of each partition that has a replica here.
	Partitions map[int]PartitionState
	// CorruptRecords is the number of records that don't match their checksums. They are
	// treated as missing.
	CorruptRecords int
	// IncompletePartitions are, in ascending order, the partitions whose state doesn't
	// match what was written. Their replicas don't vote until the state is reinstalled.
	IncompletePartitions []int
}

func (s *Store) statePath() string { return filepath.Join(s.dir, stateFile) }

// SetFull simulates a full disk for tests: SQLite itself refuses to grow the file.
//
// Example: err := s.SetFull(true)
func (s *Store) SetFull(full bool) error {
	maxPages := 1 << 30
	if full {
		maxPages = 1 // SQLite raises this to the number of pages in use
	}
	_, err := s.db.Exec(fmt.Sprintf("pragma max_page_count=%d", maxPages))
	return Error.Wrap(err)
}

// Close closes the database and releases the lock on the folder.
//
// Example: defer s.Close()
func (s *Store) Close() {
	if s.db != nil {
		_ = s.db.Close()
	}
	_ = s.lock.Close()
}

const (
	nonceBytes    = 4
	identityBytes = 8
)

// newNonce returns a random nonce for the incarnation number of a start.
func newNonce() uint32 {
	b := make([]byte, nonceBytes)
	if _, err := rand.Read(b); err != nil {
		panic(err) // without randomness two copies could get the same incarnation number
	}
	return min(binary.BigEndian.Uint32(b), incarnation.MaxNonce-1)
}

// NewIdent returns a new random identity.
//
// Example: identity := storage.NewIdent()
func NewIdent() string {
	b := make([]byte, identityBytes)
	if _, err := rand.Read(b); err != nil {
		panic(err) // without randomness identities could repeat
	}
	return hex.EncodeToString(b)
}
