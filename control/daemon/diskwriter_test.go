package daemon

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"mulleinmast/control/eventlog"
	"mulleinmast/control/quorum"
	"mulleinmast/control/storage"
	"mulleinmast/wire/message"
)

// What a full disk refuses waits, in order and bounded by the state, and is
// written with what came later once there is room; the daemon says both.
func TestWhatAFullDiskRefusesIsWrittenLater(t *testing.T) {
	cfg := Default()
	cfg.WireAddr, cfg.HTTPAddr, cfg.Partitions, cfg.DataFolder = "127.0.0.1:0", "127.0.0.1:0", 1, t.TempDir()
	cfg.Bounds.Plan = 20 * time.Millisecond // a refused write is soon tried again
	c, err := Open(cfg, eventlog.New(256, io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	if err := c.store.SetFull(true); err != nil {
		t.Fatal(err)
	}
	for i := range 300 {
		rec := message.Record{Key: fmt.Sprint("k", i%3), Version: message.Version{Term: 1, Seq: uint64(i + 1)}, Value: make([]byte, 1<<18)}
		c.disk.add([]quorum.Save{{Ticket: uint64(i + 1), Partition: 1, Meta: quorum.Meta{VotedTerm: uint64(i + 1)}, Records: []message.Record{rec}}})
		if i%100 == 50 && !c.disk.flush(t.Context()) {
			t.Fatal("nothing was tried")
		}
	}
	if s := c.disk.waiting.Saves(); len(s) != 1 || len(s[0].Records) != 3 || len(c.disk.waiting.Tickets) != 300 || c.disk.refusals.Load() != 3 {
		t.Errorf("%d saves of %d records wait, %d refused", len(s), len(s[0].Records), c.disk.refusals.Load())
	}
	if err := c.store.SetFull(false); err != nil {
		t.Fatal(err)
	}
	for c.disk.flush(t.Context()) {
	}
	said := ""
	for _, e := range c.Events.Since(0) {
		said += e.Text + "\n"
	}
	if !strings.Contains(said, "full") || !strings.Contains(said, "takes writes again refused=3") {
		t.Errorf("said: %s", said)
	}
	c.close()
	a, err := storage.Open(cfg.DataFolder, cfg.Fleet)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	h := a.Partitions[1]
	for k, seq := range map[string]uint64{"k0": 298, "k1": 299, "k2": 300} {
		if r, _ := h.Records.Get(k); r.Version.Seq != seq || h.Meta.VotedTerm != 300 {
			t.Errorf("%s is of change %d, the promise of %d", k, r.Version.Seq, h.Meta.VotedTerm)
		}
	}
}

// A row of changes withdraws the configuration again and again for a moment:
// that makes no daemon unready, a volume lease without it does, and an order to
// stop at once.
func TestAChangeMakesNoDaemonUnready(t *testing.T) {
	c := alone(t, steady)
	if c.Ready() {
		t.Error("ready though it never was")
	}
	c.readiness.ready.Store(true)
	c.member() // as its table is told
	if c.canServe() || !c.Ready() {
		t.Errorf("under leases %v, ready %v", c.canServe(), c.Ready())
	}
	c.clock.Advance(c.Cfg.VolumeLease())
	if c.Ready() {
		t.Error("ready a volume lease later")
	}
	c.member()
	if !c.Ready() {
		t.Error("not ready again")
	}
	if c.Leave(); c.Ready() {
		t.Error("ready though told to stop")
	}
}
