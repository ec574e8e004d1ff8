package placement

import (
	"time"

	"mulleinmast/control/fleetconfig"
)

// server is what the controller knows of one server. Its record is the desired state, as
// committed; while a write is pending the next one is on its way.
type server struct {
	ServerRecord
	service      string
	listed       bool // the platform's list names it
	withdrawn    bool // it gets no new work by the list, the plan or an evacuation
	writePending bool

	listing  listing
	observed observation
	order    orderState

	restarted    bool          // it restarted, and so lost its role, and its record doesn't say so yet
	warmingSince time.Duration // its slots rise from then on, while it is warming
	leavingSince time.Duration // when it began to leave its role
}

// listing is what the platform's list says of a server beside its place, where it names roles.
type listing struct {
	id      string // of this start of the server, where the platform gives one
	role    string // that it plays; "": the list names none, and the server is polled
	warming bool
	// deniedSince is since when the list has named another role than the record; 0: it doesn't.
	deniedSince time.Duration
}

// observation is what was seen of a server.
type observation struct {
	known       bool // a poll was answered, or the platform lists its role
	usage       Usage
	polledAt    time.Duration
	pollPending bool
	failures    int           // polls and daemons' calls that failed since the last answer
	utilization float64       // of its slots; averaged
	pressure    Pressure      // averaged
	startedBy   time.Duration // the latest that it can have started, by the poll at startSeenAt
	startSeenAt time.Duration
}

// orderState is the last order to a server.
type orderState struct {
	role    string // that it took, or that the platform lists; "": none since it started
	pending bool   // it is not answered yet
	sentAt  time.Duration
}

// isLeaving tells whether nothing new goes to the server, by whoever's word.
func (s *server) isLeaving() bool { return s.withdrawn || s.observed.known && s.observed.usage.Leaving }

// key names the server within its service.
func (s *server) key() string {
	if s.listing.id != "" {
		return s.listing.id
	}
	return s.Addr
}

// hasListedRole tells whether the platform lists the server's role.
func (s *server) hasListedRole() bool { return s.listing.role != "" }

// isInUse tells whether the server plays its role and is to go on with it.
func (s *server) isInUse() bool { return s.Status == Up && s.NextRole == "" }

// takeListing takes what the platform's list says of a server beside its place.
// A role named there counts as ordered until this controller orders another; the list
// lags behind an order, so a changed role is followed, a standing one is not.
func (s *server) takeListing(entry fleetconfig.Server) {
	if entry.Role == "" {
		return
	}
	if s.listing.role != entry.Role && !s.order.pending {
		s.order.role = entry.Role
	}
	s.listing.id, s.listing.role, s.listing.warming = entry.ID, entry.Role, entry.Warming
	s.observed.known = true
}

// listedStatus is the status of a server that the platform lists with its role.
func (s *server) listedStatus() string {
	if s.listing.warming {
		return Warming
	}
	return Up
}
