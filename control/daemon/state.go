package daemon

import (
	"slices"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/lease"
	"mulleinmast/control/membership"
	"mulleinmast/control/placement"
	"mulleinmast/wire/message"
)

// State is the state dump of a daemon, which the query shell reads.
type State struct {
	Fleet       string           `json:"fleet"`
	Me          message.Member   `json:"me"`
	Members     []message.Member `json:"members"`
	Live        bool             `json:"live"` // whether it has a session
	PlanVersion uint64           `json:"plan_version"`
	PlanValid   bool             `json:"plan_valid"` // whether the plan is under valid leases
	ZonesOut    []string         `json:"cells_out"`  // evacuated zones
	Partitions  []PartitionView  `json:"parts"`
	Superseded  string           `json:"superseded,omitempty"` // reason, if the state is superseded
	WireCounts  [3]int64         `json:"wire_sent_got_lost"`   // messages
	Traffic     map[string]any   `json:"traffic,omitempty"`    // data plane's part
}

// PartitionView is one partition as this daemon sees it.
type PartitionView struct {
	Partition        int                `json:"part"`
	Leader           message.Leadership `json:"owner"`
	LedHere          bool               `json:"mine"`
	Group            message.Group      `json:"group"`
	LastCompleteTerm uint64             `json:"set"`
	Records          int                `json:"records"`
	Lease            lease.View         `json:"node"`
	Servers          []placement.Row    `json:"servers,omitempty"` // only at the leader
}

// State returns the daemon's current state.
//
// Example: json.Marshal(d.State())
func (d *Daemon) State() State {
	view := d.View()
	state := State{
		Fleet:      d.Cfg.Fleet,
		Me:         view.Self,
		Members:    view.Members,
		Live:       view.HasSession,
		ZonesOut:   d.zonesOut(),
		Superseded: d.WhySuperseded(),
		WireCounts: [3]int64{d.Transport.Sent.Load(), d.Transport.Received.Load(), d.Transport.Dropped.Load()},
	}
	_, state.PlanVersion, state.PlanValid = d.Plan()
	for _, s := range d.shards {
		state.Partitions = append(state.Partitions, s.view(d.Now, view))
	}
	if d.TrafficState != nil {
		state.Traffic = d.TrafficState()
	}
	return state
}

// zonesOut returns the evacuated zones, sorted.
func (d *Daemon) zonesOut() []string {
	zones := []string{}
	if rec, ok := d.Read(0, fleetconfig.ZoneKey); ok {
		for zone := range fleetconfig.MustReadZones(rec) {
			zones = append(zones, zone)
		}
		slices.Sort(zones)
	}
	return zones
}

// view returns the partition's part of the state dump.
func (s *shard) view(clock func() time.Duration, fleet *membership.View) PartitionView {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := clock()
	view := PartitionView{
		Partition: s.partition,
		Leader:    fleet.Leaderships[s.partition],
		LedHere:   s.isLeader(now),
		Lease:     s.node().View(now),
		Servers:   s.controller.Rows(now),
	}
	if replica := s.replica(); replica != nil {
		view.Group = replica.Group()
		view.LastCompleteTerm = replica.Meta().LastComplete
		view.Records = replica.Records().Size()
	}
	return view
}
