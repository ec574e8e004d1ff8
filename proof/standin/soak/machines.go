package soak

import (
	"context"
	"math/rand"
	"slices"
	"sync"
	"syscall"
	"time"

	"mulleinmast/proof/standin/fleet"
	"mulleinmast/proof/track"
)

// machineTroubles befall the processes, disks and links of daemons.
func machineTroubles() []trouble {
	return []trouble{
		{"kill", 6, (*run).kill},
		{"kill, signals during the start", 4, (*run).killAndSignal},
		{"stop", 5, (*run).term},
		{"freeze", 5, (*run).freeze},
		{"cut from the core", 4, (*run).cut},
		{"cut from all", 3, (*run).isolate},
		{"cut one way", 3, (*run).deafen},
		{"messages late", 4, (*run).slow},
		{"reload", 4, (*run).reload},
		{"disk lost", 2, (*run).wipe},
		{"machine replaced", 2, (*run).replaceMachine},
		{"seeds exchanged", 1, (*run).exchangeSeeds},
		{"disk stalls", 3, (*run).stall},
		{"disk full", 2, (*run).full},
		{"core killed", 1, (*run).killCore},
		{"all killed", 1, (*run).killAll},
	}
}

// with has one thing befall a machine while nothing else does.
func (r *run) with(m *fleet.Machine, f func()) {
	r.lockOf(m).Lock()
	defer r.lockOf(m).Unlock()
	if r.there(m) { // else it was taken away meanwhile
		f()
	}
}

// there tells whether a machine has not been taken away for good.
func (r *run) there(m *fleet.Machine) bool { return slices.Contains(r.Fleet.Machines(), m) }

// withRunning is with for what needs a daemon that listens already.
func (r *run) withRunning(ctx context.Context, m *fleet.Machine, f func()) {
	r.with(m, func() {
		if r.Until(ctx, r.Bounds.Recovery, m.Name+" listens", func() bool { _, ok := r.Fleet.State(m); return ok }) {
			f()
		}
	})
}

// up starts a machine's process, and gives it the time to its first step.
func (r *run) up(ctx context.Context, m *fleet.Machine) {
	if err := r.Fleet.Up(m); err != nil {
		r.Fail("%s can't be started: %v", m.Name, err)
	}
	r.Pass(ctx, beforeMain)
}

func (r *run) fails(err error) {
	if err != nil {
		r.Fail("%v", err)
	}
}

// kill ends a process at once; it is back after a while.
func (r *run) kill(ctx context.Context, rng *rand.Rand) {
	m := r.machine(rng, rng.Intn(2) == 0)
	r.with(m, func() {
		r.Say("%s is killed", m.Name)
		r.Fleet.Kill(m)
		r.Pass(ctx, between(rng, 0, 2*time.Second))
		r.up(ctx, m)
	})
}

// killAndSignal sends signals to a process that has just begun: a reload, which
// it must survive, a second kill, or an orderly stop.
func (r *run) killAndSignal(ctx context.Context, rng *rand.Rand) {
	m := r.machine(rng, rng.Intn(2) == 0)
	r.with(m, func() {
		r.Fleet.Kill(m)
		r.up(ctx, m)
		r.Pass(ctx, between(rng, 0, 80*time.Millisecond))
		switch rng.Intn(4) {
		case 0:
			r.Say("%s is killed, and again while it starts", m.Name)
			r.Fleet.Kill(m)
			r.up(ctx, m)
		case 1:
			r.Say("%s is killed, and stopped while it starts", m.Name)
			r.ends(ctx, m, nil)
			r.up(ctx, m)
		default:
			r.Say("%s is killed, and told to reload while it starts", m.Name)
			r.Fleet.Hup(m)
		}
	})
}

// ends has a process end by SIGTERM, while something else may befall it.
func (r *run) ends(ctx context.Context, m *fleet.Machine, meanwhile func()) {
	r.Fleet.Term(m)
	if meanwhile != nil {
		meanwhile()
	}
	if !track.Until(ctx, r.Bounds.Grace+time.Second, func() bool { return !m.Up() }) {
		r.Fail("%s still runs %v after its SIGTERM", m.Name, r.Bounds.Grace+time.Second)
		r.Fleet.Kill(m)
	}
}

// term ends a process in order: alone, or with a reload, a second SIGTERM, a
// freeze or a kill before it has ended.
func (r *run) term(ctx context.Context, rng *rand.Rand) {
	m := r.machine(rng, rng.Intn(2) == 0)
	r.with(m, func() {
		wait := between(rng, 0, 3*time.Second)
		switch rng.Intn(6) {
		case 0:
			r.Say("%s is stopped, and reloads meanwhile", m.Name)
			r.ends(ctx, m, func() { r.Pass(ctx, wait); r.Fleet.Hup(m) })
		case 1, 2:
			r.Say("%s is stopped twice", m.Name)
			r.ends(ctx, m, func() { r.Pass(ctx, wait); m.Signal(syscall.SIGTERM) })
		case 3:
			r.Say("%s is stopped, and freezes meanwhile", m.Name)
			r.ends(ctx, m, func() {
				r.Pass(ctx, wait)
				r.Fleet.Freeze(m)
				r.Pass(ctx, time.Second)
				m.Signal(syscall.SIGCONT)
			})
		case 4:
			r.Say("%s is stopped, and killed meanwhile", m.Name)
			r.ends(ctx, m, func() { r.Pass(ctx, wait); r.Fleet.Kill(m) })
		default:
			r.Say("%s is stopped", m.Name)
			r.ends(ctx, m, nil)
		}
		r.Pass(ctx, between(rng, 0, time.Second))
		r.up(ctx, m)
	})
}

func (r *run) freeze(ctx context.Context, rng *rand.Rand) {
	m := r.machine(rng, rng.Intn(2) == 0)
	r.with(m, func() {
		length := between(rng, 200*time.Millisecond, 6*time.Second)
		r.Say("%s freezes for %v", m.Name, length.Round(time.Millisecond))
		r.Fleet.Freeze(m)
		r.Pass(ctx, length)
		r.Fleet.Thaw(m)
	})
}

func (r *run) cut(ctx context.Context, rng *rand.Rand)     { r.cutBy(ctx, rng, true, r.Fleet.Cut) }
func (r *run) isolate(ctx context.Context, rng *rand.Rand) { r.cutBy(ctx, rng, false, r.Fleet.Isolate) }

// cutBy cuts a machine off in some way for a while; a core machine that is cut
// from the others leaves the core in two halves.
func (r *run) cutBy(ctx context.Context, rng *rand.Rand, core bool, by func(*fleet.Machine) error) {
	m := r.machine(rng, core)
	r.withRunning(ctx, m, func() {
		length := between(rng, 300*time.Millisecond, 8*time.Second)
		r.Say("%s is cut off for %v (from the core only: %v)", m.Name, length.Round(time.Millisecond), core)
		r.fails(by(m))
		r.Pass(ctx, length)
		r.fails(r.Fleet.Join(m))
	})
}

// deafen has a machine hear no other for a while: what it says still comes.
func (r *run) deafen(ctx context.Context, rng *rand.Rand) {
	m := r.machine(rng, rng.Intn(3) > 0)
	r.withRunning(ctx, m, func() {
		length := between(rng, 300*time.Millisecond, 6*time.Second)
		r.Say("%s hears no other for %v", m.Name, length.Round(time.Millisecond))
		r.fails(r.Fleet.Deafen(m))
		r.Pass(ctx, length)
		r.fails(r.Fleet.Hear(m))
	})
}

// slow has a machine's messages to others come late, and later ones before earlier
// ones, by more than a lease at times.
func (r *run) slow(ctx context.Context, rng *rand.Rand) {
	m := r.machine(rng, rng.Intn(3) > 0)
	r.withRunning(ctx, m, func() {
		most := between(rng, 20*time.Millisecond, 1500*time.Millisecond)
		r.Say("messages of %s are up to %v late", m.Name, most.Round(time.Millisecond))
		r.fails(r.Fleet.Slow(m, most))
		r.Pass(ctx, between(rng, time.Second, 6*time.Second))
		r.fails(r.Fleet.Quicken(m))
	})
}

// reload tells some machines that their settings have changed, whatever else
// befalls them.
func (r *run) reload(_ context.Context, rng *rand.Rand) {
	for _, m := range r.Fleet.Machines() {
		if rng.Intn(2) == 0 && r.lockOf(m).TryLock() {
			r.Fleet.Hup(m)
			r.lockOf(m).Unlock()
		}
	}
}

// wipe loses the disk of a core machine, one at a time: the next may go once this
// one has caught up.
func (r *run) wipe(ctx context.Context, rng *rand.Rand) {
	r.disk.Lock()
	defer r.disk.Unlock()
	if r.owed {
		return
	}
	m := r.machine(rng, true)
	r.with(m, func() {
		r.Say("%s loses its disk", m.Name)
		r.Fleet.Kill(m)
		r.fails(r.Fleet.Wipe(m))
		r.Pass(ctx, between(rng, 0, time.Second))
		r.up(ctx, m)
	})
	r.caughtUp(ctx, m)
}

// replaceMachine takes a core machine away for good; an empty one comes for it at
// another address.
func (r *run) replaceMachine(ctx context.Context, rng *rand.Rand) {
	r.disk.Lock()
	defer r.disk.Unlock()
	if r.owed {
		return
	}
	old := r.machine(rng, true)
	r.with(old, func() {
		r.Say("%s is replaced", old.Name)
		r.Fleet.Remove(old)
	})
	r.Pass(ctx, between(rng, 0, 2*time.Second))
	m, err := r.Fleet.Add(old.Zone, true)
	r.fails(err)
	r.begun.Store(m, true)
	r.Pass(ctx, beforeMain)
	r.exchangeSeeds(ctx, rng) // the machine that is gone may have been one of them
	r.caughtUp(ctx, m)
}

// beforeMain is how long a process may take from its start to the first step of
// its program: a signal that comes sooner meets nobody who could take it.
const beforeMain = 25 * time.Millisecond

// exchangeSeeds names other machines as seeds in the settings of all, which are
// told by SIGHUP.
func (r *run) exchangeSeeds(_ context.Context, rng *rand.Rand) {
	list := r.Fleet.Machines()
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	var free []*fleet.Machine
	for _, m := range r.Fleet.Machines() {
		r.lockOf(m).Lock()
		free = append(free, m)
	}
	r.fails(r.Fleet.Seed(list[:3]))
	for _, m := range free {
		r.lockOf(m).Unlock()
	}
}

// caughtUp waits until a machine counts again in every partition. While other
// troubles keep it from that, no other disk is lost in this run.
func (r *run) caughtUp(ctx context.Context, m *fleet.Machine) {
	if !track.Until(ctx, catchUpMost, func() bool { return r.Counts(m) }) {
		r.Say("%s has not caught up within %v", m.Name, catchUpMost)
		r.owed = true
		return
	}
	r.Pass(ctx, 4*time.Second)
}

// catchUpMost is how long the next loss of a disk waits for the one before.
const catchUpMost = 20 * time.Second

func (r *run) stall(ctx context.Context, rng *rand.Rand) {
	m := r.machine(rng, true)
	r.withRunning(ctx, m, func() {
		by := between(rng, 50*time.Millisecond, 3*time.Second)
		r.Say("every write to the disk of %s takes %v longer", m.Name, by.Round(time.Millisecond))
		r.fails(r.Fleet.Stall(m, by))
		r.Pass(ctx, between(rng, time.Second, 6*time.Second))
		r.fails(r.Fleet.Unstall(m))
	})
}

func (r *run) full(ctx context.Context, rng *rand.Rand) {
	m := r.machine(rng, true)
	r.withRunning(ctx, m, func() {
		r.Say("the disk of %s is full", m.Name)
		r.fails(r.Fleet.Full(m, true))
		r.Pass(ctx, between(rng, time.Second, 6*time.Second))
		r.fails(r.Fleet.Full(m, false))
	})
}

func (r *run) killCore(ctx context.Context, rng *rand.Rand) {
	r.Say("the core is killed")
	r.killTogether(ctx, rng, r.Fleet.Core())
}

func (r *run) killAll(ctx context.Context, rng *rand.Rand) {
	r.Say("all are killed")
	r.killTogether(ctx, rng, r.Fleet.Machines())
}

// killTogether kills machines at the same moment, those that nothing else
// befalls.
func (r *run) killTogether(ctx context.Context, rng *rand.Rand, list []*fleet.Machine) {
	var free []*fleet.Machine
	for _, m := range list {
		if r.lockOf(m).TryLock() {
			if !r.there(m) {
				r.lockOf(m).Unlock()
				continue
			}
			free = append(free, m)
		}
	}
	r.Fleet.KillAll(free)
	var wait sync.WaitGroup
	for _, m := range free {
		pause := between(rng, 0, time.Second)
		wait.Go(func() {
			defer r.lockOf(m).Unlock()
			r.Pass(ctx, pause)
			r.up(ctx, m)
		})
	}
	wait.Wait()
}
