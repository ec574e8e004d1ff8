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

// machineTroubles affect the processes, disks and links of daemons.
func machineTroubles() []trouble {
	return []trouble{
		{"kill", 6, (*run).kill},
		{"kill, signals during the start", 4, (*run).killAndSignal},
		{"start beside the predecessor", 3, (*run).startBeside},
		{"stop", 5, (*run).term},
		{"freeze", 5, (*run).freeze},
		{"cut from the core", 4, (*run).cut},
		{"cut from all", 3, (*run).isolate},
		{"cut one way", 3, (*run).blockInbound},
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

// withLocked applies a trouble to a machine while it holds the machine's lock.
func (r *run) withLocked(m *fleet.Machine, f func()) {
	r.lockOf(m).Lock()
	defer r.lockOf(m).Unlock()
	if r.exists(m) { // it may have been removed before the lock was taken
		f()
	}
}

// exists reports whether a machine has not been removed permanently.
func (r *run) exists(m *fleet.Machine) bool { return slices.Contains(r.Fleet.Machines(), m) }

// withRunning is like withLocked, but waits until the daemon listens.
func (r *run) withRunning(ctx context.Context, m *fleet.Machine, f func()) {
	r.withLocked(m, func() {
		if r.Until(ctx, r.Bounds.Recovery, m.Name+" listens", func() bool { _, ok := r.Fleet.State(m); return ok }) {
			f()
		}
	})
}

// restart starts a machine's process and waits until its program has started.
func (r *run) restart(ctx context.Context, m *fleet.Machine) {
	if err := r.Fleet.Restart(m); err != nil {
		r.Fail("%s can't be started: %v", m.Name, err)
	}
	r.Sleep(ctx, beforeMain)
}

// failOn fails the scene if there is an error.
func (r *run) failOn(err error) {
	if err != nil {
		r.Fail("%v", err)
	}
}

// kill kills a process and restarts it after a while.
func (r *run) kill(ctx context.Context, rng *rand.Rand) {
	m := r.machine(rng, rng.Intn(2) == 0)
	r.withLocked(m, func() {
		r.Note("%s is killed", m.Name)
		r.Fleet.Kill(m)
		r.Sleep(ctx, between(rng, 0, 2*time.Second))
		r.restart(ctx, m)
	})
}

// startBeside starts a process while its frozen predecessor still has its ports and its folder.
func (r *run) startBeside(ctx context.Context, rng *rand.Rand) {
	m := r.machine(rng, rng.Intn(2) == 0)
	r.withLocked(m, func() {
		length := between(rng, 0, 3*time.Second)
		r.Note("%s starts beside its predecessor, which is killed after %v", m.Name, length.Round(time.Millisecond))
		kill, err := r.Fleet.StartBeside(m)
		r.failOn(err)
		r.Sleep(ctx, length)
		if !m.Up() {
			r.Fail("%s ended unexpectedly beside its predecessor: %s", m.Name, m.End())
		}
		kill()
		r.Sleep(ctx, beforeMain)
	})
}

// killAndSignal signals a process that has just started: SIGHUP, which it must survive,
// SIGKILL or SIGTERM.
func (r *run) killAndSignal(ctx context.Context, rng *rand.Rand) {
	m := r.machine(rng, rng.Intn(2) == 0)
	r.withLocked(m, func() {
		r.Fleet.Kill(m)
		r.restart(ctx, m)
		r.Sleep(ctx, between(rng, 0, 80*time.Millisecond))
		switch rng.Intn(4) {
		case 0:
			r.Note("%s is killed, and again while it starts", m.Name)
			r.Fleet.Kill(m)
			r.restart(ctx, m)
		case 1:
			r.Note("%s is killed, and stopped while it starts", m.Name)
			r.stop(ctx, m, nil)
			r.restart(ctx, m)
		default:
			r.Note("%s is killed, and reloads while it starts", m.Name)
			r.Fleet.Reload(m)
		}
	})
}

// stop ends a process by SIGTERM, optionally with another trouble during its shutdown.
func (r *run) stop(ctx context.Context, m *fleet.Machine, during func()) {
	r.Fleet.Term(m)
	if during != nil {
		during()
	}
	if !track.Until(ctx, r.Bounds.Grace+time.Second, func() bool { return !m.Up() }) {
		r.Fail("%s still runs %v after its SIGTERM", m.Name, r.Bounds.Grace+time.Second)
		r.Fleet.Kill(m)
	}
}

// term ends a process by SIGTERM: alone, or with a reload, a second SIGTERM, a freeze or a
// kill before it has ended.
func (r *run) term(ctx context.Context, rng *rand.Rand) {
	m := r.machine(rng, rng.Intn(2) == 0)
	r.withLocked(m, func() {
		wait := between(rng, 0, 3*time.Second)
		switch rng.Intn(6) {
		case 0:
			r.Note("%s is stopped, and reloads during its shutdown", m.Name)
			r.stop(ctx, m, func() { r.Sleep(ctx, wait); r.Fleet.Reload(m) })
		case 1, 2:
			r.Note("%s is stopped twice", m.Name)
			r.stop(ctx, m, func() { r.Sleep(ctx, wait); m.Signal(syscall.SIGTERM) })
		case 3:
			r.Note("%s is stopped, and freezes during its shutdown", m.Name)
			r.stop(ctx, m, func() {
				r.Sleep(ctx, wait)
				r.Fleet.Freeze(m)
				r.Sleep(ctx, time.Second)
				m.Signal(syscall.SIGCONT)
			})
		case 4:
			r.Note("%s is stopped, and killed during its shutdown", m.Name)
			r.stop(ctx, m, func() { r.Sleep(ctx, wait); r.Fleet.Kill(m) })
		default:
			r.Note("%s is stopped", m.Name)
			r.stop(ctx, m, nil)
		}
		r.Sleep(ctx, between(rng, 0, time.Second))
		r.restart(ctx, m)
	})
}

func (r *run) freeze(ctx context.Context, rng *rand.Rand) {
	m := r.machine(rng, rng.Intn(2) == 0)
	r.withLocked(m, func() {
		length := between(rng, 200*time.Millisecond, 6*time.Second)
		r.Note("%s freezes for %v", m.Name, length.Round(time.Millisecond))
		r.Fleet.Freeze(m)
		r.Sleep(ctx, length)
		r.Fleet.Thaw(m)
	})
}

func (r *run) cut(ctx context.Context, rng *rand.Rand) {
	r.disconnectBy(ctx, rng, true, r.Fleet.DisconnectCore)
}

func (r *run) isolate(ctx context.Context, rng *rand.Rand) {
	r.disconnectBy(ctx, rng, false, r.Fleet.Isolate)
}

// disconnectBy disconnects a machine in some way for a while. Disconnecting a core machine
// partitions the core.
func (r *run) disconnectBy(ctx context.Context, rng *rand.Rand, core bool, by func(*fleet.Machine) error) {
	m := r.machine(rng, core)
	r.withRunning(ctx, m, func() {
		length := between(rng, 300*time.Millisecond, 8*time.Second)
		r.Note("%s is disconnected for %v (from the core only: %v)", m.Name, length.Round(time.Millisecond), core)
		r.failOn(by(m))
		r.Sleep(ctx, length)
		r.failOn(r.Fleet.Reconnect(m))
	})
}

// blockInbound blocks the messages that a machine receives for a while, but not those that it
// sends.
func (r *run) blockInbound(ctx context.Context, rng *rand.Rand) {
	m := r.machine(rng, rng.Intn(3) > 0)
	r.withRunning(ctx, m, func() {
		length := between(rng, 300*time.Millisecond, 6*time.Second)
		r.Note("%s receives no messages for %v", m.Name, length.Round(time.Millisecond))
		r.failOn(r.Fleet.BlockInbound(m))
		r.Sleep(ctx, length)
		r.failOn(r.Fleet.UnblockInbound(m))
	})
}

// slow delays and reorders a machine's messages to others, sometimes by more than the length
// of a lease.
func (r *run) slow(ctx context.Context, rng *rand.Rand) {
	m := r.machine(rng, rng.Intn(3) > 0)
	r.withRunning(ctx, m, func() {
		most := between(rng, 20*time.Millisecond, 1500*time.Millisecond)
		r.Note("messages of %s are up to %v late", m.Name, most.Round(time.Millisecond))
		r.failOn(r.Fleet.DelayMessages(m, most))
		r.Sleep(ctx, between(rng, time.Second, 6*time.Second))
		r.failOn(r.Fleet.StopDelays(m))
	})
}

// reload sends SIGHUP to a random half of the machines, except those that are locked by
// another trouble.
func (r *run) reload(_ context.Context, rng *rand.Rand) {
	for _, m := range r.Fleet.Machines() {
		if rng.Intn(2) == 0 && r.lockOf(m).TryLock() {
			r.Fleet.Reload(m)
			r.lockOf(m).Unlock()
		}
	}
}

// wipe loses the disk of a core machine. Only one disk is lost at a time: the next one may be
// lost once this machine has caught up.
func (r *run) wipe(ctx context.Context, rng *rand.Rand) {
	r.disk.Lock()
	defer r.disk.Unlock()
	if r.behind {
		return
	}
	m := r.machine(rng, true)
	r.withLocked(m, func() {
		r.Note("%s loses its disk", m.Name)
		r.Fleet.Kill(m)
		r.failOn(r.Fleet.Wipe(m))
		r.Sleep(ctx, between(rng, 0, time.Second))
		r.restart(ctx, m)
	})
	r.waitCaughtUp(ctx, m)
}

// replaceMachine permanently removes a core machine and adds an empty one at another
// address.
func (r *run) replaceMachine(ctx context.Context, rng *rand.Rand) {
	r.disk.Lock()
	defer r.disk.Unlock()
	if r.behind {
		return
	}
	r.waitCaughtUp(ctx, r.removeAndAdd(ctx, rng))
}

// removeAndAdd permanently removes a core machine and returns the empty one that it adds.
func (r *run) removeAndAdd(ctx context.Context, rng *rand.Rand) *fleet.Machine {
	old := r.machine(rng, true)
	r.withLocked(old, func() {
		r.Note("%s is replaced", old.Name)
		r.Fleet.Remove(old)
	})
	r.Sleep(ctx, between(rng, 0, 2*time.Second))
	m, err := r.Fleet.Add(old.Zone, true)
	r.failOn(err)
	r.started.Store(m, true)
	r.Sleep(ctx, beforeMain)
	r.exchangeSeeds(ctx, rng) // the removed machine may have been a seed
	return m
}

// beforeMain is how long a process may take from its start until its program begins. The
// program can't handle a signal that arrives earlier.
const beforeMain = 25 * time.Millisecond

// exchangeSeeds changes the seeds in the settings of all machines and reloads them.
func (r *run) exchangeSeeds(_ context.Context, rng *rand.Rand) {
	list := r.Fleet.Machines()
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	var free []*fleet.Machine
	for _, m := range r.Fleet.Machines() {
		r.lockOf(m).Lock()
		free = append(free, m)
	}
	r.failOn(r.Fleet.SetSeeds(list[:3]))
	for _, m := range free {
		r.lockOf(m).Unlock()
	}
}

// waitCaughtUp waits until a machine has a vote in every partition again. If other troubles
// prevent this, no other disk is lost in this run.
func (r *run) waitCaughtUp(ctx context.Context, m *fleet.Machine) {
	if !track.Until(ctx, catchUpLimit, func() bool { return r.HasVotes(m) }) {
		r.Note("%s has not caught up within %v", m.Name, catchUpLimit)
		r.behind = true
		return
	}
	r.Sleep(ctx, 4*time.Second)
}

// catchUpLimit is how long the next loss of a disk waits until the machine of the one before
// has caught up.
const catchUpLimit = 20 * time.Second

func (r *run) stall(ctx context.Context, rng *rand.Rand) {
	m := r.machine(rng, true)
	r.withRunning(ctx, m, func() {
		by := between(rng, 50*time.Millisecond, 3*time.Second)
		r.Note("every write to the disk of %s takes %v longer", m.Name, by.Round(time.Millisecond))
		r.failOn(r.Fleet.StallDisk(m, by))
		r.Sleep(ctx, between(rng, time.Second, 6*time.Second))
		r.failOn(r.Fleet.UnstallDisk(m))
	})
}

func (r *run) full(ctx context.Context, rng *rand.Rand) {
	m := r.machine(rng, true)
	r.withRunning(ctx, m, func() {
		r.Note("the disk of %s is full", m.Name)
		r.failOn(r.Fleet.SetDiskFull(m, true))
		r.Sleep(ctx, between(rng, time.Second, 6*time.Second))
		r.failOn(r.Fleet.SetDiskFull(m, false))
	})
}

func (r *run) killCore(ctx context.Context, rng *rand.Rand) {
	r.Note("the core is killed")
	r.killTogether(ctx, rng, r.Fleet.Core())
}

func (r *run) killAll(ctx context.Context, rng *rand.Rand) {
	r.Note("all are killed")
	r.killTogether(ctx, rng, r.Fleet.Machines())
}

// killTogether kills machines at the same moment, except those that are locked by another
// trouble.
func (r *run) killTogether(ctx context.Context, rng *rand.Rand, list []*fleet.Machine) {
	var free []*fleet.Machine
	for _, m := range list {
		if r.lockOf(m).TryLock() {
			if !r.exists(m) {
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
			r.Sleep(ctx, pause)
			r.restart(ctx, m)
		})
	}
	wait.Wait()
}
