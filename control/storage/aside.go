package storage

import (
	"database/sql"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// MajorityLostFile is the name of the file by which an operator says that a majority
// of the disks is lost, so that the back-up beside it is the state that is left.
// Without it a back-up counts for nothing: the other disks have what was written
// since, which a vote of the back-up could undo.
const MajorityLostFile = "majority-lost"

// headBackup is the entry of a file's head that tells a back-up from a folder's own
// state.
const headBackup = "copy"

var errCopy = errors.New("it is a back-up, and no file " + MajorityLostFile + " stands beside it")

// SupersededFile is the name of the file by which a daemon says that its state is
// superseded: another process, or a later state, bears its identity.
const SupersededFile = "superseded"

var errSuperseded = errors.New("its identity is another's")

// restoredStarts is by how many starts an identity is moved on when an operator
// says that a back-up is the state that is left: past all that the others may know
// of it, since they would count it for superseded otherwise.
const restoredStarts = 1 << 16

// openOwn opens the folder's file, unless it was found superseded before. An
// operator's word that the majority is lost goes before that.
func (a *Store) openOwn(dir, path, fleet string) error {
	if exists(filepath.Join(dir, SupersededFile)) && !exists(filepath.Join(dir, MajorityLostFile)) {
		return errSuperseded
	}
	return a.open(path, fleet)
}

// MarkSuperseded has the next start set this state aside and begin empty, under a
// new identity.
//
// Example: err := a.MarkSuperseded()
func (a *Store) MarkSuperseded() error {
	f, err := os.OpenFile(filepath.Join(a.dir, SupersededFile), os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := errors.Join(f.Sync(), f.Close()); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(syncDir(a.dir))
}

// setAside moves a file away that isn't this folder's state; the one that was moved
// before as the same makes room for it.
// The new names last before anything is made under the old ones: a write-ahead
// log that came back beside a new file would be taken for that file's.
func setAside(path, as string, why error) (string, error) {
	before, _ := filepath.Glob(path + "." + as + "-*")
	for _, old := range before {
		_ = os.Remove(old)
	}
	moved := fmt.Sprintf("%s.%s-%d", path, as, time.Now().UnixNano())
	for _, end := range []string{"-wal", "-shm", ""} {
		if err := os.Rename(path+end, moved+end); err != nil && !os.IsNotExist(err) {
			return "", Error.New("%s: not the state (%v) and can't be set aside: %v", path, why, err)
		}
	}
	return moved, Error.Wrap(syncDir(filepath.Dir(path)))
}

func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return f.Sync()
}

// disown takes out of a restored state what it says of incarnations: it isn't where
// its identity came to, and the others may be restored as well.
func (a *Store) disown() error {
	var saves []quorum.Save
	for partition, h := range a.Partitions {
		h.Meta.State, h.Meta.History, h.Meta.Peers = message.SavePoint{}, nil, nil
		a.Partitions[partition] = h
		saves = append(saves, quorum.Save{Partition: partition, Meta: h.Meta, Sum: h.Meta.Sum(h.Records)})
	}
	return a.Write(saves)
}

// exists tells whether there is a file, or might be one that can't be seen.
func exists(path string) bool {
	_, err := os.Stat(path)
	return !os.IsNotExist(err)
}

// Backup writes a consistent copy of the state, marked as one, to a file that must
// not exist.
//
// Example: err := a.Backup("/safe/state-1.db")
func (a *Store) Backup(path string) error {
	if _, err := a.db.Exec("vacuum into ?", path); err != nil {
		return Error.Wrap(err)
	}
	if err := markCopy(path); err != nil {
		_ = os.Remove(path) // unmarked it would be taken for a folder's own state
		return Error.Wrap(err)
	}
	return nil
}

func markCopy(path string) error {
	db, err := sql.Open("sqlite3", "file:"+uriPath(path)+"?_synchronous=FULL")
	if err != nil {
		return err
	}
	defer func() { _ = db.Close() }()
	_, err = db.Exec("insert or replace into meta values(?,?)", headBackup, "1")
	return err
}
