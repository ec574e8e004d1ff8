package storage

import (
	"errors"
	"maps"
	"slices"
	"syscall"

	"github.com/mattn/go-sqlite3"

	"mulleinmast/control/digest"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// Batch is what waits for the disk: of each partition only the last of everything.
// So what a full or stalled disk has yet to take is bounded by the state,
// however many changes come meanwhile, and one transaction takes it all.
type Batch struct {
	parts map[int]*pending
	// Tickets are the tickets of the saves in it, in order.
	Tickets []Ticket
}

// Ticket names a save of a partition.
type Ticket struct {
	Partition int
	Number    uint64
}

type pending struct {
	quorum.Save
	wipe map[int]bool
	recs map[string]message.Record
	drop map[string]bool
}

// Empty tells whether nothing waits.
//
// Example: if b.Empty() { sleep() }
func (b *Batch) Empty() bool { return len(b.Tickets) == 0 }

// Add puts a save after those that are in the batch.
//
// Example: for _, s := range out.Saves { b.Add(s) }
func (b *Batch) Add(s quorum.Save) {
	b.Tickets = append(b.Tickets, Ticket{s.Partition, s.Ticket})
	b.add(s)
}

func (b *Batch) add(s quorum.Save) {
	if b.parts == nil {
		b.parts = map[int]*pending{}
	}
	p := b.parts[s.Partition]
	if p == nil {
		p = &pending{wipe: map[int]bool{}, recs: map[string]message.Record{}, drop: map[string]bool{}}
		b.parts[s.Partition] = p
	}
	p.Partition, p.Meta, p.Sum = s.Partition, s.Meta, s.Sum
	for _, span := range s.WipeRanges {
		p.wipe[span] = true
		maps.DeleteFunc(p.recs, func(k string, _ message.Record) bool { return digest.RangeOf(k) == span })
		maps.DeleteFunc(p.drop, func(k string, _ bool) bool { return digest.RangeOf(k) == span })
	}
	for _, r := range s.Records {
		p.recs[r.Key] = r
		delete(p.drop, r.Key)
	}
	for _, k := range s.Delete {
		p.drop[k] = true
		delete(p.recs, k)
	}
}

// Append puts a later batch after this one.
//
// Example: failed.Append(came); came = failed
func (b *Batch) Append(later Batch) {
	b.Tickets = append(b.Tickets, later.Tickets...)
	for _, s := range later.Saves() {
		b.add(s)
	}
}

// Saves is what is to be written, one save a partition.
//
// Example: err := a.Write(b.Saves())
func (b *Batch) Saves() []quorum.Save {
	var out []quorum.Save
	for _, partition := range slices.Sorted(maps.Keys(b.parts)) {
		p := b.parts[partition]
		s := p.Save
		s.WipeRanges, s.Delete = slices.Sorted(maps.Keys(p.wipe)), slices.Sorted(maps.Keys(p.drop))
		for _, k := range slices.Sorted(maps.Keys(p.recs)) {
			s.Records = append(s.Records, p.recs[k])
		}
		out = append(out, s)
	}
	return out
}

// IsTransient tells whether an error is of a disk that is full or in trouble, which
// may pass, and not of what is on it.
//
// Example: if storage.IsTransient(err) { tryAgainLater() }
func IsTransient(err error) bool {
	var said sqlite3.Error
	if errors.As(err, &said) {
		return said.Code == sqlite3.ErrFull || said.Code == sqlite3.ErrIoErr || said.Code == sqlite3.ErrBusy
	}
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EIO) || errors.Is(err, syscall.EDQUOT) || errors.Is(err, syscall.EFBIG)
}
