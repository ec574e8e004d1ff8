// Package soak runs a deployment of real daemons under random, overlapping troubles of
// machines, servers, clients and the operator. The seed determines everything that a run
// does. A run fails on a broken rule, on a violated invariant in a daemon or if a process
// ends unexpectedly.
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

// Config configures a run.
type Config struct {
	scene.Config
	For     time.Duration // how long new troubles begin
	Between time.Duration // mean time between the beginnings of two troubles
	Only    []string      // prefixes of the names of troubles to apply; empty: all
	// FormingFor is how long troubles of machines begin before the fleet has formed its first group.
	FormingFor time.Duration
}

// Requirements once all troubles are over.
const (
	minServedAfter   = 0.9 // minimum fraction of the requests that must be served
	minRequestsAfter = 40  // requests, below which the fraction is not significant
)

// trouble is a kind of fault, or another event that a deployment must tolerate.
type trouble struct {
	name   string
	weight int
	apply  func(r *run, ctx context.Context, rng *rand.Rand)
}

// troubles returns all kinds, except those of tenants.
func troubles() []trouble {
	return append(append(machineTroubles(), serverTroubles()...), callerTroubles()...)
}

// run is a deployment under troubles.
type run struct {
	*scene.World
	machines sync.Map   // *fleet.Machine to *sync.Mutex, held while a trouble affects the machine's process
	started  sync.Map   // keys are the *fleet.Machine whose processes were started
	disk     sync.Mutex // held while a machine recovers from a lost disk; guards behind
	behind   bool       // a machine has not caught up in time after it lost its disk
	servers  sync.Mutex
	orders   sync.Mutex
	zone     sync.Mutex
	list     sync.Mutex
	changes  int
	unclear  bool            // a change without a clear answer may still be applied
	reported map[string]bool // metrics that were reported
	exits    atomic.Int64    // processes that ended unexpectedly
}

// Play starts a deployment, applies troubles to it and checks the rules.
//
// Example: report, err := soak.Play(ctx, cfg)
func Play(ctx context.Context, c Config) (scene.Report, error) {
	if c.FormingFor > 0 {
		c.Forming = c.disturbForming
	}
	return scene.Play(ctx, c.Config, func(ctx context.Context, w *scene.World) { c.soak(ctx, w) })
}

// newRun creates a run on a deployment.
func newRun(w *scene.World) *run {
	w.Bounds.Core = len(w.Fleet.Core())
	r := &run{World: w, reported: map[string]bool{}}
	for _, m := range w.Fleet.Machines() {
		r.started.Store(m, true)
	}
	return r
}

// lockOf returns the lock of a machine.
func (r *run) lockOf(m *fleet.Machine) *sync.Mutex {
	lock, _ := r.machines.LoadOrStore(m, &sync.Mutex{})
	return lock.(*sync.Mutex)
}

// soak applies troubles to a running deployment and checks that it recovers from them.
func (c Config) soak(ctx context.Context, w *scene.World) {
	r := newRun(w)
	watching, stop := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	watchers.Go(func() { r.watch(watching) })
	watchers.Go(func() { r.readConfigs(watching) })
	all := troubles()
	if len(c.Customers) > 0 {
		all = append(all, tenantTroubles()...)
	}
	r.applyTroubles(ctx, c, all)
	r.checkAfter(ctx)
	stop()
	watchers.Wait()
}

// applyTroubles draws random troubles and applies them concurrently.
func (r *run) applyTroubles(ctx context.Context, c Config, all []trouble) {
	rng := rand.New(rand.NewSource(c.Seed))
	var list []trouble
	sum := 0
	for _, t := range all {
		if len(c.Only) == 0 || slices.ContainsFunc(c.Only, func(prefix string) bool { return strings.HasPrefix(t.name, prefix) }) {
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
		wait.Go(func() { next.apply(r, ctx, own) })
		pause := time.Duration(rng.ExpFloat64() * float64(c.Between))
		r.Sleep(ctx, pause)
		at += pause
	}
	wait.Wait()
}

// checkAfter waits until the deployment has recovered and checks that it serves requests
// again: the effects of a trouble must not sustain themselves.
func (r *run) checkAfter(ctx context.Context) {
	r.Note("all troubles are over")
	if !r.expectAllReady(ctx) {
		return
	}
	r.Note("all machines are ready")
	for _, m := range r.Fleet.Core() {
		r.Until(ctx, r.Bounds.Recovery, m.Name+" has a vote in every partition", func() bool { return r.HasVotes(m) })
	}
	from := r.Log.Now() + r.Bounds.InTouch
	r.Sleep(ctx, r.Bounds.InTouch)
	all, served := 0, 0
	r.Until(ctx, 30*time.Second, "requests after all troubles", func() bool {
		all, served = r.servedSince(from)
		return all >= minRequestsAfter
	})
	if float64(served) < minServedAfter*float64(all) {
		r.Fail("only %d of %d requests were served after all troubles", served, all)
	}
}

// expectAllReady waits until all machines are ready, and fails the run if they aren't in time.
func (r *run) expectAllReady(ctx context.Context) bool {
	bound := r.Bounds.Recovery + r.Bounds.InTouch
	if track.Until(ctx, bound, func() bool { return r.Entry.InRotation() == len(r.Fleet.Machines()) }) {
		return true
	}
	r.Fail("only %d of %d machines are ready %v after the last trouble", r.Entry.InRotation(), len(r.Fleet.Machines()), bound)
	return false
}

// servedSince counts the finished requests that are no probes and were sent since a moment.
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

// machine returns a random machine, or a random core machine.
func (r *run) machine(rng *rand.Rand, core bool) *fleet.Machine {
	list := r.Fleet.Machines()
	if core {
		list = r.Fleet.Core()
	}
	return list[rng.Intn(len(list))]
}

// daemonOf returns a machine's daemon as clients see it.
func (r *run) daemonOf(m *fleet.Machine) entry.Daemon {
	for _, d := range r.Fleet.Daemons() {
		if d.Name == m.Name {
			return d
		}
	}
	return entry.Daemon{}
}

// between returns a random duration from a range.
func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int63n(int64(most-least)))
}
