// Package track runs a whole fleet as real processes on one machine: daemons,
// stand-in servers and load, with kills, freezes, lost folders and cuts. It is
// the only thing here that starts processes.
package track

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"mulleinmast/control/daemon"
	"mulleinmast/control/fleetconfig"
	"mulleinmast/proof/history"
	"mulleinmast/proof/judge"
	"mulleinmast/proof/load"
	"mulleinmast/proof/platform"
)

// Layout is a deployment.
type Layout struct {
	Name     string
	Zones    []int // daemons in each zone; the first of each has a disk
	Services map[string]int
	Order    []string
}

// Layouts are the users' two deployments.
//
// Example: f, err := track.Start(dir, bin, track.Layouts["rangsit"], 20000)
var Layouts = map[string]Layout{
	"rangsit": {"rangsit", []int{4, 3, 3}, map[string]int{"timetable": 7, "yardnotes": 5}, []string{"timetable", "yardnotes"}},
	"pat":     {"pat", []int{3, 3, 3}, map[string]int{"dossiers": 5, "clerk": 4}, []string{"dossiers", "clerk"}},
}

// Proc is one process of the fleet.
type Proc struct {
	Name string
	Addr string // web address
	Wire string
	Zone string
	Data string
	args []string
	bin  string
	old  bool // runs the other build
	cmd  *exec.Cmd
	done chan struct{}
	log  string
}

// Fleet is a running fleet.
type Fleet struct {
	Dir         string
	Layout      Layout
	Daemons     []*Proc
	FakeServers []*Proc
	Svc         map[string][]fleetconfig.Server
	Recorder    *history.Recorder
	base        int
	bin         string
	web         *http.Client
	Plat        *platform.Platform
	Old         string // folder of another build's programs, for the scenario that mixes them
	plans       int
	mu          sync.Mutex
	files       []string
}

// Start starts a layout's daemons and servers and waits for nothing.
//
// Example: f, err := track.Start(dir, "bin", track.Layouts["pat"], 21000)
func Start(dir, bin string, l Layout, base int) (*Fleet, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	f := &Fleet{Dir: dir, Layout: l, Svc: map[string][]fleetconfig.Server{}, base: base, bin: bin, web: &http.Client{Timeout: 10 * time.Second}}
	f.Plat = platform.New(f.boxes)
	recorder, err := history.Open(filepath.Join(dir, "track.jsonl"))
	if err != nil {
		return nil, err
	}
	f.Recorder, f.files = recorder, []string{filepath.Join(dir, "track.jsonl")}
	i := 0
	var seeds []string
	for c, n := range l.Zones {
		for j := 0; j < n; j++ {
			p := &Proc{Name: fmt.Sprintf("box-%d", i), Wire: fmt.Sprintf("127.0.0.1:%d", base+i), Addr: fmt.Sprintf("127.0.0.1:%d", base+100+i), Zone: fmt.Sprintf("zone-%c", 'a'+c), bin: "mulleinmast"}
			if j == 0 {
				p.Data = filepath.Join(dir, p.Name)
				seeds = append(seeds, p.Wire)
			}
			f.Daemons = append(f.Daemons, p)
			i++
		}
	}
	for _, p := range f.Daemons {
		f.daemonArgs(p, seeds)
		if err := f.Up(p); err != nil {
			return f, err
		}
	}
	d := 0
	for _, svc := range l.Order {
		for k := 0; k < l.Services[svc]; k++ {
			p := &Proc{Name: fmt.Sprintf("fakeserver-%d", d), Addr: fmt.Sprintf("127.0.0.1:%d", base+200+d), Zone: fmt.Sprintf("zone-%c", 'a'+k%len(l.Zones)), bin: "fakeserver"}
			j := filepath.Join(dir, p.Name+".jsonl")
			f.files = append(f.files, j)
			p.args = []string{"-addr", p.Addr, "-zone", p.Zone, "-capacity", "8", "-journal", j}
			f.FakeServers = append(f.FakeServers, p)
			f.Svc[svc] = append(f.Svc[svc], fleetconfig.Server{Addr: p.Addr, Zone: p.Zone, Capacity: 8})
			if err := f.Up(p); err != nil {
				return f, err
			}
			d++
		}
	}
	return f, nil
}

// boxes is what the platform knows of the daemons.
func (f *Fleet) boxes() (out []platform.Box) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.Daemons {
		out = append(out, platform.Box{Addr: p.Addr, Zone: p.Zone})
	}
	return out
}

func (f *Fleet) daemonArgs(p *Proc, seeds []string) {
	p.args = []string{"-fleet", f.Layout.Name, "-wire", p.Wire, "-web", p.Addr, "-zone", p.Zone, "-seeds", strings.Join(seeds, ","), "-test-switches"}
	if p.Data != "" {
		p.args = append(p.args, "-data", p.Data)
	}
}

// Add makes a new daemon, with an empty folder if disk is set, seeded by the
// given wire addresses.
//
// Example: p, err := f.Add("zone-a", true, seeds)
func (f *Fleet) Add(zone string, disk bool, seeds []string) (*Proc, error) {
	i := len(f.Daemons)
	p := &Proc{Name: fmt.Sprintf("box-%d", i), Wire: fmt.Sprintf("127.0.0.1:%d", f.base+i), Addr: fmt.Sprintf("127.0.0.1:%d", f.base+100+i), Zone: zone, bin: "mulleinmast"}
	if disk {
		p.Data = filepath.Join(f.Dir, p.Name)
	}
	f.daemonArgs(p, seeds)
	err := f.Up(p)
	f.mu.Lock()
	f.Daemons = append(f.Daemons, p)
	f.mu.Unlock()
	return p, err
}

// Up starts a process (again).
//
// Example: err := f.Up(f.Daemons[0])
func (f *Fleet) Up(p *Proc) error {
	bin := f.bin
	if p.old {
		bin = f.Old
	}
	return p.Run(filepath.Join(bin, p.bin), p.args, nil, filepath.Join(f.Dir, p.Name+".log"))
}

// Run starts a program as this process; env is added to our own variables and
// its output to a file. It ends with us at the latest.
//
// Example: err := p.Run("bin/mulleinmast", nil, []string{"A=1"}, "run/box-1.log")
func (p *Proc) Run(program string, args, env []string, log string) error {
	p.log = log
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = out, out
	if env != nil {
		cmd.Env = append(os.Environ(), env...)
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() { _ = cmd.Wait(); close(done) }()
	return nil
}

// Signal sends a signal to a process.
//
// Example: f.Signal(p, syscall.SIGSTOP)
func (f *Fleet) Signal(p *Proc, s syscall.Signal) { p.Signal(s) }

// Signal sends it a signal.
//
// Example: p.Signal(syscall.SIGTERM)
func (p *Proc) Signal(s syscall.Signal) {
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// Kill kills a process and waits until it is gone.
//
// Example: f.Kill(f.Daemons[0])
func (f *Fleet) Kill(p *Proc) { p.Kill() }

// Kill kills it and waits until it is gone.
//
// Example: p.Kill()
func (p *Proc) Kill() {
	p.Signal(syscall.SIGKILL)
	if p.done != nil {
		<-p.done
	}
}

// Wipe removes a daemon's data folder.
//
// Example: f.Kill(p); f.Wipe(p); f.Up(p)
func (f *Fleet) Wipe(p *Proc) error { return os.RemoveAll(p.Data) }

// Stop kills everything.
//
// Example: defer f.Stop()
func (f *Fleet) Stop() {
	for _, p := range append(append([]*Proc(nil), f.Daemons...), f.FakeServers...) {
		f.Signal(p, syscall.SIGKILL)
	}
	for _, p := range append(append([]*Proc(nil), f.Daemons...), f.FakeServers...) {
		if p.done != nil {
			<-p.done
		}
	}
}

// Call makes an HTTP call and returns the status and the body.
//
// Example: code, body := f.Call("PUT", addr, "/v1/plan", plan)
func (f *Fleet) Call(method, addr, path string, in any) (int, []byte) {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return 0, []byte(err.Error())
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequest(method, "http://"+addr+path, body)
	if err != nil {
		return 0, []byte(err.Error())
	}
	res, err := f.web.Do(req)
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer func() { _ = res.Body.Close() }()
	b, _ := io.ReadAll(res.Body)
	return res.StatusCode, b
}

// Until waits for a condition, looking often; it says false after the limit.
//
// Example: ok := track.Until(ctx, 12*time.Second, func() bool { return f.Ready() == 10 })
func Until(ctx context.Context, limit time.Duration, cond func() bool) bool {
	end := time.Now().Add(limit)
	for !cond() {
		if time.Now().After(end) || ctx.Err() != nil {
			return false
		}
		t := time.NewTimer(20 * time.Millisecond)
		<-t.C
	}
	return true
}

// Ready counts the daemons that say they are ready.
//
// Example: f.Ready() == len(f.Daemons)
func (f *Fleet) Ready() int {
	n := 0
	for _, p := range f.Daemons {
		if code, _ := f.Call("GET", p.Addr, "/readyz", nil); code == 200 {
			n++
		}
	}
	return n
}

// State dumps a daemon.
//
// Example: st, ok := f.State(f.Daemons[0])
func (f *Fleet) State(p *Proc) (st daemon.State, ok bool) {
	code, b := f.Call("GET", p.Addr, "/v1/state", nil)
	return st, code == 200 && json.Unmarshal(b, &st) == nil
}

// Leader finds the daemon that holds a part.
//
// Example: p := f.Leader(0)
func (f *Fleet) Leader(partition int) *Proc {
	for _, p := range f.Daemons {
		if p.Data == "" {
			continue
		}
		if st, ok := f.State(p); ok && partition < len(st.Partitions) && st.Partitions[partition].Mine {
			return p
		}
	}
	return nil
}

// Plan is the stand-in plan of the layout.
//
// Example: f.Call("PUT", addr, "/v1/plan", f.Plan("id", 0))
func (f *Fleet) Plan(id string, base uint64) fleetconfig.Plan {
	p := fleetconfig.Plan{ID: id, Base: base}
	for _, t := range load.Tenants {
		p.Tenants = append(p.Tenants, fleetconfig.Tenant{Name: t.Name, Priority: t.Prio, Timeout: 10000, Queue: 0.6})
	}
	for _, s := range f.Layout.Order {
		p.Services = append(p.Services, fleetconfig.Service{Name: s, PrefillServers: 1, DecodeServers: 1})
	}
	return p
}

// Servers sends the platform's list of every service.
//
// Example: err := f.Servers(f.Daemons[0].Addr)
func (f *Fleet) Servers(addr string) error {
	for svc, list := range f.Svc {
		if code, b := f.Call("PUT", addr, "/v1/services/"+svc+"/servers", fleetconfig.List{Servers: list}); code != 200 {
			return fmt.Errorf("servers of %s: %d %s", svc, code, b)
		}
	}
	return nil
}

// Serving tells whether every service has a prefill server and a decode server up.
//
// Example: track.Until(ctx, limit, f.Serving)
func (f *Fleet) Serving() bool {
	seen := map[string]map[string]bool{}
	for _, p := range f.Daemons {
		st, ok := f.State(p)
		if !ok {
			continue
		}
		for _, partition := range st.Partitions {
			for _, r := range partition.Server {
				if r.Status == "up" && r.To == "" && (r.Part == "maker" || len(r.Pairs) > 0) {
					if seen[r.Service] == nil {
						seen[r.Service] = map[string]bool{}
					}
					seen[r.Service][r.Part] = true
				}
			}
		}
	}
	for _, s := range f.Layout.Order {
		if len(seen[s]) < 2 {
			return false
		}
	}
	return true
}

// Begin waits for the fleet, sends the plan and the lists, and waits until
// every service is served.
//
// Example: err := f.Begin(ctx)
func (f *Fleet) Begin(ctx context.Context) error {
	if !Until(ctx, 30*time.Second, func() bool { return f.Ready() == len(f.Daemons) }) {
		why := ""
		for _, p := range f.Daemons {
			if code, b := f.Call("GET", p.Addr, "/readyz", nil); code != 200 {
				st, _ := f.State(p)
				why += fmt.Sprintf("\n%s %s: %d %s", p.Name, p.Wire, code, b)
				if len(st.Partitions) > 0 {
					n := st.Partitions[0].Node
					why += fmt.Sprintf("  members %d, leader of part 0 %v, parent %v, lease %d ms", len(st.Members), st.Partitions[0].Leader, n.Parent, n.Left)
				}
			}
		}
		return fmt.Errorf("only %d of %d daemons became ready:%s", f.Ready(), len(f.Daemons), why)
	}
	last := f.Daemons[len(f.Daemons)-1].Addr
	code, b := f.Call("PUT", last, "/v1/plan", f.Plan("first", 0))
	f.told("first", 0, code, b)
	if code != 200 {
		return fmt.Errorf("plan: %d %s", code, b)
	}
	if err := f.Servers(last); err != nil {
		return err
	}
	if !Until(ctx, 30*time.Second, f.Serving) {
		return fmt.Errorf("servers did not come up")
	}
	return nil
}

// told writes down what an operator was told of a plan.
func (f *Fleet) told(id string, base uint64, code int, body []byte) (v fleetconfig.Verdict) {
	_ = json.Unmarshal(body, &v)
	if code != 0 {
		f.Recorder.Put(history.Event{Who: "operator", Ev: "plan", Plan: id, Base: base, Ver: v.Version, Result: v.Result})
	}
	return v
}

// Load runs a mix against daemons and returns the clients' journal.
//
// Example: ev := f.Load(ctx, load.Config{Rate: 50, For: 10 * time.Second})
func (f *Fleet) Load(ctx context.Context, c load.Config) []history.Event {
	f.mu.Lock()
	f.plans++
	path := filepath.Join(f.Dir, fmt.Sprintf("loadgen-%d.jsonl", f.plans))
	f.files = append(f.files, path)
	f.mu.Unlock()
	c.Mix = f.Layout.Name
	if c.Targets == nil {
		c.Pick = f.Plat.Pick
		for i := range f.Layout.Zones {
			c.Zones = append(c.Zones, fmt.Sprintf("zone-%c", 'a'+i))
		}
	}
	if c.Most == 0 {
		c.Most = 100000
	}
	if c.Timeout == 0 {
		c.Timeout = 10 * time.Second
	}
	recorder, err := history.Open(path)
	if err != nil {
		panic(err)
	}
	load.Run(ctx, c, recorder)
	ev, err := history.Read(path)
	if err != nil {
		panic(err)
	}
	return ev
}

// Verdict joins all journals and names the rules broken.
//
// Example: rows := f.Verdict()
func (f *Fleet) Verdict() ([]judge.Break, int) {
	var all []history.Event
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.files {
		ev, err := history.Read(p)
		if err != nil {
			return []judge.Break{{Rule: "journal", What: err.Error()}}, 0
		}
		all = append(all, ev...)
	}
	return judge.All(all, judge.Default()), len(all)
}

// Numbers sums the daemons' counters.
//
// Example: n := f.Numbers()
func (f *Fleet) Numbers() map[string]int64 {
	sum := map[string]int64{}
	for _, p := range f.Daemons {
		st, ok := f.State(p)
		if !ok {
			continue
		}
		c, _ := st.Extra["counts"].(map[string]any)
		for k, v := range c {
			x, _ := v.(float64)
			sum[k] += int64(x)
		}
	}
	return sum
}
