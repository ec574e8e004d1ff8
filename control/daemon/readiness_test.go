package daemon

import "testing"

// A series of configuration changes withdraws the configuration repeatedly for a moment. This
// doesn't make a daemon unready; a volume lease without the configuration does, and a request to
// stop does so at once.
func TestConfigurationChangesKeepDaemonReady(t *testing.T) {
	d := openIsolated(t, withLongLeases)
	if d.Ready() {
		t.Error("ready although it never could serve")
	}
	d.readiness.ready.Store(true)
	d.member() // updates the time when it was last ready
	if d.canServe() || !d.Ready() {
		t.Errorf("can serve %v, ready %v", d.canServe(), d.Ready())
	}
	d.clock.Advance(d.Cfg.VolumeLease())
	if d.Ready() {
		t.Error("still ready a volume lease later")
	}
	d.member()
	if !d.Ready() {
		t.Error("did not become ready again")
	}
	if d.Leave(); d.Ready() {
		t.Error("ready although asked to stop")
	}
}
