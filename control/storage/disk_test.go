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

// A write that fails on a full disk must leave none of its data behind, even after a restart.
// Once there is space, the same write succeeds.
func TestFailedWriteLeavesNothing(t *testing.T) {
	dir := t.TempDir()
	store := open(t, dir)
	meta := quorum.Meta{VotedTerm: 1, Group: singleReplicaGroup(store.Ident)}
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
		t.Fatalf("write to a full disk: %v", err)
	}
	store.Close()
	store = open(t, dir)
	defer store.Close()
	if store.Partitions[0].Meta.VotedTerm != 1 || len(store.Partitions) != 1 {
		t.Errorf("part of the failed write is on disk: %+v", store.Partitions)
	}
	if err := store.Write(big); err != nil {
		t.Errorf("write with space available: %v", err)
	}
}

// A file that temporarily can't be read or written must not be treated as damaged. It stays
// in place and opens once it is accessible.
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
		t.Fatalf("opened as %s, expected an error; the identity was %s, quarantined as %q",
			store.Ident, id, store.QuarantinePath)
	}
	if err := os.Remove(wal); err != nil {
		t.Fatal(err)
	}
	store = open(t, dir)
	defer store.Close()
	if store.Ident != id || store.QuarantinePath != "" {
		t.Errorf("the identity was %s, is %s; quarantined as %q", id, store.Ident, store.QuarantinePath)
	}
}

// fileSizeLimitEnv is the environment variable that passes a file size limit and a folder
// to the child process of a test.
const fileSizeLimitEnv = "STORAGE_TEST_ROOM"

// A full disk at start must not be treated as damage. A child process opens the folder under
// a limit on the size of files.
func TestFullDiskAtStartIsNotCorrupt(t *testing.T) {
	if arg := os.Getenv(fileSizeLimitEnv); arg != "" {
		openWithFileSizeLimit(arg)
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
	for _, limit := range []string{"0", "32", "4096", "8192", "65536"} {
		cmd := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
		cmd.Env = append(os.Environ(), fileSizeLimitEnv+"="+limit+" "+dir)
		output, _ := cmd.CombinedOutput()
		quarantined, _ := filepath.Glob(filepath.Join(dir, "*.damaged-*"))
		opened := strings.Contains(string(output), "opened as")
		if len(quarantined) > 0 || opened && !strings.Contains(string(output), "opened as "+id) {
			t.Fatalf("limit of %s bytes: %v\n%s", limit, quarantined, output)
		}
		if !opened && !strings.Contains(string(output), "transient error: true") {
			t.Errorf("limit of %s bytes: not treated as a transient error: %s", limit, output)
		}
		t.Logf("limit of %s bytes: %s", limit, output)
	}
	store = open(t, dir)
	defer store.Close()
	if _, ok := store.Partitions[0].Records.Get("k"); store.Ident != id || !ok {
		t.Errorf("without a limit: identity %s, expected %s; record present: %v", store.Ident, id, ok)
	}
}

// openWithFileSizeLimit opens a folder under a limit on the size of files. Its argument
// holds the limit in bytes and the folder.
func openWithFileSizeLimit(arg string) {
	size, dir, _ := strings.Cut(arg, " ")
	limit, _ := strconv.ParseUint(size, 10, 64)
	signal.Ignore(syscall.SIGXFSZ)
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: limit, Max: limit}); err != nil {
		fmt.Println(err)
		return
	}
	store, err := Open(dir, "f")
	if err != nil {
		fmt.Println("transient error:", IsTransient(err), err)
		return
	}
	fmt.Println("opened as " + store.Ident)
	store.Close()
}

// Each batch is synced. The index of the log must not be memory-mapped, since writes
// through a mapping reach the file late.
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
		t.Errorf("the index of the log is memory-mapped: %v", err)
	}
}
