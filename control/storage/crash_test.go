package storage

import (
	"bytes"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"mulleinmast/control/digest"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// These tests simulate a power failure at each point of the writes of a batch: data that
// was synced stays, and each later write is present, missing or torn. The state that is
// read back must be the one before the batch or the one after it.

// Sizes in SQLite's write-ahead log, in bytes.
const (
	walHeaderSize   = 32
	frameHeaderSize = 24
	pageSize        = 4096
)

// files holds the content of a data folder's files.
type files struct{ db, wal []byte }

func readFiles(t *testing.T, dir string) (f files) {
	t.Helper()
	var err error
	if f.db, err = os.ReadFile(filepath.Join(dir, "state.db")); err != nil {
		t.Fatal(err)
	}
	if f.wal, err = os.ReadFile(filepath.Join(dir, "state.db-wal")); err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
	return f
}

// openedState opens a folder with these files and describes the state that is read from it.
func (f files) openedState(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	for name, b := range map[string][]byte{"state.db": f.db, "state.db-wal": f.wal} {
		if err := os.WriteFile(filepath.Join(dir, name), b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	store, err := Open(dir, "f")
	if err != nil {
		return err.Error()
	}
	defer store.Close()
	return store.describe()
}

// describe returns the state that was found on opening, with the digest of each partition's records.
func (s *Store) describe() string {
	out := fmt.Sprint("quarantined ", s.QuarantinePath, " incomplete ", s.IncompletePartitions, " empty ", s.Empty)
	for p := range 3 {
		if h, ok := s.Partitions[p]; ok {
			out += fmt.Sprintf(" partition %d voted term %d, %d records, digest %x",
				p, h.Meta.VotedTerm, h.Records.Size(), h.Records.Sum())
		}
	}
	return out
}

// populatedStore is an open folder with two partitions and random batches.
type populatedStore struct {
	*Store
	dir     string
	rng     *rand.Rand
	records map[int]*digest.Records // expected records of each partition
	n       uint64                  // saves written so far
}

func newPopulatedStore(t *testing.T, seed int64) *populatedStore {
	t.Helper()
	s := &populatedStore{
		dir:     t.TempDir(),
		rng:     rand.New(rand.NewSource(seed)),
		records: map[int]*digest.Records{0: digest.NewRecords(), 1: digest.NewRecords()},
	}
	s.Store = open(t, s.dir)
	t.Cleanup(func() { s.Close() })
	for range 6 {
		s.writeBatch(t)
	}
	return s
}

// writeBatch writes a random batch to both partitions: records of up to three pages, some
// deleted, and sometimes a wiped range.
func (s *populatedStore) writeBatch(t *testing.T) {
	t.Helper()
	var saves []quorum.Save
	for p := range 2 {
		s.n++
		records := s.records[p]
		save := quorum.Save{Partition: p, Meta: quorum.Meta{VotedTerm: s.n, LastComplete: s.n}}
		if s.rng.Intn(2) == 0 {
			save.WipeRanges = []int{s.rng.Intn(digest.Ranges)}
			for r := range records.InRange(save.WipeRanges[0]) {
				records.Delete(r.Key)
			}
		}
		for range 4 {
			r := message.Record{
				Key:     fmt.Sprint("k", s.rng.Intn(40)),
				Version: message.Version{Term: 1, Seq: s.n},
				Value:   make([]byte, s.rng.Intn(3*pageSize)),
			}
			s.rng.Read(r.Value)
			records.Put(r)
			save.Records = append(save.Records, r)
		}
		if k := fmt.Sprint("k", s.rng.Intn(40)); s.rng.Intn(2) == 0 {
			records.Delete(k)
			save.Delete = []string{k}
		}
		save.Sum = save.Meta.Sum(records)
		saves = append(saves, save)
	}
	if err := s.Write(saves); err != nil {
		t.Fatal(err)
	}
}

// expectState checks that the files open to one of the given states.
func expectState(t *testing.T, name string, f files, want ...string) {
	t.Helper()
	got := f.openedState(t)
	for _, w := range want {
		if got == w {
			return
		}
	}
	t.Errorf("%s: %s\nexpected one of %q", name, got, want)
}

// A batch that was appended to the log only in part must not be visible. The test cuts the
// log at each frame, inside its header and inside its page, clears or tears single frames
// while later ones are present, and clears random sets of frames.
func TestPartiallyAppendedBatchIsAbsent(t *testing.T) {
	s := newPopulatedStore(t, 1)
	earlier := readFiles(t, s.dir)
	s.writeBatch(t)
	later := readFiles(t, s.dir)
	if len(later.wal) <= len(earlier.wal) || !bytes.Equal(earlier.db, later.db) ||
		!bytes.Equal(earlier.wal, later.wal[:len(earlier.wal)]) {
		t.Fatalf("the batch wasn't appended to the log: %d bytes before, %d after", len(earlier.wal), len(later.wal))
	}
	before, after := earlier.openedState(t), later.openedState(t)
	if before == after {
		t.Fatal("the batch changes nothing")
	}
	from, frames := len(earlier.wal), (len(later.wal)-len(earlier.wal))/(frameHeaderSize+pageSize)
	for i := range frames {
		at := from + i*(frameHeaderSize+pageSize)
		cuts := []int{
			0, 4, 8, frameHeaderSize - 1, frameHeaderSize, frameHeaderSize + 512, frameHeaderSize + pageSize/2,
			frameHeaderSize + pageSize - 1,
		}
		for _, cut := range cuts {
			name := fmt.Sprintf("cut at byte %d of frame %d of %d", cut, i, frames)
			expectState(t, name, files{later.db, later.wal[:at+cut]}, before)
		}
		faults := map[string]func([]byte){
			"missing": func(x []byte) { clear(x) },
			"torn":    func(x []byte) { clear(x[frameHeaderSize+512:]) },
		}
		for fault, corrupt := range faults {
			wal := bytes.Clone(later.wal)
			corrupt(wal[at : at+frameHeaderSize+pageSize])
			expectState(t, fmt.Sprintf("frame %d of %d %s", i, frames, fault), files{later.db, wal}, before)
		}
	}
	for range 40 {
		wal := bytes.Clone(later.wal)
		lost := 0
		for i := range frames {
			if at := from + i*(frameHeaderSize+pageSize); s.rng.Intn(3) == 0 {
				clear(wal[at : at+frameHeaderSize+pageSize])
				lost++
			}
		}
		if lost > 0 {
			expectState(t, fmt.Sprintf("%d of %d frames missing", lost, frames), files{later.db, wal}, before)
		}
	}
	expectState(t, "whole", later, after)
}

// If power fails while a checkpoint copies the log into the file, any page of the file may
// be new, old or torn. The log is still complete, so nothing is lost.
func TestPartialCheckpointLosesNothing(t *testing.T) {
	s := newPopulatedStore(t, 2)
	earlier := readFiles(t, s.dir)
	want := earlier.openedState(t)
	if _, err := s.db.Exec("pragma wal_checkpoint(passive)"); err != nil {
		t.Fatal(err)
	}
	later := readFiles(t, s.dir)
	if bytes.Equal(earlier.db, later.db) {
		t.Fatal("the checkpoint copied nothing")
	}
	for try := range 60 {
		db := bytes.Clone(later.db)
		for at := 0; at+pageSize <= len(db); at += pageSize {
			old := make([]byte, pageSize)
			if at+pageSize <= len(earlier.db) {
				copy(old, earlier.db[at:])
			}
			switch s.rng.Intn(3) {
			case 0: // old
				copy(db[at:], old)
			case 1: // torn
				copy(db[at+512:at+pageSize], old[512:])
			}
		}
		if len(earlier.db) > pageSize && try%2 == 0 {
			db = db[:max(len(earlier.db), len(db)/2/pageSize*pageSize)]
		}
		expectState(t, fmt.Sprintf("partial checkpoint, try %d", try), files{db, earlier.wal}, want)
	}
	expectState(t, "copied", later, want)
}

// After a checkpoint the log restarts at its beginning and overwrites old frames. Its new
// header is on disk before any new frame; after that each frame may be new, old or torn.
func TestBatchInRestartedLogIsAtomic(t *testing.T) {
	s := newPopulatedStore(t, 3)
	if _, err := s.db.Exec("pragma wal_checkpoint(passive)"); err != nil {
		t.Fatal(err)
	}
	earlier := readFiles(t, s.dir)
	s.writeBatch(t)
	later := readFiles(t, s.dir)
	if bytes.Equal(earlier.wal[:walHeaderSize], later.wal[:walHeaderSize]) || len(earlier.wal) != len(later.wal) {
		t.Fatal("the log wasn't restarted")
	}
	before, after := earlier.openedState(t), later.openedState(t)
	torn := bytes.Clone(earlier.wal)
	copy(torn[:16], later.wal[:16])
	expectState(t, "torn header", files{later.db, torn}, before)
	written := 0
	for i := 0; walHeaderSize+(i+1)*(frameHeaderSize+pageSize) <= len(earlier.wal); i++ {
		at := walHeaderSize + i*(frameHeaderSize+pageSize)
		if !bytes.Equal(earlier.wal[at:at+frameHeaderSize+pageSize], later.wal[at:at+frameHeaderSize+pageSize]) {
			written = i + 1
		}
	}
	for try := range 80 {
		wal := bytes.Clone(later.wal)
		lost := 0
		for i := range written {
			at := walHeaderSize + i*(frameHeaderSize+pageSize)
			switch s.rng.Intn(4) {
			case 0:
				copy(wal[at:at+frameHeaderSize+pageSize], earlier.wal[at:])
				lost++
			case 1:
				copy(wal[at+frameHeaderSize+512:at+frameHeaderSize+pageSize], earlier.wal[at+frameHeaderSize+512:])
				lost++
			}
		}
		if lost > 0 {
			expectState(t, fmt.Sprintf("partially restarted log, try %d", try), files{later.db, wal}, before, after)
		}
	}
	expectState(t, "restarted log", later, after)
}

// A folder whose creation was interrupted opens as an empty one. An old log may reappear next
// to a new file if the removal of the log wasn't synced. It must not be applied to that file.
func TestPartiallyCreatedFolderIsEmpty(t *testing.T) {
	s := newPopulatedStore(t, 4)
	complete := readFiles(t, s.dir)
	fresh := open(t, t.TempDir())
	fresh.Close()
	for name, f := range map[string]files{"nothing synced": {}, "an old log alone": {nil, complete.wal}} {
		got := f.openedState(t)
		if got != fresh.describe() {
			t.Errorf("%s: %s", name, got)
		}
	}
}

// A partition whose rows were altered on disk must be incomplete, even if each remaining
// record matches its checksum: a record deleted with its checksum, an altered vote, or an
// added record.
func TestAlteredPartitionIsIncomplete(t *testing.T) {
	for name, alteration := range map[string]string{
		"a record gone": "delete from rec where key=(select min(key) from rec where part=0) and part=0",
		"a record and its sum": "delete from sums where part=0; " +
			"delete from rec where key=(select min(key) from rec where part=0) and part=0",
		"all records gone": "delete from rec where part=0",
		"an altered vote":  "update seat set v=replace(v,'\"Promised\":','\"Promised\":9') where part=0",
		"a record of another partition": "insert into rec select 0, 'other', span, term, seq, dead, val " +
			"from rec where part=1 limit 1",
	} {
		s := newPopulatedStore(t, 5)
		if _, err := s.db.Exec(alteration); err != nil {
			t.Fatal(err)
		}
		s.Close()
		store := open(t, s.dir)
		if !slices.Equal(store.IncompletePartitions, []int{0}) ||
			!store.Partitions[0].Meta.Incomplete || store.Partitions[1].Meta.Incomplete {
			t.Errorf("%s: incomplete %v", name, store.IncompletePartitions)
		}
		store.Close()
		store = open(t, s.dir) // the partition stays incomplete until its state is reinstalled
		if !store.Partitions[0].Meta.Incomplete {
			t.Errorf("%s: no longer incomplete after another start", name)
		}
		store.Close()
	}
}
