package storage

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"mulleinmast/control/digest"
	"mulleinmast/control/incarnation"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

func open(t *testing.T, dir string) *Store {
	t.Helper()
	store, err := Open(dir, "f")
	if err != nil {
		t.Fatal(err)
	}
	return store
}

func TestStateSurvives(t *testing.T) {
	dir := t.TempDir()
	store := open(t, dir)
	id := store.Ident
	if !store.Empty || incarnation.Starts(store.Epoch) != 1 {
		t.Fatalf("%+v", store)
	}
	meta := quorum.Meta{VotedTerm: 4, VotedFor: id, LastComplete: 3, Group: message.Group{Number: 1, Replicas: []message.Replica{{Ident: id}}}}
	recs := []message.Record{{Key: "plan/now", Version: message.Version{Term: 3, Seq: 1}, Value: []byte("p")}, {Key: "once/k", Version: message.Version{Term: 3, Seq: 2}, Deleted: true}}
	if err := store.Write([]quorum.Save{{Partition: 2, Meta: meta, Records: recs}}); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir, "f"); err == nil || !strings.Contains(err.Error(), "another daemon") {
		t.Errorf("opened twice: %v", err)
	}
	store.Close()
	store = open(t, dir)
	if store.Ident != id || incarnation.Starts(store.Epoch) != 2 || store.Empty || store.Partitions[2].Meta.VotedTerm != 4 || store.Partitions[2].Records.Size() != 2 {
		t.Errorf("%+v", store)
	}
	// A wipe of a range takes only what is in it.
	if err := store.Write([]quorum.Save{{Partition: 2, Meta: meta, WipeRanges: []int{digest.RangeOf("plan/now")}}}); err != nil {
		t.Fatal(err)
	}
	store.Close()
	store = open(t, dir)
	defer store.Close()
	if _, ok := store.Partitions[2].Records.Get("plan/now"); ok || store.Partitions[2].Records.Size() != 1 {
		t.Error("wipe")
	}
}

func TestUnusableFolders(t *testing.T) {
	dir := t.TempDir()
	store := open(t, dir)
	if _, err := store.db.Exec("update meta set v='9' where k='format'"); err != nil {
		t.Fatal(err)
	}
	store.Close()
	if _, err := Open(dir, "f"); err == nil || !strings.Contains(err.Error(), "format 9") {
		t.Errorf("newer format: %v", err)
	}
	other := t.TempDir()
	open(t, other).Close()
	if _, err := Open(other, "g"); err == nil || !strings.Contains(err.Error(), "belongs to fleet") {
		t.Errorf("other fleet: %v", err)
	}
	if _, err := Open(filepath.Join(other, "state.db"), "f"); err == nil {
		t.Error("a file taken for a folder")
	}
	// Damage: set aside, and the daemon is a new one with no vote.
	hurt := t.TempDir()
	store = open(t, hurt)
	id := store.Ident
	store.Close()
	path := filepath.Join(hurt, "state.db")
	if err := os.WriteFile(path, []byte("this is no database, not at all, by no means"), 0o600); err != nil {
		t.Fatal(err)
	}
	store = open(t, hurt)
	defer store.Close()
	if store.QuarantinePath == "" || !store.Empty || store.Ident == id {
		t.Errorf("damaged: %+v", store)
	}
}

// A write that SQLite refuses leaves nothing behind, neither for now nor after
// a restart; with room again the same write is taken.
func TestFullDiskTakesNothing(t *testing.T) {
	dir := t.TempDir()
	store := open(t, dir)
	meta := quorum.Meta{VotedTerm: 1, Group: message.Group{Number: 1, Replicas: []message.Replica{{Ident: store.Ident}}}}
	if err := store.Write([]quorum.Save{{Partition: 0, Meta: meta}}); err != nil {
		t.Fatal(err)
	}
	if err := store.SetFull(true); err != nil {
		t.Fatal(err)
	}
	next := meta
	next.VotedTerm = 2
	big := []quorum.Save{{Partition: 0, Meta: next}, {Partition: 1, Meta: next, Records: []message.Record{{Key: "k", Version: message.Version{Term: 1, Seq: 1}, Value: make([]byte, 1<<20)}}}}
	if err := store.Write(big); err == nil || !strings.Contains(err.Error(), "full") {
		t.Fatalf("a full disk said %v", err)
	}
	store.Close()
	store = open(t, dir)
	defer store.Close()
	if store.Partitions[0].Meta.VotedTerm != 1 || len(store.Partitions) != 1 {
		t.Errorf("half of a write is there: %+v", store.Partitions)
	}
	if err := store.Write(big); err != nil {
		t.Errorf("with room again: %v", err)
	}
}

// A value spoilt in place, its version intact, counts as missing.
func TestCorruptValueIsMissing(t *testing.T) {
	dir := t.TempDir()
	store := open(t, dir)
	recs := []message.Record{{Key: "a", Version: message.Version{Term: 1, Seq: 1}, Value: []byte("x")}, {Key: "b", Version: message.Version{Term: 1, Seq: 2}, Deleted: true}, {Key: "c", Version: message.Version{Term: 1, Seq: 3}}}
	if err := store.Write([]quorum.Save{{Partition: 0, Records: recs}}); err != nil {
		t.Fatal(err)
	}
	store.Close()
	if store = open(t, dir); store.CorruptRecords != 0 || store.Partitions[0].Records.Size() != 3 {
		t.Fatalf("%d spoilt, %d held", store.CorruptRecords, store.Partitions[0].Records.Size())
	}
	if _, err := store.db.Exec("update rec set val='y' where key='a'"); err != nil {
		t.Fatal(err)
	}
	store.Close()
	store = open(t, dir)
	defer store.Close()
	if _, ok := store.Partitions[0].Records.Get("a"); ok || store.CorruptRecords != 1 || store.Partitions[0].Records.Size() != 2 {
		t.Errorf("%d spoilt, %d held", store.CorruptRecords, store.Partitions[0].Records.Size())
	}
	// A record written by a build that keeps no sums is taken as it is.
	if _, err := store.db.Exec("insert or replace into rec values(0,'a',0,2,1,0,'z')"); err != nil {
		t.Fatal(err)
	}
	store.Close()
	if store = open(t, dir); store.CorruptRecords != 0 || store.Partitions[0].Records.Size() != 3 {
		t.Errorf("written by another build: %d spoilt, %d held", store.CorruptRecords, store.Partitions[0].Records.Size())
	}
}

// A file that can't be read or written now isn't a damaged one: it stays where
// it is, and opens once the disk allows it.
func TestUnreadableFileIsNotCorrupt(t *testing.T) {
	dir := t.TempDir()
	store := open(t, dir)
	id := store.Ident
	store.Close()
	wal := filepath.Join(dir, "state.db-wal")
	if err := os.Mkdir(wal, 0o700); err != nil { // the log can't be opened
		t.Fatal(err)
	}
	if store, err := Open(dir, "f"); err == nil {
		t.Fatalf("opened as %s, it was %s; set aside as %q", store.Ident, id, store.QuarantinePath)
	}
	if err := os.Remove(wal); err != nil {
		t.Fatal(err)
	}
	store = open(t, dir)
	defer store.Close()
	if store.Ident != id || store.QuarantinePath != "" {
		t.Errorf("it was %s, is %s; set aside as %q", id, store.Ident, store.QuarantinePath)
	}
}

// roomKey names the room that a child of the test has on its disk.
const roomKey = "STORAGE_TEST_ROOM"

// The same where the disk has no room for one more byte.
func TestFullDiskAtStartIsNotCorrupt(t *testing.T) {
	if room := os.Getenv(roomKey); room != "" {
		openWithRoom(room)
		return
	}
	dir := t.TempDir()
	store := open(t, dir)
	id := store.Ident
	rec := message.Record{Key: "k", Version: message.Version{Term: 1, Seq: 1}, Value: make([]byte, 1<<16)}
	if err := store.Write([]quorum.Save{{Partition: 0, Records: []message.Record{rec}}}); err != nil {
		t.Fatal(err)
	}
	store.Close()
	for _, room := range []string{"0", "32", "4096", "8192", "65536"} {
		cmd := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
		cmd.Env = append(os.Environ(), roomKey+"="+room+" "+dir)
		said, _ := cmd.CombinedOutput()
		left, _ := filepath.Glob(filepath.Join(dir, "*.damaged-*"))
		if len(left) > 0 || strings.Contains(string(said), "opened as") && !strings.Contains(string(said), "opened as "+id) {
			t.Fatalf("room for %s bytes: %v\n%s", room, left, said)
		}
		if !strings.Contains(string(said), "opened as") && !strings.Contains(string(said), "may pass: true") {
			t.Errorf("room for %s bytes: not taken for trouble that may pass: %s", room, said)
		}
		t.Logf("room for %s bytes: %s", room, said)
	}
	store = open(t, dir)
	defer store.Close()
	if _, ok := store.Partitions[0].Records.Get("k"); store.Ident != id || !ok {
		t.Errorf("with room again: %s, it was %s; record there: %v", store.Ident, id, ok)
	}
}

// openWithRoom opens a folder where no file may grow above a length.
func openWithRoom(of string) {
	room, dir, _ := strings.Cut(of, " ")
	most, _ := strconv.ParseUint(room, 10, 64)
	signal.Ignore(syscall.SIGXFSZ)
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: most, Max: most}); err != nil {
		fmt.Println(err)
		return
	}
	store, err := Open(dir, "f")
	if err != nil {
		fmt.Println("may pass:", IsTransient(err), err)
		return
	}
	fmt.Println("opened as " + store.Ident)
	store.Close()
}

// Each batch is synced, and the index of the log is in memory: writes through a
// mapping reach a file late.
func TestLogIsSyncedAndNotMapped(t *testing.T) {
	dir := t.TempDir()
	store := open(t, dir)
	defer store.Close()
	for ask, want := range map[string]string{"pragma synchronous": "2", "pragma journal_mode": "wal", "pragma locking_mode": "exclusive"} {
		var word string
		if err := store.db.QueryRow(ask).Scan(&word); err != nil || word != want {
			t.Errorf("%s: %s, %v", ask, word, err)
		}
	}
	if _, err := os.Stat(filepath.Join(dir, "state.db-shm")); !os.IsNotExist(err) {
		t.Errorf("the index of the log is mapped: %v", err)
	}
}

// Sums of records that are gone don't stay behind.
func TestNoFingerprintIsLeftBehind(t *testing.T) {
	s := fillFolder(t, 6)
	for range 40 {
		s.write(t)
	}
	var recs, sums int
	if err := s.db.QueryRow("select (select count(*) from rec), (select count(*) from sums)").Scan(&recs, &sums); err != nil || recs != sums || recs != s.records[0].Size()+s.records[1].Size() {
		t.Errorf("%d records, %d sums, %v", recs, sums, err)
	}
}

// A back-up that is written while the folder is in use opens as the state was,
// where an operator says that a majority of the disks is lost; that is said for
// one start, after which the folder's state is its own again.
func TestBackupIsComplete(t *testing.T) {
	s := fillFolder(t, 7)
	want := s.records[0].Sum()
	dir := t.TempDir()
	if err := s.Backup(filepath.Join(dir, "state.db")); err != nil {
		t.Fatal(err)
	}
	s.write(t)
	said := filepath.Join(dir, MajorityLostFile)
	if err := os.WriteFile(said, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for start := range 2 {
		store := open(t, dir)
		if store.Ident != s.Ident || len(store.IncompletePartitions) > 0 || store.WasBackup || store.QuarantinePath != "" || store.Partitions[0].Records.Sum() != want {
			t.Errorf("start %d: %s, short %v, moved %q, %x instead of %x", start, store.Ident, store.IncompletePartitions, store.QuarantinePath, store.Partitions[0].Records.Sum(), want)
		}
		if _, err := os.Stat(said); !os.IsNotExist(err) {
			t.Errorf("start %d: what the operator said stands still: %v", start, err)
		}
		store.Close()
	}
}

// A back-up in the place of a folder's state counts for nothing while other disks
// may have what is newer: it is set aside, and the folder starts empty under an
// identity of its own.
func TestBackupIsQuarantined(t *testing.T) {
	s := fillFolder(t, 7)
	dir := t.TempDir()
	if err := s.Backup(filepath.Join(dir, "state.db")); err != nil {
		t.Fatal(err)
	}
	store := open(t, dir)
	if !store.WasBackup || !store.Empty || store.Ident == s.Ident || len(store.Partitions) > 0 || !strings.HasPrefix(store.QuarantinePath, filepath.Join(dir, "state.db.")) {
		t.Errorf("copied %v, empty %v, %s (the original is %s), %d partitions, moved to %q", store.WasBackup, store.Empty, store.Ident, s.Ident, len(store.Partitions), store.QuarantinePath)
	}
	if _, err := os.Stat(store.QuarantinePath); err != nil {
		t.Errorf("the back-up is gone: %v", err)
	}
	ident := store.Ident
	store.Close()
	if store = open(t, dir); store.Ident != ident || store.WasBackup || store.QuarantinePath != "" {
		t.Errorf("the next start: %s, copied %v, moved to %q", store.Ident, store.WasBackup, store.QuarantinePath)
	}
	store.Close()
}

// A folder may have any name: what is written there is read there.
func TestFolderOfAnyName(t *testing.T) {
	for _, name := range []string{"a#b", "a?b=c", "a%41b", "a b", "a&_synchronous=OFF"} {
		dir := filepath.Join(t.TempDir(), name)
		first, err := Open(dir, "f")
		if err != nil {
			t.Errorf("%q: %v", name, err)
			continue
		}
		first.Close()
		if _, err := os.Stat(filepath.Join(dir, "state.db")); err != nil {
			t.Errorf("%q: the state is not in its folder: %v", name, err)
		}
		again, err := Open(dir, "f")
		if err != nil || again.Ident != first.Ident || incarnation.Compare(again.Epoch, first.Epoch) != incarnation.Later || incarnation.Starts(again.Epoch) != incarnation.Starts(first.Epoch)+1 {
			t.Errorf("%q: %v, another identity or epoch", name, err)
			continue
		}
		var mode string
		if err := again.db.QueryRow("pragma locking_mode").Scan(&mode); err != nil || mode != "exclusive" {
			t.Errorf("%q: locking mode %s %v", name, mode, err)
		}
		again.Close()
	}
}
