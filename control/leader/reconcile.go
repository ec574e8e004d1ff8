package leader

import (
	"strings"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leadercall"
	"mulleinmast/control/lease"
	"mulleinmast/control/partition"
	"mulleinmast/control/placement"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

// Reconcile brings the partition's group, its once keys and its servers closer to their desired state. It does
// nothing unless this daemon is the leader.
//
// Example: out := c.Reconcile(now, view)
func (c *Controller) Reconcile(now time.Duration, view ClusterView) (out Out) {
	if !c.partition.IsLeader(now) {
		c.placement = nil
		return out
	}
	c.reconcileReplicas(now, view, &out)
	if c.partitionNumber == 0 {
		return out // the configuration partition has neither once keys nor servers
	}
	c.startPlacement()
	c.advanceOnceKeyFloor(now, &out)
	c.updatePlacement(now, view)
	c.reconcileServers(now, &out)
	return out
}

// startPlacement creates the placement controller of a new leadership.
func (c *Controller) startPlacement() {
	if c.placement != nil {
		return
	}
	c.placement = placement.New(c.cfg.Placement, c.partition.Replica.Term(), c.partition.Replica.LeaderSince())
	c.reload = true
}

// updatePlacement passes the configuration and the server records to placement if they changed.
func (c *Controller) updatePlacement(now time.Duration, view ClusterView) {
	c.placement.Pressure = view.Pressure
	if !view.PlanValid || !view.ZonesValid {
		return
	}
	current := configurationVersions{view.Plan.Version, view.Zones.Version}
	if !c.reload && c.loaded == current {
		return
	}
	c.placement.SetPlan(c.plans.MustRead(view.Plan), fleetconfig.MustReadZones(view.Zones))
	c.loaded = current
	c.reload = !c.loadServers(now)
}

// reconcileServers runs a round of placement and starts the writes that it requests.
func (c *Controller) reconcileServers(now time.Duration, out *Out) {
	controller := c.placement // kept in a variable, since a write may end the leadership and reset c.placement
	step := controller.Reconcile(now)
	for _, note := range step.Notes {
		out.log("servers", "%s", note)
	}
	if len(step.Writes) > 0 {
		out.add(c.writeServerRecords(now, controller, step.Writes))
	}
	out.Polls = append(out.Polls, step.Polls...)
	out.Orders = append(out.Orders, step.Orders...)
}

// loadServers passes the committed lists and server records of this partition to placement. It
// returns false if one of them is being written.
func (c *Controller) loadServers(now time.Duration) (complete bool) {
	complete = true
	services := map[string]*committedService{}
	for stored := range c.partition.Replica.Records().All() {
		kind, rest, _ := strings.Cut(stored.Key, "/")
		if kind != kindList && kind != kindServerRecord {
			continue
		}
		current, ok := c.partition.Node.Get(now, stored.Key)
		complete = complete && ok
		if !ok || current.Deleted {
			continue
		}
		name, _, _ := strings.Cut(rest, "/")
		if services[name] == nil {
			services[name] = &committedService{records: map[string]placement.ServerRecord{}}
		}
		services[name].add(kind, stored.Key, current)
	}
	for name, service := range services {
		if service.hasList {
			c.placement.LoadService(now, name, service.list, service.records)
		}
	}
	return complete
}

// committedService is the committed server list of a service, with the committed records of its servers.
type committedService struct {
	list    fleetconfig.List
	hasList bool
	records map[string]placement.ServerRecord // by key
}

// add adds a record of the service; an unreadable record is treated as absent.
func (s *committedService) add(kind, key string, r message.Record) {
	if kind == kindList {
		if list, err := fleetconfig.ReadList(r); err == nil { // the source's next list replaces an unreadable one
			s.list, s.hasList = list, true
		}
		return
	}
	if record, ok, err := placement.ReadServerRecord(r); ok && err == nil { // an unreadable record is created again
		s.records[key] = record
	}
}

// writeServerRecords writes the records of a round together, so that each daemon is notified of them once.
func (c *Controller) writeServerRecords(now time.Duration, controller *placement.Controller, writes []placement.Write) Out {
	var keys []string
	var records []message.Record
	for _, write := range writes {
		keys = append(keys, write.Key)
		records = append(records, message.Record{Key: write.Key, Value: write.Value, Deleted: write.Delete})
	}
	job := partition.Job{Keys: keys, Build: func(lease.RecordSource) ([]message.Record, any) { return records, nil }}
	return c.Submit(now, job, func(r partition.Result) {
		c.reload = true
		if c.placement != controller {
			return
		}
		for _, record := range records {
			written, _ := placement.OpenServerRecord(record)
			controller.HandleWriteResult(record.Key, written, r.Outcome == partition.Done)
		}
	})
}

// Term returns the term under which this daemon controls the partition's servers, or 0 if it doesn't.
//
// Example: term := c.Term()
func (c *Controller) Term() uint64 {
	if c.placement == nil {
		return 0
	}
	return c.partition.Replica.Term()
}

// MayOrder reports whether this daemon still leads in a term. The caller checks this immediately before it sends an
// order.
//
// Example: if c.MayOrder(now, order.Term) { send(order) }
func (c *Controller) MayOrder(now time.Duration, term uint64) bool {
	return c.placement != nil && c.partition.IsLeader(now) && c.partition.Replica.Term() == term
}

// HandlePoll handles a server's answer to a poll of a term; ok is false if there was no answer.
//
// Example: c.HandlePoll(now, term, key, usage, true)
func (c *Controller) HandlePoll(now time.Duration, term uint64, key string, usage placement.Usage, ok bool) {
	if c.Term() == term && c.placement != nil {
		c.placement.HandlePoll(now, key, usage, ok)
	}
}

// HandleOrderResult handles a server's answer to an order; ok is false if there was no answer.
//
// Example: c.HandleOrderResult(order, true)
func (c *Controller) HandleOrderResult(order placement.Order, ok bool) {
	if c.Term() == order.Term && c.placement != nil {
		c.placement.HandleOrderResult(order, ok)
	}
}

// Rows returns placement's table of servers, for the query shell.
//
// Example: for _, row := range c.Rows(now) { show(row) }
func (c *Controller) Rows(now time.Duration) []placement.Row {
	if c.placement == nil {
		return nil
	}
	return c.placement.Rows(now)
}

// writtenVersions samples the last written version over time, within one leadership. Records written by an
// earlier leader count as written when this one took over.
type writtenVersions struct {
	samples []versionAt // oldest first
}

// versionAt is the last version that had been written at a given time.
type versionAt struct {
	at      time.Duration
	version message.Version
}

// sample adds the last written version if the latest sample is older than the interval.
func (r *writtenVersions) sample(now, interval time.Duration, written message.Version) {
	if n := len(r.samples); n == 0 || now-r.samples[n-1].at > interval {
		r.samples = append(r.samples, versionAt{now, written})
	}
}

// popExpired removes and returns the oldest version if it was sampled longer ago than keep.
func (r *writtenVersions) popExpired(now, keep time.Duration) (message.Version, bool) {
	oldest := r.samples[0]
	if now-oldest.at <= keep {
		return message.Version{}, false
	}
	r.samples = r.samples[1:]
	return oldest.version, true
}

// advanceOnceKeyFloor makes the replicas drop once keys whose last write is older than the retention period.
func (c *Controller) advanceOnceKeyFloor(now time.Duration, out *Out) {
	keep := c.cfg.OnceKeyRetention
	c.writtenVersions.sample(now, keep/8, c.partition.Replica.LastWritten())
	version, ok := c.writtenVersions.popExpired(now, keep)
	if !ok {
		return
	}
	floor := message.Record{Key: quorum.FloorKey, Value: leadercall.MustMarshal(version)}
	job := partition.Job{Keys: []string{floor.Key}, Build: func(lease.RecordSource) ([]message.Record, any) {
		return []message.Record{floor}, nil
	}}
	out.add(c.Submit(now, job, nil))
}
