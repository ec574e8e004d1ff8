package membership

import (
	"iter"
	"maps"
	"slices"
	"sync"
	"time"

	"mulleinmast/wire/message"
)

// View is an immutable snapshot of the fleet. It is safe for concurrent use.
type View struct {
	Self        message.Member
	Members     []message.Member           // sorted by address
	Leaderships map[int]message.Leadership // by partition
	HasSession  bool                       // this daemon's session is valid
	// Lost are the control daemons that disappeared from the view, latest first. At an isolated
	// daemon these are the daemons that it cannot reach, elsewhere the daemons that stopped.
	Lost []LostDaemon

	partitionWindow time.Duration // see PartitionedFrom
	minRelayZone    int           // see Config
	byIdent         map[string]message.Member
	relays          sync.Map // relayKey -> message.Replica, computed on first use
}

// View returns a snapshot of the table. It returns the same snapshot until the table changes.
//
// Example: v := t.View()
func (t *Table) View() *View {
	if t.published != nil && t.isCurrent(t.published) {
		return t.published
	}
	v := &View{
		Self:            t.self,
		Members:         append([]message.Member(nil), t.view.members...),
		Leaderships:     maps.Clone(t.leaderships),
		HasSession:      t.client.hasSession,
		Lost:            t.lostByTime(),
		partitionWindow: partitionWindowTimeouts * t.cfg.SessionTimeout,
		minRelayZone:    t.cfg.MinRelayMembers,
		byIdent:         map[string]message.Member{},
	}
	for _, m := range v.Members {
		v.byIdent[m.Ident] = m
	}
	t.published = v
	return v
}

// isCurrent reports whether a view matches the current state of the table.
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

// ControlDaemons returns the members with a disk.
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

// HasSameControlDaemons reports whether two views contain the same incarnations of control daemons and the
// same leaderships.
//
// Example: if !view.HasSameControlDaemons(before) { noteUnsettled() }
func (v *View) HasSameControlDaemons(other *View) bool {
	return maps.Equal(v.Leaderships, other.Leaderships) && maps.Equal(v.coreIncarnations(), other.coreIncarnations())
}

// coreIncarnations returns the control daemons' incarnations by identity.
func (v *View) coreIncarnations() map[string]uint64 {
	incarnations := map[string]uint64{}
	for _, m := range v.Members {
		if m.HasDisk {
			incarnations[m.Ident] = m.Epoch
		}
	}
	return incarnations
}

// MustHandOver reports whether a group depends on this daemon's replica while another control
// daemon could replace it or is about to. Until a change of the group is complete, the group
// needs a majority of the replicas that it had before.
//
// Example: if v.MustHandOver(group) { waitForHandOver() }
func (v *View) MustHandOver(g message.Group) bool {
	return g.Has(v.Self.Ident) && (len(g.Next) > 0 || v.hasReplacement(g))
}

// hasReplacement reports whether another control daemon has no replica in the group.
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
