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

// Command is what a process of the fleet is told.
type Command struct {
	No      uint64
	Op      string
	Specs   []Spec           // of start
	Indexes []int            // of stop; of await and ask: daemons left out
	Fresh   bool             // of await: readiness, and leaders outside ...
	Zone    int              // ... this zone
	Cut     map[int][]string // of cut: by daemon, the addresses it can't reach
	Version uint64           // of await: a configuration
	Servers int              // of await: so many servers' records
	Model   string           // of await: a list of servers ...
	Mark    string           // ... that has this in it
	Wait    time.Duration
	Path    string // of profile and heap
	Call    string // of ask
	Body    []byte
}

// Usage is what a process has used.
type Usage struct {
	CPU     time.Duration `json:"cpu"`
	Memory  int64         `json:"memory"` // resident, bytes
	Heap    int64         `json:"heap"`   // in use after a collection, bytes
	Threads int           `json:"goroutines"`
	Written int64         `json:"written"` // to disk, bytes
	Allocs  uint64        `json:"allocs"`
	Bytes   uint64        `json:"alloc_bytes"`
}

// Result is what came of a command.
type Result struct {
	No    uint64
	Err   string
	Snaps []Snap
	Usage Usage
	Count int // daemons that did what was awaited
	Code  int
	Body  []byte
	Took  time.Duration
}

// host is a process that holds daemons: this one or another.
type host interface {
	do(Command) Result
	close()
}

// worker holds daemons in this process.
type worker struct {
	mu   sync.Mutex
	list []*hollowDaemon
	plan sync.Map // records that were read: versions of configurations, ids of servers
}

// version of a configuration: it is long, and read once for all daemons here.
func (w *worker) version(rec message.Record) uint64 {
	if v, ok := w.plan.Load(rec.Version); ok {
		return v.(uint64)
	}
	v := fleetconfig.MustReadPlan(rec).Version
	w.plan.Store(rec.Version, v)
	return v
}

func (w *worker) daemons() []*hollowDaemon {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*hollowDaemon(nil), w.list...)
}

func (w *worker) close() {
	list := w.daemons()
	for _, d := range list {
		d.stop()
	}
	for _, d := range list {
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
		r.Usage = used()
	case "heap":
		runtime.GC()
		r.Usage = used()
		if c.Path != "" {
			r.Err = keep(c.Path, func(f io.Writer) error { return pprof.Lookup("allocs").WriteTo(f, 0) })
		}
	case "profile":
		r.Err = keep(c.Path, func(f io.Writer) error {
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
			d.c.Transport.DropPeers.Store(&cut)
		}
	case "stop":
		w.drop(c.Indexes)
	case "await":
		r.Count = w.await(c)
	case "ask":
		list := slices.DeleteFunc(w.daemons(), func(d *hollowDaemon) bool { return slices.Contains(c.Indexes, d.Index) })
		ctx, done := context.WithTimeout(context.Background(), c.Wait)
		defer done()
		r.Code, r.Body = list[0].c.Call(ctx, 0, c.Call, c.Body, c.Wait)
	default:
		r.Err = "no command " + c.Op
	}
	return r
}

// drop stops daemons at once, as a kill does.
func (w *worker) drop(indexes []int) {
	gone := map[int]bool{}
	for _, i := range indexes {
		gone[i] = true
	}
	w.mu.Lock()
	var left, off []*hollowDaemon
	for _, d := range w.list {
		if gone[d.Index] {
			off = append(off, d)
		} else {
			left = append(left, d)
		}
	}
	w.list = left
	w.mu.Unlock()
	for _, d := range off {
		d.stop()
	}
	for _, d := range off {
		<-d.done
	}
}

// await waits until every daemon here has what is asked for under valid
// leases, and counts those that have it.
func (w *worker) await(c Command) int {
	list := slices.DeleteFunc(w.daemons(), func(d *hollowDaemon) bool { return slices.Contains(c.Indexes, d.Index) })
	has := func(d *hollowDaemon) bool {
		switch {
		case c.Fresh:
			return d.c.Ready() && d.reached(c.Zone)
		case c.Servers > 0:
			return d.servers() >= c.Servers
		case c.Model != "":
			rec, ok := d.c.Read(d.c.Partition(c.Model), fleetconfig.ListKey(c.Model))
			return ok && w.names(c.Model, rec, c.Mark)
		case c.Version > 0:
			rec, ok := d.c.Read(0, fleetconfig.PlanKey)
			return ok && w.version(rec) >= c.Version
		}
		return d.c.Ready()
	}
	end := time.Now().Add(c.Wait)
	every := 5 * time.Millisecond
	if c.Servers > 0 { // a look is long
		every = 500 * time.Millisecond
	}
	t := time.NewTicker(every)
	defer t.Stop()
	n := 0
	for {
		left := list[:0]
		for _, d := range list {
			if has(d) {
				n++
			} else {
				left = append(left, d)
			}
		}
		if list = left; len(list) == 0 || time.Now().After(end) {
			return n
		}
		<-t.C
	}
}

// names tells whether a list of servers has this one in it; a list is long,
// and read once for all daemons here.
func (w *worker) names(model string, rec message.Record, id string) bool {
	type place struct {
		model string
		ver   message.Version
	}
	ids, ok := w.plan.Load(place{model, rec.Version})
	if !ok {
		set := map[string]bool{}
		for _, s := range fleetconfig.MustReadList(rec).Servers {
			set[s.ID] = true
		}
		ids, _ = w.plan.LoadOrStore(place{model, rec.Version}, set)
	}
	return ids.(map[string]bool)[id]
}

func keep(path string, write func(io.Writer) error) string {
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

// used reads what this process has used so far.
func used() (u Usage) {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) == nil {
		u.CPU = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	}
	var pages, resident int64
	if b, err := os.ReadFile("/proc/self/statm"); err == nil {
		_, _ = fmt.Sscan(string(b), &pages, &resident) // stays 0 where there is none
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
	u.Heap, u.Threads, u.Allocs, u.Bytes = int64(m.HeapAlloc), runtime.NumGoroutine(), m.Mallocs, m.TotalAlloc
	return u
}
