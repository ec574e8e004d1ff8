package hollow

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"mulleinmast/wire/transport"
)

// The roles whose costs are measured separately. A daemon with several roles counts
// under the first that matches.
const (
	ConfigLeader = "config-leader" // leads partition 0, which also pulls the server list
	Leader       = "leader"        // leads another partition
	Replica      = "replica"       // a control daemon that leads no partition
	Relay        = "relay"         // relays at least one partition in its zone
	Front        = "front"
	Mean         = "any" // mean over all daemons and processes; daemons in a shared process cost less
)

// Roles returns all roles.
//
// Example: for _, role := range hollow.Roles() { ... }
func Roles() []string { return []string{Mean, ConfigLeader, Leader, Replica, Relay, Front} }

// Row is the mean cost per daemon and second of one kind of message, or of all
// kinds, for the daemons of one role.
type Row struct {
	Step          string
	Daemons       int
	Servers       int
	Tenants       int
	Routes        int
	Role          string
	Kind          string // "all": the sum
	DaemonsInRole int
	In, Out       float64
	BytesIn       float64
	BytesOut      float64
	HandlingCores float64 // wall-clock time in message handlers, in cores
	CPU           float64 // in cores; only of processes with a single daemon
	Memory        float64 // resident, MB; likewise
	Heap          float64 // MB; likewise
	Written       float64 // to disk, bytes a second; likewise
	Allocs        float64 // a second; likewise
	Alloc         float64 // bytes allocated a second; likewise
}

// role returns the role under which the daemon is counted.
func (s Snap) role() string {
	switch {
	case slices.Contains(s.Leads, 0):
		return ConfigLeader
	case len(s.Leads) > 0:
		return Leader
	case s.Core:
		return Replica
	case len(s.Relays) > 0:
		return Relay
	}
	return Front
}

// snapshot is the state of every process at a time.
type snapshot struct {
	at    time.Time
	snaps map[int]Snap
	procs []Result
}

func (f *Fleet) snapshot() snapshot {
	r := snapshot{at: time.Now(), snaps: map[int]Snap{}, procs: f.runOnAll(func(int) Command { return Command{Op: "snap"} })}
	for _, p := range r.procs {
		for _, s := range p.Snaps {
			r.snaps[s.Index] = s
		}
	}
	return r
}

// Measure measures the costs of each role over a period. background, if not nil, runs
// until the period ends.
//
// Example: rows := f.Measure("idle", 10*time.Second, nil)
func (f *Fleet) Measure(step string, length time.Duration, background func(stop <-chan time.Time)) []Row {
	before := f.snapshot()
	stop := time.After(length)
	if background != nil {
		background(stop)
	} else {
		<-stop
	}
	after := f.snapshot()
	f.runOnAll(func(int) Command { return Command{Op: "heap"} })
	heaps := f.runOnAll(func(int) Command { return Command{Op: "snap"} })
	seconds := after.at.Sub(before.at).Seconds()
	var cpu time.Duration
	for i := range after.procs {
		cpu += after.procs[i].Usage.CPU - before.procs[i].Usage.CPU
	}
	mean := Row{Step: step, Daemons: f.Daemons, Servers: f.Servers, Tenants: f.Tenants, Routes: f.Routes, Role: Mean, Kind: "all", DaemonsInRole: f.Daemons, CPU: cpu.Seconds() / seconds / float64(len(after.snaps))}
	for _, p := range heaps {
		mean.Memory += float64(p.Usage.Memory) / (1 << 20) / float64(f.Daemons)
		mean.Heap += float64(p.Usage.Heap) / (1 << 20) / float64(f.Daemons)
	}

	sums := map[string]map[string]*Row{}
	rowOf := func(role, kind string) *Row {
		if sums[role] == nil {
			sums[role] = map[string]*Row{}
		}
		if sums[role][kind] == nil {
			sums[role][kind] = &Row{Step: step, Daemons: f.Daemons, Servers: f.Servers, Tenants: f.Tenants, Routes: f.Routes, Role: role, Kind: kind}
		}
		return sums[role][kind]
	}
	counts, dedicated := map[string]int{}, map[string]int{}
	for i, s := range after.snaps {
		role := s.role()
		counts[role]++
		for kind, c := range s.Counts {
			was := before.snaps[i].Counts[kind]
			for _, r := range []*Row{rowOf(role, kind), rowOf(role, "all")} {
				r.add(c, was)
			}
		}
	}
	for i, p := range after.procs {
		if len(p.Snaps) != 1 {
			continue
		}
		role := p.Snaps[0].role()
		r, u, w := rowOf(role, "all"), p.Usage, before.procs[i].Usage
		dedicated[role]++
		r.CPU += (u.CPU - w.CPU).Seconds()
		r.Memory += float64(u.Memory) / (1 << 20)
		r.Heap += float64(heaps[i].Usage.Heap) / (1 << 20)
		r.Written += float64(u.Written - w.Written)
		r.Allocs += float64(u.Allocs - w.Allocs)
		r.Alloc += float64(u.Bytes - w.Bytes)
	}
	out := []Row{mean}
	for _, role := range Roles() {
		for _, r := range sums[role] {
			n := float64(counts[role]) * seconds
			r.DaemonsInRole = counts[role]
			if r.In+r.Out == 0 {
				continue
			}
			for _, x := range []*float64{&r.In, &r.Out, &r.BytesIn, &r.BytesOut, &r.HandlingCores} {
				*x /= n
			}
			if k := float64(dedicated[role]); k > 0 {
				r.Memory, r.Heap = r.Memory/k, r.Heap/k
				for _, x := range []*float64{&r.CPU, &r.Written, &r.Allocs, &r.Alloc} {
					*x /= k * seconds
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
	r.HandlingCores += (c.HandlingTime - was.HandlingTime).Seconds()
}

// Steady waits until no invalidation and no accept message has arrived for two seconds.
//
// Example: took, ok := f.Steady(time.Minute)
func (f *Fleet) Steady(timeout time.Duration) (time.Duration, bool) {
	start, quietSince := time.Now(), time.Now()
	last := int64(-1)
	t := time.NewTicker(250 * time.Millisecond)
	defer t.Stop()
	for range t.C {
		n := int64(0)
		for _, s := range f.snapshot().snaps {
			n += s.Counts["invalidate"].Received + s.Counts["accept"].Received
		}
		if n != last {
			last, quietSince = n, time.Now()
		}
		if time.Since(quietSince) > 2*time.Second {
			return quietSince.Sub(start), true
		}
		if time.Since(start) > timeout {
			return time.Since(start), false
		}
	}
	return 0, false
}

// Table formats rows as a table.
//
// Example: fmt.Print(hollow.Table(rows))
func Table(rows []Row) string {
	out := fmt.Sprintf("%-10s %5s %5s %-12s %-10s %4s %9s %9s %10s %10s %8s %8s %7s %7s %9s\n", "step", "daem.", "serv.", "role", "kind", "of", "in/s", "out/s", "B in/s", "B out/s", "hearing", "core", "MB", "heap MB", "disk B/s")
	for _, r := range rows {
		out += fmt.Sprintf("%-10s %5d %5d %-12s %-10s %4d %9.2f %9.2f %10.0f %10.0f %8.4f", r.Step, r.Daemons, r.Servers, r.Role, r.Kind, r.DaemonsInRole, r.In, r.Out, r.BytesIn, r.BytesOut, r.HandlingCores)
		if r.CPU > 0 {
			out += fmt.Sprintf(" %8.4f %7.1f %7.1f %9.0f", r.CPU, r.Memory, r.Heap, r.Written)
		}
		out += "\n"
	}
	return out
}
