package storage

import (
	"database/sql"
	"fmt"
	"net/url"
	"os"
	"path/filepath"
	"syscall"
)

// walSizeLimit is the size in bytes to which SQLite truncates a write-ahead log that has
// grown beyond it. SQLite also checkpoints the log at about that size.
const walSizeLimit = 4 << 20

// schema creates the tables. meta holds the file header (fileHeader), "seat" one row for
// each replica (replicaRow, as JSON), rec the records and sums the fingerprint of each
// record. The column part is the number of a partition, span that of a range of keys.
const schema = `
create table if not exists meta(k text primary key, v text not null);
create table if not exists seat(part integer primary key, v text not null);
create table if not exists rec(part integer, key text, span integer, term integer, seq integer, dead integer, ` +
	`val blob, primary key(part,key)) without rowid;
create table if not exists sums(part integer, key text, term integer, seq integer, sum integer, ` +
	`primary key(part,key)) without rowid;
create index if not exists spans on rec(part, span);`

// Open opens or creates the data folder, locks it, begins a new incarnation and reads all
// partitions. A state file that is damaged, has been marked as superseded, or is a back-up
// without a file MajorityLostFile next to it, is quarantined, and the folder starts empty
// under a new identity. Open fails if the file belongs to another fleet (OtherFleetError)
// or has a newer format (NewerFormatError), or if another daemon has the folder open
// (ErrLocked).
//
// Example: s, err := storage.Open("/var/lib/mulleinmast", "rangsit")
func Open(dir, fleet string) (*Store, error) {
	lock, err := lockFolder(dir)
	if err != nil {
		return nil, err
	}
	s := &Store{lock: lock, dir: dir}
	if err := s.openOrStartEmpty(fleet); err != nil {
		s.Close()
		return nil, err
	}
	if err := s.removeMarkerFiles(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// lockFolder creates the folder if it doesn't exist and locks it for this process.
func lockFolder(dir string) (*os.File, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, Error.Wrap(fmt.Errorf("create %s: %w", dir, err))
	}
	lock, err := os.OpenFile(filepath.Join(dir, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, Error.Wrap(fmt.Errorf("open the lock file in %s: %w", dir, err))
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, Error.Wrap(fmt.Errorf("%s: %w", dir, ErrLocked))
	}
	return lock, nil
}

// openOrStartEmpty opens the state of the folder. If it isn't usable, it is quarantined
// and the folder starts empty.
func (s *Store) openOrStartEmpty(fleet string) error {
	err := s.openOwnState(fleet)
	if err == nil {
		return nil
	}
	reason, ok := quarantineReasonOf(err)
	if !ok {
		return err
	}
	s.WasBackup, s.WasSuperseded = reason == quarantinedBackup, reason == quarantinedSuperseded
	if s.QuarantinePath, err = quarantine(s.statePath(), reason, err); err != nil {
		return err
	}
	return s.openState(fleet)
}

// openState opens or creates the state file, begins a new incarnation and reads all
// partitions.
func (s *Store) openState(fleet string) error {
	if err := s.openDatabase(); err != nil {
		return err
	}
	header, err := s.readHeader()
	if err != nil {
		return err
	}
	restored := len(header) > 0 && s.mayExist(MajorityLostFile)
	if len(header) == 0 {
		s.Empty, s.Ident, s.Epoch = true, NewIdent(), 0
		header = newHeader(fleet, s.Ident)
	} else if err := s.checkHeader(header, fleet, restored); err != nil {
		return err
	}
	if err := s.readFirstGroupVote(header); err != nil {
		return err
	}
	if err := s.beginIncarnation(header, restored); err != nil {
		return err
	}
	if err := s.load(); err != nil || !restored {
		return err
	}
	return s.clearIncarnations()
}

// openDatabase opens the file, checks its integrity and creates missing tables.
func (s *Store) openDatabase() error {
	if s.db != nil {
		_ = s.db.Close()
		s.db = nil
	}
	// With a single connection in exclusive locking mode, SQLite keeps the index of the
	// write-ahead log on the heap, not in a memory-mapped file. The locking mode must be
	// set before the journal mode. Otherwise the index would be memory-mapped.
	const options = "_locking_mode=EXCLUSIVE&_synchronous=FULL&_busy_timeout=1000"
	db, err := sql.Open("sqlite3", databaseURI(s.statePath(), options))
	if err != nil {
		return Error.Wrap(err)
	}
	db.SetMaxOpenConns(1)
	s.db = db
	var answer string
	for _, pragma := range []string{
		"pragma journal_mode=WAL",
		fmt.Sprintf("pragma journal_size_limit=%d", walSizeLimit),
		"pragma quick_check(1)",
	} {
		if err := db.QueryRow(pragma).Scan(&answer); err != nil {
			return Error.Wrap(err)
		}
	}
	if answer != "ok" { // from quick_check, the last pragma
		return corruptError{Error.New("%s: integrity check failed: %s", s.statePath(), answer)}
	}
	_, err = db.Exec(schema)
	return Error.Wrap(err)
}

// databaseURI returns the SQLite URI of a file. Characters of the path that have a meaning
// in a URI are escaped.
func databaseURI(path, options string) string {
	return "file:" + (&url.URL{Path: path}).EscapedPath() + "?" + options
}

// removeMarkerFiles removes the marker files, which apply to a single start.
func (s *Store) removeMarkerFiles() error {
	for _, name := range []string{MajorityLostFile, SupersededFile} {
		if err := os.Remove(filepath.Join(s.dir, name)); err != nil && !os.IsNotExist(err) {
			return Error.Wrap(err)
		}
	}
	return Error.Wrap(syncDir(s.dir))
}

// mayExist reports whether a file exists in the folder, or may exist but can't be examined.
func (s *Store) mayExist(name string) bool {
	_, err := os.Stat(filepath.Join(s.dir, name))
	return !os.IsNotExist(err)
}

// syncDir flushes the entries of a directory to disk.
func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return f.Sync()
}

// forEachRow calls f for each row of a query. An iteration that ends early is an error.
func (s *Store) forEachRow(query string, f func(scan func(...any) error) error) error {
	rows, err := s.db.Query(query)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = rows.Close() }()
	for rows.Next() {
		if err := f(rows.Scan); err != nil {
			return err
		}
	}
	return Error.Wrap(rows.Err())
}
