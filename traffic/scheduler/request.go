package scheduler

import (
	"net/http"
	"time"

	"mulleinmast/traffic/attempt"
	"mulleinmast/traffic/serverpool"
	"mulleinmast/traffic/slots"
)

// stage is the event that a request waits for.
type stage uint8

const (
	claiming  stage = iota // the leader's answer to the claim of the once key
	queued                 // a slot on a server
	calling                // the end of a prefill, or the first piece of a decode
	streaming              // further pieces of the decode
)

// pendingRequest is an unfinished request with the state of its attempts.
type pendingRequest struct {
	Request
	arrivedAt    time.Duration
	stage        stage
	attempts     attempt.Ledger
	prefixHashes []uint64       // prefixes of the prompt, see serverpool.HashPrefixes
	cachedParts  map[string]int // number of leading prompt parts that each prefill server has cached

	// Queue state.
	queueEntry     *slots.Entry
	phase          slots.Phase   // current or next phase
	lastServableAt time.Duration // last time at which a suitable server existed

	// Current attempt.
	attemptNumber    int
	isRetry          bool
	firstSendCounted bool // the first send was counted in the counters and the retry bucket
	server           string
	callDeadline     time.Duration // when a call without an answer times out
	runID            string        // run ID of a decode
	recordVersion    string        // version of the prefill server's record

	// Result of the prefill.
	handle        serverpool.Handle
	pairedServers map[string]bool // decode servers that can fetch the KV cache
	prefillZone   string

	// Stream state. A client that has taken all pieces can't stall.
	piecesSent, piecesTaken int
	lastTakenAt             time.Duration // last time at which the client took a piece or had taken all of them

	// For the answer and its trace.
	picks      []string
	reason     string
	retryAfter time.Duration
}

// claimKey returns the once key, qualified by its tenant.
func (r *pendingRequest) claimKey() string { return r.Tenant + "/" + r.OnceKey }

// claim returns the decision to set the state of the request's claim.
func (r *pendingRequest) claim(action Action, state string) Decision {
	return Decision{RequestID: r.ID, Action: action, OnceKey: r.claimKey(), ClaimState: state}
}

// Start accepts a new request and makes its first decision.
//
// Example: out := d.Start(now, request)
func (d *Dispatcher) Start(now time.Duration, request Request) (out Out) {
	r := &pendingRequest{
		Request: request, arrivedAt: now, lastServableAt: now, prefixHashes: serverpool.HashPrefixes(request.Parts),
		attempts: attempt.Ledger{AtMostOnce: request.OnceKey != "", MaxPerPhase: d.cfg.MaxAttempts},
	}
	d.pending[request.ID] = r
	d.refreshServers(now)
	if request.OnceKey != "" {
		out.add(r.claim(Claim, claimTaken))
		return out
	}
	d.decideNext(now, r, &out)
	d.processQueueResults(now, &out)
	return out
}

// ClaimDone handles the leader's answer to the claim of a once key.
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
		d.decideNext(now, r, &out)
		d.processQueueResults(now, &out)
	case http.StatusConflict:
		d.counts.Duplicates++
		d.respond(now, r, Answer{Result: ResultDuplicate, Status: http.StatusConflict, Body: body}, &out)
	default:
		d.handleFailedClaim(now, r, &out)
	}
	return out
}

// handleFailedClaim ends a request whose claim failed or got no answer. The request has not run and will not,
// but an earlier request with the same key may have: the result is therefore uncertain, not a refusal.
func (d *Dispatcher) handleFailedClaim(now time.Duration, r *pendingRequest, out *Out) {
	const why = "the once key could not be claimed, whether it ran before is not known; ask again with the same key"
	d.counts.Uncertain++
	out.add(r.claim(SettleClaim, claimReleased))
	d.respond(now, r, Answer{
		Result: ResultUncertain, Status: http.StatusGatewayTimeout, Reason: why, RetryAfter: d.cfg.RetryAfter,
	}, out)
}

// decideNext derives the request's next decision from its attempt ledger.
func (d *Dispatcher) decideNext(now time.Duration, r *pendingRequest, out *Out) {
	move, isRetry := r.attempts.Next()
	if move != attempt.DoPrefill && move != attempt.DoDecode {
		d.finish(now, r, move, out)
		return
	}
	if now >= r.Deadline {
		d.giveUp(now, r, "its deadline passed", out)
		return
	}
	r.isRetry = isRetry
	if isRetry && !d.retries.Has(now) {
		d.giveUp(now, r, "no retry to spare", out)
		return
	}
	if move == attempt.DoDecode {
		d.enqueue(now, r, slots.Decode, "")
	} else {
		r.cachedParts = d.prefixes.CachedParts(r.prefixHashes)
		d.enqueue(now, r, slots.Prefill, serverWithMostCached(r.cachedParts))
	}
	out.NeedsSlots = true
}

// serverWithMostCached returns the server that has the most parts cached, or "" if none has any. Among servers
// with the same number it returns the lowest address.
func serverWithMostCached(cachedParts map[string]int) string {
	best, most := "", 0
	for addr, n := range cachedParts {
		if n > most || n == most && addr < best {
			best, most = addr, n
		}
	}
	return best
}

// enqueue queues a request for a slot of a phase.
func (d *Dispatcher) enqueue(now time.Duration, r *pendingRequest, phase slots.Phase, preferred string) {
	r.stage, r.phase, r.lastServableAt = queued, phase, now
	r.queueEntry = &slots.Entry{
		ID: r.ID, Phase: phase, Priority: r.Priority, Tenant: r.Tenant, Deadline: r.Deadline, PreferredServer: preferred,
		Pick: func(free []string) string { return d.pick(r, free) },
	}
	d.queue.Enqueue(now, r.queueEntry, r.QueueFraction)
}

// processQueueResults handles the queue's assigned slots and refusals until there are no more.
func (d *Dispatcher) processQueueResults(now time.Duration, out *Out) {
	for {
		results := d.queue.TakeResults()
		if len(results) == 0 {
			return
		}
		for _, result := range results {
			r := d.pending[result.ID]
			if r == nil || r.stage != queued {
				panic("queue returned a result for request " + result.ID + ", which is not queued")
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
