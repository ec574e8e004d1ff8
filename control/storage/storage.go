// Package storage keeps a control daemon's state in one SQLite file. A batch
// of saves is one transaction; it is on disk when Write returns.
package storage

import (
	"crypto/rand"
	"database/sql"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	_ "github.com/mattn/go-sqlite3" // the driver
	"github.com/zeebo/errs"

	"mulleinmast/control/digest"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// Format is the version of the files written here.
const Format = 1

// Error is the class of this package's errors.
var Error = errs.Class("data folder")

// Held is one partition's state as found on disk.
type Held struct {
	Meta    quorum.Meta
	Records *digest.Records
}

// Store is an open data folder.
type Store struct {
	db         *sql.DB
	lock       *os.File
	Ident      string
	Epoch      uint64
	Empty      bool   // nothing was here before
	Moved      string // where a damaged file was put, if one was found
	Partitions map[int]Held
	Spoilt     int // records whose value isn't what was written: they count as missing
}

// Open opens or makes the data folder, locks it, counts the epoch up and
// reads all partitions. A damaged file is set aside and the folder starts empty,
// with a new identity; a file of another fleet or a newer format is refused.
//
// Example: a, err := storage.Open("/var/lib/mulleinmast", "rangsit")
func Open(dir, fleet string) (*Store, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, Error.New("%s: can't be made: %v", dir, err)
	}
	lock, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, Error.New("%s: can't be written: %v", dir, err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, Error.New("%s: another daemon has it open", dir)
	}
	a := &Store{lock: lock}
	path := filepath.Join(dir, "state.db")
	if err := a.open(path, fleet); err != nil {
		if !damaged(err) {
			a.Close()
			return nil, err
		}
		a.Moved = fmt.Sprintf("%s.damaged-%d", path, time.Now().UnixNano())
		for _, end := range []string{"", "-wal", "-shm"} {
			if er := os.Rename(path+end, a.Moved+end); er != nil && !os.IsNotExist(er) {
				a.Close()
				return nil, Error.New("%s: damaged (%v) and can't be set aside: %v", path, err, er)
			}
		}
		if err := a.open(path, fleet); err != nil {
			a.Close()
			return nil, err
		}
	}
	if err := syncDir(dir); err != nil {
		a.Close()
		return nil, Error.Wrap(err)
	}
	return a, nil
}

type damage struct{ error }

func damaged(err error) bool {
	var d damage
	return errors.As(err, &d)
}

func syncDir(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	return f.Sync()
}

const schema = `
create table if not exists meta(k text primary key, v text not null);
create table if not exists seat(part integer primary key, v text not null);
create table if not exists rec(part integer, key text, span integer, term integer, seq integer, dead integer, val blob, primary key(part,key)) without rowid;
create table if not exists sums(part integer, key text, term integer, seq integer, sum integer, primary key(part,key)) without rowid;
create index if not exists spans on rec(part, span);`

func (a *Store) open(path, fleet string) error {
	if a.db != nil {
		_ = a.db.Close()
		a.db = nil
	}
	db, err := sql.Open("sqlite3", "file:"+path+"?_journal_mode=WAL&_synchronous=FULL&_busy_timeout=1000")
	if err != nil {
		return Error.Wrap(err)
	}
	db.SetMaxOpenConns(1)
	a.db = db
	var word string
	if err := db.QueryRow("pragma quick_check(1)").Scan(&word); err != nil || word != "ok" {
		return damage{Error.New("%s: %v %s", path, err, word)}
	}
	if _, err := db.Exec(schema); err != nil {
		return damage{Error.New("%s: %v", path, err)}
	}
	meta := map[string]string{}
	rows, err := db.Query("select k, v from meta")
	if err != nil {
		return damage{Error.Wrap(err)}
	}
	for rows.Next() {
		var k, v string
		if err := rows.Scan(&k, &v); err != nil {
			return damage{Error.Wrap(err)}
		}
		meta[k] = v
	}
	_ = rows.Close()
	if len(meta) == 0 {
		a.Empty, a.Ident, a.Epoch = true, NewIdent(), 1
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
		a.Ident = meta["ident"]
		if _, err := fmt.Sscan(meta["epoch"], &a.Epoch); err != nil || a.Ident == "" {
			return damage{Error.New("%s: no identity or epoch", path)}
		}
		a.Epoch++
	}
	meta["epoch"] = fmt.Sprint(a.Epoch)
	tx, err := db.Begin()
	if err != nil {
		return Error.Wrap(err)
	}
	for k, v := range meta {
		if _, err := tx.Exec("insert or replace into meta values(?,?)", k, v); err != nil {
			_ = tx.Rollback()
			return Error.Wrap(err)
		}
	}
	if err := tx.Commit(); err != nil {
		return Error.New("%s: can't be written: %v", path, err)
	}
	return a.load()
}

func (a *Store) load() error {
	a.Partitions = map[int]Held{}
	rows, err := a.db.Query("select part, v from seat")
	if err != nil {
		return damage{Error.Wrap(err)}
	}
	defer func() { _ = rows.Close() }()
	for rows.Next() {
		var partition int
		var v string
		h := Held{Records: digest.NewRecords()}
		if err := rows.Scan(&partition, &v); err != nil {
			return damage{Error.Wrap(err)}
		}
		if err := json.Unmarshal([]byte(v), &h.Meta); err != nil {
			return damage{Error.Wrap(err)}
		}
		a.Partitions[partition] = h
	}
	_ = rows.Close()
	recs, err := a.db.Query("select r.part, r.key, r.term, r.seq, r.dead, r.val, s.sum from rec r left join sums s on s.part=r.part and s.key=r.key and s.term=r.term and s.seq=r.seq")
	if err != nil {
		return damage{Error.Wrap(err)}
	}
	defer func() { _ = recs.Close() }()
	for recs.Next() {
		var partition int
		var r message.Rec
		var sum sql.NullInt64 // a build before this one writes none
		if err := recs.Scan(&partition, &r.Key, &r.Ver.Term, &r.Ver.Seq, &r.Dead, &r.Val, &sum); err != nil {
			return damage{Error.Wrap(err)}
		}
		h, ok := a.Partitions[partition]
		if !ok {
			return damage{Error.New("record %q of partition %d, which has no replica", r.Key, partition)}
		}
		if sum.Valid && sum.Int64 != int64(digest.Print(r)) {
			a.Spoilt++
			continue
		}
		h.Records.Put(r)
	}
	if err := recs.Err(); err != nil {
		return damage{Error.Wrap(err)}
	}
	return nil
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
			b, err := json.Marshal(s.Meta)
			if err != nil {
				return err
			}
			if _, err := tx.Exec("insert or replace into seat values(?,?)", s.Partition, string(b)); err != nil {
				return err
			}
			for _, sp := range s.Wipe {
				if _, err := tx.Exec("delete from rec where part=? and span=?", s.Partition, sp); err != nil {
					return err
				}
			}
			for _, k := range s.Drop {
				for _, from := range []string{"rec", "sums"} {
					if _, err := tx.Exec("delete from "+from+" where part=? and key=?", s.Partition, k); err != nil {
						return err
					}
				}
			}
			for _, r := range s.Recs {
				if _, err := tx.Exec("insert or replace into rec values(?,?,?,?,?,?,?)", s.Partition, r.Key, digest.Span(r.Key), r.Ver.Term, r.Ver.Seq, r.Dead, r.Val); err != nil {
					return err
				}
				if _, err := tx.Exec("insert or replace into sums values(?,?,?,?,?)", s.Partition, r.Key, r.Ver.Term, r.Ver.Seq, int64(digest.Print(r))); err != nil {
					return err
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

// Backup writes a consistent copy of the state to a file that must not exist.
//
// Example: err := a.Backup("/safe/state-1.db")
func (a *Store) Backup(path string) error {
	_, err := a.db.Exec("vacuum into ?", path)
	return Error.Wrap(err)
}

// Full is a switch for tests: the disk is as if full, so that SQLite itself
// refuses to grow the file.
//
// Example: err := a.Full(true)
func (a *Store) Full(on bool) error {
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
