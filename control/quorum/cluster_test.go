package quorum

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/wire/message"
)

// Values of a frame's Op, as earlier builds encode them.
const (
	opPreVote = "probe"
	opJoin    = "whole"
)

// cluster is several replicas of one partition, connected by a network that drops the
// messages for which isLost returns true. Saves complete immediately.
type cluster struct {
	t        *testing.T
	now      time.Duration
	replicas map[string]*Replica
	isDown   map[string]bool
	isLost   func(to string, m message.Message) bool
	results  []WriteResult
	inFlight []message.Envelope
}

func replicaOf(id string) message.Replica { return message.Replica{Ident: id, Addr: id} }

func replicasOf(ids ...string) (out []message.Replica) {
	for _, id := range ids {
		out = append(out, replicaOf(id))
	}
	return out
}

// isOnlyMessage reports whether a list consists of one message of a kind.
func isOnlyMessage(list []message.Message, kind message.Kind) bool {
	return len(list) == 1 && list[0].Kind == kind
}

// countDifferingRanges returns the number of ranges in which two sets of records differ.
func countDifferingRanges(a, b *digest.Records) int {
	return len(digest.DifferingRanges(a.Digests(), b.Digests()))
}

// newReplica returns a replica without records that has never voted.
func newReplica(cfg Config, self message.Replica, meta Meta, now time.Duration) *Replica {
	initial := InitialState{Partition: 1, Self: self, Meta: meta, Records: digest.NewRecords(), IsNew: true}
	return New(cfg, initial, now)
}

// restartedReplica returns a replica without records that may have voted before.
func restartedReplica(cfg Config, self message.Replica, meta Meta, now time.Duration) *Replica {
	return New(cfg, InitialState{Partition: 1, Self: self, Meta: meta, Records: digest.NewRecords()}, now)
}

// newCluster returns a cluster in which the members form a group and the others have no group.
func newCluster(t *testing.T, members, others []string) *cluster {
	c := &cluster{
		t: t, replicas: map[string]*Replica{}, isDown: map[string]bool{},
		isLost: func(string, message.Message) bool { return false },
	}
	group := message.Group{Number: 1, Replicas: replicasOf(members...)}
	for _, id := range members {
		c.replicas[id] = newReplica(clusterConfig, replicaOf(id), Meta{Group: group}, 0)
	}
	for _, id := range others {
		c.replicas[id] = newReplica(clusterConfig, replicaOf(id), Meta{}, 0)
	}
	return c
}

var clusterConfig = Config{
	LeaderLease: cfg.LeaderLease, Drift: cfg.Drift, Margin: cfg.Margin,
	HeartbeatInterval: cfg.HeartbeatInterval, LostAfter: 2 * time.Second,
}

func (c *cluster) apply(id string, o Out) {
	c.results = append(c.results, o.Results...)
	for _, m := range o.Sends {
		m.Message.From, m.Message.Addr, m.Message.Epoch, m.Message.Partition = id, id, 1, 1
		c.inFlight = append(c.inFlight, m)
	}
	for _, v := range o.Saves {
		c.apply(id, c.replicas[id].Saved(v.Ticket))
	}
}

// deliver delivers all messages in flight.
func (c *cluster) deliver() {
	for len(c.inFlight) > 0 {
		m := c.inFlight[0]
		c.inFlight = c.inFlight[1:]
		r := c.replicas[m.Message.To]
		if r == nil || c.isDown[m.Message.To] || c.isDown[m.Message.From] || c.isLost(m.Message.To, m.Message) {
			continue
		}
		c.apply(m.Message.To, r.Step(c.now, m.Message))
	}
}

// advance lets the duration d pass in ticks of 10 ms, and calls the functions in each after
// every tick.
func (c *cluster) advance(d time.Duration, each ...func()) {
	for end := c.now + d; c.now < end; c.now += 10 * time.Millisecond {
		for _, id := range slices.Sorted(maps.Keys(c.replicas)) {
			if !c.isDown[id] {
				c.apply(id, c.replicas[id].Tick(c.now))
				c.deliver()
			}
		}
		for _, f := range each {
			f()
			c.deliver()
		}
	}
}

// leader returns the current leader; it fails the test if there is none.
func (c *cluster) leader() (string, *Replica) {
	c.t.Helper()
	for _, id := range slices.Sorted(maps.Keys(c.replicas)) {
		if r := c.replicas[id]; !c.isDown[id] && r.IsLeader(c.now) {
			return id, r
		}
	}
	c.t.Fatalf("no leader at %v", c.now)
	return "", nil
}

// writeRecord has the leader write a record and reports whether it was committed.
func (c *cluster) writeRecord(key string) bool {
	id, r := c.leader()
	c.results = nil
	o, _ := r.Write(c.now, 9, []message.Record{{Key: key, Value: []byte(key)}})
	c.apply(id, o)
	c.deliver()
	return slices.Contains(c.results, WriteResult{9, Committed})
}

// maintain returns a function by which the leader sets its learners and advances a
// group change in progress.
func (c *cluster) maintain(ids ...string) func() {
	return func() {
		for id, r := range c.replicas {
			if !c.isDown[id] && r.IsLeader(c.now) {
				c.apply(id, r.SetLearners(c.now, replicasOf(ids...)))
				c.apply(id, r.ContinueChange(c.now, 0))
			}
		}
	}
}

// replaceReplica has the leader start a group change. It fails the test if the leader refuses.
func (c *cluster) replaceReplica(out, in string) {
	c.t.Helper()
	id, r := c.leader()
	o, ok := r.ReplaceReplica(c.now, 0, out, replicaOf(in))
	if !ok {
		c.t.Fatalf("%v: leader %s refused to replace %s by %s: group %+v, learner ready %v",
			c.now, id, out, in, r.Group(), r.LearnerReady(c.now, in))
	}
	c.apply(id, o)
}

func (c *cluster) group() string {
	_, r := c.leader()
	var ids, next []string
	for _, x := range r.Group().Replicas {
		ids = append(ids, x.Ident)
	}
	for _, x := range r.Group().Next {
		next = append(next, x.Ident)
	}
	slices.Sort(ids)
	if next != nil {
		return fmt.Sprint(ids, " and ", next)
	}
	return fmt.Sprint(ids)
}

// leaderAndOthers returns the leader and the other two replicas of a group of a, b and c.
func (c *cluster) leaderAndOthers() (leaderID, one, two string) {
	leaderID, _ = c.leader()
	rest := slices.DeleteFunc([]string{"a", "b", "c"}, func(id string) bool { return id == leaderID })
	return leaderID, rest[0], rest[1]
}

func (c *cluster) holdsKey(id, key string) bool {
	_, ok := c.replicas[id].Records().Get(key)
	return ok
}
