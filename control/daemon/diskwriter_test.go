package daemon

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"mulleinmast/control/quorum"
	"mulleinmast/control/storage"
	"mulleinmast/wire/message"
)

// Saves that a full disk rejects are kept in order and merged, so that their size is bounded by the
// size of the state. Once the disk has space they are written together with later saves. Both the
// failure and the recovery are logged.
func TestFailedWritesAreRetried(t *testing.T) {
	d := openIsolated(t, func(cfg *Config) {
		cfg.DataFolder = t.TempDir()
		cfg.Bounds.Plan = 20 * time.Millisecond // keeps the delay before a retry short
	})
	if err := d.store.SetFull(true); err != nil {
		t.Fatal(err)
	}
	const saves, keys, valueSize = 300, 3, 1 << 18
	for i := range saves {
		number := uint64(i + 1)
		rec := message.Record{
			Key:     fmt.Sprint("k", i%keys),
			Version: message.Version{Term: 1, Seq: number},
			Value:   make([]byte, valueSize),
		}
		meta := quorum.Meta{VotedTerm: number}
		d.disk.add([]quorum.Save{{Ticket: number, Partition: 1, Meta: meta, Records: []message.Record{rec}}})
		if i%100 == 50 && !d.disk.flush(t.Context()) {
			t.Fatal("no write was attempted")
		}
	}
	pending, failures := d.disk.pending.Saves(), d.disk.consecutiveFailures.Load()
	if len(pending) != 1 || len(pending[0].Records) != keys || len(d.disk.pending.Tickets) != saves || failures != 3 {
		t.Errorf("%d saves of %d records pending, %d writes failed", len(pending), len(pending[0].Records), failures)
	}
	if err := d.store.SetFull(false); err != nil {
		t.Fatal(err)
	}
	for d.disk.flush(t.Context()) {
	}
	var logged strings.Builder
	for _, entry := range d.Events.Since(0) {
		logged.WriteString(entry.Text + "\n")
	}
	if !strings.Contains(logged.String(), "full") || !strings.Contains(logged.String(), "writes succeed again refused=3") {
		t.Errorf("logged: %s", logged.String())
	}
	d.close()
	store, err := storage.Open(d.Cfg.DataFolder, d.Cfg.Fleet)
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	state := store.Partitions[1]
	for key, seq := range map[string]uint64{"k0": 298, "k1": 299, "k2": 300} {
		if rec, _ := state.Records.Get(key); rec.Version.Seq != seq || state.Meta.VotedTerm != saves {
			t.Errorf("%s has change %d, the voted term is %d", key, rec.Version.Seq, state.Meta.VotedTerm)
		}
	}
}
