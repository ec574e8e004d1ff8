package sim

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"mulleinmast/control/placement"
	"mulleinmast/proof/history"
	"mulleinmast/proof/script"
	"mulleinmast/traffic/serverpool"
)

// fakeServer is a simulated model server. It checks nothing that the fleet is to
// check: a decode server takes up whatever cache a handle leads to.
type fakeServer struct {
	world             *world
	addr              string
	service           string
	zone              string
	capacity          int
	warmUp            time.Duration
	up, dark          bool
	removed           bool
	starts            int
	startedAt         time.Duration
	role              string
	term, orderNumber uint64
	busy              int
	caches            map[string]cache
	cachedPrefixes    map[uint64]bool
	handleCount       int
	links             map[string]int
	connections       map[*connection]bool
	leaving           bool
	leavingSeen       bool
	cross             bool // answers are crossed: somebody else's handle comes back
	breaks            bool // streams break
	drops             bool // streams break before their first piece
	skip              bool // a piece is left out
	twice             bool // a piece comes twice
	slow              int
	linkDelay         time.Duration
	lapseAll          bool
}

type cache struct {
	request string
	attempt int
	prompt  uint64
}

func addrOf(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }

// lag is the time on the wire between a daemon and a server or a client.
func (w *world) lag() time.Duration { return 100*time.Microsecond + w.exp(300*time.Microsecond) }

func (d *fakeServer) jot(e history.Event) { e.Who = d.addr; d.world.jot(e) }

func (d *fakeServer) boot() {
	if d.up || d.removed {
		return
	}
	d.up, d.dark = true, false
	d.starts++
	d.startedAt, d.role, d.term, d.orderNumber, d.busy = d.world.now, "", 0, 0, 0
	d.caches, d.cachedPrefixes = map[string]cache{}, map[uint64]bool{}
	d.links, d.connections = map[string]int{}, map[*connection]bool{}
	d.jot(history.Event{Ev: "boot", N: d.capacity, Zone: d.zone, Warm: int64(d.warmUp)})
}

func (d *fakeServer) crash() {
	d.up = false
	d.starts++
	byRequest := func(a, b *connection) int { return strings.Compare(a.act.RequestID, b.act.RequestID) }
	for _, l := range slices.SortedFunc(maps.Keys(d.connections), byRequest) {
		delete(d.connections, l)
		l.end(serverpool.Lost, "connection lost")
	}
}

// in runs f in this life of the server.
func (d *fakeServer) in(t time.Duration, f func()) {
	life := d.starts
	d.world.at(t*time.Duration(max(1, d.slow)), func() {
		if d.up && d.starts == life {
			f()
		}
	})
}

func (d *fakeServer) usage() placement.Usage {
	if d.leaving != d.leavingSeen { // the moment that the first daemon knows
		d.leavingSeen = d.leaving
		d.jot(history.Event{Ev: map[bool]string{true: "leaving", false: "staying"}[d.leavingSeen]})
	}
	links := map[string]int{}
	for a, ms := range d.links {
		links[a] = ms
	}
	uptime := d.world.now - d.startedAt
	return placement.Usage{
		Active:       d.busy,
		UptimeMillis: uptime.Milliseconds(),
		Leaving:      d.leaving,
		Warming:      uptime < d.warmUp && d.world.options.Sabotage != "noramp",
		LinkMillis:   links,
	}
}

func (d *fakeServer) ordered(holder string, o placement.Order) bool {
	if !d.up || d.dark {
		return false
	}
	d.jot(history.Event{Ev: "order", Holder: holder, Term: o.Term, Part: o.Role, Why: o.Reason})
	if o.Term < d.term || o.Term == d.term && o.Number <= d.orderNumber {
		return false
	}
	d.term, d.orderNumber, d.role = o.Term, o.Number, o.Role
	return true
}

// enter takes a slot for a part, or says why not.
func (d *fakeServer) enter(part string) string {
	switch {
	case d.role != part:
		return "not a " + part
	case d.busy >= d.capacity:
		return "full"
	}
	d.busy++
	return ""
}

func (d *fakeServer) away(l *connection, out serverpool.Outcome, part, why string) {
	word := "shed"
	if out == serverpool.HandleLost {
		word = "lapsed"
	}
	d.jot(history.Event{Ev: word, Part: part, Request: l.act.RequestID, Why: why})
	l.end(out, why)
}

// lets takes a call in, or says why not; a dark server says nothing.
func (d *fakeServer) lets(l *connection, part string) bool {
	if !d.up {
		l.end(serverpool.Lost, "connection lost")
	}
	if !d.up || d.dark {
		return false
	}
	if why := d.enter(part); why != "" {
		d.away(l, serverpool.Refused, part, why)
		return false
	}
	d.connections[l] = true
	return true
}

func (d *fakeServer) prefill(l *connection, p serverpool.PrefillRequest) {
	if !d.lets(l, placement.Prefill) {
		return
	}
	d.jot(history.Event{Ev: "prefill", Request: p.Request, Term: p.Term, N: d.busy})
	t, cached := 2*time.Millisecond, 0
	for i, c := range p.PrefixHashes {
		if d.cachedPrefixes[c] {
			cached = i + 1
		} else {
			t += time.Duration(len(p.Parts[i].Text)) * 100 * time.Microsecond
		}
	}
	d.in(t, func() {
		d.busy--
		delete(d.connections, l)
		for _, c := range p.PrefixHashes {
			d.cachedPrefixes[c] = true
		}
		d.handleCount++
		h := serverpool.Handle{
			ID:      fmt.Sprintf("%s/%d/%d", d.addr, d.starts, d.handleCount),
			Request: p.Request, Attempt: p.Attempt, PrefillServer: d.addr, RecordVersion: p.RecordVersion, CachedParts: cached,
		}
		d.caches[h.ID] = cache{p.Request, p.Attempt, script.Prompt(p.Parts)}
		if d.cross {
			for i := d.handleCount - 1; i > 0; i-- {
				id := fmt.Sprintf("%s/%d/%d", d.addr, d.starts, i)
				if c, ok := d.caches[id]; ok && c.request != p.Request {
					h.ID, h.Request, h.Attempt = id, c.request, c.attempt
					break
				}
			}
		}
		l.handle(h)
	})
}

// twin is another decode server of the same service.
func (d *fakeServer) twin() *fakeServer {
	for _, a := range d.world.addrs {
		if o := d.world.fakeServers[a]; o != d && o.service == d.service && o.up && o.role == placement.Decode {
			return o
		}
	}
	return nil
}

func (d *fakeServer) decode(l *connection, p serverpool.DecodeRequest) {
	if !d.lets(l, placement.Decode) {
		return
	}
	r := d.world.fakeServers[p.Handle.PrefillServer]
	link := d.linkDelay + r.linkDelay + d.world.exp(time.Millisecond)
	if r.zone != d.zone {
		link += time.Millisecond
	}
	d.in(link, func() {
		kv, ok := r.caches[p.Handle.ID]
		if !ok || !r.up || r.dark || r.lapseAll {
			d.busy--
			delete(d.connections, l)
			d.away(l, serverpool.HandleLost, placement.Decode, "no such handle")
			return
		}
		d.links[r.addr] = int(link.Milliseconds())
		d.jot(history.Event{
			Ev: "decode", Request: p.Handle.Request, CacheOf: kv.request, Run: p.RunID, Once: p.OnceKey,
			Term: p.Term, N: d.busy,
		})
		seen := 0
		d.step(l, p, kv, 0, &seen)
	})
}

// step writes one piece and goes on; a daemon that hung up ends the run.
func (d *fakeServer) step(l *connection, p serverpool.DecodeRequest, kv cache, i int, seen *int) {
	d.in(4*time.Millisecond+d.world.exp(4*time.Millisecond), func() {
		done := func() {
			d.busy--
			delete(d.connections, l)
		}
		if !l.open() && d.world.options.Sabotage != "double" {
			done()
			return
		}
		piece := serverpool.Piece{
			Request: p.Handle.Request, RunID: p.RunID, Number: i,
			Text: script.Text(kv.prompt, p.Handle.Request, p.RunID, i),
		}
		switch {
		case d.drops && i == 0:
			done()
			l.end(serverpool.Lost, "stream broke off")
			return
		case d.breaks && i == 2:
			done()
			if d.world.options.Sabotage == "fakeend" { // the broken stream is made to look whole
				l.piece(serverpool.Piece{Request: p.Handle.Request, RunID: p.RunID, End: true, Count: i}, seen)
				return
			}
			if d.world.options.Sabotage == "splice" && d.twin() != nil { // another run goes on where this one broke
				b := d.twin()
				b.busy++
				q := p
				q.RunID = p.RunID + "-again"
				b.jot(history.Event{Ev: "decode", Request: p.Handle.Request, CacheOf: kv.request, Run: q.RunID, N: b.busy})
				b.connections[l] = true
				l.act.DecodeCall.RunID = q.RunID
				b.splice(l, p, q.RunID, kv, i, seen)
				return
			}
			l.end(serverpool.Lost, "stream broke off")
			return
		case i == p.Tokens:
			done()
			d.jot(history.Event{Ev: "ended", Request: p.Handle.Request, Run: p.RunID, Count: i})
			l.piece(serverpool.Piece{Request: p.Handle.Request, RunID: p.RunID, End: true, Count: i}, seen)
			return
		case d.skip && i == 1:
		default:
			l.piece(piece, seen)
			if d.twice && i == 1 {
				l.piece(piece, seen)
			}
		}
		d.step(l, p, kv, i+1, seen)
	})
}

// splice is the sabotage that goes on with another run under the first's name.
func (d *fakeServer) splice(l *connection, p serverpool.DecodeRequest, run string, kv cache, i int, seen *int) {
	d.in(5*time.Millisecond, func() {
		if i == p.Tokens {
			d.busy--
			delete(d.connections, l)
			d.jot(history.Event{Ev: "ended", Request: p.Handle.Request, Run: p.RunID, Count: i})
			l.piece(serverpool.Piece{Request: p.Handle.Request, RunID: p.RunID, End: true, Count: i}, seen)
			return
		}
		l.piece(serverpool.Piece{
			Request: p.Handle.Request, RunID: p.RunID, Number: i,
			Text: script.Text(kv.prompt, p.Handle.Request, run, i),
		}, seen)
		d.splice(l, p, run, kv, i+1, seen)
	})
}
