package placement

import (
	"fmt"
	"time"

	"mulleinmast/control/fleetconfig"
)

// HandlePoll takes a server's answer to a poll, or its silence.
//
// Example: h.HandlePoll(now, key, usage, true)
func (h *Controller) HandlePoll(now time.Duration, key string, u Usage, ok bool) {
	s := h.servers[key]
	if s == nil {
		return
	}
	s.polling = false
	if !ok {
		s.fails++
		return
	}
	// It was born between these two moments of our clock. If that is after the
	// latest that it can have been before, it is another life, however long its
	// uptime: what it played is gone.
	// A server that doesn't say its uptime is known to be new by having been dark.
	up := time.Duration(u.UptimeMillis) * time.Millisecond
	drift := time.Duration(float64(now-s.bornAt)*h.cfg.Drift) + h.cfg.Margin
	if s.seen && u.UptimeMillis > 0 && s.usage.UptimeMillis > 0 && (u.UptimeMillis < s.usage.UptimeMillis || s.pollAt-up > s.born+drift) {
		s.anew, s.ordered, s.warmAt = true, "", now
	}
	s.born, s.bornAt = now-up, now
	if s.fails >= h.cfg.MaxFailures { // it may have started anew: say its part again
		s.warmAt, s.ordered = now, ""
	}
	s.fails, s.seen, s.usage = 0, true, u
	part := float64(h.cfg.PollInterval) / float64(h.cfg.UsageWindow)
	s.busy += (float64(u.Active)/float64(max(1, s.Capacity)) - s.busy) * min(1, part)
}

// young tells whether a server is warming up, by its own word or its uptime.
func (h *Controller) young(s *server) bool {
	if s.told != "" {
		return s.cold
	}
	return s.seen && (s.usage.Warming || s.usage.UptimeMillis > 0 && time.Duration(s.usage.UptimeMillis)*time.Millisecond < h.cfg.WarmUp)
}

func (h *Controller) poll(now time.Duration, keys []string, o *Out) {
	for _, key := range keys {
		s := h.servers[key]
		if s.listed && s.told == "" && !s.polling && now-s.pollAt >= h.cfg.PollInterval {
			s.polling, s.pollAt = true, now
			o.Polls = append(o.Polls, key)
		}
	}
}

// status writes what the polls and the list say, and removes what left.
func (h *Controller) status(now time.Duration, keys []string, o *Out) {
	for _, key := range keys {
		s := h.servers[key]
		if s.writing {
			continue
		}
		if !s.listed {
			if s.Role == "" && s.Status == "" {
				delete(h.servers, key)
				continue
			}
			s.writing = true
			o.Writes = append(o.Writes, Write{Key: key, Delete: true})
			o.Notes = append(o.Notes, fmt.Sprintf("%s %s: no longer listed", s.svc, s.Addr))
			continue
		}
		if s.Role == "" {
			continue
		}
		b := s.ServerRecord
		switch {
		case (s.anew || s.fails >= h.cfg.MaxFailures) && s.Status != Dark:
			b.Status, b.NextRole = Dark, ""
			h.write(o, key, s, b, "polls fail or it started anew")
		case s.fails == 0 && s.seen && s.Status == Dark && s.ordered == s.Role:
			s.warmAt = now
			b.Status = Warming
			h.write(o, key, s, b, "back")
		case s.Status == Up && s.NextRole == "" && h.young(s) && !s.leaving(): // an earlier holder left it so
			s.warmAt = now
			b.Status = Warming
			h.write(o, key, s, b, "warms up")
		case s.leaving() && s.NextRole == "" && (s.Status == Up || s.Status == Warming):
			b.Status = Leaving
			h.write(o, key, s, b, "leaving")
		case !s.leaving() && s.NextRole == "" && s.Status == Leaving:
			s.warmAt = now
			b.Status = Warming
			h.write(o, key, s, b, "stays")
		case s.Status == Warming && (s.told != "" || now-s.warmAt >= h.cfg.WarmUp) && s.fails == 0 && s.seen && !h.young(s) && (s.told == "" || s.told == s.Role):
			b.Status = Up
			h.write(o, key, s, b, "warm")
		}
	}
}

// fresh is the status of a server that the platform lists with its part.
func (s *server) fresh() string {
	if s.cold {
		return Warming
	}
	return Up
}

// listing takes what the platform's list says of a server beside its place.
// A part named there counts as ordered until this holder orders another; it
// lags behind an order, so a changed word is followed, a standing one is not.
func (h *Controller) listing(s *server, e fleetconfig.Server) {
	if e.Role == "" {
		return
	}
	if s.told != e.Role && !s.ordering {
		s.ordered = e.Role
	}
	s.id, s.told, s.cold, s.seen = e.ID, e.Role, e.Warming, true
}
