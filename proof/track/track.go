// Package track runs a complete fleet as real processes on one machine: daemons, fake
// servers and load, with injected failures such as kills, freezes, lost data folders
// and network partitions.
package track

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"mulleinmast/control/daemon"
	"mulleinmast/control/fleetconfig"
	"mulleinmast/proof/history"
	"mulleinmast/proof/platform"
	"mulleinmast/wire/httpresponse"
)

// Layout describes a deployment.
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

// Fleet is a running fleet.
type Fleet struct {
	Dir         string
	Layout      Layout
	Daemons     []*Proc
	FakeServers []*Proc
	ServersOf   map[string][]fleetconfig.Server // by service
	Recorder    *history.Recorder
	basePort    int
	bin         string
	client      *http.Client
	Platform    *platform.Platform
	OtherBuild  string // folder with the programs of another build, for the scenario "versions"
	loads       int    // load runs started
	mu          sync.Mutex
	histories   []string // paths
}

// Start starts a layout's daemons and fake servers. It does not wait until they are
// ready.
//
// Example: f, err := track.Start(dir, "bin", track.Layouts["pat"], 21000)
func Start(dir, bin string, l Layout, basePort int) (*Fleet, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	f := &Fleet{Dir: dir, Layout: l, ServersOf: map[string][]fleetconfig.Server{}, basePort: basePort, bin: bin, client: httpresponse.NewClient(10 * time.Second)}
	f.Platform = platform.New(f.platformDaemons)
	recorder, err := history.Open(filepath.Join(dir, "track.jsonl"))
	if err != nil {
		return nil, err
	}
	f.Recorder, f.histories = recorder, []string{filepath.Join(dir, "track.jsonl")}
	i := 0
	var seeds []string
	for c, n := range l.Zones {
		for j := 0; j < n; j++ {
			p := &Proc{Name: fmt.Sprintf("box-%d", i), Wire: fmt.Sprintf("127.0.0.1:%d", basePort+i), Addr: fmt.Sprintf("127.0.0.1:%d", basePort+100+i), Zone: fmt.Sprintf("zone-%c", 'a'+c), bin: "mulleinmast"}
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
			p := &Proc{Name: fmt.Sprintf("fakeserver-%d", d), Addr: fmt.Sprintf("127.0.0.1:%d", basePort+200+d), Zone: fmt.Sprintf("zone-%c", 'a'+k%len(l.Zones)), bin: "fakeserver"}
			j := filepath.Join(dir, p.Name+".jsonl")
			f.histories = append(f.histories, j)
			p.args = []string{"-addr", p.Addr, "-zone", p.Zone, "-capacity", "8", "-journal", j}
			f.FakeServers = append(f.FakeServers, p)
			f.ServersOf[svc] = append(f.ServersOf[svc], fleetconfig.Server{Addr: p.Addr, Zone: p.Zone, Capacity: 8})
			if err := f.Up(p); err != nil {
				return f, err
			}
			d++
		}
	}
	return f, nil
}

// platformDaemons returns the daemons as the platform lists them.
func (f *Fleet) platformDaemons() (out []platform.Daemon) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.Daemons {
		out = append(out, platform.Daemon{Addr: p.Addr, Zone: p.Zone})
	}
	return out
}

// daemonArgs sets the command line of a daemon.
func (f *Fleet) daemonArgs(p *Proc, seeds []string) {
	p.args = []string{"-fleet", f.Layout.Name, "-wire", p.Wire, "-web", p.Addr, "-zone", p.Zone, "-seeds", strings.Join(seeds, ","), "-test-switches"}
	if p.Data != "" {
		p.args = append(p.args, "-data", p.Data)
	}
}

// Add starts a new daemon with the given seeds, and with an empty data folder if disk
// is set.
//
// Example: p, err := f.Add("zone-a", true, seeds)
func (f *Fleet) Add(zone string, disk bool, seeds []string) (*Proc, error) {
	i := len(f.Daemons)
	p := &Proc{Name: fmt.Sprintf("box-%d", i), Wire: fmt.Sprintf("127.0.0.1:%d", f.basePort+i), Addr: fmt.Sprintf("127.0.0.1:%d", f.basePort+100+i), Zone: zone, bin: "mulleinmast"}
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

// Stop kills all processes of the fleet.
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

// Call makes an HTTP call and returns the status and the body; the status is 0 if the
// call failed.
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
	res, err := f.client.Do(req)
	if err != nil {
		return 0, []byte(err.Error())
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, []byte(err.Error())
	}
	return res.StatusCode, b
}

// Until polls a condition and returns false if it does not hold within the limit.
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

// Ready returns the number of ready daemons.
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

// State returns the state dump of a daemon.
//
// Example: st, ok := f.State(f.Daemons[0])
func (f *Fleet) State(p *Proc) (st daemon.State, ok bool) {
	code, b := f.Call("GET", p.Addr, "/v1/state", nil)
	return st, code == 200 && json.Unmarshal(b, &st) == nil
}

// Leader returns the leader of a partition, or nil.
//
// Example: p := f.Leader(0)
func (f *Fleet) Leader(partition int) *Proc {
	for _, p := range f.Daemons {
		if p.Data == "" {
			continue
		}
		if st, ok := f.State(p); ok && partition < len(st.Partitions) && st.Partitions[partition].LedHere {
			return p
		}
	}
	return nil
}
