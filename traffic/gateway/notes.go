package gateway

import (
	"time"

	"mulleinmast/traffic/board"
)

// notes is the board as one service's lane sees it.
type notes struct {
	g   *Gateway
	svc string
}

// AddLoad records work sent from here.
//
// Example: n.AddLoad(server, 1460, 0)
func (n notes) AddLoad(server string, tokens, writing int) {
	n.g.bmu.Lock()
	defer n.g.bmu.Unlock()
	n.g.board.Begin(board.Name(n.svc, server), tokens, writing)
}

// Load is what is under way at a server.
//
// Example: tokens, writing, pause := n.Load(now, server)
func (n notes) Load(now time.Duration, server string) (tokens, writing int, pause time.Duration) {
	n.g.bmu.Lock()
	defer n.g.bmu.Unlock()
	u := n.g.board.Load(now, board.Name(n.svc, server))
	if u.Writing > 0 {
		pause = time.Duration(u.Pause/u.Writing) * time.Millisecond
	}
	return u.Tokens, u.Writing, pause
}

// ObserveInterTokenLatency records the time between two events.
//
// Example: n.ObserveInterTokenLatency(server, 42*time.Millisecond)
func (n notes) ObserveInterTokenLatency(server string, d time.Duration) {
	n.g.bmu.Lock()
	defer n.g.bmu.Unlock()
	n.g.board.Paused(board.Name(n.svc, server), d)
}

// CallEnded records the end of a call.
//
// Example: n.CallEnded(now, server, true)
func (n notes) CallEnded(now time.Duration, server string, answered bool) {
	n.g.bmu.Lock()
	defer n.g.bmu.Unlock()
	n.g.board.Came(now, board.Name(n.svc, server), answered)
}

// IsDown tells whether a server most likely answers nobody.
//
// Example: if n.IsDown(now, server) { avoid(server) }
func (n notes) IsDown(now time.Duration, server string) bool {
	n.g.bmu.Lock()
	defer n.g.bmu.Unlock()
	return n.g.board.Down(now, board.Name(n.svc, server))
}

// RecordPrefix records that a server has a prompt.
//
// Example: n.RecordPrefix(prefix, server, 1460)
func (n notes) RecordPrefix(prefix uint64, server string, tokens int) {
	n.g.bmu.Lock()
	defer n.g.bmu.Unlock()
	n.g.board.Keeps(prefix, board.Name(n.svc, server), tokens)
}

// HasPrefix tells whether a server most likely keeps a prompt.
//
// Example: if n.HasPrefix(prefix, server) { prefer(server) }
func (n notes) HasPrefix(prefix uint64, server string) bool {
	n.g.bmu.Lock()
	defer n.g.bmu.Unlock()
	return n.g.board.Has(prefix, board.Name(n.svc, server))
}
