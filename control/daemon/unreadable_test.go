package daemon

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leadercall"
	"mulleinmast/control/quorum"
	"mulleinmast/control/storage"
	"mulleinmast/wire/message"
)

const planFromOtherBuild = "m\xffof another build"

// A daemon keeps running but doesn't serve a record that this build can't read, even under valid
// leases. It is unready and reports the reason until it receives a readable version of the record.
func TestUnreadableRecordIsNotServed(t *testing.T) {
	readable := map[string]string{fleetconfig.PlanKey: "{}", fleetconfig.ZoneKey: `["north"]`}
	for _, c := range []struct{ name, key, value string }{
		{"plan", fleetconfig.PlanKey, planFromOtherBuild},
		{"zones", fleetconfig.ZoneKey, `{"zones":["north"]}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := openIsolated(t, withLongLeases)
			fromParent := grantVolumeLease(d)
			grant := func(seq uint64, values map[string]string) {
				var records []message.Record
				version := message.Version{Term: 1, Seq: seq}
				for key, value := range values {
					fromParent(message.Message{Kind: message.KindInvalidate, Key: key})
					records = append(records, message.Record{Key: key, Value: []byte(value), Version: version})
				}
				fromParent(message.Message{Kind: message.KindGrantLease, Records: records, ObjectLease: int64(time.Hour)})
			}
			grant(1, readable)
			if !d.canServe() {
				t.Fatal("not ready with readable records")
			}
			if fault := recovered(func() {
				grant(2, map[string]string{c.key: c.value})
				_, read := d.Read(0, c.key)
				_, stale := d.ReadAllowingStale(0, c.key)
				if read || stale || d.canServe() {
					t.Errorf("read %v, used for routing %v, ready %v", read, stale, d.canServe())
				}
				if unreadable(d) != 1 {
					t.Errorf("%d unreadable records counted", unreadable(d))
				}
				if _, _, ok := d.Plan(); ok != (c.key != fleetconfig.PlanKey) {
					t.Errorf("a plan is current: %v", ok)
				}
			}); fault != nil {
				t.Fatalf("panicked: %v", fault)
			}
			grant(3, readable)
			if !d.canServe() || unreadable(d) != 0 {
				t.Errorf("ready %v, %d unreadable records counted", d.canServe(), unreadable(d))
			}
		})
	}
}

// recovered returns the panic raised by f; nil if there is none.
func recovered(f func()) (fault any) {
	defer func() { fault = recover() }()
	f()
	return nil
}

// unreadable returns the number of records that a daemon can't read.
func unreadable(d *Daemon) int {
	n, _ := d.unreadableRecords()
	return n
}

// An unreadable record with a valid checksum in the data folder doesn't stop a daemon. The daemon
// leads and executes operations that don't need the record. It answers other operations with
// "not done" and reports why it isn't ready.
func TestDaemonRunsWithUnreadableRecordOnDisk(t *testing.T) {
	cfg := singleDaemonConfig(t)
	first := runDaemon(t, cfg)
	status, answer := first.Call(t.Context(), 0, leadercall.OpPlan, firstPlan(), 20*time.Second)
	if status != http.StatusOK {
		t.Fatalf("writing the first plan: %d %s", status, answer)
	}
	first.stop()
	overwritePlan(t, cfg, planFromOtherBuild)

	second := runDaemon(t, cfg)
	status, answer = second.Call(t.Context(), 0, leadercall.OpEvacuate, []byte("north"), 20*time.Second)
	if status != http.StatusOK {
		t.Errorf("evacuating a zone: %d %s", status, answer)
	}
	changes := leadercall.MustMarshal(fleetconfig.Changes{
		ID:      "next",
		Base:    1,
		Changes: []fleetconfig.Change{{Op: "drop-tenant", Name: "x"}},
	})
	status, answer = second.Call(t.Context(), 0, leadercall.OpChanges, changes, 5*time.Second)
	if status != leadercall.StatusNotDone || !strings.Contains(string(answer), "can't be read") {
		t.Errorf("changing the plan: %d %s", status, answer)
	}
	reason := second.whyNotReady()
	if _, ok := second.Read(0, fleetconfig.PlanKey); ok || second.Ready() {
		t.Errorf("read %v, ready %v", ok, second.Ready())
	}
	if unreadable(second.Daemon) != 1 || !strings.Contains(reason, "can't be read") {
		t.Errorf("%d unreadable records counted: %s", unreadable(second.Daemon), reason)
	}
}

// firstPlan returns an encoded plan with one service.
func firstPlan() []byte {
	return leadercall.MustMarshal(fleetconfig.Plan{
		ID:       "first",
		Tenants:  []fleetconfig.Tenant{},
		Services: []fleetconfig.Service{{Name: "m", PrefillServers: 1, DecodeServers: 1}},
	})
}

// overwritePlan replaces the value of the plan record on disk.
func overwritePlan(t *testing.T, cfg Config, value string) {
	t.Helper()
	store, err := storage.Open(cfg.DataFolder, cfg.Fleet)
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	state := store.Partitions[0]
	rec, ok := state.Records.Get(fleetconfig.PlanKey)
	if !ok {
		t.Fatal("no plan on disk")
	}
	rec.Value = []byte(value)
	if err := store.Write([]quorum.Save{{Meta: state.Meta, Records: []message.Record{rec}}}); err != nil {
		t.Fatal(err)
	}
}
