package digest

import (
	"iter"

	"mulleinmast/wire/message"
)

// Records is a set of records, at most one per key, that maintains the digests of its
// ranges.
type Records struct {
	records [Ranges]map[string]message.Record // by key
	digests [Ranges]uint64                    // per range, the XOR of its records' fingerprints
	size    int
}

// NewRecords returns an empty set of records.
//
// Example: r := digest.NewRecords(); r.Put(record)
func NewRecords() *Records {
	r := &Records{}
	for i := range r.records {
		r.records[i] = map[string]message.Record{}
	}
	return r
}

// Get returns the record with the given key, and whether there is one.
//
// Example: record, ok := r.Get("plan/now")
func (r *Records) Get(key string) (message.Record, bool) {
	record, ok := r.records[RangeOf(key)][key]
	return record, ok
}

// Put stores a record, replacing any record with the same key.
//
// Example: r.Put(message.Record{Key: "plan/now", Version: v})
func (r *Records) Put(record message.Record) {
	i := RangeOf(record.Key)
	if old, ok := r.records[i][record.Key]; ok {
		r.digests[i] ^= Fingerprint(old)
	} else {
		r.size++
	}
	r.records[i][record.Key] = record
	r.digests[i] ^= Fingerprint(record)
}

// PutNewer stores a record if it is newer than the stored record or its key is not stored
// yet. It reports whether the record was stored.
//
// Example: if r.PutNewer(record) { save(record) }
func (r *Records) PutNewer(record message.Record) bool {
	old, ok := r.Get(record.Key)
	if ok && !old.Version.Less(record.Version) {
		return false
	}
	r.Put(record)
	return true
}

// Delete removes the record with the given key, if any.
//
// Example: r.Delete("once/x")
func (r *Records) Delete(key string) {
	i := RangeOf(key)
	if old, ok := r.records[i][key]; ok {
		r.digests[i] ^= Fingerprint(old)
		delete(r.records[i], key)
		r.size--
	}
}

// Size returns the number of records.
//
// Example: digest.NewRecords().Size() == 0
func (r *Records) Size() int { return r.size }

// Digests returns a copy of the digests of all ranges.
//
// Example: ranges := digest.DifferingRanges(a.Digests(), b.Digests())
func (r *Records) Digests() []uint64 { return append([]uint64(nil), r.digests[:]...) }

// Sum returns a single digest of all records; it is never 0.
//
// Example: a.Sum() == b.Sum() // the two copies are equal
func (r *Records) Sum() uint64 { return sum(r.digests) }

// SumAfterInstall returns what Sum would return if the contents of the given ranges were
// replaced by the given records.
//
// Example: if r.SumAfterInstall(ranges, records) != wanted { refuse() }
func (r *Records) SumAfterInstall(ranges []int, records []message.Record) uint64 {
	digests, replaced := r.digests, [Ranges]bool{}
	for _, i := range ranges {
		if i >= 0 && i < Ranges {
			digests[i], replaced[i] = 0, true
		}
	}
	for _, record := range records {
		i := RangeOf(record.Key)
		if old, ok := r.records[i][record.Key]; ok && !replaced[i] {
			digests[i] ^= Fingerprint(old)
		}
		digests[i] ^= Fingerprint(record)
	}
	return sum(digests)
}

// RecordsIn returns the records of the given ranges, range by range.
//
// Example: records := r.RecordsIn(digest.DifferingRanges(r.Digests(), theirs))
func (r *Records) RecordsIn(ranges []int) (records []message.Record) {
	for _, i := range ranges {
		for record := range r.InRange(i) {
			records = append(records, record)
		}
	}
	return records
}

// InRange iterates over the records of one range, in unspecified order.
//
// Example: for record := range r.InRange(3) { ... }
func (r *Records) InRange(i int) iter.Seq[message.Record] {
	return func(yield func(message.Record) bool) {
		for _, record := range r.records[i] {
			if !yield(record) {
				return
			}
		}
	}
}

// All iterates over all records, in unspecified order.
//
// Example: for record := range r.All() { ... }
func (r *Records) All() iter.Seq[message.Record] {
	return func(yield func(message.Record) bool) {
		for i := range r.records {
			for _, record := range r.records[i] {
				if !yield(record) {
					return
				}
			}
		}
	}
}
