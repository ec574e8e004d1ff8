package quorum

import (
	"cmp"
	"slices"
	"sync/atomic"

	"mulleinmast/control/incarnation"
	"mulleinmast/wire/message"
)

// maxPastIncarnations bounds the history of earlier incarnations that a folder keeps.
const maxPastIncarnations = 8

// Folder is the data folder that the replicas of one daemon share. It has one incarnation,
// which counts the saves of all these replicas. A copy of the folder is therefore outdated
// for all partitions as soon as one replica saves.
type Folder struct {
	epoch      uint64
	startState message.SavePoint   // the last state of the previous incarnation
	history    []message.SavePoint // the last state of each earlier incarnation, oldest first; immutable
	saves      atomic.Uint64       // number of saves made in this incarnation
	synced     atomic.Uint64       // the number of the latest save known to be on disk
}

// OpenFolder starts an incarnation from the stored state of a folder's replicas.
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
		f.history = append(f.history, message.SavePoint{Epoch: epoch, Saves: saves})
	}
	slices.SortFunc(f.history, func(a, b message.SavePoint) int { return cmp.Compare(a.Epoch, b.Epoch) })
	f.history = f.history[max(0, len(f.history)-maxPastIncarnations):]
	if len(f.history) > 0 {
		f.startState = f.history[len(f.history)-1]
	}
	return f
}

// nextSave returns the save point of the next save.
func (f *Folder) nextSave() message.SavePoint {
	return message.SavePoint{Epoch: f.epoch, Saves: f.saves.Add(1)}
}

// noteSynced records that the save with a number is on disk.
func (f *Folder) noteSynced(number uint64) {
	for {
		latest := f.synced.Load()
		if number <= latest || f.synced.CompareAndSwap(latest, number) {
			return
		}
	}
}

// descendsFrom reports whether a state is in the folder's history. It also returns
// true if the folder can't tell: it was last written by a build that doesn't count
// saves, or the state is older than the oldest entry of a full history.
func (f *Folder) descendsFrom(state message.SavePoint) bool {
	if state.Epoch == 0 || f.startState.Epoch == 0 {
		return true
	}
	for _, p := range f.history {
		if p.Epoch == state.Epoch {
			return state.Saves <= p.Saves
		}
	}
	return len(f.history) == maxPastIncarnations &&
		incarnation.Starts(state.Epoch) < incarnation.Starts(f.history[0].Epoch)
}
