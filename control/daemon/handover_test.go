package daemon

import (
	"context"
	"testing"
	"time"

	"mulleinmast/control/membership"
	"mulleinmast/wire/message"
)

// A daemon that was told to end waits for its replicas to be taken over only
// where a standby is there to take them, and not beyond its part of the grace
// period; a plain restart isn't held up.
func TestOnlyAStandbyIsWaitedFor(t *testing.T) {
	c := alone(t, func(cfg *Config) { cfg.DataFolder, cfg.GracePeriod = t.TempDir(), time.Hour })
	c.bootstrap([]message.Replica{c.self, {Ident: "b", Addr: "127.0.0.1:1"}, {Ident: "c", Addr: "127.0.0.1:2"}})
	c.Leave()
	for what, x := range map[string]struct {
		more []message.Member
		held int
	}{
		"nobody else":              {nil, 0},
		"a daemon without a disk":  {[]message.Member{{Ident: "d"}}, 0},
		"a standby":                {[]message.Member{{Ident: "d", HasDisk: true}}, 2},
		"a standby beside another": {[]message.Member{{Ident: "d"}, {Ident: "e", HasDisk: true}}, 2},
	} {
		members := append([]message.Member{c.member(), {Ident: "b", HasDisk: true}, {Ident: "c", HasDisk: true}}, x.more...)
		c.members.view.Store(&membership.View{Self: members[0], Members: members})
		if n := c.PartitionsToHandOver(); n != x.held {
			t.Errorf("%s: %d partitions held, expected %d", what, n, x.held)
		}
		ctx, done := context.WithCancel(context.Background())
		if x.held > 0 {
			done() // else it waits for most of an hour
		}
		c.HandOver(ctx)
		done()
	}
	c.clock.Advance(time.Hour)
	c.HandOver(context.Background()) // its time is up
}
