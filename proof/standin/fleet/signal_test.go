package fleet

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"mulleinmast/proof/standin/record"
	"mulleinmast/proof/standin/rules"
	"mulleinmast/proof/track"
)

// mostWait is how long a process may take for what should come soon.
const mostWait = 10 * time.Second

// alone is a fleet of one machine, whose process does not run yet.
func alone(t *testing.T) (*Fleet, *Machine) {
	t.Helper()
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", dir+"/", "mulleinmast/cmd/mulleinmast").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	at, err := Net()
	if err != nil {
		t.Fatal(err)
	}
	bounds := rules.Bounds{
		InTouch: 3 * time.Second, Drain: 3 * time.Second, Grace: 8 * time.Second, Apply: 2 * time.Second, Evacuate: 5 * time.Second, Recovery: 12 * time.Second,
		Lease: 3 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second, ColdOverrun: 1.5,
	}
	f := New(Config{Dir: dir, Program: filepath.Join(dir, "mulleinmast"), Net: at, Zones: []string{"north"}, PerZone: 1, Bounds: bounds, Ack: 4 * time.Second, Cloud: at + ".250:8266", Rate: 42}, record.New())
	t.Cleanup(f.Stop)
	return f, f.Machines()[0]
}

// listens tells whether a daemon answers on its own interface.
func listens(m *Machine) bool {
	res, err := http.Get(m.Own("/livez"))
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// begin has a process start whose settings file holds it up at its first step:
// the test writes the file once something else has happened.
func begin(t *testing.T, f *Fleet, m *Machine) (settings *os.File) {
	t.Helper()
	if err := syscall.Mkfifo(f.settings(m), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := f.run(m); err != nil {
		t.Fatal(err)
	}
	opened := make(chan *os.File, 1)
	go func() {
		if file, err := os.OpenFile(f.settings(m), os.O_WRONLY, 0); err == nil {
			opened <- file // the process has opened it to read
		}
	}()
	select {
	case file := <-opened:
		return file
	case <-time.After(mostWait):
		t.Fatal("the settings are not read")
		return nil
	}
}

// A reload that comes while a daemon starts is no order to end: settings change
// whenever the platform likes, and a start takes as long as its disk does.
func TestAReloadDuringTheStart(t *testing.T) {
	f, m := alone(t)
	m.seeds = []string{m.ControlAddr()}
	file := begin(t, f, m)
	m.Signal(syscall.SIGHUP)
	if track.Until(context.Background(), 300*time.Millisecond, func() bool { return !m.Up() }) {
		t.Fatal("the process has ended")
	}
	if _, err := file.WriteString(f.text(m, true)); err != nil {
		t.Fatal(err)
	}
	_ = file.Close()
	if !track.Until(context.Background(), mostWait, func() bool { return listens(m) }) {
		text, _ := os.ReadFile(f.LogOf(m))
		t.Errorf("it runs: %v, and does not listen\n%s", m.Up(), text)
	}
}

// An order to end that comes while a daemon starts, wherever the start is held
// up, ends it.
func TestAStopDuringTheStart(t *testing.T) {
	f, m := alone(t)
	file := begin(t, f, m)
	defer func() { _ = file.Close() }()
	m.Signal(syscall.SIGTERM)
	if !track.Until(context.Background(), mostWait, func() bool { return !m.Up() }) {
		t.Error("the process still runs")
	}
}

// A second SIGTERM is the same order once more: what is under way still ends in
// its time, and the platform still sees that the daemon is not ready.
func TestASecondStopCutsNothingOff(t *testing.T) {
	m := started(t, 0)
	from := time.Now()
	m.Signal(syscall.SIGTERM)
	if !track.Until(context.Background(), mostWait, func() bool {
		res, err := http.Get(m.Own("/readyz"))
		return err == nil && res.Body.Close() == nil && res.StatusCode == 503
	}) {
		t.Error("it is still ready")
	}
	m.Signal(syscall.SIGTERM)
	if !track.Until(context.Background(), mostWait, func() bool { return !m.Up() }) {
		t.Fatal("it still runs")
	}
	// The platform asks each second, and two misses take a machine out.
	if took := time.Since(from); took < 2*time.Second {
		t.Errorf("it ended after %v, before the platform could see that it is not ready", took)
	}
}
