package membership

import (
	"iter"
	"maps"
	"slices"
	"sync"
	"time"

	"mulleinmast/wire/message"
)

// View is a snapshot of the fleet; it is never changed once published, and safe for
// concurrent use.
type View struct {
	Self        message.Member
	Members     []message.Member           // by address
	Leaderships map[int]message.Leadership // by partition
	HasSession  bool                       // our own session stands
	// Lost are control daemons that the view had and has no more, the last ones
	// first: of a machine that is isolated the others, of the others those that
	// ended.
	Lost []LostDaemon

	lostTogether time.Duration // see PartitionedFrom
	minRelayZone int           // see Config
	byIdent      map[string]message.Member
	relays       sync.Map // relayPlace -> message.Replica, those found so far
}

// View publishes a snapshot, the same one while nothing changes.
//
// Example: v := t.View()
func (t *Table) View() *View {
	if t.published != nil && t.isCurrent(t.published) {
		return t.published
	}
	v := &View{
		Self:         t.self,
		Members:      append([]message.Member(nil), t.view.members...),
		Leaderships:  maps.Clone(t.leaderships),
		HasSession:   t.client.hasSession,
		Lost:         t.lostByTime(),
		lostTogether: lostTogether * t.cfg.SessionTimeout,
		minRelayZone: t.cfg.MinRelayZone,
		byIdent:      map[string]message.Member{},
	}
	for _, m := range v.Members {
		v.byIdent[m.Ident] = m
	}
	t.published = v
	return v
}

// isCurrent tells whether a view shows what the table holds.
func (t *Table) isCurrent(v *View) bool {
	return v.Self == t.self && v.HasSession == t.client.hasSession && slices.Equal(v.Members, t.view.members) &&
		slices.Equal(v.Lost, t.lostByTime()) && maps.Equal(v.Leaderships, t.leaderships)
}

// Find looks a member up by identity.
//
// Example: m, ok := v.Find(m.From)
func (v *View) Find(ident string) (m message.Member, ok bool) {
	m, ok = v.byIdent[ident]
	return m, ok
}

// ControlDaemons lists the members with a disk.
//
// Example: candidates := v.ControlDaemons()
func (v *View) ControlDaemons() []message.Member {
	var list []message.Member
	for _, m := range v.Members {
		if m.HasDisk {
			list = append(list, m)
		}
	}
	return list
}

// HasSameCore tells whether two views show the same incarnations of control daemons, and the same
// leaderships.
//
// Example: if !view.HasSameCore(before) { noteUnsettled() }
func (v *View) HasSameCore(other *View) bool {
	return maps.Equal(v.Leaderships, other.Leaderships) && maps.Equal(v.coreIncarnations(), other.coreIncarnations())
}

// coreIncarnations are the control daemons' incarnations, by identity.
func (v *View) coreIncarnations() map[string]uint64 {
	incarnations := map[string]uint64{}
	for _, m := range v.Members {
		if m.HasDisk {
			incarnations[m.Ident] = m.Epoch
		}
	}
	return incarnations
}

// MustHandOver tells whether a group counts on this daemon's replica though another
// control daemon could take its place, or is about to: until a change of the group is
// complete it needs the replicas that it had before.
//
// Example: if v.MustHandOver(group) { waitForHandOver() }
func (v *View) MustHandOver(g message.Group) bool {
	return g.Has(v.Self.Ident) && (len(g.Next) > 0 || v.hasReplacement(g))
}

// hasReplacement tells whether a control daemon other than this one is without a
// replica in a group.
func (v *View) hasReplacement(g message.Group) bool {
	return slices.ContainsFunc(v.Members, func(m message.Member) bool {
		return m.HasDisk && m.Ident != v.Self.Ident && !g.Has(m.Ident)
	})
}

// MembersIn iterates over the members of a zone.
//
// Example: for m := range v.MembersIn("north") { ... }
func (v *View) MembersIn(zone string) iter.Seq[message.Member] {
	return func(yield func(message.Member) bool) {
		for _, m := range v.Members {
			if m.Zone == zone && !yield(m) {
				return
			}
		}
	}
}
