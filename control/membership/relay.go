package membership

import (
	"hash/fnv"

	"mulleinmast/wire/message"
)

// largeZoneSize is the number of members from which a zone uses control daemons as relays. A
// relay sends each record to every member of the zone over its own link, and the machines of
// control daemons have the most bandwidth.
const largeZoneSize = 12

// relayKey identifies the relay of a partition in a zone.
type relayKey struct {
	partition int
	zone      string
}

// Relay returns the static relay of a partition in a zone. It is zero in a zone that has no relay.
//
// Example: replica := v.Relay(3, "north")
func (v *View) Relay(partition int, zone string) message.Replica {
	key := relayKey{partition, zone}
	if known, ok := v.relays.Load(key); ok {
		return known.(message.Replica)
	}
	relay := v.chooseRelay(partition, zone)
	v.relays.Store(key, relay)
	return relay
}

// chooseRelay selects, by rendezvous hashing, a member of the zone that does not lead the
// partition; in a large zone it selects a control daemon. If the leader is the only control
// daemon of a large zone there is no relay, and the members use the leader directly.
func (v *View) chooseRelay(partition int, zone string) message.Replica {
	leader := v.Leaderships[partition].Leader.Ident
	var all, control heaviestMember
	members, leaderIsHere := 0, false
	for m := range v.MembersIn(zone) {
		if m.Ident == leader {
			leaderIsHere = m.HasDisk
			continue
		}
		members++
		all.offer(partition, m)
		if m.HasDisk {
			control.offer(partition, m)
		}
	}
	isLarge := members >= largeZoneSize
	switch {
	case members < v.minRelayZone:
		return message.Replica{}
	case isLarge && control.replica.Ident != "":
		return control.replica
	case isLarge && leaderIsHere:
		return message.Replica{}
	}
	return all.replica
}

// heaviestMember is the member with the highest rendezvous weight so far.
type heaviestMember struct {
	replica message.Replica
	weight  uint64
}

func (h *heaviestMember) offer(partition int, m message.Member) {
	weight := rendezvousWeight(partition, m.Addr)
	if h.replica.Ident == "" || weight > h.weight {
		h.weight, h.replica = weight, m.Replica()
	}
}

// Parent returns this daemon's static parent for a partition: the zone's relay, or the leader if
// this daemon is the relay or the zone has none. It is zero if this daemon is the leader.
//
// Example: replica := v.Parent(3)
func (v *View) Parent(partition int) message.Replica {
	leader := v.Leaderships[partition].Leader
	if leader.Ident == v.Self.Ident {
		return message.Replica{}
	}
	if relay := v.Relay(partition, v.Self.Zone); relay.Ident != "" && relay.Ident != v.Self.Ident {
		return relay
	}
	return leader
}

// rendezvousWeight returns the weight of an address for a partition in rendezvous hashing: the
// address with the highest weight is selected.
func rendezvousWeight(partition int, addr string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte{byte(partition), byte(partition >> 8)})
	_, _ = h.Write([]byte(addr))
	x := h.Sum64() // FNV's high bits vary little between similar addresses, so they are mixed
	x ^= x >> 31
	x *= 0x9e3779b97f4a7c15
	return x ^ x>>29
}
