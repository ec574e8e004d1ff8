package forward

import (
	"hash/fnv"
	"strconv"
	"time"

	"mulleinmast/control/placement"
	"mulleinmast/traffic/attempt"
)

// Board tells what all daemons together have under way at servers and which
// prompts servers keep. What it says may be old or lacking: it makes a choice
// better, never safe.
type Board interface {
	// Begin records work sent from here; with the signs turned round, its end.
	Begin(server string, tokens, writing int)
	// Load is what is under way at a server from all daemons: prompt tokens to
	// be read, answers being written, and the pause between their events of late.
	Load(now time.Duration, server string) (tokens, writing int, pause time.Duration)
	// Paused records the time between two events of an answer.
	Paused(server string, d time.Duration)
	// Came records the end of a call: with an answer of any kind, or without a word.
	Came(now time.Duration, server string, answered bool)
	// Down tells whether a server most likely answers nobody.
	Down(now time.Duration, server string) bool
	// Keeps records that a server read or took up a prompt, and how many tokens
	// it had to keep anew.
	Keeps(prefix uint64, server string, tokens int)
	// Has tells whether a server most likely keeps a prompt's shared parts.
	Has(prefix uint64, server string) bool
}

// Weights say what a choice costs beside time, in parts of a request's worth.
type Weights struct {
	Far   float64 // a KB of the request's body sent to another zone
	Again float64 // 1,000 tokens read that another server keeps
	Moved float64 // 1,000 tokens of prompt memory moved within a zone
	Apart float64 // and to another zone, times that
	Miss  float64 // a server that is not first in a prompt's order
	Cold  float64 // a server that warms up
	Stall float64 // an answer under way whose pause gets too long
}

// shared is the length in tokens of the parts that others may have in common
// with this prompt (the last part is its own), and a key for them.
func shared(parts []Part) (tokens int, key uint64) {
	h := fnv.New64a()
	for i, p := range parts {
		if i == len(parts)-1 {
			break
		}
		tokens += p.Tokens
		_, _ = h.Write(strconv.AppendUint(nil, p.Key, 16))
		_, _ = h.Write([]byte{'/'})
	}
	return tokens, h.Sum64()
}

// weight ranks servers for a key, alike on all daemons without talk.
func weight(key uint64, server string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(strconv.AppendUint(nil, key, 16))
	_, _ = h.Write([]byte(server))
	x := h.Sum64()
	x ^= x >> 31
	x *= 0x9e3779b97f4a7c15
	return x ^ x>>29
}

// candidates are the servers of a part that may get the request now: not tried
// before, not shy, failing that, shy ones; one that warms up only as far as the
// daemons together may use it.
func (l *Lane) candidates(now time.Duration, t *trip, part string, phase attempt.Phase) []Server {
	var good, shy []Server
	for i := range l.order { // from another one for each request: where costs are equal the first is taken
		s := l.rows[l.order[(uint64(i)+t.dice)%uint64(len(l.order))]]
		switch {
		case s.Part != part || t.led.Tried(phase, s.Key) || s.Warming && !l.bears(now, s.Key):
		case now < l.stat(s.Key).shyUntil || l.board.Down(now, s.Key):
			shy = append(shy, s)
		default:
			good = append(good, s)
		}
	}
	if len(good) > 0 {
		return good
	}
	return shy
}

// option is one way to go: a server, and what it costs in parts of the
// request's worth.
type option struct {
	Server
	wait   time.Duration // until it could begin
	took   time.Duration // to read the prompt
	costs  float64       // beside time
	unread int           // tokens that it has to read
	busy   int           // answers that it writes
	pause  time.Duration // between their events of late
}

// late is what an answer loses whose first event comes after d: nothing while
// that is well inside the aim, half of its worth by the aim, more beyond.
func late(d, aim time.Duration) float64 {
	x := float64(d) / float64(max(aim, time.Millisecond))
	switch {
	case x <= 0.4:
		return 0.05 * x
	case x <= 1:
		return 0.02 + 0.4*(x-0.4)
	}
	return 0.5 + 0.2*(x-1)
}

func ms(tokens int, pace float64) time.Duration {
	return time.Duration(float64(tokens) / pace * float64(time.Millisecond))
}

// options weighs the servers of a part for reading the prompt at a pace.
func (l *Lane) options(now time.Duration, t *trip, part string, phase attempt.Phase, pace float64) []option {
	list := l.candidates(now, t, part, phase)
	tokens, key := shared(t.Parts)
	tokens = min(tokens, t.In)
	kept := false
	has := make([]bool, len(list))
	for i, s := range list {
		has[i] = tokens > 0 && l.board.Has(key, s.Key)
		kept = kept || has[i]
	}
	w := l.cfg.Weights
	out := make([]option, 0, len(list))
	for i, s := range list {
		o := option{Server: s, unread: t.In}
		if has[i] {
			o.unread -= tokens
		} else if kept || l.known(key) {
			o.costs += w.Again * float64(tokens) / 1000
		}
		load, writing, pause := l.board.Load(now, s.Key)
		o.wait, o.busy, o.pause = ms(load, pace), writing, pause
		if over := writing - s.Slots; over >= 0 && part == placement.Decode {
			o.wait += time.Duration(over+1) * t.Aim / time.Duration(max(1, s.Slots))
		}
		o.took = ms(o.unread, pace)
		if s.Zone != l.cfg.Zone {
			o.costs += w.Far * float64(t.Bytes) / 1024
		}
		if s.Warming {
			o.costs += w.Cold
		}
		// A hair of chance from the request itself keeps daemons from herding.
		o.costs += float64(weight(t.dice, s.Key)%1024) / 1024 * w.Miss / 8
		out = append(out, o)
	}
	if !kept && tokens > 0 { // nobody is known to keep it: an order that all daemons share
		rank := l.ranks(list, key)
		for i := range out {
			out[i].costs += w.Miss * float64(rank[out[i].Key]) * min(1, float64(tokens)/1000)
		}
	}
	return out
}

// ranks orders the servers for a key, alike on all daemons of all zones; the
// first few have rank 0, 1, 2, all others 3.
func (l *Lane) ranks(list []Server, key uint64) map[string]int {
	own := make([]uint64, len(list))
	var top [3]uint64 // the highest, first to third
	for i, s := range list {
		w := weight(key, s.Key)
		own[i] = w
		for j := range top {
			if w > top[j] {
				w, top[j] = top[j], w
			}
		}
	}
	out := make(map[string]int, len(list))
	for i, s := range list {
		n := 0
		for _, w := range top {
			if w > own[i] {
				n++
			}
		}
		out[s.Key] = n
	}
	return out
}

// known tells whether any server at all is known to keep the shared parts.
func (l *Lane) known(key uint64) bool {
	for k := range l.rows {
		if l.board.Has(key, k) {
			return true
		}
	}
	return false
}

// choose weighs reading apart against a server that reads and writes, and
// where; a handle that is there already leaves only the second half to choose.
func (l *Lane) choose(now time.Duration, t *trip, apart bool) (m Move, ok bool) {
	decodeServers := l.options(now, t, placement.Decode, attempt.Decode, l.pace/2)
	if t.handle != nil {
		best, _ := l.second(t, decodeServers, t.handle.Server, 0, 0)
		return Move{Kind: Write, To: best.Server, Handle: t.handle}, best.Key != ""
	}
	lowest := 0.0
	for _, o := range decodeServers {
		if c := late(o.wait+o.took, t.Aim) + o.costs + l.stall(o) + l.slow(o); !ok || c < lowest {
			m, ok, lowest, t.unread = Move{Kind: Write, To: o.Server}, true, c, o.unread
			t.queued, t.took = o.wait, o.took
		}
	}
	if !apart {
		return m, ok
	}
	for _, o := range l.options(now, t, placement.Prefill, attempt.Prefill, l.pace) {
		best, c := l.second(t, decodeServers, o.Server, o.wait+o.took, o.costs)
		if best.Key != "" && (!ok || c < lowest) {
			m, ok, lowest, t.unread = Move{Kind: Read, To: o.Server}, true, c, o.unread
			t.queued, t.took = o.wait+best.wait/2, o.took
		}
	}
	return m, ok
}

// stall is what the answers under way at a server lose while it reads a prompt
// between their tokens: nothing while the pause that this makes is well below
// the longest that is in time, all their timeliness beyond.
func (l *Lane) stall(o option) float64 {
	if l.gap == 0 || o.busy == 0 {
		return 0
	}
	x := float64(o.pause+o.wait+o.took)/float64(l.gap) - 0.5
	return l.cfg.Weights.Stall * float64(o.busy) * min(1, max(0, x/0.3))
}

// slow is what an answer loses at a server whose events come too far apart.
func (l *Lane) slow(o option) float64 {
	if l.gap == 0 {
		return 0
	}
	return min(1, max(0, float64(o.pause)/float64(l.gap)-0.3))
}

// second picks the writing server for a prompt that was read at a server after
// some time and at some cost.
func (l *Lane) second(t *trip, decodeServers []option, from Server, after time.Duration, costs float64) (best option, lowest float64) {
	w := l.cfg.Weights
	for _, o := range decodeServers {
		c := costs + w.Moved*float64(t.In)/1000
		if o.Zone != from.Zone {
			c = costs + w.Moved*w.Apart*float64(t.In)/1000
		}
		if o.Zone != l.cfg.Zone {
			c += w.Far * float64(t.Bytes) / 1024
		}
		c += late(after+o.wait/2, t.Aim) + l.slow(o)
		if best.Key == "" || c < lowest {
			best, lowest = o, c
		}
	}
	return best, lowest
}
