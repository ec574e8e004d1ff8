package gateway

import (
	"time"

	"mulleinmast/traffic/loadreport"
)

// serviceLoads gives the dispatcher of one service access to the load reports.
type serviceLoads struct {
	gateway *Gateway
	service string
}

// AddLoad adds load that this daemon sent to a server.
//
// Example: s.AddLoad(server, 1460, 0)
func (s serviceLoads) AddLoad(server string, tokens, decoding int) {
	s.gateway.loadMu.Lock()
	defer s.gateway.loadMu.Unlock()
	s.gateway.loads.AddLoad(loadreport.ServerID(s.service, server), tokens, decoding)
}

// Load returns the load in flight at a server and its mean inter-token latency.
//
// Example: tokens, decoding, interTokenLatency := s.Load(now, server)
func (s serviceLoads) Load(now time.Duration, server string) (tokens, decoding int, interTokenLatency time.Duration) {
	s.gateway.loadMu.Lock()
	defer s.gateway.loadMu.Unlock()
	u := s.gateway.loads.Load(now, loadreport.ServerID(s.service, server))
	if u.Decoding > 0 {
		interTokenLatency = time.Duration(u.InterTokenSum/u.Decoding) * time.Millisecond
	}
	return u.Tokens, u.Decoding, interTokenLatency
}

// ObserveInterTokenLatency records the time between two events of an answer.
//
// Example: s.ObserveInterTokenLatency(server, 42*time.Millisecond)
func (s serviceLoads) ObserveInterTokenLatency(server string, d time.Duration) {
	s.gateway.loadMu.Lock()
	defer s.gateway.loadMu.Unlock()
	s.gateway.loads.ObserveInterTokenLatency(loadreport.ServerID(s.service, server), d)
}

// CallEnded records the end of a call, with or without an answer.
//
// Example: s.CallEnded(now, server, true)
func (s serviceLoads) CallEnded(now time.Duration, server string, answered bool) {
	s.gateway.loadMu.Lock()
	defer s.gateway.loadMu.Unlock()
	s.gateway.loads.CallEnded(now, loadreport.ServerID(s.service, server), answered)
}

// IsDown reports whether a server is probably down.
//
// Example: if s.IsDown(now, server) { avoid(server) }
func (s serviceLoads) IsDown(now time.Duration, server string) bool {
	s.gateway.loadMu.Lock()
	defer s.gateway.loadMu.Unlock()
	return s.gateway.loads.IsDown(now, loadreport.ServerID(s.service, server))
}

// RecordPrefix records that a server has cached a prompt.
//
// Example: s.RecordPrefix(prefix, server, 1460)
func (s serviceLoads) RecordPrefix(prefix uint64, server string, tokens int) {
	s.gateway.loadMu.Lock()
	defer s.gateway.loadMu.Unlock()
	s.gateway.loads.RecordPrefix(prefix, loadreport.ServerID(s.service, server), tokens)
}

// HasPrefix reports whether a server probably still has a prompt's prefix cached.
//
// Example: if s.HasPrefix(prefix, server) { prefer(server) }
func (s serviceLoads) HasPrefix(prefix uint64, server string) bool {
	s.gateway.loadMu.Lock()
	defer s.gateway.loadMu.Unlock()
	return s.gateway.loads.HasPrefix(prefix, loadreport.ServerID(s.service, server))
}
