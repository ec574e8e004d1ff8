package loadreport

import (
	"maps"
	"slices"
	"time"

	"mulleinmast/wire/message"
)

// controlHeadFrom is the members of a zone from which on its head is one of its control
// daemons, if it has any: their machines have the wide links.
const controlHeadFrom = 12

// ZoneHead is the daemon of a zone that sums up its reports, the same one for all who
// see the same members.
//
// Example: replica := loadreport.ZoneHead(view.Members, "north")
func ZoneHead(members []message.Member, zone string) message.Member {
	var first, wide highestWeight
	n := 0
	for _, m := range members {
		if m.Zone != zone {
			continue
		}
		n++
		first.offer(m)
		if m.HasDisk {
			wide.offer(m)
		}
	}
	if n >= controlHeadFrom && wide.Ident != "" {
		return wide.Member
	}
	return first.Member
}

// highestWeight is the member with the highest weight so far.
type highestWeight struct {
	message.Member
	weight uint64
}

func (c *highestWeight) offer(m message.Member) {
	if w := ServerID("head", m.Addr); c.Ident == "" || w > c.weight {
		c.Member, c.weight = m, w
	}
}

// Tick makes the reports that are due.
//
// Example: for _, s := range r.Tick(now, view.Self, view.Members) { send(s) }
func (r *Reporter) Tick(now time.Duration, me message.Member, members []message.Member) (out []message.Envelope) {
	if now < r.nextReport {
		return nil
	}
	r.nextReport = now + r.cfg.Interval
	head := ZoneHead(members, me.Zone)
	r.isHead = head.Ident == me.Ident || head.Ident == ""
	own := r.localLoads(now)
	r.reported = own
	if !r.isHead {
		out = append(out, r.envelope(head, Report{
			From: me.Ident, Zone: me.Zone, Kind: daemonReport,
			Loads: sortedLoads(own), Prefixes: r.takePrefixes(&r.newPrefixes),
		}))
		r.prefixesForHeads, r.prefixesForZone = nil, nil
		return out
	}
	for id, h := range r.members {
		if now-h.at >= r.cfg.MaxAge {
			delete(r.members, id)
		}
	}
	sum := maps.Clone(own)
	for _, h := range r.members {
		addLoads(sum, h.loads)
	}
	news := r.takePrefixes(&r.newPrefixes)
	pass := append(r.takePrefixes(&r.prefixesForHeads), news...)
	for _, k := range news {
		r.prefixesForZone = append(r.prefixesForZone, reportedPrefix{k, me.Ident})
	}
	spill := r.prefixesForZone[:min(len(r.prefixesForZone), r.cfg.MaxPrefixes)]
	r.prefixesForZone = nil
	all := maps.Clone(sum)
	for zone, h := range r.zones {
		if now-h.at >= r.cfg.MaxAge {
			delete(r.zones, zone)
			continue
		}
		addLoads(all, h.loads)
	}
	toZone := audience{fleetReport, fleetChanges, all, r.toZone.changes(all)}
	toHeads := audience{zoneReport, zoneChanges, sum, r.toHeads.changes(sum)}
	zones := map[string]bool{me.Zone: true}
	for _, m := range members {
		switch {
		case m.Ident == me.Ident:
		case m.Zone == me.Zone:
			out = append(out, r.envelope(m, toZone.report(me, m, exceptFrom(spill, m.Ident))))
		case !zones[m.Zone]:
			zones[m.Zone] = true
			head := ZoneHead(members, m.Zone)
			out = append(out, r.envelope(head, toHeads.report(me, head, pass)))
		}
	}
	return out
}

// audience is whom one report goes to: daemons that read changes get those, daemons
// of older builds the whole.
type audience struct {
	fullKind, changesKind byte
	all                   map[uint64]ServerLoad
	changes               []Change
}

func (a audience) report(me, to message.Member, kept []CachedPrefix) Report {
	s := Report{From: me.Ident, Zone: me.Zone, Kind: a.changesKind, Changes: a.changes, Prefixes: kept}
	if !readsChanges(to) {
		s.Kind, s.Changes, s.Loads = a.fullKind, nil, sortedLoads(a.all)
	}
	return s
}

// takePrefixes takes as many prefixes as one report holds and drops the rest: they are
// hints.
func (r *Reporter) takePrefixes(list *[]CachedPrefix) []CachedPrefix {
	out := *list
	*list = nil
	return out[:min(len(out), r.cfg.MaxPrefixes)]
}

func (r *Reporter) envelope(to message.Member, s Report) message.Envelope {
	body, err := s.MarshalMsg(nil)
	if err != nil {
		panic(err) // our own types always pack
	}
	return message.Envelope{Addr: to.Addr, Message: message.LoadReport{Body: body}.Message(to.Ident)}
}

func sortedLoads(m map[uint64]ServerLoad) []ServerLoad {
	out := make([]ServerLoad, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[k])
	}
	return out
}

func addLoads(to, from map[uint64]ServerLoad) {
	for k, u := range from {
		t := to[k]
		to[k] = ServerLoad{
			Server: k, Tokens: t.Tokens + u.Tokens, Decoding: t.Decoding + u.Decoding,
			InterTokenSum: t.InterTokenSum + u.InterTokenSum,
			Answered:      t.Answered + u.Answered, Unanswered: t.Unanswered + u.Unanswered,
		}
	}
}

// Step takes another daemon's report; one that can't be read is passed over.
//
// Example: r.Step(now, message)
func (r *Reporter) Step(now time.Duration, m message.Message) {
	var s Report
	if rest, err := s.UnmarshalMsg(m.AsLoadReport().Body); err != nil || len(rest) > 0 {
		return
	}
	h := receivedLoads{at: now, loads: make(map[uint64]ServerLoad, len(s.Loads))}
	for _, u := range s.Loads {
		h.loads[u.Server] = u
	}
	switch s.Kind {
	case zoneChanges:
		h.loads = r.zones[s.Zone].loads
	case fleetChanges:
		h.loads = r.fleet.loads
	}
	h.apply(s.Changes)
	for _, k := range s.Prefixes {
		r.addPrefix(k)
	}
	switch s.Kind {
	case daemonReport:
		r.members[s.From] = h
		r.prefixesForHeads = append(r.prefixesForHeads, s.Prefixes...)
		r.forwardToZone(s)
	case zoneReport, zoneChanges:
		r.zones[s.Zone] = h
		r.forwardToZone(s)
	case fleetReport, fleetChanges:
		r.fleet = h
	}
}

// forwardToZone passes the prefixes of a report on to the daemons of this zone.
func (r *Reporter) forwardToZone(s Report) {
	for _, k := range s.Prefixes {
		r.prefixesForZone = append(r.prefixesForZone, reportedPrefix{k, s.From})
	}
}

func exceptFrom(list []reportedPrefix, ident string) (out []CachedPrefix) {
	for _, n := range list {
		if n.from != ident {
			out = append(out, n.CachedPrefix)
		}
	}
	return out
}
