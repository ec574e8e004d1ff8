package quorum

import (
	"cmp"
	"slices"
	"sync/atomic"

	"mulleinmast/control/incarnation"
	"mulleinmast/wire/message"
)

// keptIncarnations is how many earlier incarnations a folder remembers as its own.
const keptIncarnations = 8

// Folder is what the replicas of one daemon share: one data folder, and one
// incarnation that counts the saves of all of them. So a copy of the folder is
// older for all partitions as soon as one of them saved something since.
type Folder struct {
	epoch  uint64
	base   message.SavePoint   // the state that this incarnation started from
	past   []message.SavePoint // the last state of each earlier incarnation, oldest first; never changed
	saves  atomic.Uint64       // of this incarnation
	synced atomic.Uint64       // the latest of them that is known to be on disk
}

// OpenFolder begins an incarnation over the stored state of a folder's replicas.
//
// Example: folder := quorum.OpenFolder(epoch, metas...)
func OpenFolder(epoch uint64, metas ...Meta) *Folder {
	f := &Folder{epoch: epoch}
	last := map[uint64]uint64{} // epoch -> saves
	for _, meta := range metas {
		for _, state := range append(slices.Clone(meta.History), meta.State) {
			if state.Epoch != 0 && state.Epoch != epoch {
				last[state.Epoch] = max(last[state.Epoch], state.Saves)
			}
		}
	}
	for epoch, saves := range last {
		f.past = append(f.past, message.SavePoint{Epoch: epoch, Saves: saves})
	}
	slices.SortFunc(f.past, func(a, b message.SavePoint) int { return cmp.Compare(a.Epoch, b.Epoch) })
	f.past = f.past[max(0, len(f.past)-keptIncarnations):]
	if len(f.past) > 0 {
		f.base = f.past[len(f.past)-1]
	}
	return f
}

// nextSave numbers a save.
func (f *Folder) nextSave() message.SavePoint {
	return message.SavePoint{Epoch: f.epoch, Saves: f.saves.Add(1)}
}

// noteSynced notes that a save is on disk.
func (f *Folder) noteSynced(number uint64) {
	for {
		latest := f.synced.Load()
		if number <= latest || f.synced.CompareAndSwap(latest, number) {
			return
		}
	}
}

// descendsFrom reports whether a state is in the folder's past. A folder that a build
// which doesn't count wrote last claims nothing, nor does one whose past reaches
// back less far.
func (f *Folder) descendsFrom(state message.SavePoint) bool {
	if state.Epoch == 0 || f.base.Epoch == 0 {
		return true
	}
	for _, p := range f.past {
		if p.Epoch == state.Epoch {
			return state.Saves <= p.Saves
		}
	}
	return len(f.past) == keptIncarnations && incarnation.Starts(state.Epoch) < incarnation.Starts(f.past[0].Epoch)
}
