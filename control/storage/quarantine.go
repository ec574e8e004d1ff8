package storage

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// MajorityLostFile is the name of the file by which an operator says that a majority
// of the disks is lost, so that the back-up beside it is the state that is left.
// Without it a back-up counts for nothing: the other disks have what was written
// since, which a vote of the back-up could undo.
const MajorityLostFile = "majority-lost"

// SupersededFile is the name of the file by which a daemon says that its state is
// superseded: another process, or a later state, bears its identity.
const SupersededFile = "superseded"

// quarantineReason is why a file isn't this folder's state. It stands in the name that
// the file gets.
type quarantineReason string

const (
	quarantinedDamaged    quarantineReason = "damaged"
	quarantinedBackup     quarantineReason = "back-up"
	quarantinedSuperseded quarantineReason = "superseded"
)

// whyQuarantine tells whether a file that could not be opened, as err says, is to be
// set aside, and as what.
func whyQuarantine(err error) (why quarantineReason, ok bool) {
	switch {
	case errors.Is(err, errBackup):
		return quarantinedBackup, true
	case errors.Is(err, errSuperseded):
		return quarantinedSuperseded, true
	case isCorrupt(err):
		return quarantinedDamaged, true
	}
	return "", false
}

// openOwnState opens the folder's file, unless it was found superseded before. That
// the majority is lost, as an operator says, goes before that.
func (s *Store) openOwnState(fleet string) error {
	if s.has(SupersededFile) && !s.has(MajorityLostFile) {
		return errSuperseded
	}
	return s.openState(fleet)
}

// MarkSuperseded has the next start set this state aside and begin empty, under a
// new identity.
//
// Example: err := s.MarkSuperseded()
func (s *Store) MarkSuperseded() error {
	f, err := os.OpenFile(filepath.Join(s.dir, SupersededFile), os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := errors.Join(f.Sync(), f.Close()); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(syncDir(s.dir))
}

// quarantine renames a file that isn't this folder's state, for the reason err; one
// that was set aside before for the same reason makes room for it.
// The new names last before anything is made under the old ones: a write-ahead
// log that came back beside a new file would be taken for that file's.
func quarantine(path string, why quarantineReason, err error) (moved string, _ error) {
	earlier, _ := filepath.Glob(path + "." + string(why) + "-*")
	for _, old := range earlier {
		_ = os.Remove(old)
	}
	moved = fmt.Sprintf("%s.%s-%d", path, why, time.Now().UnixNano())
	for _, suffix := range []string{"-wal", "-shm", ""} {
		if renameErr := os.Rename(path+suffix, moved+suffix); renameErr != nil && !os.IsNotExist(renameErr) {
			return "", Error.New("%s: not the state (%v) and can't be set aside: %v", path, err, renameErr)
		}
	}
	return moved, Error.Wrap(syncDir(filepath.Dir(path)))
}

// disownIncarnations takes out of a restored state what it says of incarnations: it
// isn't where its identity came to, and the others may be restored as well.
func (s *Store) disownIncarnations() error {
	var saves []quorum.Save
	for partition, state := range s.Partitions {
		state.Meta.State, state.Meta.History, state.Meta.Peers = message.SavePoint{}, nil, nil
		s.Partitions[partition] = state
		saves = append(saves, quorum.Save{Partition: partition, Meta: state.Meta, Sum: state.Meta.Sum(state.Records)})
	}
	return s.Write(saves)
}
