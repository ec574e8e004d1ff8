package storage

import (
	"maps"
	"slices"

	"mulleinmast/control/digest"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// Batch holds the saves that wait for the disk, merged into one save for each partition.
// While the disk is full or stalled, the size of the state therefore bounds the memory
// used, however many changes arrive. A single transaction writes the whole batch.
type Batch struct {
	partitions map[int]*pendingSave
	// Tickets identify the saves in the batch, in the order in which they were added.
	Tickets []Ticket
}

// Ticket identifies a save of a partition.
type Ticket struct {
	Partition int
	Number    uint64 // quorum.Save.Ticket
}

// pendingSave merges all saves of one partition. A key is in records or in deleted, never
// in both; both are applied after the wipes.
type pendingSave struct {
	quorum.Save
	wipes   map[int]bool // ranges of keys
	records map[string]message.Record
	deleted map[string]bool
}

// IsEmpty reports whether the batch holds no saves.
//
// Example: if b.IsEmpty() { sleep() }
func (b *Batch) IsEmpty() bool { return len(b.Tickets) == 0 }

// Add appends a save to the batch.
//
// Example: for _, save := range out.Saves { b.Add(save) }
func (b *Batch) Add(save quorum.Save) {
	b.Tickets = append(b.Tickets, Ticket{Partition: save.Partition, Number: save.Ticket})
	b.merge(save)
}

// Append appends the saves of a later batch.
//
// Example: failed.Append(later); waiting = failed
func (b *Batch) Append(later Batch) {
	b.Tickets = append(b.Tickets, later.Tickets...)
	for _, save := range later.Saves() {
		b.merge(save)
	}
}

func (b *Batch) merge(save quorum.Save) {
	if b.partitions == nil {
		b.partitions = map[int]*pendingSave{}
	}
	p := b.partitions[save.Partition]
	if p == nil {
		p = &pendingSave{wipes: map[int]bool{}, records: map[string]message.Record{}, deleted: map[string]bool{}}
		b.partitions[save.Partition] = p
	}
	p.merge(save)
}

// merge applies a later save on top of the earlier ones.
func (p *pendingSave) merge(save quorum.Save) {
	p.Partition, p.Meta, p.Sum = save.Partition, save.Meta, save.Sum
	for _, span := range save.WipeRanges {
		p.wipe(span)
	}
	for _, r := range save.Records {
		p.records[r.Key] = r
		delete(p.deleted, r.Key)
	}
	for _, key := range save.Delete {
		p.deleted[key] = true
		delete(p.records, key)
	}
}

// wipe records the deletion of a range and discards earlier changes to keys in it.
func (p *pendingSave) wipe(span int) {
	p.wipes[span] = true
	maps.DeleteFunc(p.records, func(key string, _ message.Record) bool { return digest.RangeOf(key) == span })
	maps.DeleteFunc(p.deleted, func(key string, _ bool) bool { return digest.RangeOf(key) == span })
}

// Saves returns the merged saves to write, one for each partition.
//
// Example: err := s.Write(b.Saves())
func (b *Batch) Saves() (saves []quorum.Save) {
	for _, partition := range slices.Sorted(maps.Keys(b.partitions)) {
		saves = append(saves, b.partitions[partition].save())
	}
	return saves
}

func (p *pendingSave) save() quorum.Save {
	save := p.Save
	save.WipeRanges, save.Delete = slices.Sorted(maps.Keys(p.wipes)), slices.Sorted(maps.Keys(p.deleted))
	for _, key := range slices.Sorted(maps.Keys(p.records)) {
		save.Records = append(save.Records, p.records[key])
	}
	return save
}
