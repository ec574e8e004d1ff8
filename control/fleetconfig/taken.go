package fleetconfig

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"

	"mulleinmast/wire/message"
)

// Accepted changes are remembered beside the plan's record, so that a call that
// is sent again gets its answer again. The memory is a ring of pages, each a
// record of its own: a change is written together with the one page that it is
// added to, and no daemon but the replicas keeps a page.
const (
	takenKey    = "taken/%02x"
	takenPages  = 256
	takenOnPage = 32 // 8,192 changes in all: two days of 4,100
	takenBytes  = 16 // a digest of the id and the version that it became
	takenHead   = 8  // how many pages were begun before, and this one
)

var takenKeys = func() (keys [takenPages]string) {
	for i := range keys {
		keys[i] = fmt.Sprintf(takenKey, i)
	}
	return keys
}()

// AcceptedChanges is the memory of accepted changes as the records hold it.
type AcceptedChanges struct {
	pages [takenPages][]byte
	last  uint64 // pages begun so far; the newest stands at place last-1
}

// ReadAcceptedChanges reads the memory; what can't be a page counts as none.
//
// Example: taken := fleetconfig.ReadAcceptedChanges(read)
func ReadAcceptedChanges(read func(key string) message.Record) (t AcceptedChanges) {
	for i, key := range takenKeys {
		r := read(key)
		if r.Deleted || len(r.Value) < takenHead || (len(r.Value)-takenHead)%takenBytes != 0 {
			continue
		}
		t.pages[i] = r.Value
		if no := binary.BigEndian.Uint64(r.Value); no%takenPages == uint64(i+1)%takenPages {
			t.last = max(t.last, no)
		}
	}
	return t
}

func takenDigest(id string) uint64 {
	sum := sha256.Sum256([]byte(id))
	return binary.BigEndian.Uint64(sum[:])
}

// Find is the version that an accepted id became. Where the call names its own
// number, that must be the version too.
//
// Example: version, ok := taken.Find("c17", 0)
func (t *AcceptedChanges) Find(id string, number uint64) (version uint64, ok bool) {
	if id == "" {
		return 0, false
	}
	want := takenDigest(id)
	for _, p := range t.pages {
		for at := takenHead; at < len(p); at += takenBytes {
			if binary.BigEndian.Uint64(p[at:]) != want {
				continue
			}
			if version = binary.BigEndian.Uint64(p[at+8:]); number == 0 || number == version {
				return version, true
			}
		}
	}
	return 0, false
}

// Add remembers accepted ids and gives the records that change; the oldest page
// gives way where all are full.
//
// Example: recs = append(recs, taken.Add(fleetconfig.AcceptedChange{ID: id, Version: 9})...)
func (t *AcceptedChanges) Add(list ...AcceptedChange) (recs []message.Record) {
	touched := map[uint64]bool{}
	var order []uint64
	for _, p := range list {
		if t.last == 0 || len(t.pages[(t.last-1)%takenPages]) >= takenHead+takenOnPage*takenBytes {
			t.last++
			t.pages[(t.last-1)%takenPages] = binary.BigEndian.AppendUint64(nil, t.last)
		}
		at := (t.last - 1) % takenPages
		page := append([]byte(nil), t.pages[at]...) // the record's own bytes stay
		page = binary.BigEndian.AppendUint64(page, takenDigest(p.ID))
		t.pages[at] = binary.BigEndian.AppendUint64(page, p.Version)
		if !touched[at] {
			touched[at] = true
			order = append(order, at)
		}
	}
	for _, at := range order {
		recs = append(recs, message.Record{Key: takenKeys[at], Value: t.pages[at]})
	}
	return recs
}

// Decide judges a next plan by the records: one that was accepted before gets
// its answer again, one that is accepted now is written with its memory. plans
// reads the plan's record; number is the one that the call names, if any. The
// error is of a plan in force that this build can't read: nothing is decided on it.
//
// Example: recs, verdict, err := fleetconfig.Decide(read, plans, "id-1", 4, 7, next)
func Decide(read func(key string) message.Record, plans *PlanReader, id string, base, number uint64, next func(Plan) (Plan, Faults)) ([]message.Record, Verdict, error) {
	cur, err := plans.Read(read(PlanKey))
	if err != nil {
		return nil, Verdict{}, err
	}
	taken := ReadAcceptedChanges(read)
	if version, ok := taken.Find(id, number); ok {
		return nil, Verdict{Result: VerdictAccepted, Version: version}, nil
	}
	val, verdict := Judge(cur, id, base, next)
	if val == nil {
		return nil, verdict, nil
	}
	// What a build before this one kept in the plan's record moves out of it.
	return append([]message.Record{{Key: PlanKey, Value: val}}, taken.Add(slices.Concat(cur.PastChanges, []AcceptedChange{{ID: id, Version: verdict.Version}})...)...), verdict, nil
}
