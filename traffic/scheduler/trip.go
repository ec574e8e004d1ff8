package scheduler

import (
	"time"

	"mulleinmast/traffic/attempt"
	"mulleinmast/traffic/serverpool"
	"mulleinmast/traffic/slots"
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
	led   attempt.Ledger
	chain []uint64
	deep  map[string]int // prompt parts that each prefill server holds
	wait  *slots.Wait
	side  slots.Side
	seen  time.Duration // when it last could have gone somewhere
	first bool          // its first try is counted
	again bool          // the attempt under way is a retry

	no     int // the call under way
	addr   string
	limit  time.Duration // it is given up then
	run    string
	ver    string // of the prefill server's record
	handle serverpool.Handle
	pairs  map[string]bool
	zone   string // of the prefill server

	sent, taken int // pieces handed on, and taken by the client
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
	t := &trip{Request: r, at: now, seen: now, chain: serverpool.Chain(r.Parts), led: attempt.Ledger{Once: r.Once != "", Most: l.cfg.Most}}
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

// Claimed takes the leader's word on a once key: its code and body.
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
		// is not known: so it isn't "refused".
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
			if k.Refused {
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
	if move != attempt.DoPrefill && move != attempt.DoDecode {
		l.final(now, t, move, o)
		return
	}
	if now >= t.Due {
		t.why = "its deadline passed"
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
	if move == attempt.DoDecode {
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
