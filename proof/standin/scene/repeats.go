package scene

import (
	"context"
	"math/rand"
	"sync"
	"sync/atomic"

	"mulleinmast/proof/standin/wire"
)

const (
	lostAnswers   = 0.4 // fraction of the answers to the operator that is lost
	parallelCalls = 8   // concurrent calls
	rounds        = 12  // of racing changes before each loss of a leader
	shortRounds   = 5
	minChanges    = 80 // changes between a call and its last retry: more than daemons once remembered
)

// sentCall is a call as it was sent, for retries.
type sentCall struct {
	on     wire.Config
	change wire.Change
	status int
}

// repeats sends racing changes, eight at once with the same base version and number, while
// answers are lost and leaders are killed, wiped and replaced. Then it sends every call
// once more, through all daemons.
func repeats(ctx context.Context, w *World) {
	var mu sync.Mutex
	rng := rand.New(rand.NewSource(w.Seed))
	var loseAnswers atomic.Bool
	w.Op.Lost = func() bool {
		mu.Lock()
		defer mu.Unlock()
		return loseAnswers.Load() && rng.Float64() < lostAnswers
	}
	loseAnswers.Store(true)
	var calls []*sentCall
	n := rounds
	if w.Short {
		n = shortRounds
	}
	first := w.Op.Now().Version
	for _, loss := range []func(){func() { w.loseLeader(ctx, false) }, func() { w.loseLeader(ctx, true) }, func() { w.replaceLeader(ctx) }} {
		for range n {
			calls = append(calls, w.sendRacing(ctx, len(calls))...)
		}
		loss()
	}
	loseAnswers.Store(false)
	for ctx.Err() == nil && w.Op.Now().Version < first+minChanges { // each accepted change creates one version
		before := w.Op.Now().Version
		if calls = append(calls, w.sendRacing(ctx, len(calls))...); w.Op.Now().Version == before {
			w.Fail("none of %d changes of version %d was accepted", parallelCalls, before)
			break
		}
	}
	accepted := 0
	for _, c := range calls {
		if c.status == 200 {
			accepted++
		}
		if again := w.Op.Patch(ctx, c.change, c.on); again.Status != c.status && c.status != 0 {
			w.Fail("a change of version %d was answered %d, and its retry %d", c.on.Version, c.status, again.Status)
		}
	}
	w.Note("%d changes, %d of them accepted, sent again after version %d", len(calls), accepted, w.Op.Now().Version)
	orderGivenAgain(ctx, w)
	lateOrder(ctx, w)
	w.WaitServed(ctx, int(w.Rate))
}

// sendRacing sends eight changes of the current version at once, all with the next number.
func (w *World) sendRacing(ctx context.Context, no int) []*sentCall {
	on := w.Op.Now()
	out := make([]*sentCall, parallelCalls)
	var wait sync.WaitGroup
	for i := range out {
		r := w.Routes[0]
		r.GiveUpMs = 4000 + no + i
		out[i] = &sentCall{on: on, change: wire.Change{Version: on.Version + 1}}
		out[i].change.Replace.Routes = []wire.Route{r}
		wait.Go(func() { out[i].status = w.Op.Patch(ctx, out[i].change, on).Status })
	}
	wait.Wait()
	for _, c := range out { // a change without an answer may be the accepted one
		if c.status == 0 {
			c.status = w.Op.Patch(ctx, c.change, on).Status
		}
	}
	return out
}

// waitConfigLeader waits until a machine leads the configuration.
func (w *World) waitConfigLeader(ctx context.Context) bool {
	return w.Until(ctx, w.Bounds.Recovery, "a leader of the configuration", func() bool { return w.Fleet.Leader(0) != nil })
}

// loseLeader kills the configuration leader, optionally loses its disk, and restarts it.
func (w *World) loseLeader(ctx context.Context, wipe bool) {
	if !w.waitConfigLeader(ctx) {
		return
	}
	m := w.Fleet.Leader(0)
	w.Fleet.Kill(m)
	if wipe {
		if err := w.Fleet.Wipe(m); err != nil {
			w.Fail("%v", err)
		}
	}
	w.sendRacing(ctx, 0)
	if err := w.Fleet.Restart(m); err != nil {
		w.Fail("%v", err)
	}
	w.waitReady(ctx, m.Name+" is back")
}

// replaceLeader adds a machine with an empty disk and permanently removes the configuration
// leader.
func (w *World) replaceLeader(ctx context.Context) {
	if !w.waitConfigLeader(ctx) {
		return
	}
	m := w.Fleet.Leader(0)
	if _, err := w.Fleet.Add(Zones[0], true); err != nil {
		w.Fail("%v", err)
		return
	}
	w.waitReady(ctx, "a new machine is ready")
	w.Fleet.Remove(m)
	w.sendRacing(ctx, 0)
}
