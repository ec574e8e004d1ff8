package digest

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"mulleinmast/wire/message"
)

// After any sequence of Put, PutNewer and Delete, the digests match the stored records.
// The digests of two sets differ only in the ranges whose records differ, even if the records
// differ only in a value.
func TestDigestsMatchRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewRecords()
		for i := 0; i < 60; i++ {
			r := message.Record{
				Key:     fmt.Sprint("k", rapid.IntRange(0, 20).Draw(t, "key")),
				Version: message.Version{Term: 1, Seq: uint64(rapid.IntRange(0, 5).Draw(t, "seq"))},
				Value:   []byte{byte(i)},
			}
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				a.Put(r)
			case 1:
				old, had := a.Get(r.Key)
				if put := a.PutNewer(r); put != (!had || old.Version.Less(r.Version)) {
					t.Fatalf("PutNewer returned %v for version %v over %v", put, r.Version, old.Version)
				}
			case 2:
				a.Delete(r.Key)
			}
		}
		b := NewRecords()
		n := 0
		for r := range a.All() {
			b.Put(r)
			n++
		}
		if d := DifferingRanges(a.Digests(), b.Digests()); len(d) > 0 || n != a.Size() {
			t.Fatalf("copy differs in ranges %v; copied %d records of %d", d, n, a.Size())
		}
		for r := range a.All() { // change one record
			r.Value = append([]byte{1}, r.Value...)
			b.Put(r)
			if d := DifferingRanges(a.Digests(), b.Digests()); len(d) != 1 || d[0] != RangeOf(r.Key) {
				t.Fatalf("after changing only %s, ranges %v differ", r.Key, d)
			}
			return
		}
	})
}
