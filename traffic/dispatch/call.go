package dispatch

import (
	"fmt"
	"time"

	"mulleinmast/control/interlock"
	"mulleinmast/traffic/slots"
	"mulleinmast/traffic/waybill"
	"mulleinmast/traffic/yard"
)

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

// came finds the trip that an outcome is for, unless there is nothing more to
// do: a stray one, or a call that the last look stopped.
func (l *Lane) came(now time.Duration, id string, no int, out yard.Outcome, o *Out) *trip {
	t := l.open(id, no)
	if t == nil {
		return nil
	}
	l.look(now)
	if out == yard.Barred {
		l.barred(now, t, o)
		return nil
	}
	return t
}

// Handed takes a reader's reply, or its silence.
//
// Example: out := l.Handed(now, id, no, handle, yard.OK, "")
func (l *Lane) Handed(now time.Duration, id string, no int, hd yard.Handle, out yard.Outcome, why string) (o Out) {
	t := l.came(now, id, no, out, &o)
	if t == nil {
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
	t := l.came(now, id, no, out, &o)
	if t == nil {
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
