package storage

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

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
	majorityLost := filepath.Join(dir, MajorityLostFile)
	if err := os.WriteFile(majorityLost, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for start := range 2 {
		store := open(t, dir)
		got := store.Partitions[0].Records.Sum()
		if store.Ident != s.Ident || len(store.IncompletePartitions) > 0 || store.WasBackup ||
			store.QuarantinePath != "" || got != want {
			t.Errorf("start %d: %s, incomplete %v, set aside as %q, %x instead of %x",
				start, store.Ident, store.IncompletePartitions, store.QuarantinePath, got, want)
		}
		if _, err := os.Stat(majorityLost); !os.IsNotExist(err) {
			t.Errorf("start %d: the file that counts for one start is still there: %v", start, err)
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
	if !store.WasBackup || !store.Empty || store.Ident == s.Ident || len(store.Partitions) > 0 ||
		!strings.HasPrefix(store.QuarantinePath, filepath.Join(dir, "state.db.")) {
		t.Errorf("back-up %v, empty %v, %s (the original is %s), %d partitions, set aside as %q",
			store.WasBackup, store.Empty, store.Ident, s.Ident, len(store.Partitions), store.QuarantinePath)
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
