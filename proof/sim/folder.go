package sim

import (
	"fmt"
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// folder is what a simulated disk holds, synced.
type folder struct {
	ident         string
	epoch         uint64
	metaOf        map[int]quorum.Meta
	records       map[int]map[string]message.Record
	recordSums    map[string]uint64 // by part and key, as control/storage keeps them
	partitionSums map[int]uint64    // of each partition, too
	rotten        bool              // what it holds isn't what was written
}

// newFolder is an empty folder of a daemon's identity.
func newFolder(ident string) *folder {
	return &folder{
		ident:         ident,
		metaOf:        map[int]quorum.Meta{},
		records:       map[int]map[string]message.Record{},
		recordSums:    map[string]uint64{},
		partitionSums: map[int]uint64{},
	}
}

// loadReplica is what a replica's disk holds: a partition that isn't what was written, for
// a record that is lost or spoilt, is short.
func (n *node) loadReplica(p int) (quorum.Meta, *digest.Records) {
	records := digest.NewRecords()
	spoilt := false
	for k, r := range n.disk.records[p] {
		if n.disk.recordSums[sumKey(p, k)] == digest.Fingerprint(r) { // else it is spoilt and counts as missing
			records.Put(r)
		} else {
			spoilt = true
			delete(n.disk.records[p], k)
		}
	}
	meta := n.disk.metaOf[p]
	if sum := n.disk.partitionSums[p]; spoilt || sum != 0 && sum != meta.Sum(records) {
		if !n.disk.rotten {
			what := fmt.Sprintf("reads partition %d back as what was never written", p)
			n.world.note(Event{Kind: Silent, Node: n.name, Tag: what})
		}
		meta.Incomplete = n.world.options.Sabotage != "rotvote"
		n.disk.metaOf[p], n.disk.partitionSums[p] = meta, meta.Sum(records)
	}
	return meta, records
}

// save syncs after the disk's time; a crash before that loses it. What comes
// while the disk is busy is one batch, as in the daemon.
func (n *node) save(list []quorum.Save) {
	if !n.up { // killed by what this very step brought about
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
	n.pendingSaves, n.busy, n.savesUnderWay = nil, true, list
	d := 200*time.Microsecond + w.exp(time.Millisecond)
	if w.now < n.slowUntil {
		d += n.diskDelay
	}
	d = max(d, n.jammedUntil-w.now)
	life := n.starts
	told := func() {
		for _, s := range list {
			n.carry(s.Partition, n.controllers[s.Partition].Saved(n.local(), s.Ticket))
		}
	}
	if w.options.Sabotage == "nosync" { // says saved, and writes only much later
		n.busy = false
		n.in(0, told)
		w.at(d+time.Second, func() {
			if n.up && n.starts == life && n.disk != nil {
				n.disk.sync(list)
			}
		})
		return
	}
	w.at(d, func() {
		if !n.up || n.starts != life || n.disk == nil {
			return
		}
		n.disk.sync(list)
		n.in(0, told)
		if n.busy = false; len(n.pendingSaves) > 0 {
			n.flush()
		}
	})
}

func sumKey(p int, key string) string { return fmt.Sprintf("%d/%s", p, key) }

// sync is what a transaction leaves behind.
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
