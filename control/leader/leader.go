// Package leader runs one partition on one daemon, with the leader's tasks beyond
// replication: it executes calls, places the group's replicas, expires old once
// keys and controls the model servers. It is a deterministic state machine around
// control/partition, driven by both the daemon and the simulator.
package leader

import (
	"fmt"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/partition"
	"mulleinmast/control/placement"
	"mulleinmast/control/ratelimit"
	"mulleinmast/wire/message"
)

// Config holds a leader's settings and time limits.
type Config struct {
	Placement        placement.Config
	OnceKeyRetention time.Duration // a once key's record is kept at least this long after its last write
	// ReadableFormat returns the newest plan format that all daemons of the fleet can read, or 0 if it isn't known.
	// If ReadableFormat is nil, no plan is refused because of its format.
	ReadableFormat func() int
}

// ClusterView is this daemon's view of the fleet's configuration and of its control daemons.
type ClusterView struct {
	Plan, Zones, Replicas                message.Record
	PlanValid, ZonesValid, ReplicasValid bool // the record was served under valid leases
	// Pressure returns the pressure on a server of a service, as last reported to this daemon; nil if it isn't known.
	Pressure func(service, server string) placement.Pressure
	// ControlDaemons are the fleet's current control daemons.
	ControlDaemons []message.Member
}

// Controller is the state machine of one partition on one daemon. It is not safe for concurrent use.
type Controller struct {
	cfg             Config
	partitionNumber int
	self            message.Replica
	partition       *partition.Partition
	plans           fleetconfig.PlanReader

	// Pending writes and answers to calls.
	lastTag     uint64                            // tag of the last write; tags increase
	onResult    map[uint64]func(partition.Result) // by tag; called once, when the write completes
	callResults []message.Envelope                // of the current step; finishStep sends them

	// State of the current leadership.
	placement       *placement.Controller   // nil before a leadership's first Reconcile and after its end
	demands         map[string]demandNumber // each daemon's last demand for a service, by "service/daemon"
	writtenVersions writtenVersions
	limits          *ratelimit.Allocator // nil until the first token request of a leadership

	reload      bool                  // server lists and records must be loaded into placement again
	loaded      configurationVersions // versions that placement currently uses
	loggedGroup uint64                // number of the group that was last logged
}

// configurationVersions are the versions of the plan and of the evacuated zones.
type configurationVersions struct{ plan, zones message.Version }

// New creates the controller of a partition.
//
// Example: c := leader.New(cfg, 3, self, partition.New(3, self, epoch, replica, node))
func New(cfg Config, number int, self message.Replica, part *partition.Partition) *Controller {
	return &Controller{
		cfg: cfg, partitionNumber: number, self: self, partition: part,
		onResult: map[uint64]func(partition.Result){},
		demands:  map[string]demandNumber{},
		reload:   true,
	}
}

// Partition returns the underlying partition.
//
// Example: rec, ok := c.Partition().Node.Get(now, key)
func (c *Controller) Partition() *partition.Partition { return c.partition }

// IsLeader reports whether this daemon currently leads the partition.
//
// Example: if c.IsLeader(now) { reconcile() }
func (c *Controller) IsLeader(now time.Duration) bool { return c.partition.IsLeader(now) }

// Step handles a message: a lease message, a message within the replica group, or a call.
//
// Example: out := c.Step(now, message)
func (c *Controller) Step(now time.Duration, m message.Message) Out {
	if m.Kind == message.KindCall {
		return c.handleCall(now, m.Sender(), m.AsCall())
	}
	return c.finishStep(c.partition.Step(now, m))
}

// Saved notifies the partition that a save is on disk.
//
// Example: out := c.Saved(now, ticket)
func (c *Controller) Saved(now time.Duration, ticket uint64) Out {
	return c.finishStep(c.partition.Saved(now, ticket))
}

// Tick advances the time.
//
// Example: out := c.Tick(now)
func (c *Controller) Tick(now time.Duration) Out {
	return c.finishStep(c.partition.Tick(now))
}

// Bootstrap creates the partition's first group.
//
// Example: out := c.Bootstrap(now, group)
func (c *Controller) Bootstrap(now time.Duration, g message.Group) Out {
	return c.finishStep(c.partition.Bootstrap(now, g))
}

// Supersede revokes the vote of this daemon's replica because another process, or a later
// state of its data folder, has the same identity.
//
// Example: out := c.Supersede(now, why)
func (c *Controller) Supersede(now time.Duration, why string) Out {
	return c.finishStep(c.partition.Supersede(now, why))
}

// SetParent sets this daemon's parent in the lease tree.
//
// Example: out := c.SetParent(now, replica)
func (c *Controller) SetParent(now time.Duration, parent message.Replica) Out {
	return c.finishStep(c.partition.SetParent(now, parent))
}

// Pin keeps a record in this daemon's cache.
//
// Example: out := c.Pin(now, "plan/now")
func (c *Controller) Pin(now time.Duration, key string) Out {
	return c.finishStep(c.partition.Pin(now, key))
}

// Unpin reverses Pin: the record may be removed from the cache.
//
// Example: c.Unpin("server/of/yesterday")
func (c *Controller) Unpin(key string) { c.partition.Unpin(key) }

// Submit starts a write; onResult, if it isn't nil, is called once with its outcome.
//
// Example: out := c.Submit(now, job, func(r partition.Result) { log(r.Outcome) })
func (c *Controller) Submit(now time.Duration, job partition.Job, onResult func(partition.Result)) Out {
	c.lastTag++
	if onResult != nil {
		c.onResult[c.lastTag] = onResult
	}
	return c.finishStep(c.partition.Submit(now, c.lastTag, job))
}

// finishStep delivers the results of a partition step to their callbacks, and adds the pending answers to calls.
func (c *Controller) finishStep(step partition.Out) (out Out) {
	for _, result := range step.Results {
		if onResult := c.onResult[result.Tag]; onResult != nil {
			delete(c.onResult, result.Tag)
			onResult(result)
		}
	}
	step.Results = nil
	step.Sends = append(step.Sends, c.callResults...)
	c.callResults = nil
	if step.Lost {
		c.placement = nil
		c.limits = nil
	}
	if step.Won {
		c.beginLeadership()
		out.log("leader", "partition %d: leader with term %d", c.partitionNumber, c.partition.Replica.Term())
	}
	out.Out = step
	return out
}

// beginLeadership discards the state of an earlier leadership.
func (c *Controller) beginLeadership() {
	c.placement = nil
	c.writtenVersions = writtenVersions{}
	c.demands = map[string]demandNumber{}
	c.limits = nil
}

// Event is an entry for the event log.
type Event struct{ Kind, Text string }

// Out is the output of a step: the partition's output, and what the leader requests.
type Out struct {
	partition.Out
	Polls  []string // record keys of the servers to poll
	Orders []placement.Order
	Events []Event
}

func (o *Out) log(kind, format string, args ...any) {
	o.Events = append(o.Events, Event{kind, fmt.Sprintf(format, args...)})
}

// add merges the output of a later step into o.
func (o *Out) add(later Out) {
	o.Sends = append(o.Sends, later.Sends...)
	o.Saves = append(o.Saves, later.Saves...)
	o.Readable = append(o.Readable, later.Readable...)
	o.Withdrawn = append(o.Withdrawn, later.Withdrawn...)
	o.Won = o.Won || later.Won
	o.Lost = o.Lost || later.Lost
	o.Orphaned = o.Orphaned || later.Orphaned
	if later.Redirect.Ident != "" {
		o.Redirect = later.Redirect
	}
	if later.Superseded != "" {
		o.Superseded = later.Superseded
	}
	o.Polls = append(o.Polls, later.Polls...)
	o.Orders = append(o.Orders, later.Orders...)
	o.Events = append(o.Events, later.Events...)
}
