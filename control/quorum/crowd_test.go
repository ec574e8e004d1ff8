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

// crowd is several replicas of one partition with a wire that loses what lose says;
// what is saved is on disk at once.
type crowd struct {
	t        *testing.T
	now      time.Duration
	replicas map[string]*Replica
	down     map[string]bool
	lose     func(to string, n message.Message) bool
	done     []WriteResult
	queue    []message.Envelope
}

func replicaOf(id string) message.Replica { return message.Replica{Ident: id, Addr: id} }

func replicasOf(ids ...string) (out []message.Replica) {
	for _, id := range ids {
		out = append(out, replicaOf(id))
	}
	return out
}

// newCrowd has the members in a group and the others without one.
func newCrowd(t *testing.T, members, others []string) *crowd {
	c := &crowd{t: t, replicas: map[string]*Replica{}, down: map[string]bool{}, lose: func(string, message.Message) bool { return false }}
	for _, id := range members {
		c.replicas[id] = New(timed, 1, replicaOf(id), nil, Meta{Group: message.Group{Number: 1, Replicas: replicasOf(members...)}}, digest.NewRecords(), 0, true)
	}
	for _, id := range others {
		c.replicas[id] = New(timed, 1, replicaOf(id), nil, Meta{}, digest.NewRecords(), 0, true)
	}
	return c
}

var timed = Config{LeaderLease: cfg.LeaderLease, Drift: cfg.Drift, Margin: cfg.Margin, HeartbeatInterval: cfg.HeartbeatInterval, LostAfter: 2 * time.Second}

func (c *crowd) carry(id string, o Out) {
	c.done = append(c.done, o.Results...)
	for _, m := range o.Sends {
		m.Message.From, m.Message.Addr, m.Message.Epoch, m.Message.Partition = id, id, 1, 1
		c.queue = append(c.queue, m)
	}
	for _, v := range o.Saves {
		c.carry(id, c.replicas[id].Saved(v.Ticket))
	}
}

// run delivers what is under way.
func (c *crowd) run() {
	for len(c.queue) > 0 {
		m := c.queue[0]
		c.queue = c.queue[1:]
		s := c.replicas[m.Message.To]
		if s == nil || c.down[m.Message.To] || c.down[m.Message.From] || c.lose(m.Message.To, m.Message) {
			continue
		}
		c.carry(m.Message.To, s.Step(c.now, m.Message))
	}
}

// wait lets time pass; the leader's works go on if each says so.
func (c *crowd) wait(d time.Duration, each ...func()) {
	for end := c.now + d; c.now < end; c.now += 10 * time.Millisecond {
		for _, id := range slices.Sorted(maps.Keys(c.replicas)) {
			if !c.down[id] {
				c.carry(id, c.replicas[id].Tick(c.now))
				c.run()
			}
		}
		for _, f := range each {
			f()
			c.run()
		}
	}
}

// leader is the replica that owns the partition now.
func (c *crowd) leader() (string, *Replica) {
	c.t.Helper()
	for _, id := range slices.Sorted(maps.Keys(c.replicas)) {
		if s := c.replicas[id]; !c.down[id] && s.Leader(c.now) {
			return id, s
		}
	}
	c.t.Fatalf("no leader at %v", c.now)
	return "", nil
}

// write has the leader write a record and tells whether it was said to be written.
func (c *crowd) write(key string) bool {
	id, s := c.leader()
	c.done = nil
	o, _ := s.Write(c.now, 9, []message.Record{{Key: key, Value: []byte(key)}})
	c.carry(id, o)
	c.run()
	return slices.Contains(c.done, WriteResult{9, Committed})
}

// learn has the leader keep copies at standbys, and go on with a step.
func (c *crowd) learn(ids ...string) func() {
	return func() {
		for id, s := range c.replicas {
			if !c.down[id] && s.Leader(c.now) {
				c.carry(id, s.SetLearners(c.now, replicasOf(ids...)))
				c.carry(id, s.ContinueChange(c.now, 0))
			}
		}
	}
}

// replace has the leader begin a step; it fails the test if it doesn't.
func (c *crowd) replace(out, in string) {
	c.t.Helper()
	id, s := c.leader()
	o, ok := s.ReplaceReplica(c.now, 0, out, replicaOf(in))
	if !ok {
		c.t.Fatalf("%v: %s doesn't begin to replace %s by %s: group %+v, at hand %v", c.now, id, out, in, s.Group(), s.LearnerReady(c.now, in))
	}
	c.carry(id, o)
}

func (c *crowd) group() string {
	_, s := c.leader()
	var ids, next []string
	for _, x := range s.Group().Replicas {
		ids = append(ids, x.Ident)
	}
	for _, x := range s.Group().Next {
		next = append(next, x.Ident)
	}
	slices.Sort(ids)
	if next != nil {
		return fmt.Sprint(ids, " and ", next)
	}
	return fmt.Sprint(ids)
}

// others are the members of three that don't own the partition.
func (c *crowd) others() (own, one, two string) {
	own, _ = c.leader()
	rest := slices.DeleteFunc([]string{"a", "b", "c"}, func(id string) bool { return id == own })
	return own, rest[0], rest[1]
}

func (c *crowd) has(id, key string) bool { _, ok := c.replicas[id].Records().Get(key); return ok }
