// Package storage keeps a control daemon's state in one SQLite file. A batch
// of saves is one transaction; it is on disk when Write returns.
package storage

import (
	"crypto/rand"
	"database/sql"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"os"
	"path/filepath"
	"syscall"

	"github.com/mattn/go-sqlite3"
	"github.com/zeebo/errs"

	"mulleinmast/control/digest"
	"mulleinmast/control/incarnation"
	"mulleinmast/control/quorum"
)

// Format is the version of the files written here.
const Format = 1

// Error is the class of this package's errors.
var Error = errs.Class("data folder")

// logSize is the length that the write-ahead log is cut back to once it was
// longer; it is copied into the file at about that length.
const logSize = 4 << 20

// PartitionState is one partition's state as found on disk.
type PartitionState struct {
	Meta    quorum.Meta
	Records *digest.Records
}

// Store is an open data folder.
type Store struct {
	db                   *sql.DB
	lock                 *os.File
	dir                  string
	Ident                string
	Epoch                uint64
	Empty                bool   // nothing was here before
	QuarantinePath       string // where a file that was damaged, or a back-up, was put, if one was found
	WasBackup            bool   // what was moved is a back-up
	WasSuperseded        bool   // what was moved is superseded: another process, or a later state, bears its identity
	Partitions           map[int]PartitionState
	CorruptRecords       int   // records whose value isn't what was written: they count as missing
	IncompletePartitions []int // partitions that are not what was written: they have no vote until they are filled
}

// Open opens or makes the data folder, locks it, counts the epoch up and
// reads all partitions. A damaged file is set aside and the folder starts empty,
// with a new identity, and so is a back-up, unless a file MajorityLostFile stands
// beside it, and a state that was found superseded; a file of another fleet or a
// newer format is refused.
//
// Example: a, err := storage.Open("/var/lib/mulleinmast", "rangsit")
func Open(dir, fleet string) (*Store, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, Error.Wrap(fmt.Errorf("%s: can't be made: %w", dir, err))
	}
	lock, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, Error.Wrap(fmt.Errorf("%s: can't be written: %w", dir, err))
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, Error.New("%s: another daemon has it open", dir)
	}
	a := &Store{lock: lock, dir: dir}
	path := filepath.Join(dir, "state.db")
	if err := a.openOwn(dir, path, fleet); err != nil {
		a.WasBackup, a.WasSuperseded = errors.Is(err, errCopy), errors.Is(err, errSuperseded)
		if !a.WasBackup && !a.WasSuperseded && !damaged(err) {
			a.Close()
			return nil, err
		}
		as := "damaged"
		switch {
		case a.WasBackup:
			as = "back-up"
		case a.WasSuperseded:
			as = "superseded"
		}
		if a.QuarantinePath, err = setAside(path, as, err); err != nil {
			a.Close()
			return nil, err
		}
		if err := a.open(path, fleet); err != nil {
			a.Close()
			return nil, err
		}
	}
	for _, once := range []string{MajorityLostFile, SupersededFile} { // each counts for one start
		if err := os.Remove(filepath.Join(dir, once)); err != nil && !os.IsNotExist(err) {
			a.Close()
			return nil, Error.Wrap(err)
		}
	}
	if err := syncDir(dir); err != nil {
		a.Close()
		return nil, Error.Wrap(err)
	}
	return a, nil
}

type damage struct{ error }

// damaged tells whether a file's content is at fault. A disk that is full, slow
// to come back or refuses to be read says nothing of the content: what is on it
// is kept, and opening fails.
func damaged(err error) bool {
	var said sqlite3.Error
	if errors.As(err, &said) {
		return said.Code == sqlite3.ErrCorrupt || said.Code == sqlite3.ErrNotADB
	}
	var d damage
	return errors.As(err, &d)
}

const schema = `
create table if not exists meta(k text primary key, v text not null);
create table if not exists seat(part integer primary key, v text not null);
create table if not exists rec(part integer, key text, span integer, term integer, seq integer, dead integer, val blob, primary key(part,key)) without rowid;
create table if not exists sums(part integer, key text, term integer, seq integer, sum integer, primary key(part,key)) without rowid;
create index if not exists spans on rec(part, span);`

// uriPath is a path as it stands in a URI: the marks that mean something there
// are the name's own.
func uriPath(path string) string { return (&url.URL{Path: path}).EscapedPath() }

func (a *Store) open(path, fleet string) error {
	if a.db != nil {
		_ = a.db.Close()
		a.db = nil
	}
	// One connection that keeps its lock: the index of the log is then in memory,
	// not in a mapped file. The mode is set after the lock's, or it would be mapped.
	db, err := sql.Open("sqlite3", "file:"+uriPath(path)+"?_locking_mode=EXCLUSIVE&_synchronous=FULL&_busy_timeout=1000")
	if err != nil {
		return Error.Wrap(err)
	}
	db.SetMaxOpenConns(1)
	a.db = db
	var word string
	for _, ask := range []string{"pragma journal_mode=WAL", fmt.Sprintf("pragma journal_size_limit=%d", logSize), "pragma quick_check(1)"} {
		if err := db.QueryRow(ask).Scan(&word); err != nil {
			return Error.Wrap(err)
		}
	}
	if word != "ok" {
		return damage{Error.New("%s: %s", path, word)}
	}
	if _, err := db.Exec(schema); err != nil {
		return Error.Wrap(err)
	}
	meta := map[string]string{}
	err = a.each("select k, v from meta", func(scan func(...any) error) error {
		var k, v string
		err := scan(&k, &v)
		meta[k] = v
		return err
	})
	if err != nil {
		return err
	}
	starts := uint64(1)
	_, copied := meta[headBackup]
	restored := len(meta) > 0 && exists(filepath.Join(filepath.Dir(path), MajorityLostFile))
	if len(meta) == 0 {
		a.Empty, a.Ident = true, NewIdent()
		meta = map[string]string{"format": fmt.Sprint(Format), "fleet": fleet, "ident": a.Ident}
	} else {
		n := 0
		if _, err := fmt.Sscan(meta["format"], &n); err != nil {
			return damage{Error.New("%s: no format number", path)}
		}
		if n > Format {
			return Error.New("%s: written in format %d, this build reads up to %d", path, n, Format)
		}
		if meta["fleet"] != fleet {
			return Error.New("%s: belongs to fleet %q, not %q", path, meta["fleet"], fleet)
		}
		if copied && !restored {
			return errCopy
		}
		a.Ident = meta["ident"]
		if _, err := fmt.Sscan(meta["epoch"], &a.Epoch); err != nil || a.Ident == "" {
			return damage{Error.New("%s: no identity or epoch", path)}
		}
		starts += incarnation.Starts(a.Epoch)
		if restored {
			starts += restoredStarts
		}
	}
	a.Epoch = incarnation.Number(starts, newNonce())
	meta["epoch"] = fmt.Sprint(incarnation.Number(starts, incarnation.MaxNonce))
	tx, err := db.Begin()
	if err != nil {
		return Error.Wrap(err)
	}
	delete(meta, headBackup)
	_, err = tx.Exec("delete from meta where k=?", headBackup)
	for k, v := range meta {
		if err == nil {
			_, err = tx.Exec("insert or replace into meta values(?,?)", k, v)
		}
	}
	if err != nil {
		_ = tx.Rollback()
		return Error.Wrap(err)
	}
	if err := tx.Commit(); err != nil {
		return Error.Wrap(fmt.Errorf("%s: can't be written: %w", path, err))
	}
	if err := a.load(); err != nil || !restored {
		return err
	}
	return a.disown()
}

// Write puts a batch of saves on disk, in order and all or nothing.
//
// Example: err := a.Write(out.Saves)
func (a *Store) Write(list []quorum.Save) error {
	tx, err := a.db.Begin()
	if err != nil {
		return Error.Wrap(err)
	}
	err = func() error {
		for _, s := range list {
			b, err := json.Marshal(row{s.Meta, s.Sum, s.Meta.PastSum()})
			if err != nil {
				return err
			}
			if _, err := tx.Exec("insert or replace into seat values(?,?)", s.Partition, string(b)); err != nil {
				return err
			}
			for _, sp := range s.WipeRanges {
				if _, err := tx.Exec("delete from sums where part=? and key in (select key from rec where part=? and span=?)", s.Partition, s.Partition, sp); err != nil {
					return err
				}
				if _, err := tx.Exec("delete from rec where part=? and span=?", s.Partition, sp); err != nil {
					return err
				}
			}
			for _, r := range s.Records {
				if _, err := tx.Exec("insert or replace into rec values(?,?,?,?,?,?,?)", s.Partition, r.Key, digest.RangeOf(r.Key), r.Version.Term, r.Version.Seq, r.Deleted, r.Value); err != nil {
					return err
				}
				if _, err := tx.Exec("insert or replace into sums values(?,?,?,?,?)", s.Partition, r.Key, r.Version.Term, r.Version.Seq, int64(digest.Fingerprint(r))); err != nil {
					return err
				}
			}
			for _, k := range s.Delete {
				for _, from := range []string{"rec", "sums"} {
					if _, err := tx.Exec("delete from "+from+" where part=? and key=?", s.Partition, k); err != nil {
						return err
					}
				}
			}
		}
		return nil
	}()
	if err != nil {
		_ = tx.Rollback()
		return Error.Wrap(err)
	}
	return Error.Wrap(tx.Commit())
}

// SetFull is a switch for tests: the disk is as if full, so that SQLite itself
// refuses to grow the file.
//
// Example: err := a.SetFull(true)
func (a *Store) SetFull(on bool) error {
	most := 1 << 30
	if on {
		most = 1 // SQLite takes the pages in use as the least
	}
	_, err := a.db.Exec(fmt.Sprintf("pragma max_page_count=%d", most))
	return Error.Wrap(err)
}

// Close closes the folder.
//
// Example: defer a.Close()
func (a *Store) Close() {
	if a.db != nil {
		_ = a.db.Close()
	}
	_ = a.lock.Close()
}

// newNonce makes the nonce of a start.
func newNonce() uint32 {
	b := make([]byte, 4)
	if _, err := rand.Read(b); err != nil {
		panic(err) // without randomness two copies could be taken for one
	}
	return min(binary.BigEndian.Uint32(b), incarnation.MaxNonce-1)
}

// NewIdent makes a fresh random identity.
//
// Example: id := storage.NewIdent()
func NewIdent() string {
	b := make([]byte, 8)
	if _, err := rand.Read(b); err != nil {
		panic(err) // without randomness identities could repeat
	}
	return hex.EncodeToString(b)
}
