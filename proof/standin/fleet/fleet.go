// Package fleet runs daemons as real processes that are booted as the platform
// boots them: a settings file each, an address of its own in loopback and ports
// that are alike on all.
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
)

// Error is the class of faults in running a fleet.
var Error = errs.Class("stand-in fleet")

// The ports, alike on all machines.
const (
	controlPort   = 8262
	publicPort    = 8263
	readinessPort = 8268
	firstPort     = 7300
	lastPort      = 7315
)

// Config is a fleet.
type Config struct {
	Dir     string
	Program string
	Old     string // another build, which every other life of a machine runs; none: one build runs
	Net     string // the first three numbers of its addresses
	Zones   []string
	PerZone int // machines in each zone; the first of each has a disk
	Bounds  rules.Bounds
	Ack     time.Duration
	Cloud   string // address of the list
	Lag     time.Duration
	Rate    float64
	Files   int // descriptors of a process; 0: as the users' sheets say
}

// Machine is one machine with its daemon.
type Machine struct {
	track.Proc
	IP, Zone string
	Core     bool
	life     int
	troubles []*record.Trouble // that go on
	seeds    []string
	gone     bool // removed for good
}

// Fleet is a running fleet.
type Fleet struct {
	Config
	log *record.Log
	web *http.Client

	mu   sync.Mutex
	list []*Machine
}

// Net finds three numbers of addresses in loopback that nobody uses.
//
// Example: cfg.Net, err = fleet.Net()
func Net() (string, error) {
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
	return "", Error.New("no free addresses in loopback")
}

// New lays a fleet out; nothing runs yet.
//
// Example: f := fleet.New(cfg, log); err := f.Start()
func New(c Config, log *record.Log) *Fleet {
	f := &Fleet{Config: c, log: log, web: &http.Client{Timeout: 2 * time.Second}}
	for range c.PerZone {
		for _, z := range c.Zones {
			f.add(z, len(f.list) < len(c.Zones))
		}
	}
	return f
}

func (f *Fleet) add(zone string, core bool) *Machine {
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
		if err := f.write(m, true, seeds); err != nil {
			return err
		}
		if err := f.run(m); err != nil {
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

// All lists the machines, those that were taken away for good too.
//
// Example: for _, m := range f.All() { search(f.LogOf(m)) }
func (f *Fleet) All() []*Machine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.list)
}

// Core lists those with a disk.
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

// Daemons lists the daemons as the platform knows them.
//
// Example: door := entry.New(f.Daemons)
func (f *Fleet) Daemons() (out []entry.Daemon) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.list {
		if !m.gone {
			out = append(out, entry.Daemon{
				Name: m.Name, Zone: m.Zone, Public: fmt.Sprintf("%s:%d", m.IP, publicPort), Readiness: fmt.Sprintf("%s:%d", m.IP, readinessPort),
				Steer: fmt.Sprintf("%s:%d", m.IP, controlPort), Life: m.life,
			})
		}
	}
	return out
}

func (f *Fleet) settings(m *Machine) string { return filepath.Join(f.Dir, m.Name+".toml") }
func (f *Fleet) folder(m *Machine) string   { return filepath.Join(f.Dir, m.Name+"-data") }

// write writes a machine's settings file.
func (f *Fleet) write(m *Machine, first bool, seeds []string) error {
	m.seeds = seeds
	return Error.Wrap(os.WriteFile(f.settings(m), []byte(f.text(m, first)), 0o600))
}

func (f *Fleet) run(m *Machine) error {
	f.mu.Lock()
	m.life++
	f.mu.Unlock()
	err := m.Run(f.build(m), []string{"-say", "-test-switches"}, []string{variable + "=" + f.settings(m)}, f.LogOf(m))
	if err == nil && f.Files > 0 {
		err = m.Limit(f.Files)
	}
	return Error.Wrap(err)
}

// build is the program of a machine's present life. With two builds each machine
// changes from one to the other at every start, and half of them run each.
func (f *Fleet) build(m *Machine) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.Old != "" && (m.life+slices.Index(f.list, m))%2 == 0 {
		return f.Old
	}
	return f.Program
}

// begin records that trouble begins.
func (f *Fleet) begin(m *Machine, what string, planned bool) {
	t := &record.Trouble{Daemon: m.Name, Core: m.Core, What: what, From: f.log.Now(), Planned: planned}
	f.log.Do(func(a *record.All) { a.Troubles = append(a.Troubles, t) })
	f.mu.Lock()
	defer f.mu.Unlock()
	m.troubles = append(m.troubles, t)
}

func (f *Fleet) end(m *Machine) {
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

// LogOf is the file that a machine's process writes its lines to.
//
// Example: text, err := os.ReadFile(f.LogOf(m))
func (f *Fleet) LogOf(m *Machine) string { return filepath.Join(f.Dir, m.Name+".log") }

// Own is the address of a path of the product's own interface.
//
// Example: res, err := http.Get(m.Own("/metrics"))
func (m *Machine) Own(path string) string {
	return fmt.Sprintf("http://%s:%d%s", m.IP, firstPort+1, path)
}

// ControlAddr is where a machine's daemon serves control.
//
// Example: http.Get("http://" + m.ControlAddr() + "/v1/config")
func (m *Machine) ControlAddr() string { return fmt.Sprintf("%s:%d", m.IP, controlPort) }

// Up starts a daemon again, which is no first start.
//
// Example: err := f.Up(m)
func (f *Fleet) Up(m *Machine) error {
	if err := f.write(m, false, m.seeds); err != nil {
		return err
	}
	err := f.run(m)
	f.end(m)
	return err
}

// Add adds a machine that starts empty.
//
// Example: m, err := f.Add("north", true)
func (f *Fleet) Add(zone string, core bool) (*Machine, error) { return f.join(zone, core, "") }

// AddFrom adds a machine that starts with a copy of a data folder.
//
// Example: m, err := f.AddFrom("north", dir)
func (f *Fleet) AddFrom(zone, folder string) (*Machine, error) { return f.join(zone, true, folder) }

func (f *Fleet) join(zone string, core bool, folder string) (*Machine, error) {
	f.mu.Lock()
	m := f.add(zone, core)
	for _, seed := range f.list {
		if !seed.gone && seed != m && len(m.seeds) < 3 {
			m.seeds = append(m.seeds, seed.ControlAddr())
		}
	}
	f.mu.Unlock()
	f.begin(m, "added", false)
	if folder != "" {
		if err := f.PutFolder(m, folder); err != nil {
			return m, err
		}
	}
	if err := f.write(m, false, m.seeds); err != nil {
		return m, err
	}
	err := f.run(m)
	f.end(m)
	return m, err
}

// Seed tells all daemons of other seeds, by SIGHUP.
//
// Example: err := f.Seed(f.Machines()[3:6])
func (f *Fleet) Seed(by []*Machine) error {
	var seeds []string
	for _, m := range by {
		seeds = append(seeds, fmt.Sprintf("%s:%d", m.IP, controlPort))
	}
	for _, m := range f.Machines() {
		if err := f.write(m, false, seeds); err != nil {
			return err
		}
		if m.Up() {
			f.Hup(m)
		}
	}
	return nil
}

// State asks a daemon by the product's own interface.
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

// Leader finds the daemon that holds a part.
//
// Example: m := f.Leader(0)
func (f *Fleet) Leader(partition int) *Machine { return f.LeaderBut(partition, nil) }

// LeaderBut finds the daemon that holds a part, passing one machine over.
//
// Example: next := f.LeaderBut(0, cutOff)
func (f *Fleet) LeaderBut(partition int, but *Machine) *Machine {
	for _, m := range f.Core() {
		if m == but {
			continue
		}
		if st, ok := f.State(m); ok && partition < len(st.Partitions) && st.Partitions[partition].LedHere {
			return m
		}
	}
	return nil
}
