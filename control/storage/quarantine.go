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

// MajorityLostFile is the name of the file by which an operator declares that a majority
// of the disks is lost and the back-up next to the file must be restored. Without the file
// a back-up isn't used, since the other disks may hold later writes, which a vote by the
// back-up could undo.
const MajorityLostFile = "majority-lost"

// SupersededFile is the name of the file by which a daemon marks its state as superseded:
// another process, or a later state, uses its identity.
const SupersededFile = "superseded"

// quarantineReason is the reason why a file isn't usable as the state of the folder. It
// is part of the name that the file is given.
type quarantineReason string

const (
	quarantinedDamaged    quarantineReason = "damaged"
	quarantinedBackup     quarantineReason = "back-up"
	quarantinedSuperseded quarantineReason = "superseded"
)

// quarantineReasonOf returns the reason to quarantine a file that failed to open with err;
// ok is false if the file must stay in place.
func quarantineReasonOf(err error) (reason quarantineReason, ok bool) {
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

// openOwnState opens the state file unless it was marked as superseded. A file
// MajorityLostFile overrides the mark.
func (s *Store) openOwnState(fleet string) error {
	if s.mayExist(SupersededFile) && !s.mayExist(MajorityLostFile) {
		return errSuperseded
	}
	return s.openState(fleet)
}

// MarkSuperseded marks the state as superseded: the next Open quarantines it and starts
// empty under a new identity.
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

// quarantine renames a file, with its write-ahead log, that isn't usable because of err.
// Files quarantined earlier for the same reason are deleted. The new names are synced
// before any file is created under the old names. Otherwise an old write-ahead log could
// reappear after a crash, next to a new file, and be treated as part of that file.
func quarantine(path string, reason quarantineReason, err error) (moved string, _ error) {
	earlier, _ := filepath.Glob(path + "." + string(reason) + "-*")
	for _, old := range earlier {
		_ = os.Remove(old)
	}
	moved = fmt.Sprintf("%s.%s-%d", path, reason, time.Now().UnixNano())
	for _, suffix := range []string{"-wal", "-shm", ""} {
		if renameErr := os.Rename(path+suffix, moved+suffix); renameErr != nil && !os.IsNotExist(renameErr) {
			return "", Error.Wrap(fmt.Errorf("%s: the state is unusable (%v) and can't be quarantined: %w", path, err, renameErr))
		}
	}
	return moved, Error.Wrap(syncDir(filepath.Dir(path)))
}

// clearIncarnations removes the incarnation fields from a restored state. They are older
// than the latest incarnation of the state's identity, and the other daemons may have been
// restored as well.
func (s *Store) clearIncarnations() error {
	var saves []quorum.Save
	for partition, state := range s.Partitions {
		state.Meta.State, state.Meta.History, state.Meta.Peers = message.SavePoint{}, nil, nil
		s.Partitions[partition] = state
		saves = append(saves, quorum.Save{Partition: partition, Meta: state.Meta, Sum: state.Meta.Sum(state.Records)})
	}
	return s.Write(saves)
}
