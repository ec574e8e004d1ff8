package forward

import "time"

// LoadReporter reports the load of all daemons at servers and the prompts that servers have
// cached. Its data may be stale or incomplete: it serves to improve choices, and correctness
// must not depend on it.
type LoadReporter interface {
	// AddLoad records work sent by this daemon. Negative numbers record its end.
	AddLoad(server string, tokens, decoding int)
	// Load returns the load of a server from all daemons: prompt tokens still to be
	// prefilled, answers being decoded, and the recent time between their events.
	Load(now time.Duration, server string) (tokens, decoding int, interToken time.Duration)
	// ObserveInterTokenLatency records the time between two events of an answer.
	ObserveInterTokenLatency(server string, d time.Duration)
	// CallEnded records the end of a call, and whether the server answered at all.
	CallEnded(now time.Duration, server string, answered bool)
	// IsDown reports whether a server most likely answers no daemon.
	IsDown(now time.Duration, server string) bool
	// RecordPrefix records that a server prefilled a prompt or fetched its KV cache, and how
	// many tokens it had to add to its cache.
	RecordPrefix(prefix uint64, server string, tokens int)
	// HasPrefix reports whether a server most likely has a prompt's shared parts cached.
	HasPrefix(prefix uint64, server string) bool
}
