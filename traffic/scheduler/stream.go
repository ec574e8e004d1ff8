package scheduler

import (
	"time"

	"mulleinmast/traffic/attempt"
	"mulleinmast/traffic/serverpool"
	"mulleinmast/traffic/slots"
)

// PieceReceived handles one piece of a decode server's stream. A piece that is not the next one of this run
// aborts the stream.
//
// Example: out := d.PieceReceived(now, id, attempt, piece)
func (d *Dispatcher) PieceReceived(now time.Duration, id string, attemptNumber int, p serverpool.Piece) (out Out) {
	r := d.activeCall(id, attemptNumber)
	if r == nil || r.phase != slots.Decode {
		return out
	}
	if why := p.Mismatch(id, r.runID, r.piecesSent); why != "" {
		r.cancelCall(&out)
		d.refreshServers(now)
		d.finishDecode(now, r, serverpool.Lost, why, &out)
		d.processQueueResults(now, &out)
		return out
	}
	r.countPiece(now)
	out.add(Decision{RequestID: id, Action: SendPiece, Attempt: attemptNumber, Piece: p})
	if p.End {
		r.attempts.Record(attempt.Ended, "")
		d.refreshServers(now)
		d.finishCall(now, r, serverpool.OK)
		d.decideNext(now, r, &out)
		d.processQueueResults(now, &out)
	}
	return out
}

// countPiece counts a piece sent to the client. The stall timeout starts now if the client has taken all
// earlier pieces.
func (r *pendingRequest) countPiece(now time.Duration) {
	if r.stage == calling {
		r.stage, r.lastTakenAt = streaming, now
	}
	if r.piecesSent == r.piecesTaken {
		r.lastTakenAt = now
	}
	r.piecesSent++
}

// PiecesTaken records how many pieces the client has taken so far.
//
// Example: d.PiecesTaken(now, id, 3)
func (d *Dispatcher) PiecesTaken(now time.Duration, id string, pieces int) {
	if r := d.pending[id]; r != nil && pieces > r.piecesTaken {
		r.piecesTaken, r.lastTakenAt = pieces, now
	}
}
