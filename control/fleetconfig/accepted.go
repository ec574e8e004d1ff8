package fleetconfig

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"mulleinmast/wire/message"
)

// Accepted changes are remembered beside the plan's record, so that a call that
// is sent again gets its answer again. The memory is a ring of pages, each a
// record of its own: a change is written together with the one page that it is
// added to, and no daemon but the replicas keeps a page. A page is a head, then entries.
const (
	pageKey     = "taken/%02x"
	pages       = 256
	pageEntries = 32 // 8,192 changes in all: two days of 4,100
	entryBytes  = 16 // a digest of the id, and the version that it became
	digestBytes = 8  // of an entry
	headBytes   = 8  // how many pages have been begun, with this one
	pageBytes   = headBytes + pageEntries*entryBytes
)

var pageKeys = func() (keys [pages]string) {
	for i := range keys {
		keys[i] = fmt.Sprintf(pageKey, i)
	}
	return keys
}()

// AcceptedChanges are the accepted changes that the records remember.
type AcceptedChanges struct {
	pages [pages][]byte
	begun uint64 // pages begun so far; the newest stands at place (begun-1) mod pages
}

// ReadAcceptedChanges reads the pages; what can't be a page counts as none.
//
// Example: accepted := fleetconfig.ReadAcceptedChanges(read)
func ReadAcceptedChanges(read func(key string) message.Record) (a AcceptedChanges) {
	for i, key := range pageKeys {
		r := read(key)
		if r.Deleted || len(r.Value) < headBytes || (len(r.Value)-headBytes)%entryBytes != 0 {
			continue
		}
		a.pages[i] = r.Value
		if begun := binary.BigEndian.Uint64(r.Value); begun%pages == uint64(i+1)%pages {
			a.begun = max(a.begun, begun)
		}
	}
	return a
}

func idDigest(id string) uint64 {
	sum := sha256.Sum256([]byte(id))
	return binary.BigEndian.Uint64(sum[:])
}

// Find is the version that an accepted id became. Where the call names its own
// number, that must be the version too.
//
// Example: version, ok := accepted.Find("c17", 0)
func (a *AcceptedChanges) Find(id string, number uint64) (version uint64, ok bool) {
	if id == "" {
		return 0, false
	}
	wanted := idDigest(id)
	for _, page := range a.pages {
		for at := headBytes; at < len(page); at += entryBytes {
			if binary.BigEndian.Uint64(page[at:]) != wanted {
				continue
			}
			version = binary.BigEndian.Uint64(page[at+digestBytes:])
			if number == 0 || number == version {
				return version, true
			}
		}
	}
	return 0, false
}

// newest is the place of the newest page; there is one.
func (a *AcceptedChanges) newest() uint64 { return (a.begun - 1) % pages }

// Add remembers accepted ids and gives the records that change; the oldest page
// gives way where all are full.
//
// Example: records = append(records, accepted.Add(fleetconfig.AcceptedChange{ID: id, Version: 9})...)
func (a *AcceptedChanges) Add(changes ...AcceptedChange) (records []message.Record) {
	isTouched := map[uint64]bool{}
	var touched []uint64
	for _, change := range changes {
		if a.begun == 0 || len(a.pages[a.newest()]) >= pageBytes {
			a.begun++
			a.pages[a.newest()] = binary.BigEndian.AppendUint64(nil, a.begun)
		}
		at := a.newest()
		page := append([]byte(nil), a.pages[at]...) // the record's own bytes stay
		page = binary.BigEndian.AppendUint64(page, idDigest(change.ID))
		a.pages[at] = binary.BigEndian.AppendUint64(page, change.Version)
		if !isTouched[at] {
			isTouched[at] = true
			touched = append(touched, at)
		}
	}
	for _, at := range touched {
		records = append(records, message.Record{Key: pageKeys[at], Value: a.pages[at]})
	}
	return records
}
