package quorum

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/wire/message"
)

// Save is something to be synced to disk; Saved(Ticket) is called when it is. The
// saves of a partition are written in their order.
type Save struct {
	Ticket     uint64 // counted up by the replica
	Partition  int
	Meta       Meta
	WipeRanges []int            // ranges whose other records are to be deleted
	Records    []message.Record // to be written
	Delete     []string         // keys of records to be deleted; after Records
	Sum        uint64           // Meta.Sum of the whole state, this save included; 0: not computed
}

// FloorKey is the record that says up to which version the records whose keys
// begin with FloorPrefix are no longer kept. Every replica deletes them on its own;
// one that comes back from a replica that missed it is deleted again.
const (
	FloorKey    = "floor/once"
	FloorPrefix = "once/"
)

// stalledLeases is how many leader leases a disk may take for one save before its
// replica leaves the leadership to others.
const stalledLeases = 4

// diskQueue is what a replica gave to its disk and what hangs on it.
type diskQueue struct {
	lastTicket uint64                        // of the saves made so far
	voteTicket uint64                        // the save that the present vote is on disk with; may be the next one
	pending    []pendingSave                 // not known to be on disk, in the order of their tickets
	onSync     map[uint64][]message.Envelope // what is sent once the save of a ticket is on disk
}

// pendingSave is a save that isn't known to be on disk.
type pendingSave struct {
	ticket uint64
	madeAt time.Duration
	number uint64 // among the saves of the folder
}

// voteIsInLastSave notes that the save just made holds the present vote.
func (q *diskQueue) voteIsInLastSave() { q.voteTicket = q.lastTicket }

// voteIsInNextSave notes that no save made so far holds the present vote.
func (q *diskQueue) voteIsInNextSave() { q.voteTicket = q.lastTicket + 1 }

// isVoteUnsaved reports whether the present vote waits for a save to be made.
func (q *diskQueue) isVoteUnsaved() bool { return q.voteTicket > q.lastTicket }

// isPending reports whether a save isn't on disk yet.
func (q *diskQueue) isPending(ticket uint64) bool {
	return len(q.pending) > 0 && q.pending[0].ticket <= ticket
}

// synced takes the saves up to one that is on disk from the queue, and gives the
// highest number in the folder among them.
func (q *diskQueue) synced(ticket uint64) (number uint64) {
	q.pending = slices.DeleteFunc(q.pending, func(p pendingSave) bool {
		if p.ticket <= ticket {
			number = max(number, p.number)
		}
		return p.ticket <= ticket
	})
	return number
}

// isDiskStalled reports whether the disk has kept a save waiting too long.
func (r *Replica) isDiskStalled(now time.Duration) bool {
	return len(r.disk.pending) > 0 && now-r.disk.pending[0].madeAt >= stalledLeases*r.cfg.LeaderLease
}

// save gives the disk the present state with new records, and what these make
// obsolete; then is sent once it is there.
func (r *Replica) save(out *Out, wipe []int, records []message.Record, then ...message.Envelope) {
	r.put(out, Save{WipeRanges: wipe, Records: records, Delete: r.deleteBelowFloor(records)}, then...)
}

// put gives the disk a save; then is sent once it is there.
func (r *Replica) put(out *Out, s Save, then ...message.Envelope) {
	r.disk.lastTicket++
	if r.guard.folder != nil {
		r.meta.State, r.meta.History = r.guard.folder.nextSave(), r.guard.folder.past
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

// Saved takes the news that a save is on disk, and sends what waited for it.
//
// Example: out := r.Saved(save.Ticket)
func (r *Replica) Saved(ticket uint64) Out {
	number := r.disk.synced(ticket)
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

// deleteBelowFloor deletes what is below the floor, if the floor is among the new
// records, and gives the keys.
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

// floorOf is the version below which the keys of FloorPrefix are no longer kept.
func floorOf(records *digest.Records) (v message.Version) {
	if rec, ok := records.Get(FloorKey); ok && json.Unmarshal(rec.Value, &v) != nil {
		return message.Version{}
	}
	return v
}

// isBelow reports whether a record is one that is no longer kept below a floor.
func isBelow(rec message.Record, floor message.Version) bool {
	return strings.HasPrefix(rec.Key, FloorPrefix) && rec.Version.Less(floor)
}
