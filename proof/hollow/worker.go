package hollow

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/pprof"
	"slices"
	"sync"
	"syscall"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/wire/message"
)

// Command is a command to a process of the fleet.
type Command struct {
	No      uint64
	Op      string
	Specs   []Spec           // of start
	Indexes []int            // of stop: the daemons; of await and ask: the daemons to exclude
	Fresh   bool             // of await: daemons are ready and all leaders are outside ...
	Zone    int              // ... this zone
	Cut     map[int][]string // of cut: unreachable addresses, by daemon
	Version uint64           // of await: the version of the configuration
	Servers int              // of await: the number of server records
	Model   string           // of await: the server list of this model ...
	Mark    string           // ... contains this server
	Wait    time.Duration
	Path    string // of profile and heap
	Call    string // of ask
	Body    []byte
}

// Usage is the resource usage of a process.
type Usage struct {
	CPU        time.Duration `json:"cpu"`
	Memory     int64         `json:"memory"` // resident, bytes
	Heap       int64         `json:"heap"`   // in use after a garbage collection, bytes
	Goroutines int           `json:"goroutines"`
	Written    int64         `json:"written"` // to disk, bytes
	Allocs     uint64        `json:"allocs"`
	Bytes      uint64        `json:"alloc_bytes"`
}

// Result is the result of a command.
type Result struct {
	No    uint64
	Err   string
	Snaps []Snap
	Usage Usage
	Count int // daemons that met the awaited condition
	Code  int
	Body  []byte
	Took  time.Duration
}

// host is a process that runs daemons: this one or a child process.
type host interface {
	do(Command) Result
	close()
}

// worker runs daemons in this process.
type worker struct {
	mu     sync.Mutex
	list   []*hollowDaemon
	opened sync.Map // decoded records: versions of configurations, IDs of servers
}

// planVersion returns the version of a configuration. A configuration is long, so it
// is decoded once for all daemons of the process.
func (w *worker) planVersion(rec message.Record) uint64 {
	if v, ok := w.opened.Load(rec.Version); ok {
		return v.(uint64)
	}
	v := fleetconfig.MustReadPlan(rec).Version
	w.opened.Store(rec.Version, v)
	return v
}

func (w *worker) daemons() []*hollowDaemon {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*hollowDaemon(nil), w.list...)
}

func (w *worker) close() {
	daemons := w.daemons()
	for _, d := range daemons {
		d.stop()
	}
	for _, d := range daemons {
		<-d.done
	}
}

func (w *worker) do(c Command) (r Result) {
	at := time.Now()
	defer func() { r.Took = time.Since(at) }()
	switch c.Op {
	case "start":
		for _, s := range c.Specs {
			d, err := start(s)
			if err != nil {
				return Result{Err: fmt.Sprintf("daemon %d: %v", s.Index, err)}
			}
			w.mu.Lock()
			w.list = append(w.list, d)
			w.mu.Unlock()
		}
	case "snap":
		for _, d := range w.daemons() {
			r.Snaps = append(r.Snaps, d.snap())
		}
		r.Usage = processUsage()
	case "heap":
		runtime.GC()
		r.Usage = processUsage()
		if c.Path != "" {
			r.Err = writeFile(c.Path, func(f io.Writer) error { return pprof.Lookup("allocs").WriteTo(f, 0) })
		}
	case "profile":
		r.Err = writeFile(c.Path, func(f io.Writer) error {
			if err := pprof.StartCPUProfile(f); err != nil {
				return err
			}
			<-time.After(c.Wait)
			pprof.StopCPUProfile()
			return nil
		})
	case "cut":
		for _, d := range w.daemons() {
			cut := map[string]bool{}
			for _, a := range c.Cut[d.Index] {
				cut[a] = true
			}
			d.daemon.Transport.DropPeers.Store(&cut)
		}
	case "stop":
		w.stopDaemons(c.Indexes)
	case "await":
		r.Count = w.await(c)
	case "ask":
		daemons := slices.DeleteFunc(w.daemons(), func(d *hollowDaemon) bool { return slices.Contains(c.Indexes, d.Index) })
		ctx, done := context.WithTimeout(context.Background(), c.Wait)
		defer done()
		r.Code, r.Body = daemons[0].daemon.Call(ctx, 0, c.Call, c.Body, c.Wait)
	default:
		r.Err = "unknown command " + c.Op
	}
	return r
}

// stopDaemons stops daemons without warning, as a kill does.
func (w *worker) stopDaemons(indexes []int) {
	stopped := map[int]bool{}
	for _, i := range indexes {
		stopped[i] = true
	}
	w.mu.Lock()
	var remaining, removed []*hollowDaemon
	for _, d := range w.list {
		if stopped[d.Index] {
			removed = append(removed, d)
		} else {
			remaining = append(remaining, d)
		}
	}
	w.list = remaining
	w.mu.Unlock()
	for _, d := range removed {
		d.stop()
	}
	for _, d := range removed {
		<-d.done
	}
}

// await waits until every daemon of this process meets the condition of the command
// under valid leases, and returns how many do.
func (w *worker) await(c Command) int {
	daemons := slices.DeleteFunc(w.daemons(), func(d *hollowDaemon) bool { return slices.Contains(c.Indexes, d.Index) })
	meetsCondition := func(d *hollowDaemon) bool {
		switch {
		case c.Fresh:
			return d.daemon.Ready() && d.reached(c.Zone)
		case c.Servers > 0:
			return d.servers() >= c.Servers
		case c.Model != "":
			rec, ok := d.daemon.Read(d.daemon.Partition(c.Model), fleetconfig.ListKey(c.Model))
			return ok && w.listContains(c.Model, rec, c.Mark)
		case c.Version > 0:
			rec, ok := d.daemon.Read(0, fleetconfig.PlanKey)
			return ok && w.planVersion(rec) >= c.Version
		}
		return d.daemon.Ready()
	}
	end := time.Now().Add(c.Wait)
	interval := 5 * time.Millisecond
	if c.Servers > 0 { // this check is slow
		interval = 500 * time.Millisecond
	}
	t := time.NewTicker(interval)
	defer t.Stop()
	n := 0
	for {
		remaining := daemons[:0]
		for _, d := range daemons {
			if meetsCondition(d) {
				n++
			} else {
				remaining = append(remaining, d)
			}
		}
		if daemons = remaining; len(daemons) == 0 || time.Now().After(end) {
			return n
		}
		<-t.C
	}
}

// listContains reports whether a server list contains a server. A list is long, so it
// is decoded once for all daemons of the process.
func (w *worker) listContains(model string, rec message.Record, id string) bool {
	type listKey struct {
		model string
		ver   message.Version
	}
	ids, ok := w.opened.Load(listKey{model, rec.Version})
	if !ok {
		set := map[string]bool{}
		for _, s := range fleetconfig.MustReadList(rec).Servers {
			set[s.ID] = true
		}
		ids, _ = w.opened.LoadOrStore(listKey{model, rec.Version}, set)
	}
	return ids.(map[string]bool)[id]
}

// writeFile creates a file and returns the text of an error, or "".
func writeFile(path string, write func(io.Writer) error) string {
	f, err := os.Create(path)
	if err == nil {
		err = write(f)
		if e := f.Close(); err == nil {
			err = e
		}
	}
	if err != nil {
		return err.Error()
	}
	return ""
}

// processUsage returns the resource usage of this process.
func processUsage() (u Usage) {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) == nil {
		u.CPU = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	}
	var pages, resident int64
	if b, err := os.ReadFile("/proc/self/statm"); err == nil {
		_, _ = fmt.Sscan(string(b), &pages, &resident) // 0 where the file does not exist
	}
	u.Memory = resident * int64(os.Getpagesize())
	if b, err := os.ReadFile("/proc/self/io"); err == nil {
		var word string
		for f := bufio.NewScanner(bytes.NewReader(b)); f.Scan(); {
			if n, _ := fmt.Sscan(f.Text(), &word, &u.Written); n == 2 && word == "write_bytes:" {
				break
			}
		}
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	u.Heap, u.Goroutines, u.Allocs, u.Bytes = int64(m.HeapAlloc), runtime.NumGoroutine(), m.Mallocs, m.TotalAlloc
	return u
}
