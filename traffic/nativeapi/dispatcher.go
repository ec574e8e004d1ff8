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

// dispatcher is the state machine of one service with the lock that guards it.
type dispatcher struct {
	partition int
	wake      chan struct{} // signals that requests need slots

	mu sync.Mutex // guards the fields below
	*scheduler.Dispatcher
	streams map[string]*stream // by request ID
}

// dispatcherFor returns the dispatcher of a service, which is created for the service's first request.
func (a *API) dispatcherFor(service string) *dispatcher {
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
		go a.renewShare(d)
	}
	return stored.(*dispatcher)
}

func (a *API) allDispatchers() iter.Seq[*dispatcher] {
	return func(yield func(*dispatcher) bool) {
		a.dispatchers.Range(func(_, v any) bool { return yield(v.(*dispatcher)) })
	}
}

// step applies one input to a dispatcher and passes the resulting decisions to the streams.
func (a *API) step(d *dispatcher, input func(now time.Duration) scheduler.Out) {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := input(a.daemon.Now())
	for _, decision := range out.Decisions {
		a.routeDecision(d, decision)
	}
	if out.NeedsSlots {
		select {
		case d.wake <- struct{}{}:
		default:
		}
	}
}

// routeDecision passes a decision to its request's stream. The caller holds the dispatcher's lock.
func (a *API) routeDecision(d *dispatcher, decision scheduler.Decision) {
	if decision.Action == scheduler.SettleClaim {
		go a.settleClaim(d, decision) // continues after the request has been answered
		return
	}
	s := d.streams[decision.RequestID]
	if s == nil {
		return
	}
	switch decision.Action {
	case scheduler.CancelCall:
		s.cancelCall(decision.Attempt)
		return
	case scheduler.Respond:
		a.traces.add(decision.Answer.Trace)
		delete(d.streams, decision.RequestID)
		if decision.Answer.ClientStalled {
			s.abortWrite()
		}
	}
	s.enqueue(decision)
}

// renewShare renews a dispatcher's share of slots, ticks the dispatcher and pins the records that it reads,
// until the daemon stops.
func (a *API) renewShare(d *dispatcher) {
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

// addStream registers a stream for its request's decisions.
func (d *dispatcher) addStream(s *stream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.streams[s.request.ID] = s
}

// piecesTaken records how many pieces a client has taken.
func (d *dispatcher) piecesTaken(now time.Duration, id string, pieces int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.PiecesTaken(now, id, pieces)
}

// claimBody returns the body of the call to the leader for a Claim or SettleClaim decision.
func (a *API) claimBody(decision scheduler.Decision) []byte {
	claim := leadercall.Claim{Request: decision.RequestID, Daemon: a.daemon.Cfg.HTTPAddr, State: decision.ClaimState}
	return leadercall.MustMarshal(leader.ClaimCall{Key: decision.OnceKey, Claim: claim})
}

// settleClaim records the result of a claimed request at the leader. It keeps trying for the long recovery
// timeout, because the key of a refused request can't be used again while it stays claimed.
func (a *API) settleClaim(d *dispatcher, decision scheduler.Decision) {
	a.daemon.Call(a.ctx, d.partition, "unclaim", a.claimBody(decision), a.daemon.Cfg.Bounds.Recover)
}
