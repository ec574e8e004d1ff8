// Package digest compares copies of a partition by digests over ranges of keys. Ranges
// and fingerprints are stored on disk and sent on the wire, so all builds that
// communicate must compute them identically.
package digest

import (
	"hash/fnv"

	"mulleinmast/wire/message"
)

// Ranges is the number of ranges into which a partition's keys are divided by hash.
const Ranges = 64

// RangeOf returns the index of the range that a key belongs to.
//
// Example: digest.RangeOf("plan/now") < digest.Ranges
func RangeOf(key string) int { return int(mix(hash(key)) % Ranges) }

// Fingerprint returns the contribution of one record to the digest of its range.
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

// DifferingRanges returns the indexes of the ranges whose digests differ. If either
// slice does not hold exactly Ranges digests, all ranges are reported.
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

// mix is the SplitMix64 finalizer: flipping one bit of x flips about half of the bits
// of the result.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// sum combines the digests of all ranges into one. The result is never 0, which means
// "no sum" in messages.
func sum(digests [Ranges]uint64) uint64 {
	all := uint64(0)
	for _, d := range digests {
		all = mix(all ^ d)
	}
	return all | 1
}
