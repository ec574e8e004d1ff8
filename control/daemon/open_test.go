package daemon

import (
	"io"
	"testing"
	"time"

	"mulleinmast/control/eventlog"
	"mulleinmast/wire/message"
)

// alone opens a daemon with one partition and no disk that has met nobody; more
// changes its config first.
func alone(t *testing.T, more func(*Config)) *Daemon {
	t.Helper()
	cfg := Default()
	cfg.WireAddr, cfg.HTTPAddr, cfg.Partitions = "127.0.0.1:0", "127.0.0.1:0", 1
	more(&cfg)
	c, err := Open(cfg, eventlog.New(64, io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.close)
	return c
}

// steady gives leases of minutes: a pause of this machine is nothing then.
func steady(cfg *Config) {
	cfg.Bounds.Plan = 200 * time.Second
}

// leased has a daemon's partition adopt a parent and hold its volume lease; what
// the parent says goes in by the function that it gives.
func leased(c *Daemon) (hear func(message.Message) []message.Envelope) {
	node, no := c.shards[0].node(), uint64(0)
	hear = func(n message.Message) []message.Envelope {
		no++
		n.From, n.Addr, n.VolumeEpoch, n.RequestID, n.Term = "p", "p", message.VolumeEpoch{Ident: "p", Epoch: 1}, no, c.epoch
		return node.Step(c.Now(), n).Sends
	}
	node.SetParent(c.Now(), message.Replica{Ident: "p", Addr: "p"})
	list := hear(message.Message{Kind: message.KindReconnect})[0].Message
	hear(message.Message{Kind: message.KindReconciled, ResponseTo: list.RequestID, Length: int64(c.Cfg.VolumeLease()), ObjectLease: int64(time.Hour)})
	return hear
}
