package scheduler

import (
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/placement"
	"mulleinmast/wire/message"
)

// parsedRecord is a server's record, parsed once a version.
type parsedRecord struct {
	version message.Version
	record  placement.ServerRecord
	valid   bool
}

// serverList is a service's list of servers, parsed once a version.
type serverList struct {
	version message.Version
	byAddr  map[string]fleetconfig.Server
}

// refreshServers reads the servers from the lease cache; without valid leases there are
// none. Backoffs that are over end.
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

// parseList makes the list of servers that of the record.
func (d *Dispatcher) parseList(rec message.Record) {
	if d.list.byAddr != nil && d.list.version == rec.Version {
		return
	}
	d.list = serverList{version: rec.Version, byAddr: map[string]fleetconfig.Server{}}
	for _, s := range fleetconfig.OpenList(rec).Servers {
		d.list.byAddr[s.Addr] = s
	}
}

// parseServer reads a server's record.
func (d *Dispatcher) parseServer(addr string, rec message.Record) parsedRecord {
	p, known := d.records[addr]
	if !known || p.version != rec.Version {
		p.version = rec.Version
		p.record, p.valid = placement.OpenServerRecord(rec)
		d.records[addr] = p
	}
	return p
}

// servableRecord is a server's record if the server may get new work now: both leases are
// valid, it is listed and has a role, it is not leaving nor excluded, and its zone is in
// service.
func (d *Dispatcher) servableRecord(addr string) (record placement.ServerRecord, ok bool) {
	rec, ok := d.source(d.partition, fleetconfig.ServerRecordKey(d.service, addr))
	if !ok {
		return record, false
	}
	parsed := d.parseServer(addr, rec)
	record = parsed.record
	if !parsed.valid || !takesWork(record) {
		return record, false
	}
	list, ok := d.source(d.partition, fleetconfig.ListKey(d.service))
	if !ok {
		return record, false
	}
	allowed := d.isAllowed(addr, record.Zone)
	return record, allowed && d.staysListed(list, addr)
}

// takesWork tells whether a server is up, or warming, in the role it is to keep.
func takesWork(r placement.ServerRecord) bool {
	return r.NextRole == "" && (r.Status == placement.Up || r.Status == placement.Warming)
}

// staysListed tells whether the list has a server, and it is to stay.
func (d *Dispatcher) staysListed(list message.Record, addr string) bool {
	d.parseList(list)
	server, ok := d.list.byAddr[addr]
	return ok && !server.Leaving
}

// isAllowed tells whether zones and plan let a server serve.
func (d *Dispatcher) isAllowed(addr, zone string) bool {
	zones, okZones := d.source(0, fleetconfig.ZoneKey)
	plan, okPlan := d.source(0, fleetconfig.PlanKey)
	if !okZones || !okPlan || !zones.Deleted && fleetconfig.OpenZones(zones)[zone] {
		return false
	}
	if d.plan == nil || d.plan.Version != plan.Version {
		d.plan = NewPlanIndex(plan)
	}
	return !d.plan.excluded[d.service][addr]
}

// servableFor is a server's record, and whether the record and the share that a call to
// the server in this role rests on are valid now.
func (d *Dispatcher) servableFor(now time.Duration, addr, role string) (placement.ServerRecord, bool) {
	record, ok := d.servableRecord(addr)
	return record, ok && record.Role == role && d.queue.HasValidShare(now)
}
