package fleetconfig

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"mulleinmast/wire/message"
)

// Accepted changes are stored, so that a repeated call gets the same answer again. They are
// kept outside the plan record, in a ring of pages with one record each. A change is written
// together with the single page that it is added to. Only the replicas hold the pages. A
// page consists of a header and entries.
const (
	pageKeyFmt  = "taken/%02x"
	pageCount   = 256
	pageEntries = 32 // 8,192 changes in all, enough for two days at about 4,100 a day
	entryBytes  = 16 // a digest of the id and the accepted version
	digestBytes = 8  // the digest in an entry
	headerBytes = 8  // the number of pages started so far, including this one
	pageBytes   = headerBytes + pageEntries*entryBytes
)

var pageKeys = func() (keys [pageCount]string) {
	for i := range keys {
		keys[i] = fmt.Sprintf(pageKeyFmt, i)
	}
	return keys
}()

// AcceptedChanges holds the accepted changes that are stored in the records.
type AcceptedChanges struct {
	pages        [pageCount][]byte
	pagesStarted uint64 // so far; the newest page has index (pagesStarted-1) mod pageCount
}

// ReadAcceptedChanges reads the pages. It ignores records that can't be pages.
//
// Example: accepted := fleetconfig.ReadAcceptedChanges(read)
func ReadAcceptedChanges(read func(key string) message.Record) (a AcceptedChanges) {
	for i, key := range pageKeys {
		r := read(key)
		if r.Deleted || len(r.Value) < headerBytes || (len(r.Value)-headerBytes)%entryBytes != 0 {
			continue
		}
		a.pages[i] = r.Value
		if started := binary.BigEndian.Uint64(r.Value); started%pageCount == uint64(i+1)%pageCount {
			a.pagesStarted = max(a.pagesStarted, started)
		}
	}
	return a
}

func idDigest(id string) uint64 {
	sum := sha256.Sum256([]byte(id))
	return binary.BigEndian.Uint64(sum[:])
}

// Find returns the version that the change with the given id was accepted as. If number
// isn't 0, only a change that was accepted as version number is found.
//
// Example: version, ok := accepted.Find("c17", 0)
func (a *AcceptedChanges) Find(id string, number uint64) (version uint64, ok bool) {
	if id == "" {
		return 0, false
	}
	wanted := idDigest(id)
	for _, page := range a.pages {
		for at := headerBytes; at < len(page); at += entryBytes {
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

// newestIndex returns the index of the newest page. At least one page must have been started.
func (a *AcceptedChanges) newestIndex() uint64 { return (a.pagesStarted - 1) % pageCount }

// Add adds accepted changes and returns the records that changed. If all pages are full, the
// oldest one is overwritten.
//
// Example: records = append(records, accepted.Add(fleetconfig.AcceptedChange{ID: id, Version: 9})...)
func (a *AcceptedChanges) Add(changes ...AcceptedChange) (records []message.Record) {
	isChanged := map[uint64]bool{}
	var changed []uint64
	for _, change := range changes {
		if a.pagesStarted == 0 || len(a.pages[a.newestIndex()]) >= pageBytes {
			a.pagesStarted++
			a.pages[a.newestIndex()] = binary.BigEndian.AppendUint64(nil, a.pagesStarted)
		}
		at := a.newestIndex()
		page := append([]byte(nil), a.pages[at]...) // copied, since the bytes belong to the record
		page = binary.BigEndian.AppendUint64(page, idDigest(change.ID))
		a.pages[at] = binary.BigEndian.AppendUint64(page, change.Version)
		if !isChanged[at] {
			isChanged[at] = true
			changed = append(changed, at)
		}
	}
	for _, at := range changed {
		records = append(records, message.Record{Key: pageKeys[at], Value: a.pages[at]})
	}
	return records
}
