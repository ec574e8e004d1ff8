// Package digest compares copies of a partition by digests over ranges of keys.
package digest

import (
	"hash/fnv"
	"iter"

	"mulleinmast/wire/message"
)

// Ranges is the number of ranges a partition's keys are cut into.
const Ranges = 64

// RangeOf tells which range a key falls in.
//
// Example: digest.RangeOf("plan/now") < digest.Ranges
func RangeOf(key string) int { return int(mix(hash(key)) % Ranges) }

func hash(key string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	return h.Sum64()
}

func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Fingerprint is what one record adds to its range's digest.
//
// Example: digest.Fingerprint(rec) != digest.Fingerprint(newerRec)
func Fingerprint(r message.Record) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(r.Value)
	if r.Deleted {
		_, _ = h.Write([]byte{1})
	}
	return mix(hash(r.Key) ^ mix(r.Version.Term*0x9e3779b97f4a7c15^mix(r.Version.Seq+1)) ^ mix(h.Sum64()))
}

// Records is a set of records with its digests kept up to date.
type Records struct {
	recs [Ranges]map[string]message.Record
	digs [Ranges]uint64
	size int
}

// NewRecords makes an empty set of records.
//
// Example: b := digest.NewRecords(); b.Put(rec)
func NewRecords() *Records {
	b := &Records{}
	for i := range b.recs {
		b.recs[i] = map[string]message.Record{}
	}
	return b
}

// Get returns a record.
//
// Example: rec, ok := b.Get("plan/now")
func (b *Records) Get(key string) (message.Record, bool) {
	r, ok := b.recs[RangeOf(key)][key]
	return r, ok
}

// Put sets a record, whatever was there.
//
// Example: b.Put(message.Record{Key: "plan/now", Version: v})
func (b *Records) Put(r message.Record) {
	s := RangeOf(r.Key)
	if old, ok := b.recs[s][r.Key]; ok {
		b.digs[s] ^= Fingerprint(old)
	} else {
		b.size++
	}
	b.recs[s][r.Key] = r
	b.digs[s] ^= Fingerprint(r)
}

// PutNewer sets a record only if it is newer than the one there.
//
// Example: if b.PutNewer(rec) { save(rec) }
func (b *Records) PutNewer(r message.Record) bool {
	old, ok := b.Get(r.Key)
	if ok && !old.Version.Less(r.Version) {
		return false
	}
	b.Put(r)
	return true
}

// Delete forgets a record.
//
// Example: b.Delete("once/x")
func (b *Records) Delete(key string) {
	s := RangeOf(key)
	if old, ok := b.recs[s][key]; ok {
		b.digs[s] ^= Fingerprint(old)
		delete(b.recs[s], key)
		b.size--
	}
}

// Size is the number of records.
//
// Example: digest.NewRecords().Size() == 0
func (b *Records) Size() int { return b.size }

// Digests returns the digests of all ranges.
//
// Example: diff := digest.DifferingRanges(a.Digests(), b.Digests())
func (b *Records) Digests() []uint64 { return append([]uint64(nil), b.digs[:]...) }

// Sum is one digest of all records.
//
// Example: a.Sum() == b.Sum() // two copies are alike
func (b *Records) Sum() uint64 { return sum(b.digs) }

func sum(digs [Ranges]uint64) uint64 {
	all := uint64(0)
	for _, d := range digs {
		all = mix(all ^ d)
	}
	return all | 1 // 0 is none
}

// SumAfterInstall is what Sum would be once the records in some ranges were replaced.
//
// Example: if b.SumAfterInstall(spans, recs) != wanted { refuse() }
func (b *Records) SumAfterInstall(spans []int, recs []message.Record) uint64 {
	digs, gone := b.digs, [Ranges]bool{}
	for _, s := range spans {
		if s >= 0 && s < Ranges {
			digs[s], gone[s] = 0, true
		}
	}
	for _, r := range recs {
		s := RangeOf(r.Key)
		if old, ok := b.recs[s][r.Key]; ok && !gone[s] {
			digs[s] ^= Fingerprint(old)
		}
		digs[s] ^= Fingerprint(r)
	}
	return sum(digs)
}

// RecordsIn lists the records of some ranges, range by range.
//
// Example: recs := b.RecordsIn(digest.DifferingRanges(b.Digests(), theirs))
func (b *Records) RecordsIn(spans []int) (recs []message.Record) {
	for _, span := range spans {
		for r := range b.InRange(span) {
			recs = append(recs, r)
		}
	}
	return recs
}

// InRange iterates over the records of one range.
//
// Example: for rec := range b.InRange(3) { ... }
func (b *Records) InRange(span int) iter.Seq[message.Record] {
	return func(yield func(message.Record) bool) {
		for _, r := range b.recs[span] {
			if !yield(r) {
				return
			}
		}
	}
}

// All iterates over every record.
//
// Example: for rec := range b.All() { ... }
func (b *Records) All() iter.Seq[message.Record] {
	return func(yield func(message.Record) bool) {
		for i := range b.recs {
			for _, r := range b.recs[i] {
				if !yield(r) {
					return
				}
			}
		}
	}
}

// DifferingRanges lists the ranges whose digests differ; digests of another length
// differ everywhere.
//
// Example: digest.DifferingRanges(a.Digests(), a.Digests()) == nil
func DifferingRanges(a, b []uint64) []int {
	var out []int
	for i := 0; i < Ranges; i++ {
		if len(a) != Ranges || len(b) != Ranges || a[i] != b[i] {
			out = append(out, i)
		}
	}
	return out
}
