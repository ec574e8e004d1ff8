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
	ZoneKey    = "cells/out" // evacuated zones
	ReplicaKey = "seats/now" // replicas of each group as requested by an operator
)

// ListKey returns the key of the server list of a service.
//
// Example: key := fleetconfig.ListKey("timetable")
func ListKey(service string) string { return "list/" + service }

// ServerRecordKey returns the key of the record of a server, given its Server.Key.
//
// Example: key := fleetconfig.ServerRecordKey("timetable", "127.0.0.1:9000")
func ServerRecordKey(service, server string) string { return "berth/" + service + "/" + server }

// PartitionOf returns the partition that holds a service's records, by a hash of its name.
// Partition 0 holds the configuration.
//
// Example: p := fleetconfig.PartitionOf("timetable", 8)
func PartitionOf(service string, partitions int) int {
	h := fnv.New64a()
	_, _ = h.Write([]byte(service))
	sum := h.Sum64()
	return 1 + int((sum^sum>>32)%uint64(partitions))
}

// unreadableError adds the record's key and version to an error of decoding it.
func unreadableError(r message.Record, err error) error {
	if err == nil {
		return nil
	}
	return Error.New("record %q of version %s can't be read: %w", r.Key, r.Version, err)
}

// ReadPlan decodes a plan record; a missing record is the empty plan, version 0. It returns
// an error if this build can't read the record, which another build may have written.
//
// Example: plan, err := fleetconfig.ReadPlan(rec)
func ReadPlan(r message.Record) (p Plan, err error) {
	if r.Deleted || len(r.Value) == 0 {
		return p, nil
	}
	b, isMsgp, err := decompressPlan(r.Value)
	switch {
	case err != nil:
	case isMsgp:
		if _, err = p.UnmarshalMsg(b); err == nil {
			err = p.checkFormat()
		}
	default: // written by an older build
		err = json.Unmarshal(b, &p)
	}
	return p, unreadableError(r, err)
}

// MustReadPlan is like ReadPlan for records known to be readable, such as those that the daemon
// serves; it panics on others.
//
// Example: plan := fleetconfig.MustReadPlan(rec)
func MustReadPlan(r message.Record) Plan {
	p, err := ReadPlan(r)
	if err != nil {
		panic(err)
	}
	return p
}

// PlanReader caches the last plan that it decoded, by the version of its record, so that
// each version is decoded only once. The plans that it returns must not be modified. It is
// safe for concurrent use.
type PlanReader struct {
	// Complete, if it isn't nil, sets fields of each plan that an earlier build left unset. Set it before the first
	// use of the reader.
	Complete func(*Plan)

	mu      sync.Mutex // guards the fields below
	version message.Version
	plan    Plan
	err     error
}

// Read is like ReadPlan, but decodes each version of the record only once.
//
// Example: plan, err := reader.Read(rec)
func (r *PlanReader) Read(rec message.Record) (Plan, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec.Version == (message.Version{}) || rec.Deleted {
		return r.decode(rec)
	}
	if r.version != rec.Version {
		r.plan, r.err = r.decode(rec)
		r.version = rec.Version
	}
	return r.plan, r.err
}

// decode decodes and completes the plan of a record.
func (r *PlanReader) decode(rec message.Record) (Plan, error) {
	plan, err := ReadPlan(rec)
	if err == nil && r.Complete != nil {
		r.Complete(&plan)
	}
	return plan, err
}

// MustRead is like Read for records known to be readable; it panics on others.
//
// Example: plan := reader.MustRead(rec)
func (r *PlanReader) MustRead(rec message.Record) Plan {
	p, err := r.Read(rec)
	if err != nil {
		panic(err)
	}
	return p
}

// ReadZones decodes the record of evacuated zones; a missing record means none. It returns
// an error if this build can't read the record, so that the evacuated zones are unknown.
//
// Example: evacuated, err := fleetconfig.ReadZones(rec)
func ReadZones(r message.Record) (map[string]bool, error) {
	evacuated := map[string]bool{}
	if r.Deleted || len(r.Value) == 0 {
		return evacuated, nil
	}
	var list []string
	if err := json.Unmarshal(r.Value, &list); err != nil {
		return nil, unreadableError(r, err)
	}
	for _, zone := range list {
		evacuated[zone] = true
	}
	return evacuated, nil
}

// MustReadZones is like ReadZones for records known to be readable; it panics on others.
//
// Example: if fleetconfig.MustReadZones(rec)["north"] { skip() }
func MustReadZones(r message.Record) map[string]bool {
	evacuated, err := ReadZones(r)
	if err != nil {
		panic(err)
	}
	return evacuated
}

// EncodeZones returns the value of the record of evacuated zones.
//
// Example: val := fleetconfig.EncodeZones(map[string]bool{"north": true})
func EncodeZones(evacuated map[string]bool) []byte {
	list := []string{}
	for zone, isEvacuated := range evacuated {
		if isEvacuated {
			list = append(list, zone)
		}
	}
	slices.Sort(list)
	b, _ := json.Marshal(list)
	return b
}
