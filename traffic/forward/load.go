package forward

import "time"

// LoadReporter tells what all daemons together have under way at servers and which
// prompts servers keep. What it says may be old or lacking: it makes a choice
// better, never safe.
type LoadReporter interface {
	// AddLoad records work sent from here; with the signs turned round, its end.
	AddLoad(server string, tokens, writing int)
	// Load is what is under way at a server from all daemons: prompt tokens to
	// be read, answers being written, and the pause between their events of late.
	Load(now time.Duration, server string) (tokens, writing int, pause time.Duration)
	// ObserveInterTokenLatency records the time between two events of an answer.
	ObserveInterTokenLatency(server string, d time.Duration)
	// CallEnded records the end of a call: with an answer of any kind, or without a word.
	CallEnded(now time.Duration, server string, answered bool)
	// IsDown tells whether a server most likely answers nobody.
	IsDown(now time.Duration, server string) bool
	// RecordPrefix records that a server read or took up a prompt, and how many tokens
	// it had to keep anew.
	RecordPrefix(prefix uint64, server string, tokens int)
	// HasPrefix tells whether a server most likely keeps a prompt's shared parts.
	HasPrefix(prefix uint64, server string) bool
}
