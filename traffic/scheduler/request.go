package scheduler

import (
	"net/http"
	"time"

	"mulleinmast/traffic/attempt"
	"mulleinmast/traffic/serverpool"
	"mulleinmast/traffic/slots"
)

// stage is what a request waits for.
type stage uint8

const (
	claiming  stage = iota // the leader's answer to the claim of its once key
	queued                 // a slot
	calling                // a prefill, or the first piece of a decode
	streaming              // more pieces
)

// pendingRequest is one request under way, with what is known of its attempts.
type pendingRequest struct {
	Request
	arrivedAt    time.Duration
	stage        stage
	attempts     attempt.Ledger
	prefixHashes []uint64       // of the prompt, see serverpool.HashPrefixes
	cachedParts  map[string]int // leading parts of the prompt that each prefill server has cached

	// In the queue.
	queueEntry *slots.Entry
	phase      slots.Phase   // that it waits for, or is in
	servableAt time.Duration // when there last was a server for it

	// The attempt under way.
	attemptNumber    int
	isRetry          bool
	firstSendCounted bool // in the counts and for the retry ratio
	server           string
	callUntil        time.Duration // a call with no answer is given up then
	runID            string        // of a decode
	recordVersion    string        // of the prefill server's record

	// The prefill that it has.
	handle        serverpool.Handle
	pairedServers map[string]bool // decode servers that can have its KV cache
	prefillZone   string

	// The stream. A client that took all pieces is not behind.
	piecesSent, piecesTaken int
	takenAt                 time.Duration // when the client last took a piece, or had them all

	// For the answer.
	picks      []string
	reason     string
	retryAfter time.Duration
}

// claimKey is the once key within its tenant.
func (r *pendingRequest) claimKey() string { return r.Tenant + "/" + r.OnceKey }

// claim is the decision that gives its claim a state.
func (r *pendingRequest) claim(action Action, state string) Decision {
	return Decision{RequestID: r.ID, Action: action, OnceKey: r.claimKey(), ClaimState: state}
}

// Start takes a request in and makes its first decision.
//
// Example: out := d.Start(now, request)
func (d *Dispatcher) Start(now time.Duration, c Request) (out Out) {
	r := &pendingRequest{
		Request: c, arrivedAt: now, servableAt: now, prefixHashes: serverpool.HashPrefixes(c.Parts),
		attempts: attempt.Ledger{AtMostOnce: c.OnceKey != "", MaxPerPhase: d.cfg.MaxAttempts},
	}
	d.pending[c.ID] = r
	d.refreshServers(now)
	if c.OnceKey != "" {
		out.add(r.claim(Claim, claimTaken))
		return out
	}
	d.decide(now, r, &out)
	d.takeSlots(now, &out)
	return out
}

// ClaimDone takes the leader's answer to the claim of a once key.
//
// Example: out := d.ClaimDone(now, id, http.StatusOK, nil)
func (d *Dispatcher) ClaimDone(now time.Duration, id string, status int, body []byte) (out Out) {
	r := d.pending[id]
	if r == nil || r.stage != claiming {
		return out
	}
	switch status {
	case http.StatusOK:
		d.refreshServers(now)
		d.decide(now, r, &out)
		d.takeSlots(now, &out)
	case http.StatusConflict:
		d.counts.Duplicates++
		d.release(now, r, Answer{Result: ResultDuplicate, Status: http.StatusConflict, Body: body}, &out)
	default:
		d.claimFailed(now, r, &out)
	}
	return out
}

// claimFailed ends a request whose claim has no answer. It was not and will not be run, but
// whether its key ran before is not known: so it is no refusal.
func (d *Dispatcher) claimFailed(now time.Duration, r *pendingRequest, out *Out) {
	const why = "the once key could not be claimed, whether it ran before is not known; ask again with the same key"
	d.counts.Unknown++
	out.add(r.claim(SettleClaim, claimReleased))
	d.release(now, r, Answer{
		Result: ResultUncertain, Status: http.StatusGatewayTimeout, Reason: why, RetryAfter: d.cfg.RetryAfter,
	}, out)
}

// decide derives the next decision from what is known of the attempts.
func (d *Dispatcher) decide(now time.Duration, r *pendingRequest, out *Out) {
	move, again := r.attempts.Next()
	if move != attempt.DoPrefill && move != attempt.DoDecode {
		d.finish(now, r, move, out)
		return
	}
	if now >= r.Deadline {
		d.giveUp(now, r, "its deadline passed", out)
		return
	}
	r.isRetry = again
	if again && !d.retries.Has(now) {
		d.giveUp(now, r, "no retry to spare", out)
		return
	}
	if move == attempt.DoDecode {
		d.enqueue(now, r, slots.Decode, "")
	} else {
		r.cachedParts = d.prefixes.CachedParts(r.prefixHashes)
		d.enqueue(now, r, slots.Prefill, serverWithMost(r.cachedParts))
	}
	out.NeedsSlots = true
}

// serverWithMost is the server that has the most parts cached, the first by address among
// equals; "" if none has any.
func serverWithMost(cachedParts map[string]int) string {
	best, most := "", 0
	for addr, n := range cachedParts {
		if n > most || n == most && addr < best {
			best, most = addr, n
		}
	}
	return best
}

// enqueue has a request wait for a slot.
func (d *Dispatcher) enqueue(now time.Duration, r *pendingRequest, phase slots.Phase, preferred string) {
	r.stage, r.phase, r.servableAt = queued, phase, now
	r.queueEntry = &slots.Entry{
		ID: r.ID, Phase: phase, Priority: r.Priority, Tenant: r.Tenant, Deadline: r.Deadline, PreferredServer: preferred,
		Pick: func(free []string) string { return d.pick(r, free) },
	}
	d.queue.Enqueue(now, r.queueEntry, r.QueueFraction)
}

// takeSlots acts on the queue's results until there are no more.
func (d *Dispatcher) takeSlots(now time.Duration, out *Out) {
	for {
		results := d.queue.TakeResults()
		if len(results) == 0 {
			return
		}
		for _, result := range results {
			r := d.pending[result.ID]
			if r == nil || r.stage != queued {
				panic("a result of the queue for " + result.ID + ", which doesn't wait")
			}
			if result.Refused {
				r.retryAfter = result.RetryAfter
				d.giveUp(now, r, result.Reason, out)
				continue
			}
			d.startCall(now, r, result.Addr, out)
		}
	}
}
