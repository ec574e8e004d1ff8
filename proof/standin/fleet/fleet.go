// Package fleet runs daemons as real processes, started as the platform starts
// them: each has its own settings file and loopback address, and all use the same
// ports.
package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"mulleinmast/control/daemon"
	"mulleinmast/proof/standin/entry"
	"mulleinmast/proof/standin/record"
	"mulleinmast/proof/standin/rules"
	"mulleinmast/proof/track"
	"mulleinmast/wire/httpresponse"
)

// Error is the class of errors in running a fleet.
var Error = errs.Class("stand-in fleet")

// Ports, the same on all machines.
const (
	controlPort   = 8262
	publicPort    = 8263
	readinessPort = 8268
	firstPort     = 7300
	lastPort      = 7315
)

// Config describes a fleet.
type Config struct {
	Dir     string
	Program string
	Old     string // another build that alternates with Program at each start of a machine; empty: none
	Net     string // the first three octets of its addresses
	Zones   []string
	PerZone int // machines in each zone; the first of each has a disk
	Bounds  rules.Bounds
	Ack     time.Duration
	Cloud   string // address of the server list
	Lag     time.Duration
	Rate    float64
	Files   int // open-file limit of a process; 0: the usual limit of the platform
}

// Machine is a machine and its daemon.
type Machine struct {
	track.Proc
	IP, Zone string
	Core     bool
	life     int
	troubles []*record.Disruption // in progress
	seeds    []string
	gone     bool // removed permanently
}

// Fleet is a running fleet.
type Fleet struct {
	Config
	log *record.Log
	web *http.Client

	mu   sync.Mutex
	list []*Machine
}

// FreeNet returns the first three octets of an unused loopback network.
//
// Example: cfg.Net, err = fleet.FreeNet()
func FreeNet() (string, error) {
	for range 200 {
		n := fmt.Sprintf("127.%d.%d", 16+rand.Intn(100), 1+rand.Intn(250))
		free := true
		for _, at := range []string{fmt.Sprintf("%s.1:%d", n, controlPort), fmt.Sprintf("%s.1:%d", n, firstPort)} {
			ln, err := net.Listen("tcp4", at)
			if free = free && err == nil; err == nil {
				_ = ln.Close()
			}
		}
		if free {
			return n, nil
		}
	}
	return "", Error.New("no free loopback network found in 200 attempts")
}

// New creates a fleet without starting its processes.
//
// Example: f := fleet.New(cfg, log); err := f.Start()
func New(c Config, log *record.Log) *Fleet {
	f := &Fleet{Config: c, log: log, web: httpresponse.NewClient(2 * time.Second)}
	for range c.PerZone {
		for _, z := range c.Zones {
			f.addMachine(z, len(f.list) < len(c.Zones))
		}
	}
	return f
}

func (f *Fleet) addMachine(zone string, core bool) *Machine {
	n := len(f.list) + 1
	m := &Machine{IP: fmt.Sprintf("%s.%d", f.Net, n), Zone: zone, Core: core}
	m.Name = fmt.Sprint("front-", n)
	f.list = append(f.list, m)
	return m
}

// Start starts all machines for the first time.
//
// Example: err := f.Start()
func (f *Fleet) Start() error {
	var seeds []string
	for _, m := range f.list {
		if m.Core {
			seeds = append(seeds, fmt.Sprintf("%s:%d", m.IP, controlPort))
		}
	}
	for _, m := range f.list {
		if err := f.writeSettings(m, true, seeds); err != nil {
			return err
		}
		if err := f.startDaemon(m); err != nil {
			return err
		}
	}
	return nil
}

// Stop kills everything.
//
// Example: defer f.Stop()
func (f *Fleet) Stop() {
	for _, m := range f.Machines() {
		m.Signal(syscall.SIGKILL)
	}
	for _, m := range f.Machines() {
		m.Kill()
	}
}

// Machines lists the machines that were not removed.
//
// Example: for _, m := range f.Machines() { f.Kill(m) }
func (f *Fleet) Machines() (out []*Machine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.list {
		if !m.gone {
			out = append(out, m)
		}
	}
	return out
}

// All lists the machines, including removed ones.
//
// Example: for _, m := range f.All() { search(f.LogOf(m)) }
func (f *Fleet) All() []*Machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.list)
}

// Core lists the machines of the core, which have a disk.
//
// Example: m := f.Core()[0]
func (f *Fleet) Core() (out []*Machine) {
	for _, m := range f.Machines() {
		if m.Core {
			out = append(out, m)
		}
	}
	return out
}

// Daemons lists the daemons as the platform sees them.
//
// Example: e := entry.New(f.Daemons)
func (f *Fleet) Daemons() (out []entry.Daemon) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.list {
		if !m.gone {
			out = append(out, entry.Daemon{
				Name: m.Name, Zone: m.Zone, Public: fmt.Sprintf("%s:%d", m.IP, publicPort), Readiness: fmt.Sprintf("%s:%d", m.IP, readinessPort),
				Admin: fmt.Sprintf("%s:%d", m.IP, controlPort), Life: m.life,
			})
		}
	}
	return out
}

func (f *Fleet) settingsPath(m *Machine) string { return filepath.Join(f.Dir, m.Name+".toml") }
func (f *Fleet) dataFolder(m *Machine) string   { return filepath.Join(f.Dir, m.Name+"-data") }

// writeSettings writes a machine's settings file.
func (f *Fleet) writeSettings(m *Machine, first bool, seeds []string) error {
	m.seeds = seeds
	return Error.Wrap(os.WriteFile(f.settingsPath(m), []byte(f.settingsText(m, first)), 0o600))
}

func (f *Fleet) startDaemon(m *Machine) error {
	f.mu.Lock()
	m.life++
	f.mu.Unlock()
	err := m.Run(f.programOf(m), []string{"-say", "-test-switches"},
		[]string{bootVariable + "=" + f.settingsPath(m)}, f.LogOf(m))
	if err == nil && f.Files > 0 {
		err = m.Limit(f.Files)
	}
	return Error.Wrap(err)
}

// programOf returns the program for a machine's current start. With two builds each machine
// alternates between them, and at any time about half of the machines run each.
func (f *Fleet) programOf(m *Machine) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.Old != "" && (m.life+slices.Index(f.list, m))%2 == 0 {
		return f.Old
	}
	return f.Program
}

// beginTrouble records the start of a trouble.
func (f *Fleet) beginTrouble(m *Machine, what string, planned bool) {
	t := &record.Disruption{Daemon: m.Name, Core: m.Core, What: what, From: f.log.Now(), Planned: planned}
	f.log.Do(func(a *record.All) { a.Troubles = append(a.Troubles, t) })
	f.mu.Lock()
	defer f.mu.Unlock()
	m.troubles = append(m.troubles, t)
}

// endTroubles records the end of all troubles of a machine.
func (f *Fleet) endTroubles(m *Machine) {
	f.mu.Lock()
	list := m.troubles
	m.troubles = nil
	f.mu.Unlock()
	f.log.Do(func(*record.All) {
		for _, t := range list {
			t.To = f.log.Now()
		}
	})
}

// LogOf returns the path of a machine's log file.
//
// Example: text, err := os.ReadFile(f.LogOf(m))
func (f *Fleet) LogOf(m *Machine) string { return filepath.Join(f.Dir, m.Name+".log") }

// URL returns the URL of a path of the daemon's own interface.
//
// Example: res, err := http.Get(m.URL("/metrics"))
func (m *Machine) URL(path string) string {
	return fmt.Sprintf("http://%s:%d%s", m.IP, firstPort+1, path)
}

// ControlAddr returns the address of a daemon's control interface.
//
// Example: http.Get("http://" + m.ControlAddr() + "/v1/config")
func (m *Machine) ControlAddr() string { return fmt.Sprintf("%s:%d", m.IP, controlPort) }

// Restart starts a daemon again, with settings that say that it is not a first start.
//
// Example: err := f.Restart(m)
func (f *Fleet) Restart(m *Machine) error {
	if err := f.writeSettings(m, false, m.seeds); err != nil {
		return err
	}
	err := f.startDaemon(m)
	f.endTroubles(m)
	return err
}

// Add adds a machine and starts it with an empty disk.
//
// Example: m, err := f.Add("north", true)
func (f *Fleet) Add(zone string, core bool) (*Machine, error) { return f.addAndStart(zone, core, "") }

// AddFrom adds a core machine and starts it with a copy of a data folder.
//
// Example: m, err := f.AddFrom("north", dir)
func (f *Fleet) AddFrom(zone, folder string) (*Machine, error) {
	return f.addAndStart(zone, true, folder)
}

func (f *Fleet) addAndStart(zone string, core bool, folder string) (*Machine, error) {
	f.mu.Lock()
	m := f.addMachine(zone, core)
	for _, seed := range f.list {
		if !seed.gone && seed != m && len(m.seeds) < 3 {
			m.seeds = append(m.seeds, seed.ControlAddr())
		}
	}
	f.mu.Unlock()
	f.beginTrouble(m, "added", false)
	if folder != "" {
		if err := f.RestoreFolder(m, folder); err != nil {
			return m, err
		}
	}
	if err := f.writeSettings(m, false, m.seeds); err != nil {
		return m, err
	}
	err := f.startDaemon(m)
	f.endTroubles(m)
	return m, err
}

// SetSeeds changes the seeds in the settings of all machines and reloads their daemons.
//
// Example: err := f.SetSeeds(f.Machines()[3:6])
func (f *Fleet) SetSeeds(to []*Machine) error {
	var seeds []string
	for _, m := range to {
		seeds = append(seeds, fmt.Sprintf("%s:%d", m.IP, controlPort))
	}
	for _, m := range f.Machines() {
		if err := f.writeSettings(m, false, seeds); err != nil {
			return err
		}
		if m.Up() {
			f.Reload(m)
		}
	}
	return nil
}

// State reads a daemon's state from its own interface.
//
// Example: st, ok := f.State(m)
func (f *Fleet) State(m *Machine) (st daemon.State, ok bool) {
	res, err := f.web.Get(fmt.Sprintf("http://%s:%d/v1/state", m.IP, firstPort+1))
	if err != nil {
		return st, false
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	return st, err == nil && res.StatusCode == http.StatusOK && json.Unmarshal(b, &st) == nil
}

// Leader returns the machine that leads a partition, or nil.
//
// Example: m := f.Leader(0)
func (f *Fleet) Leader(partition int) *Machine { return f.LeaderExcept(partition, nil) }

// LeaderExcept returns the machine that leads a partition, ignoring one machine, or nil.
//
// Example: next := f.LeaderExcept(0, disconnected)
func (f *Fleet) LeaderExcept(partition int, ignored *Machine) *Machine {
	for _, m := range f.Core() {
		if m == ignored {
			continue
		}
		if st, ok := f.State(m); ok && partition < len(st.Partitions) && st.Partitions[partition].LedHere {
			return m
		}
	}
	return nil
}
