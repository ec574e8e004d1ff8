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

// The write stream of a batch is cut at every point, as a loss of power may:
// what was synced stays, each later write is there, is missing or is torn. What
// is read back is the state before the batch or the one after it.

const (
	walHead   = 32
	frameHead = 24
	page      = 4096
)

// files is what a folder holds.
type files struct{ db, wal []byte }

func read(t *testing.T, dir string) (f files) {
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

// state names what is read back from files: a partition's meta and digest each.
func (f files) state(t *testing.T) string {
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
	return store.state()
}

func (s *Store) state() string {
	out := fmt.Sprint("set aside ", s.QuarantinePath, " short ", s.IncompletePartitions, " empty ", s.Empty)
	for p := range 3 {
		if h, ok := s.Partitions[p]; ok {
			out += fmt.Sprintf(" partition %d promised %d of %d records %x",
				p, h.Meta.VotedTerm, h.Records.Size(), h.Records.Sum())
		}
	}
	return out
}

// filledFolder is a folder of two partitions in which batches are written, and the
// records that they make.
type filledFolder struct {
	*Store
	dir     string
	rng     *rand.Rand
	records map[int]*digest.Records
	n       uint64
}

func fillFolder(t *testing.T, seed int64) *filledFolder {
	t.Helper()
	s := &filledFolder{
		dir:     t.TempDir(),
		rng:     rand.New(rand.NewSource(seed)),
		records: map[int]*digest.Records{0: digest.NewRecords(), 1: digest.NewRecords()},
	}
	s.Store = open(t, s.dir)
	t.Cleanup(func() { s.Close() })
	for range 6 {
		s.write(t)
	}
	return s
}

// write writes a batch over both partitions: records of up to three pages, some deleted,
// a range replaced.
func (s *filledFolder) write(t *testing.T) {
	t.Helper()
	var list []quorum.Save
	for p := range 2 {
		s.n++
		b := s.records[p]
		v := quorum.Save{Partition: p, Meta: quorum.Meta{VotedTerm: s.n, LastComplete: s.n}}
		if s.rng.Intn(2) == 0 {
			v.WipeRanges = []int{s.rng.Intn(digest.Ranges)}
			for r := range b.InRange(v.WipeRanges[0]) {
				b.Delete(r.Key)
			}
		}
		for range 4 {
			r := message.Record{
				Key:     fmt.Sprint("k", s.rng.Intn(40)),
				Version: message.Version{Term: 1, Seq: s.n},
				Value:   make([]byte, s.rng.Intn(3*page)),
			}
			s.rng.Read(r.Value)
			b.Put(r)
			v.Records = append(v.Records, r)
		}
		if k := fmt.Sprint("k", s.rng.Intn(40)); s.rng.Intn(2) == 0 {
			b.Delete(k)
			v.Delete = []string{k}
		}
		v.Sum = v.Meta.Sum(b)
		list = append(list, v)
	}
	if err := s.Write(list); err != nil {
		t.Fatal(err)
	}
}

// expect checks that files hold one of some states.
func expect(t *testing.T, what string, f files, want ...string) {
	t.Helper()
	got := f.state(t)
	for _, w := range want {
		if got == w {
			return
		}
	}
	t.Errorf("%s: %s\nexpected one of %q", what, got, want)
}

// A batch that is appended to the log: cut after each frame, inside a frame's
// head, at each block of its page; a frame that is missing or spoilt with the
// later ones there; any of them.
func TestTruncatedBatchIsWholeOrAbsent(t *testing.T) {
	s := fillFolder(t, 1)
	earlier := read(t, s.dir)
	s.write(t)
	later := read(t, s.dir)
	if len(later.wal) <= len(earlier.wal) || !bytes.Equal(earlier.db, later.db) ||
		!bytes.Equal(earlier.wal, later.wal[:len(earlier.wal)]) {
		t.Fatalf("the batch wasn't appended to the log: %d, then %d bytes", len(earlier.wal), len(later.wal))
	}
	before, after := earlier.state(t), later.state(t)
	if before == after {
		t.Fatal("the batch changes nothing")
	}
	from, frames := len(earlier.wal), (len(later.wal)-len(earlier.wal))/(frameHead+page)
	for i := range frames {
		at := from + i*(frameHead+page)
		cuts := []int{0, 4, 8, frameHead - 1, frameHead, frameHead + 512, frameHead + page/2, frameHead + page - 1}
		for _, cut := range cuts {
			what := fmt.Sprintf("cut at byte %d of frame %d of %d", cut, i, frames)
			expect(t, what, files{later.db, later.wal[:at+cut]}, before)
		}
		faults := map[string]func([]byte){
			"missing": func(x []byte) { clear(x) },
			"torn":    func(x []byte) { clear(x[frameHead+512:]) },
		}
		for what, spoil := range faults {
			wal := bytes.Clone(later.wal)
			spoil(wal[at : at+frameHead+page])
			expect(t, fmt.Sprintf("frame %d of %d %s", i, frames, what), files{later.db, wal}, before)
		}
	}
	for range 40 {
		wal := bytes.Clone(later.wal)
		lost := 0
		for i := range frames {
			if at := from + i*(frameHead+page); s.rng.Intn(3) == 0 {
				clear(wal[at : at+frameHead+page])
				lost++
			}
		}
		if lost > 0 {
			expect(t, fmt.Sprintf("%d of %d frames missing", lost, frames), files{later.db, wal}, before)
		}
	}
	expect(t, "whole", later, after)
}

// The log is copied into the file: any of its pages may be there, missing or
// torn while the log still is; nothing is lost.
func TestPartialCheckpointLosesNothing(t *testing.T) {
	s := fillFolder(t, 2)
	earlier := read(t, s.dir)
	want := earlier.state(t)
	if _, err := s.db.Exec("pragma wal_checkpoint(passive)"); err != nil {
		t.Fatal(err)
	}
	later := read(t, s.dir)
	if bytes.Equal(earlier.db, later.db) {
		t.Fatal("nothing was copied")
	}
	for try := range 60 {
		db := bytes.Clone(later.db)
		for at := 0; at+page <= len(db); at += page {
			old := make([]byte, page)
			if at+page <= len(earlier.db) {
				copy(old, earlier.db[at:])
			}
			switch s.rng.Intn(3) {
			case 0: // missing
				copy(db[at:], old)
			case 1: // torn
				copy(db[at+512:at+page], old[512:])
			}
		}
		if len(earlier.db) > page && try%2 == 0 {
			db = db[:max(len(earlier.db), len(db)/2/page*page)]
		}
		expect(t, fmt.Sprintf("copied in part, try %d", try), files{db, earlier.wal}, want)
	}
	expect(t, "copied", later, want)
}

// The log begins anew over what was copied: its new head is on disk before any
// frame is written, and any of the frames may be new, old or torn after that.
func TestRestartedLogIsWholeOrAbsent(t *testing.T) {
	s := fillFolder(t, 3)
	if _, err := s.db.Exec("pragma wal_checkpoint(passive)"); err != nil {
		t.Fatal(err)
	}
	earlier := read(t, s.dir)
	s.write(t)
	later := read(t, s.dir)
	if bytes.Equal(earlier.wal[:walHead], later.wal[:walHead]) || len(earlier.wal) != len(later.wal) {
		t.Fatal("the log didn't begin anew")
	}
	before, after := earlier.state(t), later.state(t)
	torn := bytes.Clone(earlier.wal)
	copy(torn[:16], later.wal[:16])
	expect(t, "head torn", files{later.db, torn}, before)
	written := 0
	for i := 0; walHead+(i+1)*(frameHead+page) <= len(earlier.wal); i++ {
		at := walHead + i*(frameHead+page)
		if !bytes.Equal(earlier.wal[at:at+frameHead+page], later.wal[at:at+frameHead+page]) {
			written = i + 1
		}
	}
	for try := range 80 {
		wal := bytes.Clone(later.wal)
		lost := 0
		for i := range written {
			at := walHead + i*(frameHead+page)
			switch s.rng.Intn(4) {
			case 0:
				copy(wal[at:at+frameHead+page], earlier.wal[at:])
				lost++
			case 1:
				copy(wal[at+frameHead+512:at+frameHead+page], earlier.wal[at+frameHead+512:])
				lost++
			}
		}
		if lost > 0 {
			expect(t, fmt.Sprintf("begun anew in part, try %d", try), files{later.db, wal}, before, after)
		}
	}
	expect(t, "begun anew", later, after)
}

// A folder that is cut short while it is made is an empty one; one whose old log
// came back beside a new file, for its removal was lost, is not mixed with it.
func TestPartiallyMadeFolderIsEmpty(t *testing.T) {
	s := fillFolder(t, 4)
	whole := read(t, s.dir)
	fresh := open(t, t.TempDir())
	fresh.Close()
	for what, f := range map[string]files{"nothing synced": {}, "an old log alone": {nil, whole.wal}} {
		got := f.state(t)
		if got != fresh.state() {
			t.Errorf("%s: %s", what, got)
		}
	}
}

// What is on a disk and isn't what was written is never taken for whole: a
// record that is gone with its sum, a promise that is another, a record more.
func TestAlteredPartitionIsIncomplete(t *testing.T) {
	for what, spoil := range map[string]string{
		"a record gone": "delete from rec where key=(select min(key) from rec where part=0) and part=0",
		"a record and its sum": "delete from sums where part=0; " +
			"delete from rec where key=(select min(key) from rec where part=0) and part=0",
		"all records gone":    "delete from rec where part=0",
		"a promise of before": "update seat set v=replace(v,'\"Promised\":','\"Promised\":9') where part=0",
		"a record of another partition": "insert into rec select 0, 'other', span, term, seq, dead, val " +
			"from rec where part=1 limit 1",
	} {
		s := fillFolder(t, 5)
		if _, err := s.db.Exec(spoil); err != nil {
			t.Fatal(err)
		}
		s.Close()
		store := open(t, s.dir)
		if !slices.Equal(store.IncompletePartitions, []int{0}) ||
			!store.Partitions[0].Meta.Incomplete || store.Partitions[1].Meta.Incomplete {
			t.Errorf("%s: short %v", what, store.IncompletePartitions)
		}
		store.Close()
		store = open(t, s.dir) // and it stays so until it is filled
		if !store.Partitions[0].Meta.Incomplete {
			t.Errorf("%s: whole after another start", what)
		}
		store.Close()
	}
}
