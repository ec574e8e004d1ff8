package daemon

import (
	"mulleinmast/control/leader"
	"mulleinmast/wire/message"
)

// maxChecks is the maximum number of cached checks per partition. When it is reached the cache is
// cleared and records are checked again.
const maxChecks = 8192

// readCheck is the result of checking whether this build can read one version of a record.
type readCheck struct {
	version message.Version
	err     error
}

// isReadable reports whether this build can read a record. An unreadable record must not be used;
// it is logged once per version. The caller holds the shard's lock.
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
		d.Events.Warn("record", "ignoring an unreadable record; if another build wrote it, run that build",
			"partition", s.partition, "error", err)
	}
	return err == nil
}

// unreadableRecords returns the number of requested records that this build can't read, and the
// error of one of them.
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
