package daemon

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"mulleinmast/control/membership"
	"mulleinmast/control/quorum"
	"mulleinmast/control/storage"
	"mulleinmast/wire/message"
)

// membershipTicks is how often the session table is ticked per heartbeat interval.
const membershipTicks = 4

// memberTable is the session table under a lock, with the view of the fleet as of its last tick.
type memberTable struct {
	view atomic.Pointer[membership.View]
	// coreChanged is the time when the core was last seen to change: a control daemon left, joined
	// or restarted, or a partition's leader changed.
	coreChanged atomic.Int64

	mu    sync.Mutex // guards table
	table *membership.Table

	saving     sync.Mutex     // held while the vote on the first group is written; guards saveFailed
	saveFailed bool           // the last write failed
	store      *storage.Store // for that vote; nil without a data folder
}

func newMemberTable(table *membership.Table, store *storage.Store) *memberTable {
	t := &memberTable{table: table, store: store}
	t.view.Store(table.View())
	return t
}

// step passes a message to the table.
func (t *memberTable) step(now func() time.Duration, m message.Message) membership.Out {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Step(now(), m)
}

// tick advances the table to the current time and updates the view.
func (t *memberTable) tick(
	now func() time.Duration, self message.Member, leaderships []message.Leadership,
) membership.Out {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.table.Tick(now(), self, leaderships)
	before, view := t.view.Load(), t.table.View()
	if view != before && !view.HasSameControlDaemons(before) {
		t.coreChanged.Store(int64(now()))
	}
	t.view.Store(view)
	return out
}

// coreChangedAt returns when the core was last seen to change.
func (t *memberTable) coreChangedAt() time.Duration { return time.Duration(t.coreChanged.Load()) }

// whyNoGroup returns what the first group of the fleet waits for, and "" if a group is known.
func (t *memberTable) whyNoGroup() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.WhyNoGroup()
}

func (t *memberTable) setSeeds(seeds []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.SetSeeds(seeds)
}

// runMembership ticks the session table, and keeps this daemon's readiness and its entry in the
// table up to date.
func (d *Daemon) runMembership(ctx context.Context) error {
	ticker := time.NewTicker(d.Cfg.MembershipConfig().HeartbeatInterval / membershipTicks)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		d.tickMembership()
	}
}

// tickMembership is one round of runMembership. Steps that acquire the shards' locks run before
// steps that acquire the table's lock.
func (d *Daemon) tickMembership() {
	leaderships := d.leaderships()
	d.updateReadiness()
	d.updateReplicaStage()
	self := d.member()
	out := d.members.tick(d.Now, self, leaderships)
	if d.WhySuperseded() != "" { // the session belongs to another process
		return
	}
	d.applyMembership(out)
}

// applyMembership carries out what a step of the session table requests. While the vote on the first group
// can't be written, the messages that depend on it are dropped; the next round sends them again.
func (d *Daemon) applyMembership(out membership.Out) {
	d.SendAll(out.Sends)
	switch {
	case !out.SaveVote:
		d.SendAll(out.VoteSends)
	case len(out.VoteSends) == 0: // nothing depends on it, and a slow disk must not hold up the sessions
		go d.members.saveVoteIfIdle(d.Events)
	case d.members.saveVoteLogged(d.Events):
		d.SendAll(out.VoteSends)
	}
	if out.Bootstrap != nil {
		d.bootstrap(out.Bootstrap)
	}
}

// leaderships returns the leaderships that the replicas here hold or know of.
func (d *Daemon) leaderships() (list []message.Leadership) {
	for _, s := range d.shards {
		s.mu.Lock()
		if replica := s.replica(); replica != nil {
			if s.isLeader(d.Now()) {
				list = append(list, message.Leadership{Partition: s.partition, Term: replica.Term(), Leader: d.self})
			} else if known := replica.KnownLeader(); known.Term > 0 {
				list = append(list, known)
			}
		}
		s.mu.Unlock()
	}
	return list
}

// member returns this daemon's entry in the session table.
func (d *Daemon) member() message.Member {
	return message.Member{
		Ident:    d.self.Ident,
		Epoch:    d.epoch,
		Addr:     d.self.Addr,
		HTTPAddr: d.Cfg.HTTPAddr,
		Zone:     d.Cfg.Zone,
		HasDisk:  d.store != nil,
		Ready:    d.isReadyToMembers(),
		Empty:    d.store != nil && !d.isInAnyGroup(),
		Build:    Build,
	}
}

// isInAnyGroup reports whether any replica here has been in a group. Before the replicas are
// created it reads the data folder instead.
func (d *Daemon) isInAnyGroup() bool {
	for _, s := range d.shards {
		if s.group().Number > 0 {
			return true
		}
	}
	if d.shards == nil {
		for _, state := range d.store.Partitions {
			if state.Meta.Group.Number > 0 {
				return true
			}
		}
	}
	return false
}

// bootstrap creates the first group of every partition, in one transaction.
func (d *Daemon) bootstrap(replicas []message.Replica) {
	d.Events.Info("fleet", "bootstrapping the fleet: no daemon knows of an existing group", "replicas", replicas)
	sends := d.saveFirstGroups(message.Group{Number: 1, Replicas: replicas})
	d.SendAll(sends)
}

// saveFirstGroups saves the first group of every partition. It holds all shards' locks, so that a
// vote granted concurrently by a partition is saved after the group.
func (d *Daemon) saveFirstGroups(group message.Group) (sends []message.Envelope) {
	var saves []quorum.Save
	for _, s := range d.shards {
		s.mu.Lock()
		defer s.mu.Unlock()
	}
	for _, s := range d.shards {
		out := s.controller.Bootstrap(d.Now(), group)
		saves, sends = append(saves, out.Saves...), append(sends, out.Sends...)
	}
	d.disk.add(saves)
	return sends
}
