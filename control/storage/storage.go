// Package storage keeps a control daemon's state in one SQLite file of its data
// folder. A batch of saves is one transaction; it is on disk when Write returns.
//
// What a folder is good for is judged at the start (Open): a file that is damaged, is
// a back-up, or is a superseded copy is set aside, and the daemon starts empty under a
// new identity; records that aren't what was written count as missing, and their
// partition as incomplete.
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
)

// Format is the version of the files written here.
const Format = 1

// Files of the folder.
const (
	stateFile = "state.db"
	lockFile  = "lock"
)

// PartitionState is one partition's state as found on disk.
type PartitionState struct {
	Meta    quorum.Meta
	Records *digest.Records
}

// Store is an open data folder. Its exported fields say what was found when it was
// opened; nothing here writes them later.
type Store struct {
	db   *sql.DB
	lock *os.File // locked while the folder is open
	dir  string

	// Ident is the daemon's identity: it stays with the folder's state.
	Ident string
	// Epoch is the incarnation of this start (package incarnation).
	Epoch uint64
	// Empty says that the folder had no state, or none that counts.
	Empty bool
	// QuarantinePath is where a file was put that isn't this folder's state; "" if
	// there was none.
	QuarantinePath string
	// WasBackup says that the file at QuarantinePath is a back-up.
	WasBackup bool
	// WasSuperseded says that the file at QuarantinePath is superseded: another
	// process, or a later state, bears its identity.
	WasSuperseded bool
	// Partitions is the state of each partition that has a replica here.
	Partitions map[int]PartitionState
	// CorruptRecords counts the records whose value isn't what was written: they count
	// as missing.
	CorruptRecords int
	// IncompletePartitions are, in order, those that aren't what was written: they have
	// no vote until their state is installed again.
	IncompletePartitions []int
}

func (s *Store) statePath() string { return filepath.Join(s.dir, stateFile) }

// SetFull is a switch for tests: the disk is as if full, so that SQLite itself
// refuses to grow the file.
//
// Example: err := s.SetFull(true)
func (s *Store) SetFull(full bool) error {
	maxPages := 1 << 30
	if full {
		maxPages = 1 // SQLite takes the pages in use as the least
	}
	_, err := s.db.Exec(fmt.Sprintf("pragma max_page_count=%d", maxPages))
	return Error.Wrap(err)
}

// Close closes the folder.
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

// newNonce makes the nonce of a start.
func newNonce() uint32 {
	b := make([]byte, nonceBytes)
	if _, err := rand.Read(b); err != nil {
		panic(err) // without randomness two copies could be taken for one
	}
	return min(binary.BigEndian.Uint32(b), incarnation.MaxNonce-1)
}

// NewIdent makes a fresh random identity.
//
// Example: identity := storage.NewIdent()
func NewIdent() string {
	b := make([]byte, identityBytes)
	if _, err := rand.Read(b); err != nil {
		panic(err) // without randomness identities could repeat
	}
	return hex.EncodeToString(b)
}
