package scheduler

import (
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/placement"
	"mulleinmast/wire/message"
)

// parsedRecord is a server's record, parsed once per version.
type parsedRecord struct {
	version message.Version
	record  placement.ServerRecord
	valid   bool
}

// serverList is a service's list of servers, parsed once per version.
type serverList struct {
	version message.Version
	byAddr  map[string]fleetconfig.Server
}

// refreshServers rebuilds the set of servable servers from the lease cache, which is empty without valid
// leases, and removes expired backoffs.
func (d *Dispatcher) refreshServers(now time.Duration) {
	clear(d.servable)
	if rec, ok := d.source(d.partition, fleetconfig.ListKey(d.service)); ok {
		d.parseList(rec)
		for addr := range d.list.byAddr {
			if record, ok := d.servableRecord(addr); ok {
				d.servable[addr] = record
			}
		}
	}
	for addr, until := range d.backoffUntil {
		if now >= until {
			delete(d.backoffUntil, addr)
		}
	}
}

// parseList parses the list of servers unless its version is already parsed.
func (d *Dispatcher) parseList(rec message.Record) {
	if d.list.byAddr != nil && d.list.version == rec.Version {
		return
	}
	d.list = serverList{version: rec.Version, byAddr: map[string]fleetconfig.Server{}}
	for _, s := range fleetconfig.MustReadList(rec).Servers {
		d.list.byAddr[s.Addr] = s
	}
}

// parseServerRecord returns a server's parsed record, from the cache if its version is already parsed.
func (d *Dispatcher) parseServerRecord(addr string, rec message.Record) parsedRecord {
	p, known := d.records[addr]
	if !known || p.version != rec.Version {
		p.version = rec.Version
		p.record, p.valid = placement.OpenServerRecord(rec)
		d.records[addr] = p
	}
	return p
}

// servableRecord returns a server's record, and whether the server may get new work now: its records are
// under valid leases, the server is listed and has a role, it is neither leaving nor excluded, and its zone is in
// service.
func (d *Dispatcher) servableRecord(addr string) (record placement.ServerRecord, ok bool) {
	rec, ok := d.source(d.partition, fleetconfig.ServerRecordKey(d.service, addr))
	if !ok {
		return record, false
	}
	parsed := d.parseServerRecord(addr, rec)
	record = parsed.record
	if !parsed.valid || !acceptsNewWork(record) {
		return record, false
	}
	list, ok := d.source(d.partition, fleetconfig.ListKey(d.service))
	if !ok {
		return record, false
	}
	allowed := d.isAllowed(addr, record.Zone)
	return record, allowed && d.isListed(list, addr)
}

// acceptsNewWork reports whether a server is up or warming and not about to change its role.
func acceptsNewWork(r placement.ServerRecord) bool {
	return r.NextRole == "" && (r.Status == placement.Up || r.Status == placement.Warming)
}

// isListed reports whether a server is in the list and not marked as leaving.
func (d *Dispatcher) isListed(list message.Record, addr string) bool {
	d.parseList(list)
	server, ok := d.list.byAddr[addr]
	return ok && !server.Leaving
}

// isAllowed reports whether the server's zone is in service and the plan doesn't exclude the server.
func (d *Dispatcher) isAllowed(addr, zone string) bool {
	zones, okZones := d.source(0, fleetconfig.ZoneKey)
	plan, okPlan := d.source(0, fleetconfig.PlanKey)
	if !okZones || !okPlan || !zones.Deleted && fleetconfig.MustReadZones(zones)[zone] {
		return false
	}
	if d.plan == nil || d.plan.Version != plan.Version {
		d.plan = NewPlanIndex(plan)
	}
	return !d.plan.excluded[d.service][addr]
}

// servableInRole returns a server's record, and whether a call to the server in this role is allowed now:
// the server is servable, has the role, and this daemon's share of slots is valid.
func (d *Dispatcher) servableInRole(now time.Duration, addr, role string) (placement.ServerRecord, bool) {
	record, ok := d.servableRecord(addr)
	return record, ok && record.Role == role && d.queue.HasValidShare(now)
}
