package gateway

import (
	"time"

	"mulleinmast/traffic/loadreport"
)

// serviceLoads is the load of all daemons' requests as one service's dispatcher sees it.
type serviceLoads struct {
	gateway *Gateway
	service string
}

// AddLoad records work sent from here.
//
// Example: s.AddLoad(server, 1460, 0)
func (s serviceLoads) AddLoad(server string, tokens, writing int) {
	s.gateway.loadMu.Lock()
	defer s.gateway.loadMu.Unlock()
	s.gateway.loads.AddLoad(loadreport.ServerID(s.service, server), tokens, writing)
}

// Load is what is under way at a server.
//
// Example: tokens, writing, pause := s.Load(now, server)
func (s serviceLoads) Load(now time.Duration, server string) (tokens, writing int, pause time.Duration) {
	s.gateway.loadMu.Lock()
	defer s.gateway.loadMu.Unlock()
	u := s.gateway.loads.Load(now, loadreport.ServerID(s.service, server))
	if u.Decoding > 0 {
		pause = time.Duration(u.InterTokenSum/u.Decoding) * time.Millisecond
	}
	return u.Tokens, u.Decoding, pause
}

// ObserveInterTokenLatency records the time between two events.
//
// Example: s.ObserveInterTokenLatency(server, 42*time.Millisecond)
func (s serviceLoads) ObserveInterTokenLatency(server string, d time.Duration) {
	s.gateway.loadMu.Lock()
	defer s.gateway.loadMu.Unlock()
	s.gateway.loads.ObserveInterTokenLatency(loadreport.ServerID(s.service, server), d)
}

// CallEnded records the end of a call.
//
// Example: s.CallEnded(now, server, true)
func (s serviceLoads) CallEnded(now time.Duration, server string, answered bool) {
	s.gateway.loadMu.Lock()
	defer s.gateway.loadMu.Unlock()
	s.gateway.loads.CallEnded(now, loadreport.ServerID(s.service, server), answered)
}

// IsDown tells whether a server most likely answers nobody.
//
// Example: if s.IsDown(now, server) { avoid(server) }
func (s serviceLoads) IsDown(now time.Duration, server string) bool {
	s.gateway.loadMu.Lock()
	defer s.gateway.loadMu.Unlock()
	return s.gateway.loads.IsDown(now, loadreport.ServerID(s.service, server))
}

// RecordPrefix records that a server has a prompt.
//
// Example: s.RecordPrefix(prefix, server, 1460)
func (s serviceLoads) RecordPrefix(prefix uint64, server string, tokens int) {
	s.gateway.loadMu.Lock()
	defer s.gateway.loadMu.Unlock()
	s.gateway.loads.RecordPrefix(prefix, loadreport.ServerID(s.service, server), tokens)
}

// HasPrefix tells whether a server most likely keeps a prompt.
//
// Example: if s.HasPrefix(prefix, server) { prefer(server) }
func (s serviceLoads) HasPrefix(prefix uint64, server string) bool {
	s.gateway.loadMu.Lock()
	defer s.gateway.loadMu.Unlock()
	return s.gateway.loads.HasPrefix(prefix, loadreport.ServerID(s.service, server))
}
