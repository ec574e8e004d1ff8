package storage

import (
	"database/sql"
	"fmt"
	"net/url"
	"os"
	"path/filepath"
	"syscall"
)

// logSize is the length, in bytes, that the write-ahead log is cut back to once it
// was longer; it is copied into the file at about that length.
const logSize = 4 << 20

// schema makes the tables. meta is the file's head (fileHead); "seat" has a row a
// replica (replicaRow, as JSON); rec the records, sums the fingerprint of each. Columns
// named part hold the number of a partition, span that of a range of keys.
const schema = `
create table if not exists meta(k text primary key, v text not null);
create table if not exists seat(part integer primary key, v text not null);
create table if not exists rec(part integer, key text, span integer, term integer, seq integer, dead integer, ` +
	`val blob, primary key(part,key)) without rowid;
create table if not exists sums(part integer, key text, term integer, seq integer, sum integer, ` +
	`primary key(part,key)) without rowid;
create index if not exists spans on rec(part, span);`

// Open opens or makes the data folder, locks it, counts the epoch up and
// reads all partitions. A damaged file is set aside and the folder starts empty,
// with a new identity, and so is a back-up, unless a file MajorityLostFile stands
// beside it, and a state that was found superseded; a file of another fleet
// (OtherFleetError) or a newer format (NewerFormatError) is refused, and so is a
// folder that another daemon has open (ErrLocked).
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
	if err := s.removeOneStartFiles(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// lockFolder makes the folder if it isn't there and locks it for this process.
func lockFolder(dir string) (*os.File, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, Error.Wrap(fmt.Errorf("%s: can't be made: %w", dir, err))
	}
	lock, err := os.OpenFile(filepath.Join(dir, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, Error.Wrap(fmt.Errorf("%s: can't be written: %w", dir, err))
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, Error.Wrap(fmt.Errorf("%s: %w", dir, ErrLocked))
	}
	return lock, nil
}

// openOrStartEmpty opens the folder's state, or sets it aside and begins empty if it
// isn't one that counts.
func (s *Store) openOrStartEmpty(fleet string) error {
	err := s.openOwnState(fleet)
	if err == nil {
		return nil
	}
	why, ok := whyQuarantine(err)
	if !ok {
		return err
	}
	s.WasBackup, s.WasSuperseded = why == quarantinedBackup, why == quarantinedSuperseded
	if s.QuarantinePath, err = quarantine(s.statePath(), why, err); err != nil {
		return err
	}
	return s.openState(fleet)
}

// openState opens the folder's file, or makes it, as the state of this daemon: begins
// a new incarnation in it and reads all partitions.
func (s *Store) openState(fleet string) error {
	if err := s.openDatabase(); err != nil {
		return err
	}
	head, err := s.readHead()
	if err != nil {
		return err
	}
	restored := len(head) > 0 && s.has(MajorityLostFile)
	if len(head) == 0 {
		s.Empty, s.Ident, s.Epoch = true, NewIdent(), 0
		head = newHead(fleet, s.Ident)
	} else if err := s.checkHead(head, fleet, restored); err != nil {
		return err
	}
	if err := s.beginIncarnation(head, restored); err != nil {
		return err
	}
	if err := s.load(); err != nil || !restored {
		return err
	}
	return s.disownIncarnations()
}

// openDatabase opens the file, checks it and makes the tables that it lacks.
func (s *Store) openDatabase() error {
	if s.db != nil {
		_ = s.db.Close()
		s.db = nil
	}
	// One connection that keeps its lock: the index of the log is then in memory,
	// not in a mapped file. The mode is set after the lock's, or it would be mapped.
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
		fmt.Sprintf("pragma journal_size_limit=%d", logSize),
		"pragma quick_check(1)",
	} {
		if err := db.QueryRow(pragma).Scan(&answer); err != nil {
			return Error.Wrap(err)
		}
	}
	if answer != "ok" { // of the check
		return corruptError{Error.New("%s: %s", s.statePath(), answer)}
	}
	_, err = db.Exec(schema)
	return Error.Wrap(err)
}

// databaseURI names a file for SQLite. The characters of the path that mean something
// in a URI are the name's own.
func databaseURI(path, options string) string {
	return "file:" + (&url.URL{Path: path}).EscapedPath() + "?" + options
}

// removeOneStartFiles removes the files that count for one start.
func (s *Store) removeOneStartFiles() error {
	for _, name := range []string{MajorityLostFile, SupersededFile} {
		if err := os.Remove(filepath.Join(s.dir, name)); err != nil && !os.IsNotExist(err) {
			return Error.Wrap(err)
		}
	}
	return Error.Wrap(syncDir(s.dir))
}

// has tells whether the folder has a file, or might have one that can't be seen.
func (s *Store) has(name string) bool {
	_, err := os.Stat(filepath.Join(s.dir, name))
	return !os.IsNotExist(err)
}

// syncDir has the names in a folder last.
func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return f.Sync()
}

// each runs through the rows of a query; one that ends early is an error.
func (s *Store) each(query string, f func(scan func(...any) error) error) error {
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
