package storage

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"mulleinmast/control/digest"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// apply applies a save to records in memory.
func apply(records *digest.Records, s quorum.Save) {
	for _, span := range s.WipeRanges {
		for r := range records.InRange(span) {
			records.Delete(r.Key)
		}
	}
	for _, r := range s.Records {
		records.Put(r)
	}
	for _, k := range s.Delete {
		records.Delete(k)
	}
}

// A merged batch must have the same effect as its saves in order, even if a failed batch is
// merged with a later one.
func TestBatchEqualsSavesInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sequential, merged := digest.NewRecords(), digest.NewRecords()
		var first, later Batch
		n := rapid.IntRange(1, 40).Draw(t, "n")
		cut := rapid.IntRange(0, n).Draw(t, "cut")
		for i := range n {
			s := quorum.Save{Ticket: uint64(i + 1), Partition: 3, Meta: quorum.Meta{VotedTerm: uint64(i)}, Sum: uint64(i)}
			key := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("k", rapid.IntRange(0, 12).Draw(t, "key")) })
			for _, k := range rapid.SliceOfN(key, 0, 3).Draw(t, "recs") {
				s.Records = append(s.Records, message.Record{Key: k, Version: message.Version{Term: 1, Seq: uint64(i)}})
			}
			s.Delete = rapid.SliceOfN(key, 0, 2).Draw(t, "drop")
			for _, k := range rapid.SliceOfN(key, 0, 2).Draw(t, "wipe") {
				s.WipeRanges = append(s.WipeRanges, digest.RangeOf(k))
			}
			apply(sequential, s)
			if i < cut {
				first.Add(s)
			} else {
				later.Add(s)
			}
		}
		first.Append(later)
		saves := first.Saves()
		if len(saves) != 1 || len(first.Tickets) != n || first.Tickets[n-1] != (Ticket{3, uint64(n)}) ||
			saves[0].Meta.VotedTerm != uint64(n-1) || saves[0].Sum != uint64(n-1) {
			t.Fatalf("%d saves, tickets %v", len(saves), first.Tickets)
		}
		apply(merged, saves[0])
		if sequential.Sum() != merged.Sum() {
			t.Fatalf("%d records from the saves in order, %d from the merged one", sequential.Size(), merged.Size())
		}
	})
}

// The size of a batch is bounded by the state, however many saves are added.
func TestBatchIsBoundedByState(t *testing.T) {
	var b Batch
	for i := range 2000 {
		r := message.Record{
			Key: "plan/now", Version: message.Version{Term: 1, Seq: uint64(i)}, Value: make([]byte, 1000),
		}
		b.Add(quorum.Save{Ticket: uint64(i + 1), Records: []message.Record{r}})
	}
	if s := b.Saves(); len(s) != 1 || len(s[0].Records) != 1 || s[0].Records[0].Version.Seq != 1999 {
		t.Errorf("%d saves, %d records", len(s), len(s[0].Records))
	}
}
