package scene

import (
	"context"

	"mulleinmast/proof/standin/server"
)

// answers makes servers corrupt, duplicate, delay and truncate their answers, drop idle
// connections and refuse requests before reading them, and gives an address to another
// service. It also restarts the configuration leader repeatedly while changes are sent
// through it, so that responses arrive at a later incarnation.
func answers(ctx context.Context, w *World) {
	w.misbehaveAll(ctx, server.Doubled, server.Extra, server.Late, server.Reset, server.HeadOnly, server.Break, server.Denied, server.Interim, server.Unframed, server.UnframedReset,
		server.NoSeal, server.Early, server.Forget, server.Unwarned)
	w.restartLeaders(ctx)
	old := w.Servers("plain")[0]
	w.removeServer(old)
	old.Crash()
	if _, err := w.ServeAt(old.Address, "other", old.Zone, "", 0); err != nil {
		w.Fail("%v", err)
	}
	w.WaitServed(ctx, int(w.Rate/2))
	w.Cloud.Remove(old.ID)
}

// misbehaveAll makes all servers misbehave with groups of faults, one group after another.
func (w *World) misbehaveAll(ctx context.Context, faults ...server.Fault) {
	const groupSize = 3
	for i := 0; i < len(faults); i += groupSize {
		for j, s := range w.Servers("") {
			for k, f := range faults[i:min(i+groupSize, len(faults))] {
				if (j+k)%2 == 0 {
					s.InjectFault(f, 2)
				}
			}
		}
		w.WaitServed(ctx, int(w.Rate/2))
	}
	for _, s := range w.Servers("") { // clear faults that were not triggered
		for _, f := range faults {
			s.InjectFault(f, 0)
		}
	}
}

// restartLeaders kills and restarts the configuration leader several times in a row, each
// time while a change is sent.
func (w *World) restartLeaders(ctx context.Context) {
	times := 3
	if w.Short {
		times = 2
	}
	for range times {
		m := w.Fleet.Leader(0)
		if m == nil {
			w.Fail("the configuration has no leader")
			return
		}
		done := make(chan int, 1)
		go func() { done <- w.addRoute(ctx, "again").Status }()
		w.Fleet.Kill(m)
		if err := w.Fleet.Restart(m); err != nil {
			w.Fail("%v", err)
			return
		}
		if status := <-done; status != 200 {
			w.Fail("a change was not acknowledged: status %d", status)
		}
		w.waitReady(ctx, m.Name+" is back")
	}
}
