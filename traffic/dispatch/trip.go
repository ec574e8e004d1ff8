package dispatch

import (
	"fmt"
	"strings"
	"time"

	"mulleinmast/control/interlock"
	"mulleinmast/traffic/slots"
	"mulleinmast/traffic/waybill"
	"mulleinmast/traffic/yard"
)

type stage uint8

const (
	claiming stage = iota
	queued
	calling // a prefill, or a decode before its first piece
	streaming
)

// trip is one request on its way.
type trip struct {
	Request
	at    time.Duration
	stage stage
	led   waybill.Ledger
	chain []uint64
	deep  map[string]int // prompt parts that each reader holds
	wait  *slots.Wait
	side  slots.Side
	seen  time.Duration // when it last could have gone somewhere
	first bool          // its first try is counted
	again bool          // the attempt under way is a retry

	no     int // the call under way
	addr   string
	limit  time.Duration // it is given up then
	run    string
	ver    string // of the reader's record
	handle yard.Handle
	pairs  map[string]bool
	cell   string // of the reader

	sent, taken int // pieces handed on, and taken by the requester
	takenAt     time.Duration

	choice []string
	why    string
	after  time.Duration
}

// key is the once key within its tenant.
func (t *trip) key() string { return t.Tenant + "/" + t.Once }

func (l *Lane) act(o *Out, a Act) { o.Acts = append(o.Acts, a) }

// Take begins a request's trip.
//
// Example: out := l.Take(now, req)
func (l *Lane) Take(now time.Duration, r Request) (o Out) {
	t := &trip{Request: r, at: now, seen: now, chain: yard.Chain(r.Parts), led: waybill.Ledger{Once: r.Once != "", Most: l.cfg.Most}}
	l.trips[r.ID] = t
	l.look(now)
	if r.Once != "" {
		l.act(&o, Act{Trip: r.ID, Kind: Claim, Key: t.key(), State: "claimed"})
		return o
	}
	l.next(now, t, &o)
	l.settle(now, &o)
	return o
}

// Claimed takes the owner's word on a once key: its code and body.
//
// Example: out := l.Claimed(now, id, 200, nil)
func (l *Lane) Claimed(now time.Duration, id string, code int, body []byte) (o Out) {
	t := l.trips[id]
	if t == nil || t.stage != claiming {
		return o
	}
	switch code {
	case 200:
		l.look(now)
		l.next(now, t, &o)
		l.settle(now, &o)
	case 409:
		l.n.Dups++
		l.end(now, t, End{Result: "duplicate", Code: 409, Word: body}, &o)
	default:
		// This request was not and will not be run, but whether its key ran before
		// is not known: so it isn't "shed".
		l.n.Unsure++
		l.act(&o, Act{Trip: id, Kind: Settle, Key: t.key(), State: "shed"})
		l.end(now, t, End{Result: "uncertain", Code: 504, Why: "the once key could not be claimed, whether it ran before is not known; ask again with the same key", After: l.cfg.Back}, &o)
	}
	return o
}

// settle hands out the queue's decisions until there are no more.
func (l *Lane) settle(now time.Duration, o *Out) {
	for {
		list := l.q.Tickets()
		if len(list) == 0 {
			return
		}
		for _, k := range list {
			t := l.trips[k.ID]
			if t == nil || t.stage != queued {
				panic("a ticket for " + k.ID + ", which doesn't wait")
			}
			if k.Shed {
				t.why, t.after = k.Why, k.After
				l.final(now, t, t.led.End(), o)
				continue
			}
			l.send(now, t, k.Addr, o)
		}
	}
}

// next makes the ledger's next move.
func (l *Lane) next(now time.Duration, t *trip, o *Out) {
	move, again := t.led.Next()
	if move != waybill.DoPrefill && move != waybill.DoDecode {
		l.final(now, t, move, o)
		return
	}
	if now >= t.Due {
		t.why = "its budget ended"
		l.final(now, t, t.led.End(), o)
		return
	}
	if t.again = again; again && !l.bucket.Has(now) {
		t.why = "no retry to spare"
		l.final(now, t, t.led.End(), o)
		return
	}
	t.side = slots.Read
	like := ""
	if move == waybill.DoDecode {
		t.side = slots.Make
	} else {
		t.deep = l.seen.Depth(t.chain)
		top := 0
		for a, n := range t.deep {
			if n > top || n == top && a < like {
				like, top = a, n
			}
		}
	}
	t.stage, t.seen = queued, now
	t.wait = &slots.Wait{ID: t.ID, Side: t.side, Prio: t.Prio, Tenant: t.Tenant, Due: t.Due, Like: like, Pick: func(free []string) string { return l.pick(t, free) }}
	l.q.Put(now, t.wait, t.Part)
	o.Kick = true
}

// send opens the attempt for which a slot was given, if its ground stands.
func (l *Lane) send(now time.Duration, t *trip, addr string, o *Out) {
	part := interlock.Reader
	if t.side == slots.Make {
		part = interlock.Maker
	}
	b, ok := l.standing(now, addr, part)
	if ok && t.again && !l.bucket.Take(now) {
		l.q.Done(now, t.side, t.Prio, addr, false)
		t.why = "no retry to spare"
		l.final(now, t, t.led.End(), o)
		return
	}
	if !ok {
		l.requeue(now, t, addr)
		return
	}
	if !t.first {
		t.first = true
		l.n.First++
		l.bucket.Earn(now)
	}
	if t.again {
		l.n.Retries++
	}
	t.stage, t.addr = calling, addr
	t.no++
	// A silent server gets half of what is left, so that another can be tried.
	half := (t.Due - now) / 2
	t.limit = now + half
	a := Act{Trip: t.ID, No: t.no, Addr: addr, Wait: half}
	if t.side == slots.Read {
		t.led.Add(waybill.Prefill, addr)
		t.choice = append(t.choice, fmt.Sprintf("reader %s (%s, %s) holds %d of %d prompt parts", addr, b.Cell, b.Status, t.deep[addr], len(t.chain)))
		t.cell = b.Cell
		t.pairs = map[string]bool{}
		for _, m := range b.Pairs {
			t.pairs[m] = true
		}
		a.Kind = Prefill
		t.ver = l.berths[addr].ver.String()
		a.Read = yard.Prefill{Request: t.ID, Attempt: t.no, Term: l.term(), Ver: t.ver, Parts: t.Parts, Prefix: t.chain, Budget: (t.Due - now).Milliseconds()}
	} else {
		t.led.Add(waybill.Decode, addr)
		t.choice = append(t.choice, fmt.Sprintf("maker %s, paired with %s", addr, t.handle.Reader))
		t.run = fmt.Sprintf("%s-%d", t.ID, t.no)
		a.Kind = Decode
		a.Wait = t.Due - now
		a.Make = yard.Decode{Handle: t.handle, Term: l.term(), Run: t.run, Tokens: t.Tokens, Once: t.Once, Budget: (t.Due - now).Milliseconds()}
	}
	l.act(o, a)
}

// requeue gives a slot back whose ground was gone; nothing was tried, so it is
// no attempt and the request keeps its place.
func (l *Lane) requeue(now time.Duration, t *trip, addr string) {
	l.look(now)
	l.q.Done(now, t.side, t.Prio, addr, false)
	t.stage = queued
	l.q.Put(now, t.wait, t.Part)
}

// open finds a trip by the call that its outcome is for.
func (l *Lane) open(id string, no int) *trip {
	if t := l.trips[id]; t != nil && t.no == no && (t.stage == calling || t.stage == streaming) {
		return t
	}
	return nil
}

// free gives the slot of the attempt back, and passes a server by that failed.
func (l *Lane) free(now time.Duration, t *trip, out yard.Outcome) {
	bad := out == yard.Lost || out == yard.NotSent
	switch {
	case bad:
		l.shy[t.addr] = now + l.cfg.Shy
	case out == yard.Shed:
		l.shy[t.addr] = now + l.cfg.Turned
	case out == yard.OK:
		delete(l.shy, t.addr)
	}
	l.q.Done(now, t.side, t.Prio, t.addr, bad)
}

// barred takes an attempt back that the last look stopped.
func (l *Lane) barred(now time.Duration, t *trip, o *Out) {
	t.led.Undo()
	t.choice = t.choice[:len(t.choice)-1]
	if t.again {
		l.n.Retries--
		l.bucket.Give(now)
	}
	l.requeue(now, t, t.addr)
	l.settle(now, o)
}

// Handed takes a reader's reply, or its silence.
//
// Example: out := l.Handed(now, id, no, handle, yard.OK, "")
func (l *Lane) Handed(now time.Duration, id string, no int, hd yard.Handle, out yard.Outcome, why string) (o Out) {
	t := l.open(id, no)
	if t == nil {
		return o
	}
	l.look(now)
	if out == yard.Barred {
		l.barred(now, t, &o)
		return o
	}
	if out == yard.OK {
		// The handle is bound to this request, attempt, reader and record.
		if why = hd.Fit(id, no, t.addr, t.ver); why != "" {
			out = yard.Lapsed
		}
	}
	switch out {
	case yard.OK:
		t.handle = hd
		t.led.Learn(waybill.Handle, "")
		l.n.Reads += int64(len(t.chain))
		l.n.Hits += int64(hd.Cached)
		l.seen.Note(t.chain, t.addr)
	case yard.NotSent:
		t.led.Learn(waybill.NotSent, why)
		l.seen.Forget(t.addr)
	case yard.Shed:
		t.led.Learn(waybill.Shed, why)
	default:
		t.led.Learn(waybill.Lost, why)
	}
	l.free(now, t, out)
	l.next(now, t, &o)
	l.settle(now, &o)
	return o
}

// Made takes the end of a call to a maker that streamed nothing more: it
// turned the request away, or its stream broke off.
//
// Example: out := l.Made(now, id, no, yard.Shed, "full")
func (l *Lane) Made(now time.Duration, id string, no int, out yard.Outcome, why string) (o Out) {
	t := l.open(id, no)
	if t == nil {
		return o
	}
	l.look(now)
	if out == yard.Barred {
		l.barred(now, t, &o)
		return o
	}
	l.made(now, t, out, why, &o)
	l.settle(now, &o)
	return o
}

func (l *Lane) made(now time.Duration, t *trip, out yard.Outcome, why string, o *Out) {
	switch {
	case t.stage == streaming:
		t.led.Learn(waybill.First, why)
		out = yard.Lost
	case out == yard.NotSent:
		t.led.Learn(waybill.NotSent, why)
	case out == yard.Shed:
		t.led.Learn(waybill.Shed, why)
	case out == yard.Lapsed:
		t.led.Learn(waybill.Lapsed, why)
	default:
		t.led.Learn(waybill.Lost, why)
	}
	l.free(now, t, out)
	l.next(now, t, o)
}

// Piece takes one piece of a maker's stream; one that doesn't fit ends it.
//
// Example: out := l.Piece(now, id, no, piece)
func (l *Lane) Piece(now time.Duration, id string, no int, p yard.Piece) (o Out) {
	t := l.open(id, no)
	if t == nil || t.side != slots.Make {
		return o
	}
	if why := p.Fit(id, t.run, t.sent); why != "" {
		l.act(&o, Act{Trip: id, Kind: Cut, No: no})
		l.look(now)
		l.made(now, t, yard.Lost, why, &o)
		l.settle(now, &o)
		return o
	}
	if t.stage == calling {
		t.stage, t.takenAt = streaming, now
	}
	if t.sent == t.taken {
		t.takenAt = now
	}
	t.sent++
	l.act(&o, Act{Trip: id, Kind: Pass, No: no, Piece: p})
	if p.End {
		t.led.Learn(waybill.Ended, "")
		l.look(now)
		l.free(now, t, yard.OK)
		l.next(now, t, &o)
		l.settle(now, &o)
	}
	return o
}

// Taken tells that the requester took pieces, so many so far.
//
// Example: l.Taken(now, id, 3)
func (l *Lane) Taken(now time.Duration, id string, n int) {
	if t := l.trips[id]; t != nil && n > t.taken {
		t.taken, t.takenAt = n, now
	}
}

// Gone tells that the requester went away.
//
// Example: out := l.Gone(now, id)
func (l *Lane) Gone(now time.Duration, id string) (o Out) {
	t := l.trips[id]
	if t == nil {
		return o
	}
	l.look(now)
	l.halt(now, t, "the requester went away", &o)
	l.n.Gone++
	t.why = "the requester went away"
	if t.led.Once && !t.led.Ran() {
		l.act(&o, Act{Trip: id, Kind: Settle, Key: t.key(), State: "shed"})
	}
	l.end(now, t, End{Result: "gone", Why: t.why}, &o)
	l.settle(now, &o)
	return o
}

// halt ends whatever the trip is at.
func (l *Lane) halt(now time.Duration, t *trip, why string, o *Out) {
	switch t.stage {
	case queued:
		l.q.Drop(t.wait)
	case calling, streaming:
		l.act(o, Act{Trip: t.ID, Kind: Cut, No: t.no})
		if t.stage == streaming {
			t.led.Learn(waybill.First, why)
		} else {
			t.led.Learn(waybill.Lost, why)
		}
		l.q.Done(now, t.side, t.Prio, t.addr, false)
	}
}

// tick looks at what a trip has waited for.
func (l *Lane) tick(now time.Duration, t *trip, o *Out) {
	switch t.stage {
	case queued:
		blind := !l.q.Valid(now) || len(l.rows) == 0
		if !blind && l.somewhere(t) {
			t.seen = now
		}
		if now-t.seen <= l.cfg.Patience && now < t.Due {
			return
		}
		t.why = "no server left that it could go to"
		if blind {
			t.why = "no valid leases or share here"
		}
		l.q.Drop(t.wait)
		l.final(now, t, t.led.End(), o)
	case calling:
		if now >= t.limit || now >= t.Due {
			l.act(o, Act{Trip: t.ID, Kind: Cut, No: t.no})
			if t.side == slots.Read {
				t.led.Learn(waybill.Lost, "no reply in time")
				l.free(now, t, yard.Lost)
				l.next(now, t, o)
			} else {
				l.made(now, t, yard.Lost, "no first piece in time", o)
			}
		}
	case streaming:
		slow := t.sent > t.taken && now-t.takenAt > l.cfg.Stall
		if !slow && now < t.Due {
			return
		}
		why := "its budget ended"
		if slow {
			why = "the requester takes no pieces"
		}
		l.halt(now, t, why, o)
		t.why = why
		l.n.Broken++
		l.end(now, t, End{Result: "break", Why: why, Stuck: slow}, o)
	}
}

// final makes the last move.
func (l *Lane) final(now time.Duration, t *trip, move waybill.Move, o *Out) {
	kind := t.why // a few fixed words, to count by
	if t.why == "" && len(t.led.Attempts) > 0 {
		last := t.led.Attempts[len(t.led.Attempts)-1]
		kind, t.why = fmt.Sprintf("last %s: %s", last.Phase, last.Known), last.Why
	}
	e := End{Result: move.String(), Why: t.why, After: t.after}
	if e.After == 0 {
		e.After = l.cfg.Back
	}
	switch move {
	case waybill.Finish:
		e.Code, e.Why = 200, ""
		l.n.Served++
		if t.led.Once {
			l.act(o, Act{Trip: t.ID, Kind: Settle, Key: t.key(), State: "done"})
		}
	case waybill.Break:
		l.n.Broken++
	case waybill.Unsure:
		l.n.Unsure++
		e.Code, e.Why = 502, "it may have run: "+t.why
	case waybill.Refuse:
		e.Code = 503
		if strings.HasPrefix(t.why, "this tenant") {
			e.Code = 429
		}
		l.n.Sheds++
		l.n.Why[kind]++
		for _, a := range t.led.Attempts {
			if a.Known == waybill.Handle {
				l.n.Wasted++
			}
		}
		if t.led.Once {
			l.act(o, Act{Trip: t.ID, Kind: Settle, Key: t.key(), State: "shed"})
		}
	default:
		panic("no final move: " + move.String())
	}
	l.end(now, t, e, o)
}

func (l *Lane) end(now time.Duration, t *trip, e End, o *Out) {
	delete(l.trips, t.ID)
	e.Story = Story{Request: t.ID, Tenant: t.Tenant, Model: t.Model, Result: e.Result, Why: e.Why, Ledger: t.led.Attempts, Choice: t.choice, Took: (now - t.at).Milliseconds()}
	l.act(o, Act{Trip: t.ID, Kind: Reply, End: e})
}
