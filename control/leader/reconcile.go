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

// Reconcile brings the partition's group, its records of calls and once keys, and its servers nearer to what they
// are to be. Without the leadership it does nothing.
//
// Example: out := c.Reconcile(now, view)
func (c *Controller) Reconcile(now time.Duration, view ClusterView) (out Out) {
	if !c.partition.IsLeader(now) {
		c.placement = nil
		return out
	}
	c.reconcileReplicas(now, view, &out)
	c.expireOrders(now, &out)
	if c.number == 0 {
		return out // the configuration partition has neither once keys nor servers
	}
	c.startPlacement()
	c.advanceOnceKeyFloor(now, &out)
	c.updatePlacement(now, view)
	c.reconcileServers(now, &out)
	return out
}

// startPlacement makes the placement controller of a new leadership.
func (c *Controller) startPlacement() {
	if c.placement != nil {
		return
	}
	c.placement = placement.New(c.cfg.Placement, c.partition.Replica.Term(), c.partition.Replica.LeaderSince())
	c.reload = true
}

// updatePlacement gives placement the configuration and the servers' records, where these changed.
func (c *Controller) updatePlacement(now time.Duration, view ClusterView) {
	c.placement.Pressure = view.Pressure
	if !view.PlanValid || !view.ZonesValid {
		return
	}
	current := configurationVersions{view.Plan.Version, view.Zones.Version}
	if !c.reload && c.loaded == current {
		return
	}
	c.placement.SetPlan(c.plans.Open(view.Plan), fleetconfig.OpenZones(view.Zones))
	c.loaded = current
	c.reload = !c.loadServers(now)
}

// reconcileServers runs placement and begins the writes that it asks for.
func (c *Controller) reconcileServers(now time.Duration, out *Out) {
	controller := c.placement // a write may end the leadership
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

// loadServers gives placement the committed lists and server records of this partition. It
// returns false if one of them is being written just now.
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

// committedService is the list of a service's servers, and their records, as they are committed.
type committedService struct {
	list    fleetconfig.List
	hasList bool
	records map[string]placement.ServerRecord // by key
}

// add takes a record of the service; one that can't be read counts as none.
func (s *committedService) add(kind, key string, r message.Record) {
	if kind == kindList {
		if list, err := fleetconfig.ReadList(r); err == nil { // else its source's next list takes its place
			s.list, s.hasList = list, true
		}
		return
	}
	if record, ok, err := placement.ReadServerRecord(r); ok && err == nil { // else it is made anew
		s.records[key] = record
	}
}

// writeServerRecords writes the records of a round together: each daemon hears of them at once.
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
			controller.HandleWritten(record.Key, written, r.Outcome == partition.Done)
		}
	})
}

// Term is the term under which this daemon controls the partition's servers, 0 if it doesn't.
//
// Example: term := c.Term()
func (c *Controller) Term() uint64 {
	if c.placement == nil {
		return 0
	}
	return c.partition.Replica.Term()
}

// MayOrder checks the leadership once more, just before an order of a term goes out.
//
// Example: if c.MayOrder(now, order.Term) { send(order) }
func (c *Controller) MayOrder(now time.Duration, term uint64) bool {
	return c.placement != nil && c.partition.IsLeader(now) && c.partition.Replica.Term() == term
}

// HandlePoll takes a server's answer to a poll of a term; ok is false where it gave none.
//
// Example: c.HandlePoll(now, term, key, usage, true)
func (c *Controller) HandlePoll(now time.Duration, term uint64, key string, usage placement.Usage, ok bool) {
	if c.Term() == term && c.placement != nil {
		c.placement.HandlePoll(now, key, usage, ok)
	}
}

// HandleOrdered takes a server's answer to an order; ok is false where it gave none.
//
// Example: c.HandleOrdered(order, true)
func (c *Controller) HandleOrdered(order placement.Order, ok bool) {
	if c.Term() == order.Term && c.placement != nil {
		c.placement.HandleOrdered(order, ok)
	}
}

// Rows is placement's table of servers, for the query shell.
//
// Example: for _, row := range c.Rows(now) { show(row) }
func (c *Controller) Rows(now time.Duration) []placement.Row {
	if c.placement == nil {
		return nil
	}
	return c.placement.Rows(now)
}

// retention knows which versions of records were written by when, under this leadership. What an earlier
// leader wrote counts as written when this one took over.
type retention struct {
	samples []versionAt // oldest first
}

// versionAt is the last version that was written at some time.
type versionAt struct {
	at      time.Duration
	version message.Version
}

// sample notes the version written last, if the latest note is older than the interval.
func (r *retention) sample(now, interval time.Duration, written message.Version) {
	if n := len(r.samples); n == 0 || now-r.samples[n-1].at > interval {
		r.samples = append(r.samples, versionAt{now, written})
	}
}

// takeExpired takes out the oldest version, if it was written longer ago than keep.
func (r *retention) takeExpired(now, keep time.Duration) (message.Version, bool) {
	oldest := r.samples[0]
	if now-oldest.at <= keep {
		return message.Version{}, false
	}
	r.samples = r.samples[1:]
	return oldest.version, true
}

// advanceOnceKeyFloor has the replicas drop once keys that were written longer ago than they are kept.
func (c *Controller) advanceOnceKeyFloor(now time.Duration, out *Out) {
	keep := c.cfg.OnceKeyRetention
	c.retention.sample(now, keep/8, c.partition.Replica.LastWritten())
	version, ok := c.retention.takeExpired(now, keep)
	if !ok {
		return
	}
	floor := message.Record{Key: quorum.FloorKey, Value: leadercall.Pack(version)}
	job := partition.Job{Keys: []string{floor.Key}, Build: func(lease.RecordSource) ([]message.Record, any) {
		return []message.Record{floor}, nil
	}}
	out.add(c.Submit(now, job, nil))
}
