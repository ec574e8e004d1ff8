package storage

import (
	"database/sql"
	"os"
)

// Backup writes a consistent copy of the state, marked as one, to a file that must
// not exist.
//
// Example: err := s.Backup("/safe/state-1.db")
func (s *Store) Backup(path string) error {
	if _, err := s.db.Exec("vacuum into ?", path); err != nil {
		return Error.Wrap(err)
	}
	if err := markBackup(path); err != nil {
		_ = os.Remove(path) // unmarked it would be taken for a folder's own state
		return Error.Wrap(err)
	}
	return nil
}

// markBackup says in the head of a file that it is a back-up.
func markBackup(path string) error {
	db, err := sql.Open("sqlite3", databaseURI(path, "_synchronous=FULL"))
	if err != nil {
		return err
	}
	defer func() { _ = db.Close() }()
	_, err = db.Exec("insert or replace into meta values(?,?)", headBackup, "1")
	return err
}
