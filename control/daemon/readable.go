package daemon

import (
	"mulleinmast/control/leader"
	"mulleinmast/wire/message"
)

// maxChecks bounds the records of a partition whose check is remembered; beyond it
// all are checked once more.
const maxChecks = 8192

// readCheck is whether this build can read one version of a record.
type readCheck struct {
	version message.Version
	err     error
}

// isReadable reports whether this build can read a record, and logs it once a version
// if not: nothing may be served by it then. The shard's lock is held.
func (d *Daemon) isReadable(s *shard, rec message.Record) bool {
	if known, ok := s.checks[rec.Key]; ok && known.version == rec.Version && rec.Version != (message.Version{}) {
		return known.err == nil
	}
	if s.checks == nil || len(s.checks) >= maxChecks {
		s.checks = map[string]readCheck{}
	}
	err := leader.CheckReadable(&d.plans, rec)
	s.checks[rec.Key] = readCheck{rec.Version, err}
	if err != nil {
		d.Events.Warn("record", "a record can't be read: nothing is served by it. If another build wrote it, run that one",
			"partition", s.partition, "error", err)
	}
	return err == nil
}

// unreadableRecords counts the records that this build can't read, of those that it
// was asked for, with the error of one of them.
func (d *Daemon) unreadableRecords() (n int, err error) {
	for _, s := range d.shards {
		s.mu.Lock()
		for _, check := range s.checks {
			if check.err != nil {
				n++
				err = check.err
			}
		}
		s.mu.Unlock()
	}
	return n, err
}
