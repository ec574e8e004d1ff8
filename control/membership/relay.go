package membership

import (
	"hash/fnv"

	"mulleinmast/wire/message"
)

// crowdedZone is the number of members from which on a zone's relays are its control daemons.
// A relay sends each record to every member of the zone, over its own link, and the machines of
// control daemons have the most bandwidth.
const crowdedZone = 12

// relayPlace is a partition in a zone.
type relayPlace struct {
	partition int
	zone      string
}

// Relay is the static relay of a partition in a zone; zero in a small zone.
//
// Example: replica := v.Relay(3, "north")
func (v *View) Relay(partition int, zone string) message.Replica {
	place := relayPlace{partition, zone}
	if known, ok := v.relays.Load(place); ok {
		return known.(message.Replica)
	}
	relay := v.chooseRelay(partition, zone)
	v.relays.Store(place, relay)
	return relay
}

// chooseRelay picks, by rendezvous hashing, one of the zone's members that don't lead the
// partition: in a crowded zone a control daemon. Where the leader is the only one of a crowded
// zone there is no relay, and the members go straight to it.
func (v *View) chooseRelay(partition int, zone string) message.Replica {
	leader := v.Leaderships[partition].Leader.Ident
	var all, control heaviest
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
	isCrowded := members >= crowdedZone
	switch {
	case members < v.minRelayZone:
		return message.Replica{}
	case isCrowded && control.replica.Ident != "":
		return control.replica
	case isCrowded && leaderIsHere:
		return message.Replica{}
	}
	return all.replica
}

// heaviest is the member of the greatest weight so far.
type heaviest struct {
	replica message.Replica
	weight  uint64
}

func (h *heaviest) offer(partition int, m message.Member) {
	weight := rendezvousWeight(partition, m.Addr)
	if h.replica.Ident == "" || weight > h.weight {
		h.weight, h.replica = weight, m.Replica()
	}
}

// Parent is this daemon's static parent for a partition: the zone's relay, or the
// leader for the relay itself and in small zones; zero for the leader.
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

// rendezvousWeight is the weight of an address for a partition: highest random weight
// wins.
func rendezvousWeight(partition int, addr string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte{byte(partition), byte(partition >> 8)})
	_, _ = h.Write([]byte(addr))
	x := h.Sum64() // FNV's high bits vary little among like addresses: they are mixed
	x ^= x >> 31
	x *= 0x9e3779b97f4a7c15
	return x ^ x>>29
}
