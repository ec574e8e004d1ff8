package loadreport

import (
	"maps"
	"slices"
	"time"

	"mulleinmast/wire/message"
)

// controlHeadMinMembers is the minimum number of members of a zone whose head is chosen from its
// control daemons, if it has any. The machines of control daemons have links of higher bandwidth.
const controlHeadMinMembers = 12

// ZoneHead returns the daemon that aggregates the reports of a zone. All daemons with the
// same view of the members agree on it.
//
// Example: head := loadreport.ZoneHead(view.Members, "north")
func ZoneHead(members []message.Member, zone string) message.Member {
	var first, wide maxWeightMember
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
	if n >= controlHeadMinMembers && wide.Ident != "" {
		return wide.Member
	}
	return first.Member
}

// maxWeightMember keeps the member with the highest weight offered so far.
type maxWeightMember struct {
	message.Member
	weight uint64
}

func (best *maxWeightMember) offer(m message.Member) {
	if w := ServerID("head", m.Addr); best.Ident == "" || w > best.weight {
		best.Member, best.weight = m, w
	}
}

// Tick returns the reports that are due.
//
// Example: for _, s := range r.Tick(now, view.Self, view.Members) { send(s) }
func (r *Reporter) Tick(now time.Duration, me message.Member, members []message.Member) (out []message.Envelope) {
	if now < r.nextReport {
		return nil
	}
	r.nextReport = now + r.cfg.Interval
	head := ZoneHead(members, me.Zone)
	r.isHead = head.Ident == me.Ident || head.Ident == ""
	local := r.localLoads(now)
	r.reported = local
	if !r.isHead {
		out = append(out, r.envelope(head, Report{
			From: me.Ident, Zone: me.Zone, Kind: daemonReport,
			Loads: sortedLoads(local), Prefixes: r.takePrefixes(&r.newPrefixes),
		}))
		r.prefixesForHeads, r.prefixesForZone = nil, nil
		return out
	}
	for id, received := range r.members {
		if now-received.at >= r.cfg.MaxAge {
			delete(r.members, id)
		}
	}
	sum := maps.Clone(local)
	for _, received := range r.members {
		addLoads(sum, received.loads)
	}
	fresh := r.takePrefixes(&r.newPrefixes)
	forHeads := append(r.takePrefixes(&r.prefixesForHeads), fresh...)
	for _, p := range fresh {
		r.prefixesForZone = append(r.prefixesForZone, reportedPrefix{p, me.Ident})
	}
	forZone := r.prefixesForZone[:min(len(r.prefixesForZone), r.cfg.MaxPrefixes)]
	r.prefixesForZone = nil
	all := maps.Clone(sum)
	for zone, received := range r.zones {
		if now-received.at >= r.cfg.MaxAge {
			delete(r.zones, zone)
			continue
		}
		addLoads(all, received.loads)
	}
	toZone := loadUpdate{fleetReport, fleetChanges, all, r.toZone.nextChanges(all)}
	toHeads := loadUpdate{zoneReport, zoneChanges, sum, r.toHeads.nextChanges(sum)}
	zones := map[string]bool{me.Zone: true}
	for _, m := range members {
		switch {
		case m.Ident == me.Ident:
		case m.Zone == me.Zone:
			out = append(out, r.envelope(m, toZone.reportFor(me, m, withoutReporter(forZone, m.Ident))))
		case !zones[m.Zone]:
			zones[m.Zone] = true
			head := ZoneHead(members, m.Zone)
			out = append(out, r.envelope(head, toHeads.reportFor(me, head, forHeads)))
		}
	}
	return out
}

// loadUpdate is an aggregate to send to several daemons. Daemons that support incremental
// reports get the changes, and daemons of older builds get the full aggregate.
type loadUpdate struct {
	fullKind, changesKind byte
	all                   map[uint64]ServerLoad
	changes               []Change
}

func (u loadUpdate) reportFor(me, to message.Member, prefixes []CachedPrefix) Report {
	report := Report{From: me.Ident, Zone: me.Zone, Kind: u.changesKind, Changes: u.changes, Prefixes: prefixes}
	if !supportsChanges(to) {
		report.Kind, report.Changes, report.Loads = u.fullKind, nil, sortedLoads(u.all)
	}
	return report
}

// takePrefixes empties a list and returns as many of its prefixes as fit in one report. The
// rest is dropped, as prefixes are only hints.
func (r *Reporter) takePrefixes(list *[]CachedPrefix) []CachedPrefix {
	out := *list
	*list = nil
	return out[:min(len(out), r.cfg.MaxPrefixes)]
}

func (r *Reporter) envelope(to message.Member, report Report) message.Envelope {
	body, err := report.MarshalMsg(nil)
	if err != nil {
		panic(err) // encoding to memory cannot fail for this type
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
	for k, load := range from {
		t := to[k]
		to[k] = ServerLoad{
			Server: k, Tokens: t.Tokens + load.Tokens, Decoding: t.Decoding + load.Decoding,
			InterTokenSum: t.InterTokenSum + load.InterTokenSum,
			Answered:      t.Answered + load.Answered, Unanswered: t.Unanswered + load.Unanswered,
		}
	}
}

// Step processes another daemon's report. A malformed report is ignored.
//
// Example: r.Step(now, message)
func (r *Reporter) Step(now time.Duration, m message.Message) {
	var report Report
	if rest, err := report.UnmarshalMsg(m.AsLoadReport().Body); err != nil || len(rest) > 0 {
		return
	}
	received := receivedLoads{at: now, loads: make(map[uint64]ServerLoad, len(report.Loads))}
	for _, load := range report.Loads {
		received.loads[load.Server] = load
	}
	switch report.Kind {
	case zoneChanges:
		received.loads = r.zones[report.Zone].loads
	case fleetChanges:
		received.loads = r.fleet.loads
	}
	received.apply(report.Changes)
	for _, p := range report.Prefixes {
		r.addPrefix(p)
	}
	switch report.Kind {
	case daemonReport:
		r.members[report.From] = received
		r.prefixesForHeads = append(r.prefixesForHeads, report.Prefixes...)
		r.forwardToZone(report)
	case zoneReport, zoneChanges:
		r.zones[report.Zone] = received
		r.forwardToZone(report)
	case fleetReport, fleetChanges:
		r.fleet = received
	}
}

// forwardToZone queues the prefixes of a report for the daemons of this zone.
func (r *Reporter) forwardToZone(report Report) {
	for _, p := range report.Prefixes {
		r.prefixesForZone = append(r.prefixesForZone, reportedPrefix{p, report.From})
	}
}

func withoutReporter(list []reportedPrefix, ident string) (out []CachedPrefix) {
	for _, p := range list {
		if p.from != ident {
			out = append(out, p.CachedPrefix)
		}
	}
	return out
}
