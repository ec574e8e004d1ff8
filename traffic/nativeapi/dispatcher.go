package nativeapi

import (
	"iter"
	"sync"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leader"
	"mulleinmast/control/leadercall"
	"mulleinmast/traffic/scheduler"
)

// dispatcher is one service's shard: the state machine under its lock.
type dispatcher struct {
	partition int
	wake      chan struct{} // there are requests that need slots

	mu sync.Mutex // guards all below
	*scheduler.Dispatcher
	streams map[string]*stream // by request id
}

// dispatcherOf is the dispatcher of a service; it begins with the first request.
func (a *API) dispatcherOf(service string) *dispatcher {
	if d, ok := a.dispatchers.Load(service); ok {
		return d.(*dispatcher)
	}
	partition := a.daemon.Partition(service)
	leaderTerm := func() uint64 { return a.daemon.Term(partition) }
	d := &dispatcher{
		partition: partition, wake: make(chan struct{}, 1), streams: map[string]*stream{},
		Dispatcher: scheduler.New(Config(a.daemon.Cfg), service, partition, a.daemon.Read, leaderTerm),
	}
	stored, loaded := a.dispatchers.LoadOrStore(service, d)
	if !loaded {
		a.daemon.Pin(partition, fleetconfig.ListKey(service))
		go a.keepShare(d)
	}
	return stored.(*dispatcher)
}

// allDispatchers iterates over the dispatchers.
func (a *API) allDispatchers() iter.Seq[*dispatcher] {
	return func(yield func(*dispatcher) bool) {
		a.dispatchers.Range(func(_, v any) bool { return yield(v.(*dispatcher)) })
	}
}

// step runs one input through a dispatcher and hands its decisions to the streams.
func (a *API) step(d *dispatcher, input func(now time.Duration) scheduler.Out) {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := input(a.daemon.Now())
	for _, m := range out.Decisions {
		a.route(d, m)
	}
	if out.NeedsSlots {
		select {
		case d.wake <- struct{}{}:
		default:
		}
	}
}

// route hands a decision to its request's stream; the dispatcher is locked.
func (a *API) route(d *dispatcher, m scheduler.Decision) {
	if m.Action == scheduler.SettleClaim {
		go a.settleClaim(d, m) // goes on when its request has been answered
		return
	}
	s := d.streams[m.RequestID]
	if s == nil {
		return
	}
	switch m.Action {
	case scheduler.CancelCall:
		s.cancelCall(m.Attempt)
		return
	case scheduler.Respond:
		a.traces.add(m.Answer.Trace)
		delete(d.streams, m.RequestID)
		if m.Answer.ClientStalled {
			s.unblock()
		}
	}
	s.put(m)
}

// keepShare keeps a dispatcher's share of slots fresh and its queue moving.
func (a *API) keepShare(d *dispatcher) {
	interval := a.daemon.Cfg.PlacementConfig().ShareLength / 8
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	pinned := map[string]bool{}
	for {
		select {
		case <-a.ctx.Done():
			return
		case <-ticker.C:
		case <-d.wake:
		}
		a.step(d, d.Tick)
		d.mu.Lock()
		demand := d.Demand()
		keys := d.Keys()
		d.mu.Unlock()
		for _, key := range keys {
			if !pinned[key] {
				pinned[key] = true
				a.daemon.Pin(d.partition, key)
			}
		}
		if share, askedAt, ok := a.daemon.RequestSlots(a.ctx, d.partition, demand, 2*interval); ok {
			a.step(d, func(now time.Duration) scheduler.Out { return d.SetShare(now, share, askedAt) })
		}
	}
}

// addStream has decisions on a request go to its stream.
func (d *dispatcher) addStream(s *stream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.streams[s.request.ID] = s
}

// piecesTaken tells how many pieces a client has taken.
func (d *dispatcher) piecesTaken(now time.Duration, id string, pieces int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.PiecesTaken(now, id, pieces)
}

// claimCall is the body of the call to the leader that a decision on a once key asks for.
func (a *API) claimCall(m scheduler.Decision) []byte {
	claim := leadercall.Claim{Request: m.RequestID, Daemon: a.daemon.Cfg.HTTPAddr, State: m.ClaimState}
	return leadercall.Pack(leader.ClaimCall{Key: m.OnceKey, Claim: claim})
}

// settleClaim records what became of a claimed request. It is tried for long,
// since a key that was refused and stays claimed can't be used again.
func (a *API) settleClaim(d *dispatcher, m scheduler.Decision) {
	a.daemon.Call(a.ctx, d.partition, "unclaim", a.claimCall(m), a.daemon.Cfg.Bounds.Recover)
}
