package sim

import (
	"fmt"
	"strings"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leadercall"
	"mulleinmast/proof/history"
	"mulleinmast/wire/message"
)

// Parameters of racing operators: the most changes in flight, and the shares of answers that
// are lost, of calls sent through two daemons at once, and of calls sent again long after
// they were answered.
const (
	maxOpenRaces       = 8
	lostAnswerShare    = 0.4
	doubledCallShare   = 0.2
	repeatedCallShare  = 0.5
	leaderFailureShare = 0.02 // share of acknowledgements after which the leader is killed
)

// racedChange is a change that an operator sends until its outcome is known.
type racedChange struct {
	id           string
	base, number uint64
	body         []byte
	clear        bool
}

// startRaces repeatedly sends one change, or two on the same base and with the same number.
// At most maxOpenRaces are in flight.
func (w *world) startRaces() {
	if w.now > w.options.Length-12*time.Second {
		return
	}
	w.schedule(w.exp(w.options.RaceInterval), w.startRaces)
	both := w.rng.Intn(2) == 0
	if w.openRaces+2 > maxOpenRaces || w.knownVersion == 0 {
		return
	}
	base, number := w.knownVersion, w.knownVersion+1+uint64(w.rng.Intn(3))
	w.startRace(base, number)
	if both {
		w.startRace(base, number)
	}
}

// startRace sends a racing change until its outcome is known.
func (w *world) startRace(base, number uint64) {
	w.tags++
	w.openRaces++
	r := &racedChange{id: fmt.Sprintf("r%d", w.tags), base: base, number: number}
	r.body = leadercall.MustMarshal(fleetconfig.Changes{
		ID: r.id, Base: base, Number: number, Changes: []fleetconfig.Change{w.tenantChange(4)},
	})
	w.sendRacedChange(r)
}

// sendRacedChange sends one call, or two at once through different daemons.
func (w *world) sendRacedChange(r *racedChange) {
	w.tryRacedChange(r, w.pickNode(""))
	if w.rng.Float64() < doubledCallShare {
		w.tryRacedChange(r, w.pickNode(""))
	}
}

// tryRacedChange sends a change through a daemon, records the answer and, if the outcome is
// unknown, schedules a retry.
func (w *world) tryRacedChange(r *racedChange, n *node) {
	from := w.now
	w.controlCall(n, 0, "changes", r.body, func(code int, rep []byte) {
		if code == 0 { // no daemon accepted the call
			w.retryRacedChange(r)
			return
		}
		v := verdict(rep)
		answered := w.rng.Float64() >= lostAnswerShare &&
			(v.Result == "taken" || v.Result == "beaten" || v.Result == "broken")
		if !answered {
			v = fleetconfig.Verdict{Result: "unheard"}
		}
		w.writeJournal(history.Event{
			Who: "operator", Ev: "plan", Plan: r.id, Base: r.base, Number: r.number, Ver: v.Version,
			Result: v.Result, Took: max(1, int64(w.now-from)),
		})
		if !answered {
			w.retryRacedChange(r)
			return
		}
		w.result.Plans[v.Result]++
		w.knownVersion = max(w.knownVersion, v.Version)
		if v.Result == "taken" && !w.faultsEnded && w.rng.Float64() < leaderFailureShare {
			w.failLeader()
		}
		if !r.clear {
			r.clear = true
			w.openRaces--
		}
		if w.rng.Float64() < repeatedCallShare && w.now < w.options.Length-12*time.Second { // after many others
			w.result.Faults["sent again"]++
			w.schedule(w.exp(8*time.Second), func() { w.tryRacedChange(r, w.pickNode("")) })
		}
	})
}

// retryRacedChange resends a change whose outcome isn't known, sometimes only seconds later.
func (w *world) retryRacedChange(r *racedChange) {
	if r.clear || w.now > w.options.Length-12*time.Second {
		return
	}
	pause := 20*time.Millisecond + w.exp(200*time.Millisecond)
	if w.rng.Intn(4) == 0 {
		pause += w.exp(3 * time.Second)
	}
	w.schedule(pause, func() { w.sendRacedChange(r) })
}

// failLeader kills the leader of the configuration, sometimes with its disk. In runs that
// replace a machine the disk is kept, since only one disk may be lost at once.
func (w *world) failLeader() {
	kind := "ackkill"
	if len(w.options.ReplacementTimes) > 0 {
		kind = "kill"
	}
	for _, n := range w.nodes {
		if n.up && n.controllers[0].IsLeader(n.local()) {
			w.injectFault(kind, n)
			return
		}
	}
}

// forgetChanges is the sabotage that loses the record of accepted changes: always, or once
// per leader term.
func (w *world) forgetChanges(n *node, always bool) {
	replica := n.partition(0).Replica
	if replica == nil || !n.controllers[0].IsLeader(n.local()) || !always && n.forgotInTerm == replica.Term() {
		return
	}
	n.forgotInTerm = replica.Term()
	var keys []string
	for r := range replica.Records().All() {
		if strings.HasPrefix(r.Key, "taken/") {
			keys = append(keys, r.Key)
		}
	}
	for _, k := range keys {
		replica.Records().Delete(k)
	}
}

// sabotageCall applies the current sabotage of plan calls to a call.
func (w *world) sabotageCall(to *node, m *message.Message) {
	if m.Kind != message.KindCall || m.Partition != 0 {
		return
	}
	now := fleetconfig.MustReadPlan(w.read(to, fleetconfig.PlanKey)).Version
	switch w.options.Sabotage {
	case "nobase":
		if m.Op == "changes" {
			m.Body = rebase(m.Body, now, false)
		}
	case "again": // an unknown change is applied to the current version, whatever its base
		w.forgetChanges(to, true)
		if m.Op == "changes" {
			m.Body = rebase(m.Body, now, true)
		}
	case "refuseagain":
		w.forgetChanges(to, true)
	case "forgetful":
		w.forgetChanges(to, false)
	}
}
