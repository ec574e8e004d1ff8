package fleetconfig

import (
	"encoding/json"
	"hash/fnv"
	"slices"
	"sync"

	"github.com/zeebo/errs"

	"mulleinmast/wire/message"
)

// Error is the class of this package's errors.
var Error = errs.Class("fleet configuration")

// Keys of the records in the configuration partition.
const (
	PlanKey    = "plan/now"
	ZoneKey    = "cells/out" // the evacuated zones
	ReplicaKey = "seats/now" // the replicas of the groups that an operator wants
)

// ListKey is the key of the list of a service's servers.
//
// Example: key := fleetconfig.ListKey("timetable")
func ListKey(service string) string { return "list/" + service }

// ServerRecordKey is the key of a server's record; see Server.Key.
//
// Example: key := fleetconfig.ServerRecordKey("timetable", "127.0.0.1:9000")
func ServerRecordKey(service, server string) string { return "berth/" + service + "/" + server }

// PartitionOf is the partition that holds a service's records, by a hash of its name;
// partition 0 is configuration.
//
// Example: p := fleetconfig.PartitionOf("timetable", 8)
func PartitionOf(service string, partitions int) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(service))
	sum := h.Sum64()
	return 1 + int((sum^sum>>32)%uint64(partitions))
}

// unreadable names the record that an error is of.
func unreadable(r message.Record, err error) error {
	if err == nil {
		return nil
	}
	return Error.New("record %q of version %s can't be read: %w", r.Key, r.Version, err)
}

// ReadPlan reads a plan record; absence is the empty plan, version 0. The error is
// of one that this build can't read: another build may have written it.
//
// Example: plan, err := fleetconfig.ReadPlan(rec)
func ReadPlan(r message.Record) (p Plan, err error) {
	if r.Deleted || len(r.Value) == 0 {
		return p, nil
	}
	b, isMsgp, err := planBytes(r.Value)
	switch {
	case err != nil:
	case isMsgp:
		if _, err = p.UnmarshalMsg(b); err == nil {
			err = p.checkFormat()
		}
	default: // an older build's
		err = json.Unmarshal(b, &p)
	}
	return p, unreadable(r, err)
}

// OpenPlan is ReadPlan for records that were found readable before, as those that the daemon
// serves are; it panics on others.
//
// Example: plan := fleetconfig.OpenPlan(rec)
func OpenPlan(r message.Record) Plan {
	p, err := ReadPlan(r)
	if err != nil {
		panic(err)
	}
	return p
}

// PlanReader keeps the last plan that it read, by its record's version: a plan is
// read once a version, however many ask. Plans that it gives are not changed. It is safe
// for concurrent use.
type PlanReader struct {
	mu      sync.Mutex // guards the fields below
	version message.Version
	plan    Plan
	err     error
}

// Read is ReadPlan, once a version.
//
// Example: plan, err := reader.Read(rec)
func (r *PlanReader) Read(rec message.Record) (Plan, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec.Version == (message.Version{}) || rec.Deleted {
		return ReadPlan(rec)
	}
	if r.version != rec.Version {
		r.plan, r.err = ReadPlan(rec)
		r.version = rec.Version
	}
	return r.plan, r.err
}

// Open is Read for records that were found readable before; it panics on others.
//
// Example: plan := reader.Open(rec)
func (r *PlanReader) Open(rec message.Record) Plan {
	p, err := r.Read(rec)
	if err != nil {
		panic(err)
	}
	return p
}

// ReadZones reads the record of evacuated zones; absence is none. The error is of
// one that this build can't read: it is not known then which zones are.
//
// Example: evacuated, err := fleetconfig.ReadZones(rec)
func ReadZones(r message.Record) (map[string]bool, error) {
	evacuated := map[string]bool{}
	if r.Deleted || len(r.Value) == 0 {
		return evacuated, nil
	}
	var list []string
	if err := json.Unmarshal(r.Value, &list); err != nil {
		return nil, unreadable(r, err)
	}
	for _, zone := range list {
		evacuated[zone] = true
	}
	return evacuated, nil
}

// OpenZones is ReadZones for records that were found readable before; it panics on others.
//
// Example: if fleetconfig.OpenZones(rec)["north"] { skip() }
func OpenZones(r message.Record) map[string]bool {
	evacuated, err := ReadZones(r)
	if err != nil {
		panic(err)
	}
	return evacuated
}

// EncodeZones makes the value of the record of evacuated zones.
//
// Example: val := fleetconfig.EncodeZones(map[string]bool{"north": true})
func EncodeZones(evacuated map[string]bool) []byte {
	list := []string{}
	for zone, isOut := range evacuated {
		if isOut {
			list = append(list, zone)
		}
	}
	slices.Sort(list)
	b, _ := json.Marshal(list)
	return b
}
