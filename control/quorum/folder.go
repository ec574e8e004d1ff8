package quorum

import (
	"cmp"
	"slices"
	"sync/atomic"

	"mulleinmast/control/incarnation"
	"mulleinmast/wire/message"
)

// history is how many earlier incarnations a folder remembers as its own.
const history = 8

// Folder is what the replicas of one daemon share: one data folder, and one
// incarnation that counts the saves of all of them. So a copy of the folder is
// older for all partitions as soon as one of them saved something since.
type Folder struct {
	epoch  uint64
	base   message.SavePoint   // the state that this incarnation started from
	past   []message.SavePoint // the last state of each earlier incarnation, the latest at the end
	saves  atomic.Uint64       // of this incarnation
	synced atomic.Uint64       // the latest of them that is known to be on disk
}

// OpenFolder begins an incarnation over what a folder's replicas held.
//
// Example: folder := quorum.OpenFolder(epoch, held...)
func OpenFolder(epoch uint64, held ...Meta) *Folder {
	f := &Folder{epoch: epoch}
	last := map[uint64]uint64{}
	for _, m := range held {
		for _, s := range append(slices.Clone(m.History), m.State) {
			if s.Epoch != 0 && s.Epoch != epoch {
				last[s.Epoch] = max(last[s.Epoch], s.Saves)
			}
		}
	}
	for epoch, saves := range last {
		f.past = append(f.past, message.SavePoint{Epoch: epoch, Saves: saves})
	}
	slices.SortFunc(f.past, func(a, b message.SavePoint) int { return cmp.Compare(a.Epoch, b.Epoch) })
	f.past = f.past[max(0, len(f.past)-history):]
	if len(f.past) > 0 {
		f.base = f.past[len(f.past)-1]
	}
	return f
}

// stamp numbers a save.
func (f *Folder) stamp() message.SavePoint {
	return message.SavePoint{Epoch: f.epoch, Saves: f.saves.Add(1)}
}

// onDisk notes that a save is on disk.
func (f *Folder) onDisk(saves uint64) {
	for {
		was := f.synced.Load()
		if saves <= was || f.synced.CompareAndSwap(was, saves) {
			return
		}
	}
}

// descends tells whether a state is in the folder's past. A folder that a build
// which doesn't count wrote last claims nothing, nor does one whose past reaches
// back less far.
func (f *Folder) descends(from message.SavePoint) bool {
	if from.Epoch == 0 || f.base.Epoch == 0 {
		return true
	}
	for _, p := range f.past {
		if p.Epoch == from.Epoch {
			return from.Saves <= p.Saves
		}
	}
	return len(f.past) == history && incarnation.Starts(from.Epoch) < incarnation.Starts(f.past[0].Epoch)
}
