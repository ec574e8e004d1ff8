package forward

import (
	"fmt"
	"hash/fnv"
	"time"

	"mulleinmast/traffic/attempt"
)

// trip is one request on its way.
type trip struct {
	Call
	at     time.Duration
	led    attempt.Ledger
	dice   uint64
	no     int
	phase  attempt.Phase
	to     Server
	sentAt time.Duration
	handle *Handle
	arrive int           // sends that count against Tries: all but the first reading that a server took up
	taken  bool          // a server took a reading up
	gone   []Handle      // memory that a server could not get: it may be there still
	begun  bool          // events have gone out to the client
	again  bool          // the send under way is a second one
	first  bool          // its first send was counted
	unread int           // tokens that the server under way has to read, as far as known
	queued time.Duration // that it waits for others, as the last choice predicts it
	took   time.Duration // that its prompt takes to read, by the same
	choice []string
}

// most is the number of sends that count.
func (t *trip) most() int { return max(1, t.Tries) }

// Begin takes a request in and makes its first move. Its id is its client's own:
// while a request of the same id is under way here it is not taken in, and it has
// no further moves.
//
// Example: move := l.Begin(now, call)
func (l *Lane) Begin(now time.Duration, c Call) Move {
	if l.trips[c.ID] != nil {
		l.n.Duplicates++
		return Move{Kind: Duplicate, Why: "a request of this id is under way"}
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(c.ID))
	t := &trip{Call: c, at: now, led: attempt.Ledger{Once: !c.Repeat, Most: max(1, c.Tries)}, dice: h.Sum64()}
	l.trips[c.ID] = t
	if c.Aim > 0 && (l.aim == 0 || c.Aim < l.aim) {
		l.aim = c.Aim
	}
	if c.Gap > 0 && (l.gap == 0 || c.Gap < l.gap) {
		l.gap = c.Gap
	}
	return l.next(now, t)
}

// Again asks for the move after a Wait.
//
// Example: move := l.Again(now, id)
func (l *Lane) Again(now time.Duration, id string) Move { return l.next(now, l.trips[id]) }

// next derives the next move from the ledger.
func (l *Lane) next(now time.Duration, t *trip) Move {
	if n := len(t.led.Attempts); n > 0 && t.led.Attempts[n-1].Known == attempt.Ended {
		return l.finish(now, t, Done, "") // even if its time is up by now
	}
	if now >= t.Due {
		return l.end(now, t, "its time is up")
	}
	if n := len(t.led.Attempts); n > 0 {
		last := t.led.Attempts[n-1]
		switch {
		case last.Known == attempt.First && !(t.Resume && t.Repeat):
			return l.finish(now, t, Break, last.Why)
		case last.Known == attempt.Lost && last.Phase == attempt.Decode && !t.Repeat:
			return l.finish(now, t, Unknown, last.Why)
		case last.Known == attempt.NotSent && n > 2*t.most():
			return l.end(now, t, last.Why)
		}
	}
	if t.arrive > 0 && (t.arrive >= t.most() || !l.bucket.Has(now)) {
		return l.end(now, t, "no further try to spare after: "+t.led.Attempts[len(t.led.Attempts)-1].Why)
	}
	if !l.look(now) || len(l.rows) == 0 {
		return l.wait(now, t, "no valid leases here")
	}
	m, ok := l.pick(now, t)
	if !ok {
		return l.wait(now, t, "no server to go to")
	}
	if !l.inTime(now, t) {
		return l.end(now, t, "it can't be in time: the servers have too much under way")
	}
	again := t.arrive > 0 || m.Kind == Read && t.taken
	if again && !l.spend(now) {
		return l.end(now, t, "no further try to spare")
	}
	t.again = again
	return l.send(now, t, m)
}

// pick chooses between reading apart and a server that does both, and where.
func (l *Lane) pick(now time.Duration, t *trip) (Move, bool) {
	apart := t.Split && t.In > 0 && !t.begun && !t.After && t.led.Tries(attempt.Prefill) < t.most()
	if t.taken { // another reading counts, and so does the writing after it
		apart = apart && t.arrive+1 < t.most() && l.bucket.Has(now)
	}
	return l.choose(now, t, apart)
}

func (l *Lane) send(now time.Duration, t *trip, m Move) Move {
	t.no++
	t.to, t.sentAt = m.To, now
	m.No, m.Until = t.no, t.Due
	l.stat(m.To.Key).open++
	if m.To.Warming {
		l.stat(m.To.Key).coldAt = now
	}
	switch {
	case m.Kind == Read:
		t.phase = attempt.Prefill
		l.board.Begin(m.To.Key, t.unread, 0)
	case m.Handle != nil:
		t.phase, t.unread = attempt.Decode, 0
		l.board.Begin(m.To.Key, 0, 1)
	default:
		t.phase = attempt.Decode
		l.board.Begin(m.To.Key, t.unread, 1)
	}
	if t.again {
		l.n.Again++
	} else if !t.first { // the last look may bar it and have it come here again
		t.first = true
		l.n.First++
		l.bucket.Earn(now)
		l.window.turn(now, l.cfg.Window)
		l.window.first++
		if m.Kind == Read {
			l.n.Split++
		} else {
			l.n.Direct++
		}
	}
	m.Rank = l.rank(now, t, m)
	t.led.Add(t.phase, m.To.Key)
	t.choice = append(t.choice, fmt.Sprintf("%s at %s (%s), %d tokens to read, after %d ms", m.Kind, m.To.Addr, m.To.Zone, t.unread, (now-t.at).Milliseconds()))
	return m
}

// rank is a request's place among others at a server: its route's, but one that
// can't meet its aim any more gives way to all that still can, and a prompt that
// is read in no time need not wait behind long ones.
func (l *Lane) rank(now time.Duration, t *trip, m Move) int {
	switch {
	case !t.begun && now-t.at > t.Aim:
		return min(9, t.Least+1+t.Urgency)
	case m.Kind == Read && ms(t.unread, l.pace) <= t.Aim/16:
		return 0
	}
	return min(9, t.Urgency)
}

// came records the end of the call under way.
func (l *Lane) came(now time.Duration, t *trip, out Outcome) {
	st := l.stat(t.to.Key)
	st.open--
	st.seenAt = now
	l.was(t)
	accountsBalance.Hold(st.open >= 0, "%s: %d calls under way at %s after %s ended", l.svc, st.open, t.to.Key, t.ID)
	if t.phase == attempt.Decode {
		l.board.Begin(t.to.Key, 0, -1)
	}
	if out == NotSent && t.again { // nothing arrived
		l.giveBack(t.sentAt)
	}
	switch out {
	case NotSent, Lost: // passed by for longer each time, until it answers
		st.shyUntil = now + l.cfg.Shy<<min(st.fails, 3)
		st.fails++
		l.board.Came(now, t.to.Key, false)
	case Full, Moved:
		st.shyUntil = now + l.cfg.Turned
		l.board.Came(now, t.to.Key, true)
	case OK, Gone:
		st.shyUntil, st.fails = 0, 0
		l.board.Came(now, t.to.Key, true)
	}
}

// was takes the prompt under way off the board once it has been read.
func (l *Lane) was(t *trip) {
	if t.unread > 0 {
		l.board.Begin(t.to.Key, -t.unread, 0)
		t.unread = 0
	}
}

// keeps records that the server under way has the prompt now.
func (l *Lane) keeps(t *trip, tokens int) {
	if n, key := shared(t.Parts); n > 0 {
		l.board.Keeps(key, t.to.Key, tokens)
	}
}

// note adds the outcome to the last step of the story.
func (t *trip) note(now time.Duration, out Outcome, why string) {
	if len(t.choice) == 0 {
		return
	}
	last := &t.choice[len(t.choice)-1]
	*last += fmt.Sprintf("; %s after %d ms", out, (now - t.at).Milliseconds())
	if why != "" {
		*last += ": " + why
	}
}

// balanced checks that no server is thought busy when no request is under way.
func (l *Lane) balanced() {
	if len(l.trips) > 0 {
		return
	}
	for key, st := range l.stats {
		accountsBalance.Hold(st.open == 0, "%s: no request is under way, and %d calls are at %s", l.svc, st.open, key)
	}
}

// barred takes back an attempt that the last look stopped: nothing went out.
func (l *Lane) barred(now time.Duration, t *trip) Move {
	t.led.Undo()
	t.choice = t.choice[:len(t.choice)-1]
	if t.again {
		l.n.Again--
		l.giveBack(t.sentAt)
	}
	return l.next(now, t)
}

var known = map[Outcome]attempt.Known{NotSent: attempt.NotSent, Full: attempt.Refused, Moved: attempt.Refused, Gone: attempt.Lapsed, Lost: attempt.Lost}

// ReadDone takes the end of a reading call.
//
// Example: move := l.ReadDone(now, id, forward.OK, forward.Handle{ID: "3fa0", ...}, "")
func (l *Lane) ReadDone(now time.Duration, id string, out Outcome, h Handle, why string) Move {
	t := l.trips[id]
	unread := t.unread
	l.came(now, t, out)
	t.note(now, out, why)
	if out == Barred {
		return l.barred(now, t)
	}
	switch {
	case out == Full || out == Moved || (out == OK || out == Lost) && t.taken:
		t.arrive++
	case out == OK || out == Lost:
		if t.taken = true; t.again { // it did not count
			l.giveBack(t.sentAt)
		}
	}
	if out == OK && (h.Call != t.ID || h.No != t.no || h.Server.Key != t.to.Key || h.ID == "") {
		out, why = Lost, "a handle that is not this request's"
	}
	if out == OK {
		t.handle = &h
		l.keeps(t, unread)
		t.led.Learn(attempt.Handle, "")
		return l.next(now, t)
	}
	t.led.Learn(known[out], why)
	return l.next(now, t)
}

// Began tells that the first event of a stream, or the head of another answer,
// has gone out to the client.
//
// Example: l.Began(now, id)
func (l *Lane) Began(now time.Duration, id string) {
	t := l.trips[id]
	if t.led.Attempts[len(t.led.Attempts)-1].Known == attempt.Open {
		t.led.Learn(attempt.First, "")
		fresh := t.unread
		if t.handle != nil {
			fresh = t.In
		}
		l.keeps(t, fresh)
	}
	l.board.Came(now, t.to.Key, true)
	l.was(t)
	t.begun = true
}

// Fixed tells that what has gone out can't be gone on with elsewhere: it was no
// stream, or had no ids to go on from.
//
// Example: l.Fixed(id)
func (l *Lane) Fixed(id string) {
	if t := l.trips[id]; t != nil {
		t.Resume = false
	}
}

// Event tells that one more event has gone out, d after the one before.
//
// Example: l.Event(id, 42*time.Millisecond)
func (l *Lane) Event(id string, d time.Duration) {
	if t := l.trips[id]; t != nil {
		l.board.Paused(t.to.Key, d)
	}
}

// WriteDone takes the end of a writing call: OK means that all of it went out.
//
// Example: move := l.WriteDone(now, id, forward.Lost, "reset")
func (l *Lane) WriteDone(now time.Duration, id string, out Outcome, why string) Move {
	t := l.trips[id]
	l.came(now, t, out)
	t.note(now, out, why)
	if out == Barred {
		return l.barred(now, t)
	}
	if out != NotSent {
		t.arrive++
	}
	switch {
	case t.handle == nil:
	case out == Gone:
		t.gone, t.handle = append(t.gone, *t.handle), nil
	case out == OK || out == Lost: // taken up; who turned it away did not take it
		t.handle = nil
	}
	last := &t.led.Attempts[len(t.led.Attempts)-1]
	switch {
	case out == OK:
		t.led.Learn(attempt.Ended, "")
	case last.Known == attempt.First:
		t.led.Learn(attempt.First, why)
		if t.Resume && t.Repeat {
			l.n.Resumed++
		}
	default:
		t.led.Learn(known[out], why)
	}
	return l.next(now, t)
}

// Left tells that the client went away; whatever is under way is cut by the
// caller.
//
// Example: l.Left(now, id, forward.Lost)
func (l *Lane) Left(now time.Duration, id string, calling bool) Move {
	t := l.trips[id]
	if calling {
		l.came(now, t, Barred)
	}
	l.n.Left++
	return l.over(now, t, Move{Kind: Break, Why: "the client went away"})
}

// end is the last move where nothing more is to be tried.
func (l *Lane) end(now time.Duration, t *trip, why string) Move {
	switch {
	case t.begun:
		return l.finish(now, t, Break, why)
	case t.led.Ran():
		return l.finish(now, t, Unknown, why)
	}
	return l.finish(now, t, Refuse, why)
}

func (l *Lane) finish(now time.Duration, t *trip, k Kind, why string) Move {
	switch k {
	case Done:
		l.n.Served++
	case Refuse:
		l.n.Refused++
	case Unknown:
		l.n.Unknown++
	case Break:
		l.n.Broken++
	}
	return l.over(now, t, Move{Kind: k, Why: why, Back: l.cfg.Back})
}

func (l *Lane) over(now time.Duration, t *trip, m Move) Move {
	delete(l.trips, t.ID)
	l.balanced()
	m.Steps = t.choice
	m.Free = append(m.Free, t.gone...)
	if t.handle != nil {
		m.Free = append(m.Free, *t.handle)
		t.handle = nil
	}
	return m
}
