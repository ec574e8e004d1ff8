package scheduler

import (
	"fmt"
	"strings"
	"time"

	"mulleinmast/traffic/attempt"
	"mulleinmast/traffic/serverpool"
	"mulleinmast/traffic/slots"
)

// Gone tells that the client went away.
//
// Example: out := l.Gone(now, id)
func (l *Lane) Gone(now time.Duration, id string) (o Out) {
	t := l.trips[id]
	if t == nil {
		return o
	}
	l.look(now)
	l.halt(now, t, "the client went away", &o)
	l.n.Gone++
	t.why = "the client went away"
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
			t.led.Learn(attempt.First, why)
		} else {
			t.led.Learn(attempt.Lost, why)
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
				t.led.Learn(attempt.Lost, "no answer in time")
				l.free(now, t, serverpool.Lost)
				l.next(now, t, o)
			} else {
				l.made(now, t, serverpool.Lost, "no first piece in time", o)
			}
		}
	case streaming:
		slow := t.sent > t.taken && now-t.takenAt > l.cfg.Stall
		if !slow && now < t.Due {
			return
		}
		why := "its deadline passed"
		if slow {
			why = "the client takes no pieces"
		}
		l.halt(now, t, why, o)
		t.why = why
		l.n.Broken++
		l.end(now, t, End{Result: "break", Why: why, Stuck: slow}, o)
	}
}

// final makes the last move.
func (l *Lane) final(now time.Duration, t *trip, move attempt.Move, o *Out) {
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
	case attempt.Finish:
		e.Code, e.Why = 200, ""
		l.n.Served++
		if t.led.Once {
			l.act(o, Act{Trip: t.ID, Kind: Settle, Key: t.key(), State: "done"})
		}
	case attempt.Break:
		l.n.Broken++
	case attempt.Unsure:
		l.n.Unsure++
		e.Code, e.Why = 502, "it may have run: "+t.why
	case attempt.Refuse:
		e.Code = 503
		if strings.HasPrefix(t.why, "this tenant") {
			e.Code = 429
		}
		l.n.Refusals++
		l.n.Why[kind]++
		for _, a := range t.led.Attempts {
			if a.Known == attempt.Handle {
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
	l.act(o, Act{Trip: t.ID, Kind: Response, End: e})
}
