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

// Kill sends SIGKILL to a daemon and waits for its end.
//
// Example: f.Kill(m); err := f.Restart(m)
func (f *Fleet) Kill(m *Machine) {
	f.beginTrouble(m, "killed", false)
	m.Kill()
}

// StartBeside freezes a machine's process and starts the next one beside it. The predecessor runs until
// kill is called.
//
// Example: kill, err := f.StartBeside(m); wait(); kill()
func (f *Fleet) StartBeside(m *Machine) (kill func(), err error) {
	f.beginTrouble(m, "killed", false)
	m.Signal(syscall.SIGSTOP)
	predecessor := m.Proc
	kill = func() {
		predecessor.Kill()
		f.endTroubles(m)
	}
	if err := f.writeSettings(m, false, m.seeds); err != nil {
		return kill, err
	}
	return kill, f.startDaemon(m)
}

// KillAll kills daemons at the same moment.
//
// Example: f.KillAll(f.Machines())
func (f *Fleet) KillAll(list []*Machine) {
	for _, m := range list {
		f.beginTrouble(m, "killed", false)
	}
	for _, m := range list {
		m.Signal(syscall.SIGKILL)
	}
	for _, m := range list {
		m.Kill()
	}
}

// Term sends SIGTERM to a daemon.
//
// Example: f.Term(m); track.Until(ctx, grace, func() bool { return !m.Up() })
func (f *Fleet) Term(m *Machine) {
	f.beginTrouble(m, "SIGTERM", true)
	m.Signal(syscall.SIGTERM)
}

// Freeze suspends a daemon with SIGSTOP until Thaw.
//
// Example: f.Freeze(m); wait(); f.Thaw(m)
func (f *Fleet) Freeze(m *Machine) {
	f.beginTrouble(m, "frozen", false)
	m.Signal(syscall.SIGSTOP)
}

// Thaw resumes a frozen daemon with SIGCONT.
//
// Example: f.Thaw(m)
func (f *Fleet) Thaw(m *Machine) {
	m.Signal(syscall.SIGCONT)
	f.endTroubles(m)
}

// DisconnectCore disconnects a core machine from the rest of the core in both
// directions. Other machines, clients and the operator still reach it.
//
// Example: err := f.DisconnectCore(m); err = f.Reconnect(m)
func (f *Fleet) DisconnectCore(m *Machine) error {
	var others []string
	for _, o := range f.Core() {
		if o != m {
			others = append(others, fmt.Sprintf("%s:%d", o.IP, firstPort))
		}
	}
	f.beginTrouble(m, "cut off", false)
	return f.block(m, others)
}

// Isolate disconnects a machine from all other machines. Clients and the operator
// still reach it.
//
// Example: err := f.Isolate(m); err = f.Reconnect(m)
func (f *Fleet) Isolate(m *Machine) error {
	f.beginTrouble(m, "cut off from all", false)
	return f.block(m, []string{"*"})
}

// BlockInbound drops everything that a machine receives from other machines, until
// UnblockInbound. The other machines still receive its messages.
//
// Example: err := f.BlockInbound(m); err = f.UnblockInbound(m)
func (f *Fleet) BlockInbound(m *Machine) error {
	f.beginTrouble(m, "hears no other", false)
	return f.Post(m, "/test/deaf", []byte(`["*"]`))
}

// UnblockInbound ends a BlockInbound.
//
// Example: err := f.UnblockInbound(m)
func (f *Fleet) UnblockInbound(m *Machine) error {
	err := f.Post(m, "/test/deaf", []byte("[]"))
	f.endTroubles(m)
	return err
}

// DelayMessages delays each message that a machine sends to others by up to a
// duration, so that messages may also be reordered, until StopDelays.
//
// Example: err := f.DelayMessages(m, 300*time.Millisecond); err = f.StopDelays(m)
func (f *Fleet) DelayMessages(m *Machine, most time.Duration) error {
	f.beginTrouble(m, "links slow", false)
	return f.Post(m, "/test/slow?for="+most.String(), nil)
}

// StopDelays ends a DelayMessages.
//
// Example: err := f.StopDelays(m)
func (f *Fleet) StopDelays(m *Machine) error {
	err := f.Post(m, "/test/slow?for=0s", nil)
	f.endTroubles(m)
	return err
}

// StallDisk delays every write to a machine's disk by a duration, until UnstallDisk.
//
// Example: err := f.StallDisk(m, 2*time.Second); err = f.UnstallDisk(m)
func (f *Fleet) StallDisk(m *Machine, by time.Duration) error {
	f.beginTrouble(m, "disk stalls", false)
	return f.Post(m, "/test/stall?for="+by.String(), nil)
}

// UnstallDisk ends a StallDisk.
//
// Example: err := f.UnstallDisk(m)
func (f *Fleet) UnstallDisk(m *Machine) error {
	err := f.Post(m, "/test/stall?for=0s", nil)
	f.endTroubles(m)
	return err
}

// SetDiskFull sets whether writes to a machine's disk fail because it is full.
//
// Example: err := f.SetDiskFull(m, true); err = f.SetDiskFull(m, false)
func (f *Fleet) SetDiskFull(m *Machine, full bool) error {
	if !full {
		err := f.Post(m, "/test/full?on=0", nil)
		f.endTroubles(m)
		return err
	}
	f.beginTrouble(m, "disk full", false)
	return f.Post(m, "/test/full?on=1", nil)
}

// Reload sends SIGHUP to a machine's daemon, which reloads its settings.
//
// Example: f.Reload(m)
func (f *Fleet) Reload(m *Machine) {
	t := &record.Disruption{Daemon: m.Name, What: "SIGHUP", From: f.log.Now(), Hup: true}
	f.log.Do(func(a *record.All) { a.Troubles = append(a.Troubles, t) })
	m.Signal(syscall.SIGHUP)
}

// Reconnect ends a DisconnectCore or an Isolate.
//
// Example: err := f.Reconnect(m)
func (f *Fleet) Reconnect(m *Machine) error {
	err := f.block(m, []string{})
	f.endTroubles(m)
	return err
}

// block drops all traffic between a daemon and the daemons at some addresses.
func (f *Fleet) block(m *Machine, from []string) error {
	b, err := json.Marshal(from)
	if err != nil {
		return Error.Wrap(err)
	}
	return f.Post(m, "/test/cut", b)
}

// Post posts to a path of a daemon's own interface, such as one of its test switches.
//
// Example: err := f.Post(m, "/test/full?on=1", nil)
func (f *Fleet) Post(m *Machine, path string, body []byte) error {
	res, err := f.web.Post(m.URL(path), "application/json", bytes.NewReader(body))
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return Error.New("%s answered POST %s with status %d", m.Name, path, res.StatusCode)
	}
	return nil
}

// DiskUse returns the size of the files on a machine's disk, in bytes.
//
// Example: if f.DiskUse(m) > 64<<20 { fail() }
func (f *Fleet) DiskUse(m *Machine) (size int64) {
	files, _ := os.ReadDir(f.dataFolder(m)) // an error means that the folder is being removed; count what is left
	for _, file := range files {
		if info, err := file.Info(); err == nil {
			size += info.Size()
		}
	}
	return size
}

// Wipe removes a daemon's data folder.
//
// Example: f.Kill(m); err := f.Wipe(m); err = f.Restart(m)
func (f *Fleet) Wipe(m *Machine) error { return Error.Wrap(os.RemoveAll(f.dataFolder(m))) }

// RestoreBackup replaces a daemon's state with a backup, as operators do.
//
// Example: f.Kill(m); err := f.RestoreBackup(m, "/safe/state-1.db"); err = f.Restart(m)
func (f *Fleet) RestoreBackup(m *Machine, file string) error {
	if err := f.Wipe(m); err != nil {
		return err
	}
	if err := os.MkdirAll(f.dataFolder(m), 0o700); err != nil {
		return Error.Wrap(err)
	}
	state, err := os.ReadFile(file)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(filepath.Join(f.dataFolder(m), "state.db"), state, 0o600))
}

// majorityLost is the marker file that the operators' documentation names.
const majorityLost = "majority-lost"

// MarkMajorityLost marks a machine's state as authoritative after the loss of a majority.
//
// Example: err := f.RestoreBackup(m, file); err = f.MarkMajorityLost(m)
func (f *Fleet) MarkMajorityLost(m *Machine) error {
	return Error.Wrap(os.WriteFile(filepath.Join(f.dataFolder(m), majorityLost), nil, 0o600))
}

// CopyFolder copies a daemon's data folder file by file, bypassing the daemon's own
// backup.
//
// Example: err := f.CopyFolder(m, dir)
func (f *Fleet) CopyFolder(m *Machine, to string) error {
	return Error.Wrap(os.CopyFS(to, os.DirFS(f.dataFolder(m))))
}

// RestoreFolder replaces a daemon's data folder with a copy of one.
//
// Example: f.Kill(m); err := f.RestoreFolder(m, dir); err = f.Restart(m)
func (f *Fleet) RestoreFolder(m *Machine, from string) error {
	if err := f.Wipe(m); err != nil {
		return err
	}
	return Error.Wrap(os.CopyFS(f.dataFolder(m), os.DirFS(from)))
}

// Remove kills a machine's daemon and removes the machine permanently.
//
// Example: f.Remove(m)
func (f *Fleet) Remove(m *Machine) {
	f.beginTrouble(m, "removed", false)
	m.Kill()
	f.mu.Lock()
	defer f.mu.Unlock()
	m.gone = true
}
