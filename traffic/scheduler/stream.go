package scheduler

import (
	"time"

	"mulleinmast/traffic/attempt"
	"mulleinmast/traffic/serverpool"
	"mulleinmast/traffic/slots"
)

// PieceReceived takes one piece of a decode server's stream; one that is not the next
// piece of this run ends it.
//
// Example: out := d.PieceReceived(now, id, attempt, piece)
func (d *Dispatcher) PieceReceived(now time.Duration, id string, attemptNumber int, p serverpool.Piece) (out Out) {
	r := d.inCall(id, attemptNumber)
	if r == nil || r.phase != slots.Decode {
		return out
	}
	if why := p.Mismatch(id, r.runID, r.piecesSent); why != "" {
		r.cancelCall(&out)
		d.refreshServers(now)
		d.decodeEnded(now, r, serverpool.Lost, why, &out)
		d.takeSlots(now, &out)
		return out
	}
	r.pieceSent(now)
	out.add(Decision{RequestID: id, Action: SendPiece, Attempt: attemptNumber, Piece: p})
	if p.End {
		r.attempts.Record(attempt.Ended, "")
		d.refreshServers(now)
		d.callEnded(now, r, serverpool.OK)
		d.decide(now, r, &out)
		d.takeSlots(now, &out)
	}
	return out
}

// pieceSent counts a piece; the client's time to take it begins now if it has all others.
func (r *pendingRequest) pieceSent(now time.Duration) {
	if r.stage == calling {
		r.stage, r.takenAt = streaming, now
	}
	if r.piecesSent == r.piecesTaken {
		r.takenAt = now
	}
	r.piecesSent++
}

// PiecesTaken tells how many pieces the client has taken so far.
//
// Example: d.PiecesTaken(now, id, 3)
func (d *Dispatcher) PiecesTaken(now time.Duration, id string, pieces int) {
	if r := d.pending[id]; r != nil && pieces > r.piecesTaken {
		r.piecesTaken, r.takenAt = pieces, now
	}
}
