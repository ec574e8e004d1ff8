package quorum

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/wire/message"
)

// Save is a change of a replica's durable state that must be synced to disk. The caller
// calls Saved(Ticket) when the sync has completed. The saves of a partition are written in order.
type Save struct {
	Ticket     uint64 // increases with each save of the replica
	Partition  int
	Meta       Meta
	WipeRanges []int            // ranges whose other records are deleted
	Records    []message.Record // records to write
	Delete     []string         // keys of records to delete after Records are written
	Sum        uint64           // Meta.Sum of the complete state including this save; 0: not computed
}

// FloorKey is the key of the record that holds the floor: the version below which
// records with the prefix FloorPrefix are deleted. Every replica deletes these records
// itself. If a replica that missed the floor sends such a record, it is deleted again.
const (
	FloorKey    = "floor/once"
	FloorPrefix = "once/"
)

// maxDiskStallLeases is the time that a save may take, in leader leases. A replica with
// a save that takes longer steps down and does not become a candidate.
const maxDiskStallLeases = 4

// diskQueue tracks a replica's outstanding saves and the messages that wait for them.
type diskQueue struct {
	lastTicket uint64                        // of the latest save
	voteTicket uint64                        // of the save that holds the current vote; lastTicket+1 if not made yet
	pending    []pendingSave                 // not known to be on disk, ordered by ticket
	onSync     map[uint64][]message.Envelope // by ticket: messages to send once the ticket's save is on disk
}

// pendingSave is a save that isn't known to be on disk.
type pendingSave struct {
	ticket uint64
	madeAt time.Duration
	number uint64 // its number among the saves of the folder's incarnation
}

// markVoteInLastSave records that the save just made holds the current vote.
func (q *diskQueue) markVoteInLastSave() { q.voteTicket = q.lastTicket }

// markVoteInNextSave records that no save made so far holds the current vote.
func (q *diskQueue) markVoteInNextSave() { q.voteTicket = q.lastTicket + 1 }

// isVoteUnsaved reports whether no save made so far holds the current vote.
func (q *diskQueue) isVoteUnsaved() bool { return q.voteTicket > q.lastTicket }

// isPending reports whether the save of a ticket isn't known to be on disk yet.
func (q *diskQueue) isPending(ticket uint64) bool {
	return len(q.pending) > 0 && q.pending[0].ticket <= ticket
}

// markSynced removes the saves up to a ticket from the queue, since they are on disk,
// and returns the highest of their numbers.
func (q *diskQueue) markSynced(ticket uint64) (number uint64) {
	q.pending = slices.DeleteFunc(q.pending, func(p pendingSave) bool {
		if p.ticket <= ticket {
			number = max(number, p.number)
		}
		return p.ticket <= ticket
	})
	return number
}

// isDiskStalled reports whether a save has been pending for too long.
func (r *Replica) isDiskStalled(now time.Duration) bool {
	return len(r.disk.pending) > 0 && now-r.disk.pending[0].madeAt >= maxDiskStallLeases*r.cfg.LeaderLease
}

// save queues a save of the current state with new records. If these include a new floor,
// the save also deletes the records below it. The messages in then are sent once the save
// is on disk.
func (r *Replica) save(out *Out, wipe []int, records []message.Record, then ...message.Envelope) {
	r.enqueueSave(out, Save{WipeRanges: wipe, Records: records, Delete: r.deleteBelowFloor(records)}, then...)
}

// enqueueSave queues a save. The messages in then are sent once the save is on disk.
func (r *Replica) enqueueSave(out *Out, s Save, then ...message.Envelope) {
	r.disk.lastTicket++
	if r.guard.folder != nil {
		r.meta.State, r.meta.History = r.guard.folder.nextSave(), r.guard.folder.history
	}
	r.guard.unsaved = false
	s.Ticket, s.Partition = r.disk.lastTicket, r.partition
	s.Meta, s.Sum = r.meta, r.meta.Sum(r.records)
	out.Saves = append(out.Saves, s)
	r.disk.pending = append(r.disk.pending, pendingSave{ticket: s.Ticket, madeAt: r.now, number: r.meta.State.Saves})
	if len(then) > 0 {
		r.disk.onSync[s.Ticket] = then
	}
}

// Saved handles the completion of a save, and returns the messages that waited for it.
//
// Example: out := r.Saved(save.Ticket)
func (r *Replica) Saved(ticket uint64) Out {
	number := r.disk.markSynced(ticket)
	if r.guard.folder != nil {
		r.guard.folder.noteSynced(number)
	}
	out := Out{Sends: r.disk.onSync[ticket]}
	delete(r.disk.onSync, ticket)
	if r.guard.superseded != "" {
		return Out{}
	}
	r.claimIncarnations(&out)
	return out
}

// deleteBelowFloor deletes the records below the floor if the floor is among the new
// records, and returns their keys.
func (r *Replica) deleteBelowFloor(records []message.Record) (deleted []string) {
	for _, rec := range records {
		if rec.Key != FloorKey {
			continue
		}
		floor := floorOf(r.records)
		for old := range r.records.All() {
			if isBelow(old, floor) {
				deleted = append(deleted, old.Key)
			}
		}
		for _, key := range deleted {
			r.records.Delete(key)
		}
	}
	return deleted
}

// floorOf returns the version below which keys with FloorPrefix are deleted.
func floorOf(records *digest.Records) (v message.Version) {
	if rec, ok := records.Get(FloorKey); ok && json.Unmarshal(rec.Value, &v) != nil {
		return message.Version{}
	}
	return v
}

// isBelow reports whether a record is subject to a floor and older than it.
func isBelow(rec message.Record, floor message.Version) bool {
	return strings.HasPrefix(rec.Key, FloorPrefix) && rec.Version.Less(floor)
}
