package placement

import (
	"time"

	"mulleinmast/control/fleetconfig"
)

// server is the controller's state of one server. ServerRecord is the committed desired
// state; while writePending is set, a new one is being written.
type server struct {
	ServerRecord
	service      string
	listed       bool // it is in the platform's list
	withdrawn    bool // it gets no new work, because of the list, the plan or an evacuation
	writePending bool

	listing  listing
	observed observation
	order    orderState

	restarted    bool          // it restarted and so lost its role, which its record doesn't reflect yet
	warmingSince time.Duration // when its slots began to increase, while it is warming
	leavingSince time.Duration // when it began to leave its role
}

// listing holds a server's run ID, role and warm-up state in the platform's list, if the list names roles.
type listing struct {
	id      string // ID of this run of the server, if the platform provides one
	role    string // role that it plays; "" if the list names none, in which case the server is polled
	warming bool
	// mismatchSince is when the list began to name another role than the record; 0 if they agree.
	mismatchSince time.Duration
}

// observation is the observed state of a server.
type observation struct {
	known       bool // a poll was answered, or the platform lists its role
	usage       Usage
	polledAt    time.Duration
	pollPending bool
	failures    int           // failed polls and failed calls of daemons since the last answer
	utilization float64       // average utilization of its slots
	pressure    Pressure      // averaged
	latestStart time.Duration // latest possible time of its start, according to the poll at startSeenAt
	startSeenAt time.Duration
}

// orderState is the last order to a server.
type orderState struct {
	role    string // role that it accepted or that the platform lists; "" if none since it started
	pending bool   // the order hasn't been answered yet
	sentAt  time.Duration
}

// isLeaving reports whether the server gets no new work, because it was withdrawn or by its own report.
func (s *server) isLeaving() bool { return s.withdrawn || s.observed.known && s.observed.usage.Leaving }

// key identifies the server within its service.
func (s *server) key() string {
	if s.listing.id != "" {
		return s.listing.id
	}
	return s.Addr
}

// hasListedRole reports whether the platform lists the server's role.
func (s *server) hasListedRole() bool { return s.listing.role != "" }

// isInUse reports whether the server plays its role and isn't shifting to another one.
func (s *server) isInUse() bool { return s.Status == Up && s.NextRole == "" }

// updateListing updates the server's run ID, role and warm-up state from the platform's list.
// A listed role counts as ordered until this controller orders another one. Since the list
// lags behind orders, a listed role is followed only when it changes.
func (s *server) updateListing(entry fleetconfig.Server) {
	if entry.Role == "" {
		return
	}
	if s.listing.role != entry.Role && !s.order.pending {
		s.order.role = entry.Role
	}
	s.listing.id, s.listing.role, s.listing.warming = entry.ID, entry.Role, entry.Warming
	s.observed.known = true
}

// listedStatus returns the status of a server whose role the platform lists.
func (s *server) listedStatus() string {
	if s.listing.warming {
		return Warming
	}
	return Up
}
