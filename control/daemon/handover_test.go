package daemon

import (
	"context"
	"testing"
	"time"

	"mulleinmast/control/membership"
	"mulleinmast/wire/message"
)

// A stopping daemon waits for its replicas to be taken over only if there is a learner that can take
// them over, and only for handOverRatio of the grace period. A restart without a learner isn't
// delayed.
func TestHandOverWaitsOnlyForLearners(t *testing.T) {
	d := openIsolated(t, func(cfg *Config) { cfg.DataFolder, cfg.GracePeriod = t.TempDir(), time.Hour })
	d.bootstrap([]message.Replica{d.self, {Ident: "b", Addr: "127.0.0.1:1"}, {Ident: "c", Addr: "127.0.0.1:2"}})
	d.Leave()
	group := []message.Member{d.member(), {Ident: "b", HasDisk: true}, {Ident: "c", HasDisk: true}}
	for _, c := range []struct {
		name   string
		others []message.Member
		want   int
	}{
		{"no other daemon", nil, 0},
		{"a daemon without a disk", []message.Member{{Ident: "d"}}, 0},
		{"a learner", []message.Member{{Ident: "d", HasDisk: true}}, 2},
		{"a learner and a daemon without a disk", []message.Member{{Ident: "d"}, {Ident: "e", HasDisk: true}}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			members := append(append([]message.Member{}, group...), c.others...)
			d.members.view.Store(&membership.View{Self: members[0], Members: members})
			if n := d.PartitionsToHandOver(); n != c.want {
				t.Errorf("%d partitions to hand over, expected %d", n, c.want)
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if c.want > 0 {
				cancel() // otherwise HandOver waits for most of an hour
			}
			d.HandOver(ctx)
		})
	}
	d.clock.Advance(time.Hour)
	d.HandOver(t.Context()) // the grace period is over
}
