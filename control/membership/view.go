package membership

import (
	"hash/fnv"
	"iter"
	"slices"
	"sync"
	"time"

	"mulleinmast/wire/message"
)

// View is a snapshot of the fleet; it is never changed once published.
type View struct {
	Me          message.Member
	Members     []message.Member
	Leaderships map[int]message.Leadership
	HasSession  bool // our own session stands
	// Lost are control daemons that the view had and has no more, the last ones
	// first: of a machine that is cut off the others, of the others those that
	// are gone.
	Lost []LostDaemon

	torn  time.Duration // see Torn
	small int
	by    map[string]message.Member
	memo  sync.Map // relays found so far, by place
}

// place is a partition in a zone.
type place struct {
	partition int
	zone      string
}

// Find looks a member up by identity.
//
// Example: m, ok := v.Find(m.From)
func (v *View) Find(id string) (message.Member, bool) { m, ok := v.by[id]; return m, ok }

// ControlDaemons lists the members with a disk.
//
// Example: standbys := v.ControlDaemons()
func (v *View) ControlDaemons() []message.Member {
	var out []message.Member
	for _, m := range v.Members {
		if m.HasDisk {
			out = append(out, m)
		}
	}
	return out
}

// MustHandOver tells whether a group counts on this daemon's replica though another
// core daemon could take its place, or is about to: until a change of the group is
// settled it needs the replicas that it had before.
//
// Example: if v.MustHandOver(group) { waitForHandOver() }
func (v *View) MustHandOver(g message.Group) bool {
	return g.Has(v.Me.Ident) && (len(g.Next) > 0 || v.standby(g))
}

// standby tells whether a core daemon other than this one is without a replica in
// a group.
func (v *View) standby(g message.Group) bool {
	return slices.ContainsFunc(v.Members, func(m message.Member) bool {
		return m.HasDisk && m.Ident != v.Me.Ident && !g.Has(m.Ident)
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

// Relay is the static relay of a partition in a zone; none in a small zone.
//
// Example: replica := v.Relay(3, "north")
func (v *View) Relay(partition int, zone string) message.Replica {
	if r, ok := v.memo.Load(place{partition, zone}); ok {
		return r.(message.Replica)
	}
	r := v.relay(partition, zone)
	v.memo.Store(place{partition, zone}, r)
	return r
}

// crowd is the members of a zone from which on the configuration's relay is one
// of its control daemons. The plan goes whole to every member of the zone, one
// after the other over the relay's link, and the machines of control daemons
// have the wide ones.
const crowd = 12

func (v *View) relay(partition int, zone string) message.Replica {
	own := v.Leaderships[partition].Leader.Ident
	var best, wide chosen
	n := 0
	for m := range v.MembersIn(zone) {
		if m.Ident == own {
			continue
		}
		n++
		best.offer(partition, m)
		if m.HasDisk {
			wide.offer(partition, m)
		}
	}
	switch {
	case n < v.small:
		return message.Replica{}
	case partition == 0 && n >= crowd && wide.Ident != "":
		return wide.Replica
	}
	return best.Replica
}

// chosen is the member of the greatest weight so far.
type chosen struct {
	message.Replica
	top uint64
}

func (c *chosen) offer(partition int, m message.Member) {
	if w := weight(partition, m.Addr); c.Ident == "" || w > c.top {
		c.top, c.Replica = w, m.Replica()
	}
}

// Parent is this daemon's static parent for a partition: the zone's relay, or the
// leader for the relay itself and in small zones.
//
// Example: replica := v.Parent(3)
func (v *View) Parent(partition int) message.Replica {
	own := v.Leaderships[partition].Leader
	if own.Ident == v.Me.Ident {
		return message.Replica{}
	}
	if r := v.Relay(partition, v.Me.Zone); r.Ident != "" && r.Ident != v.Me.Ident {
		return r
	}
	return own
}

func weight(partition int, addr string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte{byte(partition), byte(partition >> 8)})
	_, _ = h.Write([]byte(addr))
	x := h.Sum64()
	x ^= x >> 31
	x *= 0x9e3779b97f4a7c15
	return x ^ x>>29
}
