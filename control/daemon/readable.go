package daemon

import (
	"mulleinmast/control/leader"
	"mulleinmast/wire/message"
)

// mostChecked bounds the records of a partition whose check is remembered; beyond
// it all are checked once more.
const mostChecked = 8192

// checked is what the check of one version of a record came to.
type checked struct {
	ver message.Version
	err error
}

// readable tells whether this build can read a record, and says so once a version
// if not: nothing may be served by it then. The shard's lock is held.
func (c *Daemon) readable(s *shard, r message.Record) bool {
	if known, ok := s.checks[r.Key]; ok && known.ver == r.Version && r.Version != (message.Version{}) {
		return known.err == nil
	}
	if s.checks == nil || len(s.checks) >= mostChecked {
		s.checks = map[string]checked{}
	}
	err := leader.CheckReadable(&c.plans, r)
	s.checks[r.Key] = checked{r.Version, err}
	if err != nil {
		c.Events.Trouble("record", "partition %d: %v; nothing is served by it. If another build wrote it, run that one", s.partition, err)
	}
	return err == nil
}

// unreadable counts the records that this build can't read, of those that it
// was asked for, and tells why of one of them.
func (c *Daemon) unreadable() (n int, why error) {
	for _, s := range c.shards {
		s.mu.Lock()
		for _, x := range s.checks {
			if x.err != nil {
				n++
				why = x.err
			}
		}
		s.mu.Unlock()
	}
	return n, why
}
