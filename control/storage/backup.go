package storage

import (
	"database/sql"
	"os"
)

// Backup writes a consistent copy of the state to a file that must not exist yet, and
// marks the copy as a back-up.
//
// Example: err := s.Backup("/safe/state-1.db")
func (s *Store) Backup(path string) error {
	if _, err := s.db.Exec("vacuum into ?", path); err != nil {
		return Error.Wrap(err)
	}
	if err := markBackup(path); err != nil {
		_ = os.Remove(path) // an unmarked copy could be mistaken for the live state of a folder
		return Error.Wrap(err)
	}
	return nil
}

// markBackup marks a file as a back-up in its header.
func markBackup(path string) error {
	db, err := sql.Open("sqlite3", databaseURI(path, "_synchronous=FULL"))
	if err != nil {
		return err
	}
	defer func() { _ = db.Close() }()
	_, err = db.Exec("insert or replace into meta values(?,?)", headerBackup, "1")
	return err
}
