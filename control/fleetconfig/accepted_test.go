package fleetconfig

import (
	"fmt"
	"testing"

	"mulleinmast/wire/message"
)

// testRecords holds the records of a partition as seen by its leader.
type testRecords struct {
	stored map[string]message.Record
	plans  PlanReader
	seq    uint64
	bytes  int // size of the last write
}

func (s *testRecords) read(key string) message.Record {
	if r, ok := s.stored[key]; ok {
		return r
	}
	return message.Record{Key: key, Deleted: true}
}

func (s *testRecords) change(id string, base, number uint64) Verdict {
	p := validPlan()
	p.ID, p.Base, p.Number = id, base, number
	recs, v, err := Decide(s.read, &s.plans, p.Propose())
	if err != nil {
		panic(err)
	}
	s.bytes = 0
	for _, r := range recs {
		s.seq++
		r.Version = message.Version{Term: 1, Seq: s.seq}
		s.stored[r.Key] = r
		s.bytes += len(r.Value)
	}
	return v
}

// Repeating an accepted change gets the same answer, even thousands of changes later.
// Repeating a conflicting change is a conflict again. Neither repeat changes the plan.
func TestAcceptedChangeIsRemembered(t *testing.T) {
	s := &testRecords{stored: map[string]message.Record{}}
	const changes = 5000
	version := func(i uint64) uint64 { return 3 * i }
	for i := uint64(1); i <= changes; i++ {
		if v := s.change(fmt.Sprint("c", i), version(i-1), version(i)); v.Result != "taken" || v.Version != version(i) {
			t.Fatalf("change %d: %+v", i, v)
		}
		if v := s.change(fmt.Sprint("rival", i), version(i-1), version(i)); v.Result != "beaten" {
			t.Fatalf("a second change to version %d: %+v", version(i-1), v)
		}
		if s.bytes != 0 {
			t.Fatalf("a conflicting change wrote %d bytes", s.bytes)
		}
	}
	for _, i := range []uint64{1, 2, 31, 32, 33, 64, 65, 200, 900, changes - 1, changes} {
		v := s.change(fmt.Sprint("c", i), version(i-1), version(i))
		if v.Result != "taken" || v.Version != version(i) || s.bytes != 0 {
			t.Errorf("change %d repeated: %+v, %d bytes written", i, v, s.bytes)
		}
		if v := s.change(fmt.Sprint("rival", i), version(i-1), version(i)); v.Result != "beaten" {
			t.Errorf("rival %d repeated: %+v", i, v)
		}
	}
	if p := MustReadPlan(s.read(PlanKey)); p.Version != version(changes) || len(p.PastChanges) != 0 {
		t.Errorf("the current version is %d, with %d ids in its record", p.Version, len(p.PastChanges))
	}
}

// The stored changes are bounded in total size, and so is each write.
func TestAcceptedChangesAreBounded(t *testing.T) {
	stored := map[string]message.Record{}
	read := func(key string) message.Record { return stored[key] }
	total, most := 0, 0
	for i := range uint64(2*pageCount*pageEntries + 5) {
		accepted := ReadAcceptedChanges(read)
		for _, r := range accepted.Add(AcceptedChange{ID: fmt.Sprint(i), Version: i + 1}) {
			stored[r.Key], most = r, max(most, len(r.Value))
		}
	}
	for _, r := range stored {
		total += len(r.Value)
	}
	if bound := headerBytes + pageEntries*entryBytes; most > bound || len(stored) > pageCount || total > pageCount*bound {
		t.Errorf("%d records of %d bytes in total, the longest has %d", len(stored), total, most)
	}
	accepted, known := ReadAcceptedChanges(read), 0
	for i := range uint64(2*pageCount*pageEntries + 5) {
		if version, ok := accepted.Find(fmt.Sprint(i), 0); ok && version == i+1 {
			known++
		} else if i > pageCount*pageEntries+pageEntries+5 {
			t.Fatalf("the recent change %d is not found", i)
		}
	}
	if known < (pageCount-1)*pageEntries {
		t.Errorf("only %d changes are found", known)
	}
}

// Changes that an older build stored in the plan record are found, and move to the pages with
// the next accepted change.
func TestPastChangesMoveToPages(t *testing.T) {
	s := &testRecords{stored: map[string]message.Record{}}
	old := validPlan()
	old.ID, old.Version = "o64", 64
	for i := range uint64(64) {
		old.PastChanges = append(old.PastChanges, AcceptedChange{ID: fmt.Sprint("o", i+1), Version: i + 1})
	}
	val, err := EncodePlan(old)
	if err != nil {
		t.Fatal(err)
	}
	s.stored[PlanKey] = message.Record{Key: PlanKey, Version: message.Version{Term: 1, Seq: 1}, Value: val}
	checkKnown := func(when string) {
		t.Helper()
		for i := range uint64(64) {
			if v := s.change(fmt.Sprint("o", i+1), i, 0); v.Result != "taken" || v.Version != i+1 {
				t.Errorf("%s: %d: %+v", when, i+1, v)
			}
		}
	}
	checkKnown("before")
	s.seq = 1
	if v := s.change("new", 64, 0); v.Result != "taken" || v.Version != 65 {
		t.Fatal(v)
	}
	checkKnown("after")
}

// A lost page is ignored, as is a record that isn't a page. The other pages are still used.
func TestDamagedPageIsIgnored(t *testing.T) {
	stored := map[string]message.Record{}
	read := func(key string) message.Record { return stored[key] }
	add := func(id string, version uint64) {
		accepted := ReadAcceptedChanges(read)
		for _, r := range accepted.Add(AcceptedChange{ID: id, Version: version}) {
			stored[r.Key] = r
		}
	}
	for i := range uint64(3 * pageEntries) {
		add(fmt.Sprint(i), i+1)
	}
	delete(stored, pageKeys[0])
	stored[pageKeys[1]] = message.Record{Key: pageKeys[1], Value: []byte("short")}
	add("next", 500)
	accepted := ReadAcceptedChanges(read)
	for id, want := range map[string]bool{"0": false, "40": false, "70": true, "next": true} {
		if _, ok := accepted.Find(id, 0); ok != want {
			t.Errorf("%s is found: %v", id, ok)
		}
	}
	if _, ok := accepted.Find("next", 501); ok {
		t.Error("an id with a different number is found")
	}
}
