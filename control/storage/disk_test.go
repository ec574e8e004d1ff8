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

	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// A write that SQLite refuses leaves nothing behind, neither for now nor after
// a restart; with room again the same write is taken.
func TestFullDiskTakesNothing(t *testing.T) {
	dir := t.TempDir()
	store := open(t, dir)
	meta := quorum.Meta{VotedTerm: 1, Group: groupOf(store.Ident)}
	if err := store.Write([]quorum.Save{{Partition: 0, Meta: meta}}); err != nil {
		t.Fatal(err)
	}
	if err := store.SetFull(true); err != nil {
		t.Fatal(err)
	}
	next := meta
	next.VotedTerm = 2
	large := message.Record{Key: "k", Version: message.Version{Term: 1, Seq: 1}, Value: make([]byte, 1<<20)}
	big := []quorum.Save{
		{Partition: 0, Meta: next},
		{Partition: 1, Meta: next, Records: []message.Record{large}},
	}
	if err := store.Write(big); err == nil || !strings.Contains(err.Error(), "full") {
		t.Fatalf("a full disk gave %v", err)
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
		output, _ := cmd.CombinedOutput()
		left, _ := filepath.Glob(filepath.Join(dir, "*.damaged-*"))
		opened := strings.Contains(string(output), "opened as")
		if len(left) > 0 || opened && !strings.Contains(string(output), "opened as "+id) {
			t.Fatalf("room for %s bytes: %v\n%s", room, left, output)
		}
		if !opened && !strings.Contains(string(output), "may pass: true") {
			t.Errorf("room for %s bytes: not taken for trouble that may pass: %s", room, output)
		}
		t.Logf("room for %s bytes: %s", room, output)
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
	for pragma, want := range map[string]string{
		"pragma synchronous":  "2",
		"pragma journal_mode": "wal",
		"pragma locking_mode": "exclusive",
	} {
		var got string
		if err := store.db.QueryRow(pragma).Scan(&got); err != nil || got != want {
			t.Errorf("%s: %s, %v", pragma, got, err)
		}
	}
	if _, err := os.Stat(filepath.Join(dir, "state.db-shm")); !os.IsNotExist(err) {
		t.Errorf("the index of the log is mapped: %v", err)
	}
}
