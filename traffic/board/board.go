// Package board is what the daemons tell each other of the servers' load and
// of the prompts that servers keep. It is a hint, never a ground for safety:
// a telling that is lost or late makes a choice worse, not wrong. Each daemon
// tells the head of its zone, heads tell each other their zone's sum, and each
// head tells its zone the whole: so a daemon hears one telling a beat, however
// large the fleet is. A plain state machine; its user holds a lock.
package board

import (
	"hash/fnv"
	"maps"
	"time"
)

// Config holds the bounds of the board.
type Config struct {
	Beat time.Duration // between two tellings
	Old  time.Duration // a telling counts for so long
	Most int           // messages of kept prompts in one telling
	Keep float64       // part of a server's memory that is taken to be kept
	Size int           // prompts remembered
}

// The kinds of sheets.
const (
	leaf  byte = iota + 1 // a daemon's own
	zonal                 // a zone's sum, from its head to another
	whole                 // the fleet's sum, from a head to its zone
)

type heard struct {
	at   time.Duration
	uses map[uint64]Use
}

// loadReport is a Kept with the daemon that told it, which need not be told again.
type loadReport struct {
	Kept
	from string
}

type place struct {
	clock float64 // of the server when it last had the prompt
}

// Board is the state machine of one daemon.
type Board struct {
	cfg    Config
	own    map[uint64]Use   // under way from here, now
	told   map[uint64]Use   // and when last told
	leaves map[string]heard // of the daemons of this zone, if this is its head
	zones  map[string]heard // of the other zones
	whole  heard            // the fleet's sum, from our head
	marks  map[uint64]mark
	pauses map[uint64]time.Duration // between events of late, as seen here
	head   bool
	next   time.Duration

	toZone, toHeads telling // as head: what was told last

	news  []Kept       // of our own, not yet told to our head
	pass  []Kept       // for the other heads: of this zone
	spill []loadReport // for the daemons of this zone

	clocks map[uint64]float64           // tokens that each server had to keep, so far
	memory map[uint64]float64           // tokens that it can keep
	at     map[uint64]map[uint64]*place // prompt -> server
	order  []uint64
}

// New makes an empty board.
//
// Example: b := board.New(board.Config{Beat: 250 * time.Millisecond, Old: time.Second, Most: 128, Keep: 0.7, Size: 1 << 15})
func New(cfg Config) *Board {
	return &Board{
		cfg: cfg, own: map[uint64]Use{}, told: map[uint64]Use{}, leaves: map[string]heard{}, zones: map[string]heard{}, pauses: map[uint64]time.Duration{}, marks: map[uint64]mark{},
		clocks: map[uint64]float64{}, memory: map[uint64]float64{}, at: map[uint64]map[uint64]*place{},
	}
}

// Name is the short name of a server of a service on the board.
//
// Example: id := board.Name("timetable", "10.0.0.1:9000")
func Name(service, server string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(service))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(server))
	return h.Sum64()
}

// Begin records work sent to a server from here; End takes it off with the signs
// turned round.
//
// Example: b.Begin(id, 1460, 0)
func (b *Board) Begin(server uint64, tokens, writing int) {
	u := b.own[server]
	u.Server, u.Tokens, u.Writing = server, u.Tokens+tokens, u.Writing+writing
	if u.Tokens == 0 && u.Writing == 0 {
		delete(b.own, server)
		return
	}
	u.Pause = int(b.pauses[server]/time.Millisecond) * u.Writing
	b.own[server] = u
}

// mark is what became of a daemon's own calls to a server.
type mark struct{ good, bad time.Duration }

// Came records the end of a call to a server: with an answer of any kind, or
// without a word.
//
// Example: b.Came(now, id, false)
func (b *Board) Came(now time.Duration, server uint64, answered bool) {
	m := b.marks[server]
	if m.good == 0 && m.bad == 0 {
		m = mark{-time.Hour, -time.Hour}
	}
	if answered {
		m.good = now
	} else {
		m.bad = now
	}
	b.marks[server] = m
}

// marked is the own use of servers with what became of the calls to them.
func (b *Board) marked(now time.Duration) map[uint64]Use {
	out := maps.Clone(b.own)
	for id, m := range b.marks {
		u := out[id]
		u.Server = id
		if now-m.good < 4*b.cfg.Beat {
			u.Good = 1
		}
		if m.bad > m.good && now-m.bad < 8*b.cfg.Beat {
			u.Bad = 1
		}
		if u.Good+u.Bad > 0 {
			out[id] = u
		} else if now-max(m.good, m.bad) > 40*b.cfg.Beat {
			delete(b.marks, id)
		}
	}
	return out
}

// Down tells whether a server most likely answers nobody: some daemons had no
// word from it, and not more of them had one just now.
//
// Example: if b.Down(now, id) { avoid(server) }
func (b *Board) Down(now time.Duration, server uint64) bool {
	u := b.Load(now, server)
	return u.Bad > 0 && u.Bad >= u.Good
}

// Paused records the time between two events of an answer.
//
// Example: b.Paused(id, 42*time.Millisecond)
func (b *Board) Paused(server uint64, d time.Duration) {
	old, ok := b.pauses[server]
	if !ok {
		old = d
	}
	b.pauses[server] = old + (d-old)/8
	if u, ok := b.own[server]; ok {
		u.Pause = int(b.pauses[server]/time.Millisecond) * u.Writing
		b.own[server] = u
	}
}

// Load is what is under way at a server, from all daemons as far as heard and
// from here as of now.
//
// Example: u := b.Load(now, id); wait := u.Tokens / pace
func (b *Board) Load(now time.Duration, server uint64) (sum Use) {
	sum = b.own[server]
	if m, ok := b.marks[server]; ok && b.told != nil {
		sum.Good, sum.Bad = b.told[server].Good, b.told[server].Bad
		if m.good > m.bad {
			sum.Bad = 0
		}
	}
	add := func(u Use) {
		sum.Tokens, sum.Writing, sum.Pause = sum.Tokens+u.Tokens, sum.Writing+u.Writing, sum.Pause+u.Pause
		sum.Good, sum.Bad = sum.Good+u.Good, sum.Bad+u.Bad
	}
	if b.head {
		for _, h := range b.leaves {
			if now-h.at < b.cfg.Old {
				add(h.uses[server])
			}
		}
		for _, h := range b.zones {
			if now-h.at < b.cfg.Old {
				add(h.uses[server])
			}
		}
		return sum
	}
	if now-b.whole.at < b.cfg.Old && b.whole.uses != nil {
		u, old := b.whole.uses[server], b.told[server]
		add(Use{
			Tokens: max(0, u.Tokens-old.Tokens), Writing: max(0, u.Writing-old.Writing), Pause: max(0, u.Pause-old.Pause),
			Good: max(0, u.Good-old.Good), Bad: max(0, u.Bad-old.Bad),
		})
	}
	return sum
}

// Keeps messages from here that a server read or took up a prompt; tokens are
// those that it had to keep anew.
//
// Example: b.Keeps(prefix, id, 1460)
func (b *Board) Keeps(prefix, server uint64, tokens int) {
	k := Kept{Prefix: prefix, Server: server, Tokens: tokens}
	b.learn(k)
	b.news = append(b.news, k)
}

func (b *Board) learn(k Kept) {
	b.clocks[k.Server] += float64(k.Tokens)
	list := b.at[k.Prefix]
	if list == nil {
		if len(b.order) >= b.cfg.Size {
			delete(b.at, b.order[0])
			b.order = b.order[1:]
		}
		list = map[uint64]*place{}
		b.at[k.Prefix] = list
		b.order = append(b.order, k.Prefix)
	}
	p := list[k.Server]
	if p == nil {
		p = &place{}
		list[k.Server] = p
	}
	p.clock = b.clocks[k.Server]
}

// Memory tells how many tokens a server can keep.
//
// Example: b.Memory(id, 295740)
func (b *Board) Memory(server uint64, tokens int) { b.memory[server] = float64(tokens) }

// Has tells whether a server most likely keeps a prompt's shared parts still.
//
// Example: if b.Has(prefix, id) { prefer(server) }
func (b *Board) Has(prefix, server uint64) bool {
	p := b.at[prefix][server]
	if p == nil {
		return false
	}
	room := b.memory[server]
	return room == 0 || b.clocks[server]-p.clock < room*b.cfg.Keep
}

// Forget drops a server that is gone.
//
// Example: b.Forget(id)
func (b *Board) Forget(server uint64) {
	delete(b.clocks, server)
	delete(b.memory, server)
	delete(b.pauses, server)
	delete(b.marks, server)
	for _, list := range b.at {
		delete(list, server)
	}
}
