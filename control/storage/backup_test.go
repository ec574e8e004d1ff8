package storage

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A back-up taken while the folder is in use holds the state of that moment. It opens
// together with a file MajorityLostFile, which applies to one start: the second start needs
// no such file.
func TestBackupIsComplete(t *testing.T) {
	s := newPopulatedStore(t, 7)
	want := s.records[0].Sum()
	dir := t.TempDir()
	if err := s.Backup(filepath.Join(dir, "state.db")); err != nil {
		t.Fatal(err)
	}
	s.writeBatch(t)
	majorityLost := filepath.Join(dir, MajorityLostFile)
	if err := os.WriteFile(majorityLost, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for start := range 2 {
		store := open(t, dir)
		got := store.Partitions[0].Records.Sum()
		if store.Ident != s.Ident || len(store.IncompletePartitions) > 0 || store.WasBackup ||
			store.QuarantinePath != "" || got != want {
			t.Errorf("start %d: %s, incomplete %v, quarantined as %q, digest %x, expected %x",
				start, store.Ident, store.IncompletePartitions, store.QuarantinePath, got, want)
		}
		if _, err := os.Stat(majorityLost); !os.IsNotExist(err) {
			t.Errorf("start %d: the file that applies to one start still exists: %v", start, err)
		}
		store.Close()
	}
}

// A back-up in place of the state file must not be used while other disks may hold later
// writes: it is quarantined, and the folder starts empty under a new identity.
func TestBackupIsQuarantined(t *testing.T) {
	s := newPopulatedStore(t, 7)
	dir := t.TempDir()
	if err := s.Backup(filepath.Join(dir, "state.db")); err != nil {
		t.Fatal(err)
	}
	store := open(t, dir)
	if !store.WasBackup || !store.Empty || store.Ident == s.Ident || len(store.Partitions) > 0 ||
		!strings.HasPrefix(store.QuarantinePath, filepath.Join(dir, "state.db.")) {
		t.Errorf("back-up %v, empty %v, identity %s (the original is %s), %d partitions, quarantined as %q",
			store.WasBackup, store.Empty, store.Ident, s.Ident, len(store.Partitions), store.QuarantinePath)
	}
	if _, err := os.Stat(store.QuarantinePath); err != nil {
		t.Errorf("the quarantined back-up is missing: %v", err)
	}
	ident := store.Ident
	store.Close()
	if store = open(t, dir); store.Ident != ident || store.WasBackup || store.QuarantinePath != "" {
		t.Errorf("the next start: identity %s, back-up %v, quarantined as %q",
			store.Ident, store.WasBackup, store.QuarantinePath)
	}
	store.Close()
}
