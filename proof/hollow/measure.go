package hollow

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"mulleinmast/wire/transport"
)

// The roles whose costs are told apart. A daemon may play several; it counts
// under the first of these that fits.
const (
	ConfigLeader = "config-leader" // of partition 0, which also asks for the list of servers
	Leader       = "leader"        // of other partitions
	Replica      = "replica"       // a control daemon that leads nothing
	Relay        = "relay"         // of at least one part in its zone
	Front        = "front"
	Mean         = "any" // over all daemons, of all processes: those that share one cost less
)

// Roles lists them.
//
// Example: for _, role := range hollow.Roles() { ... }
func Roles() []string { return []string{Mean, ConfigLeader, Leader, Replica, Relay, Front} }

// Row is what the daemons of one role spent on one kind of message, or on all
// of them, a second and daemon.
type Row struct {
	Step     string
	Daemons  int
	Servers  int
	Tenants  int
	Routes   int
	Role     string
	Kind     string // "all": the sum
	Of       int    // daemons in the role
	In, Out  float64
	BytesIn  float64
	BytesOut float64
	Hearing  float64 // of a core, by the clock
	CPU      float64 // of a core; of processes with one daemon only
	Memory   float64 // resident, MB; likewise
	Heap     float64 // MB; likewise
	Written  float64 // to disk, bytes a second; likewise
	Allocs   float64 // a second; likewise
	Alloc    float64 // bytes allocated a second; likewise
}

func (s Snap) role() string {
	switch {
	case slices.Contains(s.Owns, 0):
		return ConfigLeader
	case len(s.Owns) > 0:
		return Leader
	case s.Core:
		return Replica
	case len(s.Relays) > 0:
		return Relay
	}
	return Front
}

// reading is one look at every process.
type reading struct {
	at    time.Time
	snaps map[int]Snap
	procs []Result
}

func (f *Fleet) read() reading {
	r := reading{at: time.Now(), snaps: map[int]Snap{}, procs: f.each(func(int) Command { return Command{Op: "snap"} })}
	for _, p := range r.procs {
		for _, s := range p.Snaps {
			r.snaps[s.Index] = s
		}
	}
	return r
}

// Measure counts for a while what each role spends. meanwhile may be nil.
//
// Example: rows := f.Measure("idle", 10*time.Second, nil)
func (f *Fleet) Measure(step string, length time.Duration, meanwhile func(stop <-chan time.Time)) []Row {
	a := f.read()
	stop := time.After(length)
	if meanwhile != nil {
		meanwhile(stop)
	} else {
		<-stop
	}
	b := f.read()
	f.each(func(int) Command { return Command{Op: "heap"} })
	heaps := f.each(func(int) Command { return Command{Op: "snap"} })
	secs := b.at.Sub(a.at).Seconds()
	var cpu time.Duration
	for i := range b.procs {
		cpu += b.procs[i].Usage.CPU - a.procs[i].Usage.CPU
	}
	whole := Row{Step: step, Daemons: f.Daemons, Servers: f.Servers, Tenants: f.Tenants, Routes: f.Routes, Role: Mean, Kind: "all", Of: f.Daemons, CPU: cpu.Seconds() / secs / float64(len(b.snaps))}
	for _, p := range heaps {
		whole.Memory += float64(p.Usage.Memory) / (1 << 20) / float64(f.Daemons)
		whole.Heap += float64(p.Usage.Heap) / (1 << 20) / float64(f.Daemons)
	}

	sums := map[string]map[string]*Row{}
	at := func(role, kind string) *Row {
		if sums[role] == nil {
			sums[role] = map[string]*Row{}
		}
		if sums[role][kind] == nil {
			sums[role][kind] = &Row{Step: step, Daemons: f.Daemons, Servers: f.Servers, Tenants: f.Tenants, Routes: f.Routes, Role: role, Kind: kind}
		}
		return sums[role][kind]
	}
	counts, alone := map[string]int{}, map[string]int{}
	for i, s := range b.snaps {
		role := s.role()
		counts[role]++
		for kind, c := range s.Counts {
			was := a.snaps[i].Counts[kind]
			for _, r := range []*Row{at(role, kind), at(role, "all")} {
				r.add(c, was)
			}
		}
	}
	for i, p := range b.procs {
		if len(p.Snaps) != 1 {
			continue
		}
		role := p.Snaps[0].role()
		r, u, w := at(role, "all"), p.Usage, a.procs[i].Usage
		alone[role]++
		r.CPU += (u.CPU - w.CPU).Seconds()
		r.Memory += float64(u.Memory) / (1 << 20)
		r.Heap += float64(heaps[i].Usage.Heap) / (1 << 20)
		r.Written += float64(u.Written - w.Written)
		r.Allocs += float64(u.Allocs - w.Allocs)
		r.Alloc += float64(u.Bytes - w.Bytes)
	}
	out := []Row{whole}
	for _, role := range Roles() {
		for _, r := range sums[role] {
			n := float64(counts[role]) * secs
			r.Of = counts[role]
			if r.In+r.Out == 0 {
				continue
			}
			for _, x := range []*float64{&r.In, &r.Out, &r.BytesIn, &r.BytesOut, &r.Hearing} {
				*x /= n
			}
			if k := float64(alone[role]); k > 0 {
				r.Memory, r.Heap = r.Memory/k, r.Heap/k
				for _, x := range []*float64{&r.CPU, &r.Written, &r.Allocs, &r.Alloc} {
					*x /= k * secs
				}
			}
			out = append(out, *r)
		}
	}
	sort.SliceStable(out, func(i, j int) bool {
		if out[i].Role != out[j].Role {
			return slices.Index(Roles(), out[i].Role) < slices.Index(Roles(), out[j].Role)
		}
		return out[i].BytesIn+out[i].BytesOut > out[j].BytesIn+out[j].BytesOut
	})
	return out
}

func (r *Row) add(c, was transport.KindCount) {
	r.In += float64(c.Received - was.Received)
	r.Out += float64(c.Sent - was.Sent)
	r.BytesIn += float64(c.ReceivedBytes - was.ReceivedBytes)
	r.BytesOut += float64(c.SentBytes - was.SentBytes)
	r.Hearing += (c.HandlingTime - was.HandlingTime).Seconds()
}

// Steady waits until nothing is withdrawn any more for two seconds.
//
// Example: took, ok := f.Steady(time.Minute)
func (f *Fleet) Steady(most time.Duration) (time.Duration, bool) {
	at, calm := time.Now(), time.Now()
	last := int64(-1)
	t := time.NewTicker(250 * time.Millisecond)
	defer t.Stop()
	for range t.C {
		n := int64(0)
		for _, s := range f.read().snaps {
			n += s.Counts["invalidate"].Received + s.Counts["accept"].Received
		}
		if n != last {
			last, calm = n, time.Now()
		}
		if time.Since(calm) > 2*time.Second {
			return calm.Sub(at), true
		}
		if time.Since(at) > most {
			return time.Since(at), false
		}
	}
	return 0, false
}

// Table prints rows for people.
//
// Example: fmt.Print(hollow.Table(rows))
func Table(rows []Row) string {
	out := fmt.Sprintf("%-10s %5s %5s %-12s %-10s %4s %9s %9s %10s %10s %8s %8s %7s %7s %9s\n", "step", "daem.", "serv.", "role", "kind", "of", "in/s", "out/s", "B in/s", "B out/s", "hearing", "core", "MB", "heap MB", "disk B/s")
	for _, r := range rows {
		out += fmt.Sprintf("%-10s %5d %5d %-12s %-10s %4d %9.2f %9.2f %10.0f %10.0f %8.4f", r.Step, r.Daemons, r.Servers, r.Role, r.Kind, r.Of, r.In, r.Out, r.BytesIn, r.BytesOut, r.Hearing)
		if r.CPU > 0 {
			out += fmt.Sprintf(" %8.4f %7.1f %7.1f %9.0f", r.CPU, r.Memory, r.Heap, r.Written)
		}
		out += "\n"
	}
	return out
}
