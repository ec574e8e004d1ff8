// Package digest compares copies of a partition by digests over ranges of keys. The
// ranges and fingerprints stand on disk and on the wire: builds that speak to one
// another must agree on them.
package digest

import (
	"hash/fnv"

	"mulleinmast/wire/message"
)

// Ranges is the number of ranges a partition's keys are cut into, by their hash.
const Ranges = 64

// RangeOf tells which range a key falls in.
//
// Example: digest.RangeOf("plan/now") < digest.Ranges
func RangeOf(key string) int { return int(mix(hash(key)) % Ranges) }

// Fingerprint is what one record adds to its range's digest.
//
// Example: digest.Fingerprint(record) != digest.Fingerprint(newerRecord)
func Fingerprint(record message.Record) uint64 {
	value := fnv.New64a()
	_, _ = value.Write(record.Value)
	if record.Deleted {
		_, _ = value.Write([]byte{1})
	}
	version := mix(record.Version.Term*0x9e3779b97f4a7c15 ^ mix(record.Version.Seq+1))
	return mix(hash(record.Key) ^ version ^ mix(value.Sum64()))
}

// DifferingRanges lists the ranges whose digests differ; digests of another length
// differ everywhere.
//
// Example: digest.DifferingRanges(a.Digests(), a.Digests()) == nil
func DifferingRanges(a, b []uint64) (ranges []int) {
	sameLength := len(a) == Ranges && len(b) == Ranges
	for i := range Ranges {
		if !sameLength || a[i] != b[i] {
			ranges = append(ranges, i)
		}
	}
	return ranges
}

func hash(key string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key))
	return h.Sum64()
}

// mix is the finalizer of SplitMix64: each bit of x changes about half of the result's.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// sum is one digest of those of all ranges; never 0, which stands for none.
func sum(digests [Ranges]uint64) uint64 {
	all := uint64(0)
	for _, d := range digests {
		all = mix(all ^ d)
	}
	return all | 1
}
