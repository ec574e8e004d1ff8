package daemon

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"mulleinmast/control/eventlog"
	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leadercall"
	"mulleinmast/control/quorum"
	"mulleinmast/control/storage"
	"mulleinmast/wire/message"
)

// A record that this build can't read is served to nobody here, whatever the
// leases say, and the daemon goes on: it isn't ready, tells why, and is again
// once a record comes that can be read.
func TestARecordThatCanNotBeReadIsServedToNobody(t *testing.T) {
	good := map[string]string{fleetconfig.PlanKey: "{}", fleetconfig.ZoneKey: `["north"]`}
	for key, val := range map[string]string{fleetconfig.PlanKey: "m\xffof another build", fleetconfig.ZoneKey: `{"zones":["north"]}`} {
		t.Run(key, func(t *testing.T) {
			c := alone(t, steady)
			hear := leased(c)
			grant := func(seq uint64, vals map[string]string) {
				var recs []message.Record
				for k, v := range vals {
					hear(message.Message{Kind: message.KindInvalidate, Key: k})
					recs = append(recs, message.Record{Key: k, Value: []byte(v), Version: message.Version{Term: 1, Seq: seq}})
				}
				hear(message.Message{Kind: message.KindGrantLease, Records: recs, ObjectLease: int64(time.Hour)})
			}
			grant(1, good)
			if !c.canServe() {
				t.Fatal("not ready by records in order")
			}
			if fault := ended(func() {
				grant(2, map[string]string{key: val})
				_, read := c.Read(0, key)
				_, last := c.ReadAllowingStale(0, key)
				if read || last || c.canServe() {
					t.Errorf("read %v, routed by %v, ready %v", read, last, c.canServe())
				}
				if unreadable(c) != 1 {
					t.Errorf("%d records can't be read", unreadable(c))
				}
				if _, _, ok := c.Plan(); ok != (key != fleetconfig.PlanKey) {
					t.Errorf("a plan is in force: %v", ok)
				}
			}); fault != nil {
				t.Fatalf("ended by %v", fault)
			}
			grant(3, good)
			if !c.canServe() || unreadable(c) != 0 {
				t.Errorf("ready %v, %d records can't be read", c.canServe(), unreadable(c))
			}
		})
	}
}

// ended is what stopped f, nil if nothing did.
func ended(f func()) (fault any) {
	defer func() { fault = recover() }()
	f()
	return nil
}

// A folder that holds such a record, with its checksum in order, ends no daemon:
// it leads, what doesn't need the record is done, what does is told that its end
// isn't clear, and the daemon says why it isn't ready.
func TestAFolderWithARecordThatCanNotBeRead(t *testing.T) {
	cfg := Default()
	cfg.WireAddr, cfg.HTTPAddr, cfg.Partitions, cfg.DataFolder, cfg.Losses = freeAddress(t), freeAddress(t), 1, t.TempDir(), 0
	cfg.Seeds = []string{cfg.WireAddr}
	first := runDaemon(t, cfg)
	change := leadercall.Pack(fleetconfig.Plan{ID: "first", Tenants: []fleetconfig.Tenant{}, Services: []fleetconfig.Service{{Name: "m", PrefillServers: 1, DecodeServers: 1}}})
	if code, answer := first.Call(t.Context(), 0, "plan", change, 20*time.Second); code != 200 {
		t.Fatalf("the first plan: %d %s", code, answer)
	}
	first.stop()
	spoilPlan(t, cfg)

	again := runDaemon(t, cfg)
	if code, answer := again.Call(t.Context(), 0, "evacuate", []byte("north"), 20*time.Second); code != 200 {
		t.Errorf("an evacuation: %d %s", code, answer)
	}
	next := leadercall.Pack(fleetconfig.Changes{ID: "next", Base: 1, Changes: []fleetconfig.Change{{Op: "drop-tenant", Name: "x"}}})
	if code, answer := again.Call(t.Context(), 0, "changes", next, 5*time.Second); code != leadercall.StatusNotDone || !strings.Contains(string(answer), "can't be read") {
		t.Errorf("a change: %d %s", code, answer)
	}
	if _, ok := again.Read(0, fleetconfig.PlanKey); ok || again.Ready() || unreadable(again.Daemon) != 1 || !strings.Contains(again.whyNotReady(), "can't be read") {
		t.Errorf("read %v, ready %v, %d records can't be read: %s", ok, again.Ready(), unreadable(again.Daemon), again.whyNotReady())
	}
}

// spoilPlan puts a plan of an unknown shape in a folder, as another build might.
func spoilPlan(t *testing.T, cfg Config) {
	t.Helper()
	a, err := storage.Open(cfg.DataFolder, cfg.Fleet)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	held := a.Partitions[0]
	rec, ok := held.Records.Get(fleetconfig.PlanKey)
	if !ok {
		t.Fatal("no plan on disk")
	}
	rec.Value = []byte("m\xffof another build")
	if err := a.Write([]quorum.Save{{Meta: held.Meta, Records: []message.Record{rec}}}); err != nil {
		t.Fatal(err)
	}
}

// running is a daemon with its loops.
type running struct {
	*Daemon
	stop func()
}

func runDaemon(t *testing.T, cfg Config) running {
	t.Helper()
	c, err := Open(cfg, eventlog.New(64, io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wait sync.WaitGroup
	wait.Go(func() { _ = c.Run(ctx) })
	stop := sync.OnceFunc(func() { cancel(); wait.Wait() })
	t.Cleanup(stop)
	return running{c, stop}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// unreadable counts the records that a daemon can't read.
func unreadable(d *Daemon) int {
	n, _ := d.unreadableRecords()
	return n
}
