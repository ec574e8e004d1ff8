// Package leader is one partition on one daemon, with what its leader does beside
// replication: it carries out calls, keeps the group's replicas placed, drops old once
// keys and controls the model servers. It is a plain state machine around
// control/partition; the daemon and the simulator drive the same one.
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

// Config holds the bounds of a leader's work.
type Config struct {
	Placement        placement.Config
	OnceKeyRetention time.Duration // a once key's record is kept at least this long after its last write
	RepeatWindow     time.Duration // for how long a caller may send an operator's order again as a new call
	// ReadableFormat is the newest format of plans that all daemons of the fleet read; 0: not known. Where it is
	// nil, no plan is refused for the format that it needs.
	ReadableFormat func() int
}

// ClusterView is what this daemon sees of the fleet's configuration, under valid leases, and of its control daemons.
type ClusterView struct {
	Plan, Zones, Replicas                message.Record
	PlanValid, ZonesValid, ReplicasValid bool // the record was served under valid leases
	// Pressure says how hard a server of a service is pressed, as far as this daemon heard; nil: not known.
	Pressure func(service, server string) placement.Pressure
	// ControlDaemons are those that are in the fleet now.
	ControlDaemons []message.Member
}

// Controller is the state machine of one partition on one daemon. It is not safe for concurrent use.
type Controller struct {
	cfg       Config
	number    int // of the partition
	self      message.Replica
	partition *partition.Partition
	plans     fleetconfig.PlanReader

	// Writes under way and answers to calls.
	lastTag     uint64                            // of a write; tags rise
	onResult    map[uint64]func(partition.Result) // by tag; called once, when the write ends
	callResults []message.Envelope                // of the step under way; finishStep sends them

	// What belongs to the leadership held now.
	placement *placement.Controller // nil until the first Reconcile of a leadership, and when it is lost
	orders    recentOrders
	demands   map[string]demandNumber // of each daemon's last demand for a service, by "service/daemon"
	retention retention
	limits    *ratelimit.Allocator // nil until the first request for a token of a leadership

	reload      bool                  // the servers' lists and records are to be loaded into placement again
	loaded      configurationVersions // that placement works by
	loggedGroup uint64                // number of the group that was logged last
}

// configurationVersions are those of the configuration that placement works by.
type configurationVersions struct{ plan, zones message.Version }

// New puts a controller over a partition.
//
// Example: c := leader.New(cfg, 3, self, partition.New(3, self, epoch, replica, node))
func New(cfg Config, number int, self message.Replica, part *partition.Partition) *Controller {
	return &Controller{
		cfg: cfg, number: number, self: self, partition: part,
		onResult: map[uint64]func(partition.Result){},
		orders:   recentOrders{window: cfg.RepeatWindow, acceptedAt: map[string]time.Duration{}},
		demands:  map[string]demandNumber{},
		reload:   true,
	}
}

// Partition is the partition underneath.
//
// Example: rec, ok := c.Partition().Node.Get(now, key)
func (c *Controller) Partition() *partition.Partition { return c.partition }

// IsLeader tells whether this daemon holds the partition's leadership now.
//
// Example: if c.IsLeader(now) { reconcile() }
func (c *Controller) IsLeader(now time.Duration) bool { return c.partition.IsLeader(now) }

// Step takes a message: of the leases, of the group, or a call.
//
// Example: out := c.Step(now, message)
func (c *Controller) Step(now time.Duration, m message.Message) Out {
	if m.Kind == message.KindCall {
		return c.handleCall(now, m.Sender(), m.AsCall())
	}
	return c.finishStep(c.partition.Step(now, m))
}

// Saved tells that a save is on disk.
//
// Example: out := c.Saved(now, ticket)
func (c *Controller) Saved(now time.Duration, ticket uint64) Out {
	return c.finishStep(c.partition.Saved(now, ticket))
}

// Tick lets time pass.
//
// Example: out := c.Tick(now)
func (c *Controller) Tick(now time.Duration) Out {
	c.orders.now = now
	return c.finishStep(c.partition.Tick(now))
}

// Bootstrap makes the first group.
//
// Example: out := c.Bootstrap(now, group)
func (c *Controller) Bootstrap(now time.Duration, g message.Group) Out {
	return c.finishStep(c.partition.Bootstrap(now, g))
}

// Supersede takes the vote from this daemon's replica: another process, or a later
// state of its folder, has its identity.
//
// Example: out := c.Supersede(now, why)
func (c *Controller) Supersede(now time.Duration, why string) Out {
	return c.finishStep(c.partition.Supersede(now, why))
}

// SetParent sets the parent in the lease tree.
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

// Unpin ends what Pin began.
//
// Example: c.Unpin("server/of/yesterday")
func (c *Controller) Unpin(key string) { c.partition.Unpin(key) }

// Submit runs a write; onResult, if there is one, is called once with its outcome.
//
// Example: out := c.Submit(now, job, func(r partition.Result) { log(r.Outcome) })
func (c *Controller) Submit(now time.Duration, job partition.Job, onResult func(partition.Result)) Out {
	c.lastTag++
	if onResult != nil {
		c.onResult[c.lastTag] = onResult
	}
	return c.finishStep(c.partition.Submit(now, c.lastTag, job))
}

// finishStep hands out the results of a step of the partition, and adds what this daemon answers to calls.
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
		out.log("leader", "partition %d: leader with term %d", c.number, c.partition.Replica.Term())
	}
	out.Out = step
	return out
}

// beginLeadership forgets what belonged to an earlier leadership.
func (c *Controller) beginLeadership() {
	c.placement = nil
	c.retention = retention{}
	c.demands = map[string]demandNumber{}
	c.limits = nil
	c.orders.since = c.partition.Replica.LeaderSince()
	c.orders.acceptedAt = map[string]time.Duration{}
}

// Event is a line for the event log.
type Event struct{ Kind, Text string }

// Out is what a step asks for, beside what its partition does.
type Out struct {
	partition.Out
	Polls  []string // keys of server records whose servers are to be polled
	Orders []placement.Order
	Events []Event
}

func (o *Out) log(kind, format string, args ...any) {
	o.Events = append(o.Events, Event{kind, fmt.Sprintf(format, args...)})
}

// add joins what a later step asks for to what earlier ones did.
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
