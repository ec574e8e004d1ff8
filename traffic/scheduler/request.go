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

// pendingRequest is one request on its way.
type pendingRequest struct {
	Request
	arrivedAt        time.Duration
	stage            stage
	attempts         attempt.Ledger
	prefixHashes     []uint64
	cachedParts      map[string]int // prompt parts that each prefill server holds
	queueEntry       *slots.Entry
	phase            slots.Phase
	servableAt       time.Duration // when it last could have gone somewhere
	firstSendCounted bool          // its first try is counted
	isRetry          bool          // the attempt under way is a retry

	attemptNumber int // the call under way
	server        string
	callUntil     time.Duration // it is given up then
	runID         string
	recordVersion string // of the prefill server's record
	handle        serverpool.Handle
	pairedServers map[string]bool
	prefillZone   string // of the prefill server

	piecesSent, piecesTaken int // pieces handed on, and taken by the client
	takenAt                 time.Duration

	picks      []string
	reason     string
	retryAfter time.Duration
}

// claimKey is the once claimKey within its tenant.
func (t *pendingRequest) claimKey() string { return t.Tenant + "/" + t.OnceKey }

func (l *Dispatcher) act(o *Out, a Decision) { o.Decisions = append(o.Decisions, a) }

// Start begins a request's trip.
//
// Example: out := l.Start(now, req)
func (l *Dispatcher) Start(now time.Duration, r Request) (o Out) {
	t := &pendingRequest{Request: r, arrivedAt: now, servableAt: now, prefixHashes: serverpool.HashPrefixes(r.Parts), attempts: attempt.Ledger{AtMostOnce: r.OnceKey != "", MaxPerPhase: l.cfg.MaxAttempts}}
	l.pending[r.ID] = t
	l.refreshServers(now)
	if r.OnceKey != "" {
		l.act(&o, Decision{RequestID: r.ID, Action: Claim, OnceKey: t.claimKey(), ClaimState: "claimed"})
		return o
	}
	l.decide(now, t, &o)
	l.handOutSlots(now, &o)
	return o
}

// ClaimDone takes the leader's word on a once key: its code and body.
//
// Example: out := l.ClaimDone(now, id, 200, nil)
func (l *Dispatcher) ClaimDone(now time.Duration, id string, code int, body []byte) (o Out) {
	t := l.pending[id]
	if t == nil || t.stage != claiming {
		return o
	}
	switch code {
	case 200:
		l.refreshServers(now)
		l.decide(now, t, &o)
		l.handOutSlots(now, &o)
	case 409:
		l.counts.Duplicates++
		l.release(now, t, Answer{Result: "duplicate", Status: 409, Body: body}, &o)
	default:
		// This request was not and will not be run, but whether its key ran before
		// is not known: so it isn't "refused".
		l.counts.Unknown++
		l.act(&o, Decision{RequestID: id, Action: SettleClaim, OnceKey: t.claimKey(), ClaimState: "shed"})
		l.release(now, t, Answer{Result: "uncertain", Status: 504, Reason: "the once key could not be claimed, whether it ran before is not known; ask again with the same key", RetryAfter: l.cfg.RetryAfter}, &o)
	}
	return o
}

// handOutSlots hands out the queue's decisions until there are no more.
func (l *Dispatcher) handOutSlots(now time.Duration, o *Out) {
	for {
		list := l.queue.TakeResults()
		if len(list) == 0 {
			return
		}
		for _, k := range list {
			t := l.pending[k.ID]
			if t == nil || t.stage != queued {
				panic("a ticket for " + k.ID + ", which doesn't wait")
			}
			if k.Refused {
				t.reason, t.retryAfter = k.Reason, k.RetryAfter
				l.finish(now, t, t.attempts.End(), o)
				continue
			}
			l.startCall(now, t, k.Addr, o)
		}
	}
}

// decide makes the ledger's decide move.
func (l *Dispatcher) decide(now time.Duration, t *pendingRequest, o *Out) {
	move, again := t.attempts.Next()
	if move != attempt.DoPrefill && move != attempt.DoDecode {
		l.finish(now, t, move, o)
		return
	}
	if now >= t.Deadline {
		t.reason = "its deadline passed"
		l.finish(now, t, t.attempts.End(), o)
		return
	}
	if t.isRetry = again; again && !l.retries.Has(now) {
		t.reason = "no retry to spare"
		l.finish(now, t, t.attempts.End(), o)
		return
	}
	t.phase = slots.Prefill
	like := ""
	if move == attempt.DoDecode {
		t.phase = slots.Decode
	} else {
		t.cachedParts = l.prefixes.CachedParts(t.prefixHashes)
		top := 0
		for a, n := range t.cachedParts {
			if n > top || n == top && a < like {
				like, top = a, n
			}
		}
	}
	t.stage, t.servableAt = queued, now
	t.queueEntry = &slots.Entry{ID: t.ID, Phase: t.phase, Priority: t.Priority, Tenant: t.Tenant, Deadline: t.Deadline, PreferredServer: like, Pick: func(free []string) string { return l.pick(t, free) }}
	l.queue.Enqueue(now, t.queueEntry, t.QueueFraction)
	o.NeedsSlots = true
}
