package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"mulleinmast/proof/standin/record"
)

// Kill kills a daemon at once.
//
// Example: f.Kill(m); f.Up(m)
func (f *Fleet) Kill(m *Machine) {
	f.begin(m, "killed", false)
	m.Kill()
}

// KillAll kills daemons at the same moment.
//
// Example: f.KillAll(f.Machines())
func (f *Fleet) KillAll(list []*Machine) {
	for _, m := range list {
		f.begin(m, "killed", false)
	}
	for _, m := range list {
		m.Signal(syscall.SIGKILL)
	}
	for _, m := range list {
		m.Kill()
	}
}

// Term asks a daemon to end.
//
// Example: f.Term(m); track.Until(ctx, grace, func() bool { return !m.Up() })
func (f *Fleet) Term(m *Machine) {
	f.begin(m, "SIGTERM", true)
	m.Signal(syscall.SIGTERM)
}

// Freeze stops a daemon where it stands; Thaw lets it go on.
//
// Example: f.Freeze(m); wait(); f.Thaw(m)
func (f *Fleet) Freeze(m *Machine) {
	f.begin(m, "frozen", false)
	m.Signal(syscall.SIGSTOP)
}

// Thaw lets a frozen daemon go on.
//
// Example: f.Thaw(m)
func (f *Fleet) Thaw(m *Machine) {
	m.Signal(syscall.SIGCONT)
	f.end(m)
}

// Cut cuts a core machine off from the rest of the core, both ways; the other
// machines, clients and the operator still reach it.
//
// Example: err := f.Cut(m); err = f.Join(m)
func (f *Fleet) Cut(m *Machine) error {
	var others []string
	for _, o := range f.Core() {
		if o != m {
			others = append(others, fmt.Sprintf("%s:%d", o.IP, firstPort))
		}
	}
	f.begin(m, "cut off", false)
	return f.sever(m, others)
}

// Isolate cuts a machine off from all other machines; clients and the operator
// still reach it.
//
// Example: err := f.Isolate(m); err = f.Join(m)
func (f *Fleet) Isolate(m *Machine) error {
	f.begin(m, "cut off from all", false)
	return f.sever(m, []string{"*"})
}

// Deafen has a machine hear nothing of the other machines, which hear it still;
// Hear ends it.
//
// Example: err := f.Deafen(m); err = f.Hear(m)
func (f *Fleet) Deafen(m *Machine) error {
	f.begin(m, "hears no other", false)
	return f.Test(m, "/test/deaf", []byte(`["*"]`))
}

// Hear ends a Deafen.
//
// Example: err := f.Hear(m)
func (f *Fleet) Hear(m *Machine) error {
	err := f.Test(m, "/test/deaf", []byte("[]"))
	f.end(m)
	return err
}

// Slow has what a machine sends to others be up to so long on its way, in any
// order, Quicken no more.
//
// Example: err := f.Slow(m, 300*time.Millisecond); err = f.Quicken(m)
func (f *Fleet) Slow(m *Machine, most time.Duration) error {
	f.begin(m, "links slow", false)
	return f.Test(m, "/test/slow?for="+most.String(), nil)
}

// Quicken ends a Slow.
//
// Example: err := f.Quicken(m)
func (f *Fleet) Quicken(m *Machine) error {
	err := f.Test(m, "/test/slow?for=0s", nil)
	f.end(m)
	return err
}

// Stall has every write to a machine's disk take so much longer, Unstall no more.
//
// Example: err := f.Stall(m, 2*time.Second); err = f.Unstall(m)
func (f *Fleet) Stall(m *Machine, by time.Duration) error {
	f.begin(m, "disk stalls", false)
	return f.Test(m, "/test/stall?for="+by.String(), nil)
}

// Unstall ends a Stall.
//
// Example: err := f.Unstall(m)
func (f *Fleet) Unstall(m *Machine) error {
	err := f.Test(m, "/test/stall?for=0s", nil)
	f.end(m)
	return err
}

// Full has a machine's disk take no more bytes, or again.
//
// Example: err := f.Full(m, true); err = f.Full(m, false)
func (f *Fleet) Full(m *Machine, full bool) error {
	if !full {
		err := f.Test(m, "/test/full?on=0", nil)
		f.end(m)
		return err
	}
	f.begin(m, "disk full", false)
	return f.Test(m, "/test/full?on=1", nil)
}

// Hup tells a machine that its settings have changed.
//
// Example: f.Hup(m)
func (f *Fleet) Hup(m *Machine) {
	t := &record.Trouble{Daemon: m.Name, What: "SIGHUP", From: f.log.Now(), Hup: true}
	f.log.Do(func(a *record.All) { a.Troubles = append(a.Troubles, t) })
	m.Signal(syscall.SIGHUP)
}

// Join ends a cut.
//
// Example: err := f.Join(m)
func (f *Fleet) Join(m *Machine) error {
	err := f.sever(m, []string{})
	f.end(m)
	return err
}

// sever has a daemon neither send to nor hear other daemons at some addresses.
func (f *Fleet) sever(m *Machine, from []string) error {
	b, err := json.Marshal(from)
	if err != nil {
		return Error.Wrap(err)
	}
	return f.Test(m, "/test/cut", b)
}

// Test throws one of a daemon's switches for tests.
//
// Example: err := f.Test(m, "/test/full?on=1", nil)
func (f *Fleet) Test(m *Machine, path string, body []byte) error {
	res, err := f.web.Post(m.Own(path), "application/json", bytes.NewReader(body))
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return Error.New("%s does not take %s: %d", m.Name, path, res.StatusCode)
	}
	return nil
}

// DiskUse is what a machine's disk holds, in bytes.
//
// Example: if f.DiskUse(m) > 64<<20 { fail() }
func (f *Fleet) DiskUse(m *Machine) (size int64) {
	files, _ := os.ReadDir(f.folder(m)) // a folder that is being removed holds less
	for _, file := range files {
		if info, err := file.Info(); err == nil {
			size += info.Size()
		}
	}
	return size
}

// Wipe removes a daemon's disk.
//
// Example: f.Kill(m); err := f.Wipe(m); err = f.Up(m)
func (f *Fleet) Wipe(m *Machine) error { return Error.Wrap(os.RemoveAll(f.folder(m))) }

// PutBack puts a back-up in the place of a daemon's state, as operators do.
//
// Example: f.Kill(m); err := f.PutBack(m, "/safe/state-1.db"); err = f.Up(m)
func (f *Fleet) PutBack(m *Machine, file string) error {
	if err := f.Wipe(m); err != nil {
		return err
	}
	if err := os.MkdirAll(f.folder(m), 0o700); err != nil {
		return Error.Wrap(err)
	}
	state, err := os.ReadFile(file)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(filepath.Join(f.folder(m), "state.db"), state, 0o600))
}

// majorityLost is the file that the operators' page names.
const majorityLost = "majority-lost"

// SayMajorityLost says beside a back-up that it is the state that is left.
//
// Example: err := f.PutBack(m, file); err = f.SayMajorityLost(m)
func (f *Fleet) SayMajorityLost(m *Machine) error {
	return Error.Wrap(os.WriteFile(filepath.Join(f.folder(m), majorityLost), nil, 0o600))
}

// CopyFolder copies a daemon's data folder as it stands, by other means than the
// daemon's own back-up.
//
// Example: err := f.CopyFolder(m, dir)
func (f *Fleet) CopyFolder(m *Machine, to string) error {
	return Error.Wrap(os.CopyFS(to, os.DirFS(f.folder(m))))
}

// PutFolder puts a copy of a data folder in the place of what a daemon has.
//
// Example: f.Kill(m); err := f.PutFolder(m, dir); err = f.Up(m)
func (f *Fleet) PutFolder(m *Machine, from string) error {
	if err := f.Wipe(m); err != nil {
		return err
	}
	return Error.Wrap(os.CopyFS(f.folder(m), os.DirFS(from)))
}

// Remove takes a machine away for good.
//
// Example: f.Remove(m)
func (f *Fleet) Remove(m *Machine) {
	f.begin(m, "removed", false)
	m.Kill()
	f.mu.Lock()
	defer f.mu.Unlock()
	m.gone = true
}
