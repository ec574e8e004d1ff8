package daemon

import "testing"

// A daemon stays ready while a series of configuration changes repeatedly withdraws the configuration
// for a moment. It becomes unready after a volume lease without the configuration, and immediately
// after a request to stop.
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
