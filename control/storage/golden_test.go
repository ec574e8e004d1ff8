package storage

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"mulleinmast/control/digest"
	"mulleinmast/control/incarnation"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// update rewrites the data folders in testdata. They were written by the build before
// issue 29 and represent the disks of machines that run it, so they are rewritten only
// for a new format.
var update = flag.Bool("update", false, "rewrite the data folders in testdata with this build")

const (
	goldenFleet  = "f"
	goldenIdent  = "0123456789abcdef"
	goldenStarts = 2 // number of times that the folder had been opened when it was put into testdata
)

func goldenReplicas(idents string) (replicas []message.Replica) {
	for i, ident := range strings.Fields(idents) {
		replicas = append(replicas, message.Replica{Ident: ident, Addr: fmt.Sprintf("10.0.0.%d:7000", i+1)})
	}
	return replicas
}

// goldenSaves returns the content of the folders in testdata: a partition with all fields
// set and a group change in progress, an incomplete partition, and a newly created one.
func goldenSaves() []quorum.Save {
	saves := []quorum.Save{
		{
			Partition: 0,
			Meta: quorum.Meta{
				VotedTerm: 7, VotedFor: "b", VotedForEpoch: incarnation.Number(3, 21), CandidateTerm: 6, LastComplete: 5,
				Group: message.Group{
					Number: 4, Replicas: goldenReplicas(goldenIdent + " b c"), Next: goldenReplicas(goldenIdent + " b d"),
				},
				State: message.SavePoint{Epoch: incarnation.Number(1, 17), Saves: 12},
				History: []message.SavePoint{
					{Epoch: incarnation.Number(1, 3), Saves: 2},
					{Epoch: incarnation.Number(1, 4), Saves: 9},
				},
				Peers: []message.PeerIncarnation{
					{
						Ident: "b", Epoch: incarnation.Number(3, 21),
						State: message.SavePoint{Epoch: incarnation.Number(3, 21), Saves: 40},
					},
					{Ident: "c", Epoch: incarnation.Number(9, 2)},
				},
			},
			Records: []message.Record{
				{Key: "plan/now", Version: message.Version{Term: 5, Seq: 1}, Value: []byte("the plan")},
				{Key: "once/dead", Version: message.Version{Term: 4, Seq: 2}, Deleted: true},
				{Key: "once/empty", Version: message.Version{Term: 4, Seq: 3}},
				{Key: "server/s1", Version: message.Version{Term: 5, Seq: 1 << 40}, Value: []byte{0, 1, 0xff, '\''}},
			},
		},
		{
			Partition: 2,
			Meta: quorum.Meta{
				VotedTerm: 2, VotedFor: "c", LastComplete: 1, Incomplete: true,
				Group: message.Group{Number: 1, Replicas: goldenReplicas("c " + goldenIdent)},
			},
			Records: []message.Record{{Key: "plan/now", Version: message.Version{Term: 1, Seq: 1}, Value: []byte("old")}},
		},
		{Partition: 5, Meta: quorum.Meta{Group: message.Group{Number: 1, Replicas: goldenReplicas(goldenIdent)}}},
	}
	for i, s := range saves {
		saves[i].Sum = s.Meta.Sum(recordsOf(s))
	}
	return saves
}

func recordsOf(s quorum.Save) *digest.Records {
	records := digest.NewRecords()
	for _, r := range s.Records {
		records.Put(r)
	}
	return records
}

// writeGoldenFolders writes the three folders in testdata.
func writeGoldenFolders(t *testing.T) {
	t.Helper()
	created := filepath.Join("testdata", "folder")
	for _, dir := range []string{created, filepath.Join("testdata", "superseded"), filepath.Join("testdata", "backup")} {
		if err := os.RemoveAll(dir); err != nil {
			t.Fatal(err)
		}
		if err := os.MkdirAll(dir, 0o755); err != nil {
			t.Fatal(err)
		}
	}
	store := open(t, created)
	if _, err := store.db.Exec("update meta set v=? where k='ident'", goldenIdent); err != nil {
		t.Fatal(err)
	}
	store.Close()
	store = open(t, created)
	if err := store.Write(goldenSaves()); err != nil {
		t.Fatal(err)
	}
	if err := store.Backup(filepath.Join("testdata", "backup", "state.db")); err != nil {
		t.Fatal(err)
	}
	if err := store.MarkSuperseded(); err != nil {
		t.Fatal(err)
	}
	store.Close()
	if err := os.CopyFS(filepath.Join("testdata", "superseded"), os.DirFS(created)); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{"folder/superseded", "folder/lock", "superseded/lock"} {
		if err := os.Remove(filepath.Join("testdata", path)); err != nil {
			t.Fatal(err)
		}
	}
}

// goldenFolder copies a folder in testdata to a temporary one that the test may write to.
func goldenFolder(t *testing.T, name string) (dir string) {
	t.Helper()
	if *update {
		writeGoldenFolders(t)
	}
	dir = t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(filepath.Join("testdata", name))); err != nil {
		t.Fatal(err)
	}
	return dir
}

// expectGolden checks that an open folder holds the expected saves under the golden identity.
func expectGolden(t *testing.T, store *Store, want []quorum.Save) {
	t.Helper()
	if store.Empty || store.QuarantinePath != "" || store.CorruptRecords != 0 ||
		len(store.IncompletePartitions) > 0 || store.Ident != goldenIdent {
		t.Fatalf("empty %v, quarantined as %q, corrupt %d, incomplete %v, identity %s", store.Empty,
			store.QuarantinePath, store.CorruptRecords, store.IncompletePartitions, store.Ident)
	}
	if len(store.Partitions) != len(want) {
		t.Errorf("%d partitions, expected %d", len(store.Partitions), len(want))
	}
	for _, s := range want {
		got, ok := store.Partitions[s.Partition]
		if !ok {
			t.Errorf("no partition %d", s.Partition)
			continue
		}
		if !reflect.DeepEqual(got.Meta, s.Meta) {
			t.Errorf("partition %d: %+v\nexpected %+v", s.Partition, got.Meta, s.Meta)
		}
		if got.Records.Size() != len(s.Records) || got.Records.Sum() != recordsOf(s).Sum() {
			t.Errorf("partition %d: the records differ", s.Partition)
		}
		for _, r := range s.Records {
			stored, ok := got.Records.Get(r.Key)
			if !ok || stored.Version != r.Version || stored.Deleted != r.Deleted || string(stored.Value) != string(r.Value) {
				t.Errorf("partition %d: %+v, expected %+v", s.Partition, stored, r)
			}
		}
	}
}

// A folder written by an earlier build opens with its content and accepts further writes.
func TestFolderOfEarlierBuildIsUsed(t *testing.T) {
	dir, want := goldenFolder(t, "folder"), goldenSaves()
	store := open(t, dir)
	expectGolden(t, store, want)
	if starts := incarnation.Starts(store.Epoch); starts != goldenStarts+1 {
		t.Errorf("start %d, expected %d", starts, goldenStarts+1)
	}
	next := quorum.Save{Partition: 2, Meta: want[1].Meta, Delete: []string{"plan/now"}}
	next.Meta.Incomplete, next.Meta.VotedTerm = false, 8
	next.Records = []message.Record{{Key: "plan/next", Version: message.Version{Term: 8, Seq: 1}, Value: []byte("new")}}
	next.Sum = next.Meta.Sum(recordsOf(next))
	if err := store.Write([]quorum.Save{next}); err != nil {
		t.Fatal(err)
	}
	store.Close()
	store = open(t, dir)
	defer store.Close()
	next.Delete, want[1] = nil, next
	expectGolden(t, store, want)
	if starts := incarnation.Starts(store.Epoch); starts != goldenStarts+2 {
		t.Errorf("start %d, expected %d", starts, goldenStarts+2)
	}
}

// A state that an earlier build marked as superseded is quarantined.
func TestSupersededFolderOfEarlierBuildIsQuarantined(t *testing.T) {
	dir := goldenFolder(t, "superseded")
	store := open(t, dir)
	defer store.Close()
	if !store.WasSuperseded || store.WasBackup || !store.Empty || store.Ident == goldenIdent ||
		len(store.Partitions) > 0 || incarnation.Starts(store.Epoch) != 1 {
		t.Errorf("%+v", store)
	}
	if !strings.HasPrefix(store.QuarantinePath, filepath.Join(dir, "state.db.superseded-")) {
		t.Errorf("quarantined as %s", store.QuarantinePath)
	}
	if _, err := os.Stat(filepath.Join(dir, "superseded")); !os.IsNotExist(err) {
		t.Errorf("the mark still exists after one start: %v", err)
	}
}

// A back-up written by an earlier build is quarantined, or restored if a file
// MajorityLostFile is present.
func TestBackupOfEarlierBuild(t *testing.T) {
	t.Run("quarantined without the operator's file", func(t *testing.T) {
		dir := goldenFolder(t, "backup")
		store := open(t, dir)
		defer store.Close()
		if !store.WasBackup || store.WasSuperseded || !store.Empty || store.Ident == goldenIdent ||
			len(store.Partitions) > 0 {
			t.Errorf("%+v", store)
		}
		if !strings.HasPrefix(store.QuarantinePath, filepath.Join(dir, "state.db.back-up-")) {
			t.Errorf("quarantined as %s", store.QuarantinePath)
		}
	})
	t.Run("restored", func(t *testing.T) {
		dir, want := goldenFolder(t, "backup"), goldenSaves()
		if err := os.WriteFile(filepath.Join(dir, "majority-lost"), nil, 0o600); err != nil {
			t.Fatal(err)
		}
		for i := range want {
			want[i].Meta.State, want[i].Meta.History, want[i].Meta.Peers = message.SavePoint{}, nil, nil
		}
		const restored = goldenStarts + 1<<16 + 1
		for start := range uint64(2) {
			store := open(t, dir)
			expectGolden(t, store, want)
			if starts := incarnation.Starts(store.Epoch); starts != restored+start {
				t.Errorf("start %d, expected %d", starts, restored+start)
			}
			store.Close()
		}
	})
}

// The rows written must equal those of earlier builds, so that earlier builds can read them.
func TestRowsMatchEarlierBuilds(t *testing.T) {
	dir := t.TempDir()
	store := open(t, dir)
	defer store.Close()
	if _, err := store.db.Exec("update meta set v=? where k='ident'", goldenIdent); err != nil {
		t.Fatal(err)
	}
	if err := store.Write(goldenSaves()); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ name, query, golden string }{
		{"head", "select k||' '||v from meta order by k", "head.txt"},
		{"replicas", "select part||' '||v from seat order by part", "replicas.txt"},
		{"records", "select part||' '||key||' '||span||' '||term||' '||seq||' '||dead||' '||hex(val) " +
			"from rec order by part, key", "records.txt"},
		{"sums", "select part||' '||key||' '||term||' '||seq||' '||sum from sums order by part, key", "sums.txt"},
		{"tables", "select sql from sqlite_schema where sql is not null order by name", "tables.txt"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got strings.Builder
			err := store.forEachRow(c.query, func(scan func(...any) error) error {
				var line string
				err := scan(&line)
				got.WriteString(line + "\n")
				return err
			})
			if err != nil {
				t.Fatal(err)
			}
			path := filepath.Join("testdata", c.golden)
			if *update {
				if err := os.WriteFile(path, []byte(got.String()), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(path)
			if err != nil || got.String() != string(want) {
				t.Errorf("%v\nis\n%swas\n%s", err, got.String(), want)
			}
		})
	}
}
