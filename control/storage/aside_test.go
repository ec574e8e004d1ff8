package storage

import (
	"os"
	"path/filepath"
	"testing"

	"mulleinmast/control/incarnation"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// A state that was found superseded is set aside at the next start, once, and an
// operator's word that the majority is lost goes before that.
func TestSupersededStateIsQuarantined(t *testing.T) {
	dir := t.TempDir()
	a := open(t, dir)
	was := a.Ident
	if err := a.MarkSuperseded(); err != nil {
		t.Fatal(err)
	}
	a.Close()
	if err := os.WriteFile(filepath.Join(dir, MajorityLostFile), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	a = open(t, dir)
	if a.Ident != was || a.WasSuperseded {
		t.Errorf("against the operator's word: %+v", a)
	}
	if err := a.MarkSuperseded(); err != nil {
		t.Fatal(err)
	}
	a.Close()
	a = open(t, dir)
	if a.Ident == was || !a.Empty || !a.WasSuperseded || a.QuarantinePath == "" {
		t.Errorf("superseded: %+v", a)
	}
	next := a.Ident
	a.Close()
	if a = open(t, dir); a.Ident != next || a.WasSuperseded {
		t.Errorf("a second time: %+v", a)
	}
	a.Close()
}

// What an operator says is the state that is left starts past all that others may
// know of it, and claims nothing of where it came from.
func TestRestoredStateDisownsIncarnations(t *testing.T) {
	dir := t.TempDir()
	a := open(t, dir)
	past := quorum.Meta{Group: message.Group{Number: 1}, State: message.SavePoint{Epoch: a.Epoch, Saves: 4}, Peers: []message.PeerIncarnation{{Ident: "b", Epoch: 9 << 32}}, History: []message.SavePoint{{Epoch: 1 << 32, Saves: 2}}}
	if err := a.Write([]quorum.Save{{Partition: 1, Meta: past}}); err != nil {
		t.Fatal(err)
	}
	was := a.Epoch
	a.Close()
	if err := os.WriteFile(filepath.Join(dir, MajorityLostFile), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	a = open(t, dir)
	if incarnation.Starts(a.Epoch) <= incarnation.Starts(was)+1000 {
		t.Errorf("started as %s after %s", incarnation.String(a.Epoch), incarnation.String(was))
	}
	a.Close()
	a = open(t, dir) // and on disk
	defer a.Close()
	if m := a.Partitions[1].Meta; m.State.Epoch != 0 || len(m.Peers)+len(m.History) > 0 || m.Group.Number != 1 {
		t.Errorf("%+v", m)
	}
}

// What a state says of incarnations claims nothing where it isn't what was written;
// the rest stands.
func TestCorruptIncarnationsAreDisowned(t *testing.T) {
	dir := t.TempDir()
	a := open(t, dir)
	meta := quorum.Meta{VotedTerm: 4, Group: message.Group{Number: 1}, State: message.SavePoint{Epoch: a.Epoch, Saves: 4}, Peers: []message.PeerIncarnation{{Ident: "b", Epoch: 9 << 32}}}
	if err := a.Write([]quorum.Save{{Partition: 1, Meta: meta}}); err != nil {
		t.Fatal(err)
	}
	a.Close()
	a = open(t, dir)
	if m := a.Partitions[1].Meta; m.State.Saves != 4 || len(m.Peers) != 1 {
		t.Fatalf("as written: %+v", m)
	}
	if _, err := a.db.Exec(`update seat set v=replace(v, '"Saves":4', '"Saves":5')`); err != nil {
		t.Fatal(err)
	}
	a.Close()
	a = open(t, dir)
	defer a.Close()
	if m := a.Partitions[1].Meta; m.State.Epoch != 0 || len(m.Peers) > 0 || m.VotedTerm != 4 || len(a.IncompletePartitions) > 0 {
		t.Errorf("spoilt: %+v, short %v", m, a.IncompletePartitions)
	}
}
