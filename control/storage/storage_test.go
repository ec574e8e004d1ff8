package storage

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"mulleinmast/control/digest"
	"mulleinmast/control/incarnation"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// singleReplicaGroup returns the first group of a partition with one replica.
func singleReplicaGroup(ident string) message.Group {
	return message.Group{Number: 1, Replicas: []message.Replica{{Ident: ident}}}
}

func open(t *testing.T, dir string) *Store {
	t.Helper()
	store, err := Open(dir, "f")
	if err != nil {
		t.Fatal(err)
	}
	return store
}

func TestStateSurvivesRestart(t *testing.T) {
	dir := t.TempDir()
	store := open(t, dir)
	id := store.Ident
	if !store.Empty || incarnation.Starts(store.Epoch) != 1 {
		t.Fatalf("%+v", store)
	}
	meta := quorum.Meta{VotedTerm: 4, VotedFor: id, LastComplete: 3, Group: singleReplicaGroup(id)}
	records := []message.Record{
		{Key: "plan/now", Version: message.Version{Term: 3, Seq: 1}, Value: []byte("p")},
		{Key: "once/k", Version: message.Version{Term: 3, Seq: 2}, Deleted: true},
	}
	if err := store.Write([]quorum.Save{{Partition: 2, Meta: meta, Records: records}}); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(dir, "f"); err == nil || !strings.Contains(err.Error(), "another daemon") {
		t.Errorf("opened twice: %v", err)
	}
	store.Close()
	store = open(t, dir)
	state := store.Partitions[2]
	if store.Ident != id || incarnation.Starts(store.Epoch) != 2 || store.Empty ||
		state.Meta.VotedTerm != 4 || state.Records.Size() != 2 {
		t.Errorf("%+v", store)
	}
	// Wiping a range deletes only the records in it.
	wipe := quorum.Save{Partition: 2, Meta: meta, WipeRanges: []int{digest.RangeOf("plan/now")}}
	if err := store.Write([]quorum.Save{wipe}); err != nil {
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
		t.Error("a file was opened as a folder")
	}
	// A damaged file is quarantined, and the daemon gets a new identity.
	damaged := t.TempDir()
	store = open(t, damaged)
	id := store.Ident
	store.Close()
	path := filepath.Join(damaged, "state.db")
	if err := os.WriteFile(path, []byte("this is no database, not at all, by no means"), 0o600); err != nil {
		t.Fatal(err)
	}
	store = open(t, damaged)
	defer store.Close()
	if store.QuarantinePath == "" || !store.Empty || store.Ident == id {
		t.Errorf("damaged: %+v", store)
	}
}

// A record whose value was altered on disk counts as missing.
func TestCorruptValueIsMissing(t *testing.T) {
	dir := t.TempDir()
	store := open(t, dir)
	records := []message.Record{
		{Key: "a", Version: message.Version{Term: 1, Seq: 1}, Value: []byte("x")},
		{Key: "b", Version: message.Version{Term: 1, Seq: 2}, Deleted: true},
		{Key: "c", Version: message.Version{Term: 1, Seq: 3}},
	}
	if err := store.Write([]quorum.Save{{Partition: 0, Records: records}}); err != nil {
		t.Fatal(err)
	}
	store.Close()
	if store = open(t, dir); store.CorruptRecords != 0 || store.Partitions[0].Records.Size() != 3 {
		t.Fatalf("%d corrupt, %d left", store.CorruptRecords, store.Partitions[0].Records.Size())
	}
	if _, err := store.db.Exec("update rec set val='y' where key='a'"); err != nil {
		t.Fatal(err)
	}
	store.Close()
	store = open(t, dir)
	defer store.Close()
	left := store.Partitions[0].Records
	if _, ok := left.Get("a"); ok || store.CorruptRecords != 1 || left.Size() != 2 {
		t.Errorf("%d corrupt, %d left", store.CorruptRecords, left.Size())
	}
	// A record written by a build that keeps no checksums is accepted unchecked.
	if _, err := store.db.Exec("insert or replace into rec values(0,'a',0,2,1,0,'z')"); err != nil {
		t.Fatal(err)
	}
	store.Close()
	if store = open(t, dir); store.CorruptRecords != 0 || store.Partitions[0].Records.Size() != 3 {
		t.Errorf("written by another build: %d corrupt, %d left", store.CorruptRecords, store.Partitions[0].Records.Size())
	}
}

// Deleting a record also deletes its checksum.
func TestDeletedRecordsLeaveNoSums(t *testing.T) {
	s := newPopulatedStore(t, 6)
	for range 40 {
		s.writeBatch(t)
	}
	var records, sums int
	const count = "select (select count(*) from rec), (select count(*) from sums)"
	err := s.db.QueryRow(count).Scan(&records, &sums)
	if err != nil || records != sums || records != s.records[0].Size()+s.records[1].Size() {
		t.Errorf("%d records, %d sums, %v", records, sums, err)
	}
}

// A folder may have any name, including one with characters that have a meaning in a URI.
func TestFolderNameWithURICharacters(t *testing.T) {
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
		if err != nil || again.Ident != first.Ident ||
			incarnation.Compare(again.Epoch, first.Epoch) != incarnation.Later ||
			incarnation.Starts(again.Epoch) != incarnation.Starts(first.Epoch)+1 {
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
