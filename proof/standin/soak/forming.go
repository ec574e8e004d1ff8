package soak

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"mulleinmast/proof/standin/scene"
)

// betweenFormingTroubles is the mean time between the beginnings of two troubles while a fleet forms.
const betweenFormingTroubles = 400 * time.Millisecond

// formingTroubles affect the machines of a fleet that has no group yet.
func formingTroubles() []trouble {
	return []trouble{
		{"core killed while forming", 3, (*run).killCore},
		{"all killed while forming", 1, (*run).killAll},
		{"kill while forming", 4, (*run).kill},
		{"kill while forming, signals during the start", 2, (*run).killAndSignal},
		{"start beside the predecessor while forming", 2, (*run).startBeside},
		{"freeze while forming", 2, (*run).freeze},
		{"reload while forming", 1, (*run).reload},
		{"seed lost while forming", 2, (*run).loseSeed},
	}
}

// disturbForming applies troubles to the machines of a fleet that has just been started, and checks that it
// forms nevertheless.
func (c Config) disturbForming(ctx context.Context, w *scene.World) {
	r := newRun(w)
	watching, stop := context.WithCancel(ctx)
	var watcher sync.WaitGroup
	watcher.Go(func() { r.watch(watching) })
	r.Sleep(ctx, beforeMain)
	forming := c
	forming.For, forming.Between = c.FormingFor, betweenFormingTroubles
	r.applyTroubles(ctx, forming, formingTroubles())
	r.Note("the fleet may form")
	r.expectAllReady(ctx)
	stop()
	watcher.Wait()
}

// loseSeed permanently removes a core machine, at most one in a run, and adds an empty one at another address.
func (r *run) loseSeed(ctx context.Context, rng *rand.Rand) {
	r.disk.Lock()
	defer r.disk.Unlock()
	if r.behind {
		return
	}
	r.behind = true // no other disk is lost
	r.removeAndAdd(ctx, rng)
}
