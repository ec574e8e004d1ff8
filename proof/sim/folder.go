package sim

import (
	"fmt"
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// folder is the synced content of a simulated disk.
type folder struct {
	ident         string
	epoch         uint64
	metaOf        map[int]quorum.Meta
	records       map[int]map[string]message.Record
	recordSums    map[string]uint64 // by partition and key, as in control/storage
	partitionSums map[int]uint64    // by partition, as in control/storage
	vote          message.FirstGroupVote
	corrupted     bool // the content was corrupted on purpose
}

// newFolder returns an empty folder with a daemon's identity.
func newFolder(ident string) *folder {
	return &folder{
		ident:         ident,
		metaOf:        map[int]quorum.Meta{},
		records:       map[int]map[string]message.Record{},
		recordSums:    map[string]uint64{},
		partitionSums: map[int]uint64{},
	}
}

// loadReplica loads a replica from disk. A partition with lost or corrupted records is
// marked as incomplete.
func (n *node) loadReplica(p int) (quorum.Meta, *digest.Records) {
	records := digest.NewRecords()
	isCorrupted := false
	for k, r := range n.disk.records[p] {
		if n.disk.recordSums[sumKey(p, k)] == digest.Fingerprint(r) { // otherwise it is corrupted and treated as missing
			records.Put(r)
		} else {
			isCorrupted = true
			delete(n.disk.records[p], k)
		}
	}
	meta := n.disk.metaOf[p]
	if sum := n.disk.partitionSums[p]; isCorrupted || sum != 0 && sum != meta.Sum(records) {
		if !n.disk.corrupted {
			failure := fmt.Sprintf("reads a partition %d that differs from what was written", p)
			n.world.recordEvent(Event{Kind: CheckFailed, Node: n.name, Tag: failure})
		}
		meta.Incomplete = n.world.options.Sabotage != "rotvote"
		n.disk.metaOf[p], n.disk.partitionSums[p] = meta, meta.Sum(records)
	}
	return meta, records
}

// save writes saves to disk after the disk's delay; a crash before that loses them. Saves
// that arrive while the disk is busy form one batch, as in the daemon.
func (n *node) save(list []quorum.Save) {
	if !n.up { // the current step has killed it
		return
	}
	n.pendingSaves = append(n.pendingSaves, list...)
	if !n.busy {
		n.flush()
	}
}

func (n *node) flush() {
	w := n.world
	list := n.pendingSaves
	n.pendingSaves, n.busy, n.savesInProgress = nil, true, list
	d := 200*time.Microsecond + w.exp(time.Millisecond)
	if w.now < n.slowUntil {
		d += n.diskDelay
	}
	d = max(d, n.blockedUntil-w.now)
	starts := n.starts
	notify := func() {
		for _, s := range list {
			n.apply(s.Partition, n.controllers[s.Partition].Saved(n.local(), s.Ticket))
		}
	}
	if w.options.Sabotage == "nosync" { // reports the saves as done, and writes them only much later
		n.busy = false
		n.schedule(0, notify)
		w.schedule(d+time.Second, func() {
			if n.up && n.starts == starts && n.disk != nil {
				n.disk.sync(list)
			}
		})
		return
	}
	w.schedule(d, func() {
		if !n.up || n.starts != starts || n.disk == nil {
			return
		}
		n.disk.sync(list)
		n.schedule(0, notify)
		if n.busy = false; len(n.pendingSaves) > 0 {
			n.flush()
		}
	})
}

func sumKey(p int, key string) string { return fmt.Sprintf("%d/%s", p, key) }

// sync applies saves to the folder, as one transaction.
func (f *folder) sync(list []quorum.Save) {
	for _, s := range list {
		f.metaOf[s.Partition] = s.Meta
		if f.records[s.Partition] == nil {
			f.records[s.Partition] = map[string]message.Record{}
		}
		for _, sp := range s.WipeRanges {
			for k := range f.records[s.Partition] {
				if digest.RangeOf(k) == sp {
					delete(f.records[s.Partition], k)
				}
			}
		}
		for _, r := range s.Records {
			f.records[s.Partition][r.Key] = r
			f.recordSums[sumKey(s.Partition, r.Key)] = digest.Fingerprint(r)
		}
		for _, k := range s.Delete {
			delete(f.records[s.Partition], k)
		}
		f.partitionSums[s.Partition] = s.Sum
	}
}
