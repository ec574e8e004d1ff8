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

// fakeServer is a simulated model server. It makes none of the checks that are the fleet's
// task: a decode server uses whatever cache a handle refers to.
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
	crosses           bool // prefill answers carry another request's handle
	breaks            bool // streams break off after some pieces
	drops             bool // streams break off before their first piece
	skips             bool // a piece is left out
	repeats           bool // a piece is sent twice
	slow              int
	linkDelay         time.Duration
	expired           bool // all handles are gone
}

type cache struct {
	request string
	attempt int
	prompt  uint64
}

func addrOf(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }

// lag returns a random network delay between a daemon and a server or client.
func (w *world) lag() time.Duration { return 100*time.Microsecond + w.exp(300*time.Microsecond) }

func (d *fakeServer) writeJournal(e history.Event) { e.Who = d.addr; d.world.writeJournal(e) }

func (d *fakeServer) boot() {
	if d.up || d.removed {
		return
	}
	d.up, d.dark = true, false
	d.starts++
	d.startedAt, d.role, d.term, d.orderNumber, d.busy = d.world.now, "", 0, 0, 0
	d.caches, d.cachedPrefixes = map[string]cache{}, map[uint64]bool{}
	d.links, d.connections = map[string]int{}, map[*connection]bool{}
	d.writeJournal(history.Event{Ev: "boot", N: d.capacity, Zone: d.zone, Warm: int64(d.warmUp)})
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

// schedule runs f after t, unless the server crashes or restarts before.
func (d *fakeServer) schedule(t time.Duration, f func()) {
	starts := d.starts
	d.world.schedule(t*time.Duration(max(1, d.slow)), func() {
		if d.up && d.starts == starts {
			f()
		}
	})
}

func (d *fakeServer) usage() placement.Usage {
	if d.leaving != d.leavingSeen { // a daemon knows from here on
		d.leavingSeen = d.leaving
		d.writeJournal(history.Event{Ev: map[bool]string{true: "leaving", false: "staying"}[d.leavingSeen]})
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

// applyOrder applies a placement order and reports whether it was newer than the last one.
func (d *fakeServer) applyOrder(holder string, o placement.Order) bool {
	if !d.up || d.dark {
		return false
	}
	d.writeJournal(history.Event{Ev: "order", Holder: holder, Term: o.Term, Part: o.Role, Why: o.Reason})
	if o.Term < d.term || o.Term == d.term && o.Number <= d.orderNumber {
		return false
	}
	d.term, d.orderNumber, d.role = o.Term, o.Number, o.Role
	return true
}

// takeSlot takes a slot for a role, or returns the reason why it can't.
func (d *fakeServer) takeSlot(role string) string {
	switch {
	case d.role != role:
		return "not a " + role
	case d.busy >= d.capacity:
		return "full"
	}
	d.busy++
	return ""
}

// refuse records a refusal and answers the call with it.
func (d *fakeServer) refuse(l *connection, out serverpool.Outcome, role, why string) {
	word := "shed"
	if out == serverpool.HandleLost {
		word = "lapsed"
	}
	d.writeJournal(history.Event{Ev: word, Part: role, Request: l.act.RequestID, Why: why})
	l.end(out, why)
}

// accept accepts a call, or refuses it with a reason. A dark server doesn't answer.
func (d *fakeServer) accept(l *connection, role string) bool {
	if !d.up {
		l.end(serverpool.Lost, "connection lost")
	}
	if !d.up || d.dark {
		return false
	}
	if why := d.takeSlot(role); why != "" {
		d.refuse(l, serverpool.Refused, role, why)
		return false
	}
	d.connections[l] = true
	return true
}

func (d *fakeServer) prefill(l *connection, p serverpool.PrefillRequest) {
	if !d.accept(l, placement.Prefill) {
		return
	}
	d.writeJournal(history.Event{Ev: "prefill", Request: p.Request, Term: p.Term, N: d.busy})
	t, cached := 2*time.Millisecond, 0
	for i, c := range p.PrefixHashes {
		if d.cachedPrefixes[c] {
			cached = i + 1
		} else {
			t += time.Duration(len(p.Parts[i].Text)) * 100 * time.Microsecond
		}
	}
	d.schedule(t, func() {
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
		if d.crosses {
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

// otherDecodeServer returns another running decode server of the same service; nil: none.
func (d *fakeServer) otherDecodeServer() *fakeServer {
	for _, a := range d.world.addrs {
		if o := d.world.fakeServers[a]; o != d && o.service == d.service && o.up && o.role == placement.Decode {
			return o
		}
	}
	return nil
}

func (d *fakeServer) decode(l *connection, p serverpool.DecodeRequest) {
	if !d.accept(l, placement.Decode) {
		return
	}
	r := d.world.fakeServers[p.Handle.PrefillServer]
	link := d.linkDelay + r.linkDelay + d.world.exp(time.Millisecond)
	if r.zone != d.zone {
		link += time.Millisecond
	}
	d.schedule(link, func() {
		kv, ok := r.caches[p.Handle.ID]
		if !ok || !r.up || r.dark || r.expired {
			d.busy--
			delete(d.connections, l)
			d.refuse(l, serverpool.HandleLost, placement.Decode, "no such handle")
			return
		}
		d.links[r.addr] = int(link.Milliseconds())
		d.writeJournal(history.Event{
			Ev: "decode", Request: p.Handle.Request, CacheOf: kv.request, Run: p.RunID, Once: p.OnceKey,
			Term: p.Term, N: d.busy,
		})
		seen := 0
		d.streamPieces(l, p, kv, 0, &seen)
	})
}

// streamPieces sends piece i and schedules the next one. The run ends if the daemon closes
// the connection.
func (d *fakeServer) streamPieces(l *connection, p serverpool.DecodeRequest, kv cache, i int, seen *int) {
	d.schedule(4*time.Millisecond+d.world.exp(4*time.Millisecond), func() {
		done := func() {
			d.busy--
			delete(d.connections, l)
		}
		if !l.isOpen() && d.world.options.Sabotage != "double" {
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
			if d.world.options.Sabotage == "fakeend" { // the broken stream is made to look complete
				l.piece(serverpool.Piece{Request: p.Handle.Request, RunID: p.RunID, End: true, Count: i}, seen)
				return
			}
			if d.world.options.Sabotage == "splice" && d.otherDecodeServer() != nil { // another run continues here
				b := d.otherDecodeServer()
				b.busy++
				q := p
				q.RunID = p.RunID + "-again"
				b.writeJournal(history.Event{Ev: "decode", Request: p.Handle.Request, CacheOf: kv.request, Run: q.RunID, N: b.busy})
				b.connections[l] = true
				l.act.DecodeCall.RunID = q.RunID
				b.splice(l, p, q.RunID, kv, i, seen)
				return
			}
			l.end(serverpool.Lost, "stream broke off")
			return
		case i == p.Tokens:
			done()
			d.writeJournal(history.Event{Ev: "ended", Request: p.Handle.Request, Run: p.RunID, Count: i})
			l.piece(serverpool.Piece{Request: p.Handle.Request, RunID: p.RunID, End: true, Count: i}, seen)
			return
		case d.skips && i == 1:
		default:
			l.piece(piece, seen)
			if d.repeats && i == 1 {
				l.piece(piece, seen)
			}
		}
		d.streamPieces(l, p, kv, i+1, seen)
	})
}

// splice is the sabotage that continues a stream with another run under the first run's ID.
func (d *fakeServer) splice(l *connection, p serverpool.DecodeRequest, run string, kv cache, i int, seen *int) {
	d.schedule(5*time.Millisecond, func() {
		if i == p.Tokens {
			d.busy--
			delete(d.connections, l)
			d.writeJournal(history.Event{Ev: "ended", Request: p.Handle.Request, Run: p.RunID, Count: i})
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
