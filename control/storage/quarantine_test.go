package storage

import (
	"os"
	"path/filepath"
	"testing"

	"mulleinmast/control/incarnation"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// A state that was marked as superseded is quarantined at the next start only; the mark
// doesn't apply to later starts. A file MajorityLostFile overrides the mark.
func TestSupersededStateIsQuarantined(t *testing.T) {
	dir := t.TempDir()
	store := open(t, dir)
	was := store.Ident
	if err := store.MarkSuperseded(); err != nil {
		t.Fatal(err)
	}
	store.Close()
	if err := os.WriteFile(filepath.Join(dir, MajorityLostFile), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	store = open(t, dir)
	if store.Ident != was || store.WasSuperseded {
		t.Errorf("quarantined although the majority is declared lost: %+v", store)
	}
	if err := store.MarkSuperseded(); err != nil {
		t.Fatal(err)
	}
	store.Close()
	store = open(t, dir)
	if store.Ident == was || !store.Empty || !store.WasSuperseded || store.QuarantinePath == "" {
		t.Errorf("superseded: %+v", store)
	}
	next := store.Ident
	store.Close()
	if store = open(t, dir); store.Ident != next || store.WasSuperseded {
		t.Errorf("quarantined a second time: %+v", store)
	}
	store.Close()
}

// A restored state starts with an incarnation number above all that other daemons may have
// seen. The incarnations recorded in the state are cleared.
func TestRestoredStateDisownsIncarnations(t *testing.T) {
	dir := t.TempDir()
	store := open(t, dir)
	past := quorum.Meta{
		Group:   message.Group{Number: 1},
		State:   message.SavePoint{Epoch: store.Epoch, Saves: 4},
		Peers:   []message.PeerIncarnation{{Ident: "b", Epoch: 9 << 32}},
		History: []message.SavePoint{{Epoch: 1 << 32, Saves: 2}},
	}
	if err := store.Write([]quorum.Save{{Partition: 1, Meta: past}}); err != nil {
		t.Fatal(err)
	}
	was := store.Epoch
	store.Close()
	if err := os.WriteFile(filepath.Join(dir, MajorityLostFile), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	store = open(t, dir)
	if incarnation.Starts(store.Epoch) <= incarnation.Starts(was)+1000 {
		t.Errorf("started as %s after %s", incarnation.String(store.Epoch), incarnation.String(was))
	}
	store.Close()
	store = open(t, dir) // the cleared state was written to disk
	defer store.Close()
	if m := store.Partitions[1].Meta; m.State.Epoch != 0 || len(m.Peers)+len(m.History) > 0 || m.Group.Number != 1 {
		t.Errorf("%+v", m)
	}
}

// If the incarnation fields of a row don't match their checksum, they are discarded; the
// other fields stay valid.
func TestCorruptIncarnationsAreDisowned(t *testing.T) {
	dir := t.TempDir()
	store := open(t, dir)
	meta := quorum.Meta{
		VotedTerm: 4,
		Group:     message.Group{Number: 1},
		State:     message.SavePoint{Epoch: store.Epoch, Saves: 4},
		Peers:     []message.PeerIncarnation{{Ident: "b", Epoch: 9 << 32}},
	}
	if err := store.Write([]quorum.Save{{Partition: 1, Meta: meta}}); err != nil {
		t.Fatal(err)
	}
	store.Close()
	store = open(t, dir)
	if m := store.Partitions[1].Meta; m.State.Saves != 4 || len(m.Peers) != 1 {
		t.Fatalf("as written: %+v", m)
	}
	if _, err := store.db.Exec(`update seat set v=replace(v, '"Saves":4', '"Saves":5')`); err != nil {
		t.Fatal(err)
	}
	store.Close()
	store = open(t, dir)
	defer store.Close()
	m := store.Partitions[1].Meta
	if m.State.Epoch != 0 || len(m.Peers) > 0 || m.VotedTerm != 4 || len(store.IncompletePartitions) > 0 {
		t.Errorf("altered: %+v, incomplete %v", m, store.IncompletePartitions)
	}
}
