package scheduler

import (
	"fmt"
	"time"

	"mulleinmast/control/placement"
	"mulleinmast/traffic/attempt"
	"mulleinmast/traffic/serverpool"
	"mulleinmast/traffic/slots"
)

// send opens the attempt for which a slot was given, if its ground stands.
func (l *Lane) send(now time.Duration, t *trip, addr string, o *Out) {
	part := placement.Prefill
	if t.side == slots.Make {
		part = placement.Decode
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
		t.led.Add(attempt.Prefill, addr)
		t.choice = append(t.choice, fmt.Sprintf("prefill server %s (%s, %s) holds %d of %d prompt parts", addr, b.Zone, b.Status, t.deep[addr], len(t.chain)))
		t.zone = b.Zone
		t.pairs = map[string]bool{}
		for _, m := range b.Pairs {
			t.pairs[m] = true
		}
		a.Kind = Prefill
		t.ver = l.serverRecords[addr].ver.String()
		a.Read = serverpool.Prefill{Request: t.ID, Attempt: t.no, Term: l.term(), Ver: t.ver, Parts: t.Parts, Prefix: t.chain, Timeout: (t.Due - now).Milliseconds()}
	} else {
		t.led.Add(attempt.Decode, addr)
		t.choice = append(t.choice, fmt.Sprintf("decode server %s, paired with %s", addr, t.handle.PrefillServer))
		t.run = fmt.Sprintf("%s-%d", t.ID, t.no)
		a.Kind = Decode
		a.Wait = t.Due - now
		a.Make = serverpool.Decode{Handle: t.handle, Term: l.term(), Run: t.run, Tokens: t.Tokens, Once: t.Once, Timeout: (t.Due - now).Milliseconds()}
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
func (l *Lane) free(now time.Duration, t *trip, out serverpool.Outcome) {
	bad := out == serverpool.Lost || out == serverpool.NotSent
	switch {
	case bad:
		l.shy[t.addr] = now + l.cfg.Shy
	case out == serverpool.Refused:
		l.shy[t.addr] = now + l.cfg.Turned
	case out == serverpool.OK:
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
func (l *Lane) came(now time.Duration, id string, no int, out serverpool.Outcome, o *Out) *trip {
	t := l.open(id, no)
	if t == nil {
		return nil
	}
	l.look(now)
	if out == serverpool.Barred {
		l.barred(now, t, o)
		return nil
	}
	return t
}

// Handed takes a prefill server's answer, or its silence.
//
// Example: out := l.Handed(now, id, no, handle, serverpool.OK, "")
func (l *Lane) Handed(now time.Duration, id string, no int, hd serverpool.Handle, out serverpool.Outcome, why string) (o Out) {
	t := l.came(now, id, no, out, &o)
	if t == nil {
		return o
	}
	if out == serverpool.OK {
		// The handle is bound to this request, attempt, prefill server and record.
		if why = hd.Fit(id, no, t.addr, t.ver); why != "" {
			out = serverpool.Lapsed
		}
	}
	switch out {
	case serverpool.OK:
		t.handle = hd
		t.led.Learn(attempt.Handle, "")
		l.n.Reads += int64(len(t.chain))
		l.n.Hits += int64(hd.Cached)
		l.seen.Note(t.chain, t.addr)
	case serverpool.NotSent:
		t.led.Learn(attempt.NotSent, why)
		l.seen.Forget(t.addr)
	case serverpool.Refused:
		t.led.Learn(attempt.Refused, why)
	default:
		t.led.Learn(attempt.Lost, why)
	}
	l.free(now, t, out)
	l.next(now, t, &o)
	l.settle(now, &o)
	return o
}

// Made takes the end of a call to a decode server that streamed nothing more: it
// turned the request away, or its stream broke off.
//
// Example: out := l.Made(now, id, no, serverpool.Refused, "full")
func (l *Lane) Made(now time.Duration, id string, no int, out serverpool.Outcome, why string) (o Out) {
	t := l.came(now, id, no, out, &o)
	if t == nil {
		return o
	}
	l.made(now, t, out, why, &o)
	l.settle(now, &o)
	return o
}

func (l *Lane) made(now time.Duration, t *trip, out serverpool.Outcome, why string, o *Out) {
	switch {
	case t.stage == streaming:
		t.led.Learn(attempt.First, why)
		out = serverpool.Lost
	case out == serverpool.NotSent:
		t.led.Learn(attempt.NotSent, why)
	case out == serverpool.Refused:
		t.led.Learn(attempt.Refused, why)
	case out == serverpool.Lapsed:
		t.led.Learn(attempt.Lapsed, why)
	default:
		t.led.Learn(attempt.Lost, why)
	}
	l.free(now, t, out)
	l.next(now, t, o)
}

// Piece takes one piece of a decode server's stream; one that doesn't fit ends it.
//
// Example: out := l.Piece(now, id, no, piece)
func (l *Lane) Piece(now time.Duration, id string, no int, p serverpool.Piece) (o Out) {
	t := l.open(id, no)
	if t == nil || t.side != slots.Make {
		return o
	}
	if why := p.Fit(id, t.run, t.sent); why != "" {
		l.act(&o, Act{Trip: id, Kind: Cut, No: no})
		l.look(now)
		l.made(now, t, serverpool.Lost, why, &o)
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
		t.led.Learn(attempt.Ended, "")
		l.look(now)
		l.free(now, t, serverpool.OK)
		l.next(now, t, &o)
		l.settle(now, &o)
	}
	return o
}

// Taken tells that the client took pieces, so many so far.
//
// Example: l.Taken(now, id, 3)
func (l *Lane) Taken(now time.Duration, id string, n int) {
	if t := l.trips[id]; t != nil && n > t.taken {
		t.taken, t.takenAt = n, now
	}
}
