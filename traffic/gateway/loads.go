package gateway

import (
	"time"

	"mulleinmast/traffic/loadreport"
)

// serviceLoads is the board as one service's lane sees it.
type serviceLoads struct {
	gateway *Gateway
	service string
}

// AddLoad records work sent from here.
//
// Example: n.AddLoad(server, 1460, 0)
func (n serviceLoads) AddLoad(server string, tokens, writing int) {
	n.gateway.loadMu.Lock()
	defer n.gateway.loadMu.Unlock()
	n.gateway.loads.AddLoad(loadreport.ServerID(n.service, server), tokens, writing)
}

// Load is what is under way at a server.
//
// Example: tokens, writing, pause := n.Load(now, server)
func (n serviceLoads) Load(now time.Duration, server string) (tokens, writing int, pause time.Duration) {
	n.gateway.loadMu.Lock()
	defer n.gateway.loadMu.Unlock()
	u := n.gateway.loads.Load(now, loadreport.ServerID(n.service, server))
	if u.Decoding > 0 {
		pause = time.Duration(u.InterTokenSum/u.Decoding) * time.Millisecond
	}
	return u.Tokens, u.Decoding, pause
}

// ObserveInterTokenLatency records the time between two events.
//
// Example: n.ObserveInterTokenLatency(server, 42*time.Millisecond)
func (n serviceLoads) ObserveInterTokenLatency(server string, d time.Duration) {
	n.gateway.loadMu.Lock()
	defer n.gateway.loadMu.Unlock()
	n.gateway.loads.ObserveInterTokenLatency(loadreport.ServerID(n.service, server), d)
}

// CallEnded records the end of a call.
//
// Example: n.CallEnded(now, server, true)
func (n serviceLoads) CallEnded(now time.Duration, server string, answered bool) {
	n.gateway.loadMu.Lock()
	defer n.gateway.loadMu.Unlock()
	n.gateway.loads.CallEnded(now, loadreport.ServerID(n.service, server), answered)
}

// IsDown tells whether a server most likely answers nobody.
//
// Example: if n.IsDown(now, server) { avoid(server) }
func (n serviceLoads) IsDown(now time.Duration, server string) bool {
	n.gateway.loadMu.Lock()
	defer n.gateway.loadMu.Unlock()
	return n.gateway.loads.IsDown(now, loadreport.ServerID(n.service, server))
}

// RecordPrefix records that a server has a prompt.
//
// Example: n.RecordPrefix(prefix, server, 1460)
func (n serviceLoads) RecordPrefix(prefix uint64, server string, tokens int) {
	n.gateway.loadMu.Lock()
	defer n.gateway.loadMu.Unlock()
	n.gateway.loads.RecordPrefix(prefix, loadreport.ServerID(n.service, server), tokens)
}

// HasPrefix tells whether a server most likely keeps a prompt.
//
// Example: if n.HasPrefix(prefix, server) { prefer(server) }
func (n serviceLoads) HasPrefix(prefix uint64, server string) bool {
	n.gateway.loadMu.Lock()
	defer n.gateway.loadMu.Unlock()
	return n.gateway.loads.HasPrefix(prefix, loadreport.ServerID(n.service, server))
}
