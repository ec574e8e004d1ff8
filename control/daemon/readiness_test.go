package daemon

import "testing"

// A row of changes withdraws the configuration again and again for a moment:
// that makes no daemon unready, a volume lease without it does, and an order to
// stop at once.
func TestAChangeMakesNoDaemonUnready(t *testing.T) {
	d := openIsolated(t, withLongLeases)
	if d.Ready() {
		t.Error("ready though it never was")
	}
	d.readiness.ready.Store(true)
	d.member() // as its session table shows it
	if d.canServe() || !d.Ready() {
		t.Errorf("under leases %v, ready %v", d.canServe(), d.Ready())
	}
	d.clock.Advance(d.Cfg.VolumeLease())
	if d.Ready() {
		t.Error("ready a volume lease later")
	}
	d.member()
	if !d.Ready() {
		t.Error("not ready again")
	}
	if d.Leave(); d.Ready() {
		t.Error("ready though asked to stop")
	}
}
