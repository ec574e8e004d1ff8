package placement

import "time"

// HandlePoll handles a server's answer to a poll; ok is false if there was no answer.
//
// Example: c.HandlePoll(now, key, usage, true)
func (c *Controller) HandlePoll(now time.Duration, key string, usage Usage, ok bool) {
	s := c.servers[key]
	if s == nil {
		return
	}
	seen := &s.observed
	seen.pollPending = false
	if !ok {
		seen.failures++
		return
	}
	uptime := time.Duration(usage.UptimeMillis) * time.Millisecond
	if c.hasRestarted(now, seen, usage) {
		s.restarted, s.order.role, s.warmingSince = true, "", now
	}
	seen.latestStart, seen.startSeenAt = now-uptime, now
	if seen.failures >= c.cfg.MaxFailures { // it may have restarted, so its role is ordered again
		s.warmingSince, s.order.role = now, ""
	}
	seen.failures, seen.known, seen.usage = 0, true, usage
	weight := float64(c.cfg.PollInterval) / float64(c.cfg.UsageWindow)
	seen.utilization += (float64(usage.Active)/float64(max(1, s.Capacity)) - seen.utilization) * min(1, weight)
}

// hasRestarted reports whether a server that answers a poll has restarted since the last answer. By this clock,
// the server started no earlier than the poll less its uptime, and no later than the answer less its uptime. If
// the earliest start time is later than the latest one computed from a previous answer, the server is a new
// process, even if its uptime is longer than the last one reported. A server that doesn't report its uptime is
// assumed to have restarted only after it was dark.
func (c *Controller) hasRestarted(now time.Duration, seen *observation, usage Usage) bool {
	if !seen.known || usage.UptimeMillis <= 0 || seen.usage.UptimeMillis <= 0 {
		return false
	}
	uptime := time.Duration(usage.UptimeMillis) * time.Millisecond
	drift := time.Duration(float64(now-seen.startSeenAt)*c.cfg.Drift) + c.cfg.Margin
	return usage.UptimeMillis < seen.usage.UptimeMillis || seen.polledAt-uptime > seen.latestStart+drift
}

// isWarming reports whether a server is warming up, by its own report, its uptime or the platform's list.
func (c *Controller) isWarming(s *server) bool {
	if s.hasListedRole() {
		return s.listing.warming
	}
	uptime := time.Duration(s.observed.usage.UptimeMillis) * time.Millisecond
	return s.observed.known && (s.observed.usage.Warming || uptime > 0 && uptime < c.cfg.WarmUp)
}

// isDark reports whether enough polls failed for a server to count as dark.
func (c *Controller) isDark(s *server) bool { return s.observed.failures >= c.cfg.MaxFailures }

// pollServers polls the servers whose roles the platform doesn't list.
func (r *round) pollServers() {
	for _, key := range r.keys {
		s := r.servers[key]
		seen := &s.observed
		if s.listed && !s.hasListedRole() && !seen.pollPending && r.now-seen.polledAt >= r.cfg.PollInterval {
			seen.pollPending, seen.polledAt = true, r.now
			r.out.Polls = append(r.out.Polls, key)
		}
	}
}

// updateStatuses writes status changes that follow from polls and the list, and removes servers no longer listed.
func (r *round) updateStatuses() {
	for _, key := range r.keys {
		s := r.servers[key]
		switch {
		case s.writePending:
		case !s.listed:
			r.removeServer(key, s)
		case s.Role != "":
			r.updateStatus(key, s)
		}
	}
}

// removeServer deletes the record of a server that is no longer listed, and discards its state once it has no record.
func (r *round) removeServer(key string, s *server) {
	if s.Role == "" && s.Status == "" {
		delete(r.servers, key)
		return
	}
	s.writePending = true
	r.out.Writes = append(r.out.Writes, Write{Key: key, Delete: true})
	r.note("%s %s: no longer listed", s.service, s.Addr)
}

// updateStatus writes a server's new status if the one in its record is out of date.
func (r *round) updateStatus(key string, s *server) {
	stays := s.NextRole == ""
	answers := s.observed.failures == 0 && s.observed.known
	switch {
	case (s.restarted || r.isDark(s)) && s.Status != Dark:
		record := s.ServerRecord
		record.Status, record.NextRole = Dark, ""
		r.write(key, s, record, "polls fail or the server restarted")
	case answers && s.Status == Dark && s.order.role == s.Role:
		r.writeWarming(key, s, "back")
	case s.isInUse() && r.isWarming(s) && !s.isLeaving(): // an earlier controller wrote this status
		r.writeWarming(key, s, "warming up")
	case s.isLeaving() && stays && (s.Status == Up || s.Status == Warming):
		r.writeStatus(key, s, Leaving, "leaving")
	case !s.isLeaving() && stays && s.Status == Leaving:
		r.writeWarming(key, s, "stays")
	case s.Status == Warming && answers && r.isWarm(s):
		r.writeStatus(key, s, Up, "warm")
	}
}

// isWarm reports whether a warming server may be used at full capacity.
func (r *round) isWarm(s *server) bool {
	if r.isWarming(s) {
		return false
	}
	if s.hasListedRole() {
		return s.listing.role == s.Role
	}
	return r.now-s.warmingSince >= r.cfg.WarmUp
}

func (r *round) writeWarming(key string, s *server, reason string) {
	s.warmingSince = r.now
	r.writeStatus(key, s, Warming, reason)
}

func (r *round) writeStatus(key string, s *server, status, reason string) {
	record := s.ServerRecord
	record.Status = status
	r.write(key, s, record, reason)
}
