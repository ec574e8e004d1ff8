// Package soak runs a deployment of real daemons under troubles that are drawn by
// chance and overlap: machines, servers, clients and the operator, each at its
// own times. Everything that a run does follows from its seed. The judge, the
// invariants in the daemons and the processes' own ends have the last word.
package soak

import (
	"context"
	"math/rand"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mulleinmast/proof/standin/entry"
	"mulleinmast/proof/standin/fleet"
	"mulleinmast/proof/standin/record"
	"mulleinmast/proof/standin/scene"
	"mulleinmast/proof/track"
)

// Config is a run.
type Config struct {
	scene.Config
	For     time.Duration // troubles come for so long
	Between time.Duration // two of them, on average
	Only    []string      // troubles whose names begin with one of these; none: all
}

// What a run asks for once all troubles are over.
const (
	servedAfter = 0.9 // of the requests that come then
	askedAfter  = 40  // requests, for their share to say something
)

// trouble is one kind of thing that befalls a deployment.
type trouble struct {
	name   string
	weight int
	befall func(r *run, ctx context.Context, rng *rand.Rand)
}

// troubles lists all kinds.
func troubles() []trouble {
	return append(append(machineTroubles(), serverTroubles()...), callerTroubles()...)
}

// run is a deployment under troubles.
type run struct {
	*scene.World
	machines sync.Map   // of *fleet.Machine to *sync.Mutex: one thing at a time ends or starts a process
	begun    sync.Map   // of *fleet.Machine: its process was started
	disk     sync.Mutex // one disk is lost at a time; over owed, too
	owed     bool       // a machine has not caught up since it lost its disk
	servers  sync.Mutex
	orders   sync.Mutex
	zone     sync.Mutex
	list     sync.Mutex
	changes  int
	unclear  bool            // a change without a clear answer may still come to be in force
	told     map[string]bool // figures that were reported
	ended    atomic.Int64    // processes that ended by themselves
}

// Play runs the deployment from its beginning to the judge's word.
//
// Example: report, err := soak.Play(ctx, cfg)
func Play(ctx context.Context, c Config) (scene.Report, error) {
	return scene.Play(ctx, c.Config, func(ctx context.Context, w *scene.World) { c.soak(ctx, w) })
}

// newRun makes a run of a deployment.
func newRun(w *scene.World) *run {
	w.Bounds.Core = len(w.Fleet.Core())
	r := &run{World: w, told: map[string]bool{}}
	for _, m := range w.Fleet.Machines() {
		r.begun.Store(m, true)
	}
	return r
}

// lockOf is the lock of a machine.
func (r *run) lockOf(m *fleet.Machine) *sync.Mutex {
	lock, _ := r.machines.LoadOrStore(m, &sync.Mutex{})
	return lock.(*sync.Mutex)
}

// soak has troubles befall a deployment that runs, and waits until all are over.
func (c Config) soak(ctx context.Context, w *scene.World) {
	r := newRun(w)
	watching, stop := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	watchers.Go(func() { r.watch(watching) })
	watchers.Go(func() { r.readBack(watching) })
	r.befall(ctx, c)
	r.after(ctx)
	stop()
	watchers.Wait()
}

// befall draws troubles and plays each beside the others.
func (r *run) befall(ctx context.Context, c Config) {
	rng := rand.New(rand.NewSource(c.Seed))
	var list []trouble
	sum := 0
	all := troubles()
	if len(c.Customers) > 0 {
		all = append(all, tenantTroubles()...)
	}
	for _, t := range all {
		if len(c.Only) == 0 || slices.ContainsFunc(c.Only, func(begin string) bool { return strings.HasPrefix(t.name, begin) }) {
			list = append(list, t)
			sum += t.weight
		}
	}
	var wait sync.WaitGroup
	for at := time.Duration(0); at < c.For && len(list) > 0; {
		n := rng.Intn(sum)
		var next trouble
		for _, next = range list {
			if n -= next.weight; n < 0 {
				break
			}
		}
		own := rand.New(rand.NewSource(rng.Int63()))
		wait.Go(func() { next.befall(r, ctx, own) })
		pause := time.Duration(rng.ExpFloat64() * float64(c.Between))
		r.Pass(ctx, pause)
		at += pause
	}
	wait.Wait()
}

// after waits until the deployment is whole, and asks that it serves as before:
// what a trouble set off must not keep itself going.
func (r *run) after(ctx context.Context) {
	r.Say("all troubles are over")
	bound := r.Bounds.Recovery + r.Bounds.InTouch
	if !track.Until(ctx, bound, func() bool { return r.Door.In() == len(r.Fleet.Machines()) }) {
		r.Fail("only %d of %d machines are ready %v after the last trouble", r.Door.In(), len(r.Fleet.Machines()), bound)
		return
	}
	r.Say("all machines are ready")
	for _, m := range r.Fleet.Core() {
		r.Until(ctx, r.Bounds.Recovery, m.Name+" counts in every partition", func() bool { return r.Counts(m) })
	}
	from := r.Log.Now() + r.Bounds.InTouch
	r.Pass(ctx, r.Bounds.InTouch)
	all, served := 0, 0
	r.Until(ctx, 30*time.Second, "requests after all troubles", func() bool {
		all, served = r.servedSince(from)
		return all >= askedAfter
	})
	if float64(served) < servedAfter*float64(all) {
		r.Fail("%d of %d requests are served after all troubles", served, all)
	}
}

// servedSince counts the ordinary requests that came since a moment and have ended.
func (r *run) servedSince(from time.Duration) (all, served int) {
	r.Log.Count(func(a *record.All) int {
		for _, t := range a.Tries {
			if t.ID == "" || t.Probe || t.End == 0 || t.Sent < from {
				continue
			}
			all++
			if t.Served() {
				served++
			}
		}
		return 0
	})
	return all, served
}

// machine draws a machine; core: one with a disk.
func (r *run) machine(rng *rand.Rand, core bool) *fleet.Machine {
	list := r.Fleet.Machines()
	if core {
		list = r.Fleet.Core()
	}
	return list[rng.Intn(len(list))]
}

// door is a machine as clients see it.
func (r *run) door(m *fleet.Machine) entry.Daemon {
	for _, d := range r.Fleet.Daemons() {
		if d.Name == m.Name {
			return d
		}
	}
	return entry.Daemon{}
}

// between draws a time between two others.
func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int63n(int64(most-least)))
}
