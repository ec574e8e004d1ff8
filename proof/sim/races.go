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

// Operators in a race: what part of their answers is lost, of their calls goes
// to two daemons at once, and comes again long after it had its answer.
const (
	mostOpen    = 8
	answerLost  = 0.4
	callDoubled = 0.2
	calledAgain = 0.5
	leaderFails = 0.02 // right after an acknowledgement
)

// raced is a change that an operator sends until its end is clear.
type raced struct {
	id           string
	base, number uint64
	body         []byte
	clear        bool
}

// races sends one change, or two on the same version and with the same number,
// now and then; never more than mostOpen are under way.
func (w *world) races() {
	if w.now > w.options.Length-12*time.Second {
		return
	}
	w.at(w.exp(w.options.Races), w.races)
	both := w.rng.Intn(2) == 0
	if w.openRaces+2 > mostOpen || w.knownVersion == 0 {
		return
	}
	base, number := w.knownVersion, w.knownVersion+1+uint64(w.rng.Intn(3))
	w.race(base, number)
	if both {
		w.race(base, number)
	}
}

func (w *world) race(base, number uint64) {
	w.tags++
	w.openRaces++
	r := &raced{id: fmt.Sprintf("r%d", w.tags), base: base, number: number}
	r.body = leadercall.MustMarshal(fleetconfig.Changes{
		ID: r.id, Base: base, Number: number, Changes: []fleetconfig.Change{w.tenantChange(4)},
	})
	w.sendRaced(r)
}

// sendRaced sends one try, or two at once through different daemons.
func (w *world) sendRaced(r *raced) {
	w.tryRaced(r, w.pick(""))
	if w.rng.Float64() < callDoubled {
		w.tryRaced(r, w.pick(""))
	}
}

func (w *world) tryRaced(r *raced, n *node) {
	from := w.now
	w.control(n, 0, "changes", r.body, func(code int, rep []byte) {
		if code == 0 { // nobody took it
			w.againRaced(r)
			return
		}
		v := verdict(rep)
		heard := w.rng.Float64() >= answerLost && (v.Result == "taken" || v.Result == "beaten" || v.Result == "broken")
		if !heard {
			v = fleetconfig.Verdict{Result: "unheard"}
		}
		w.jot(history.Event{
			Who: "operator", Ev: "plan", Plan: r.id, Base: r.base, Number: r.number, Ver: v.Version,
			Result: v.Result, Took: max(1, int64(w.now-from)),
		})
		if !heard {
			w.againRaced(r)
			return
		}
		w.result.Plans[v.Result]++
		w.knownVersion = max(w.knownVersion, v.Version)
		if v.Result == "taken" && !w.calm && w.rng.Float64() < leaderFails {
			w.failLeader()
		}
		if !r.clear {
			r.clear = true
			w.openRaces--
		}
		if w.rng.Float64() < calledAgain && w.now < w.options.Length-12*time.Second { // much later, with hundreds between
			w.result.Faults["sent again"]++
			w.at(w.exp(8*time.Second), func() { w.tryRaced(r, w.pick("")) })
		}
	})
}

// againRaced sends a call again whose end isn't clear, seconds later at times.
func (w *world) againRaced(r *raced) {
	if r.clear || w.now > w.options.Length-12*time.Second {
		return
	}
	pause := 20*time.Millisecond + w.exp(200*time.Millisecond)
	if w.rng.Intn(4) == 0 {
		pause += w.exp(3 * time.Second)
	}
	w.at(pause, func() { w.sendRaced(r) })
}

// failLeader kills the leader of the configuration, at times with its disk: not
// where a machine is replaced, whose disk is the one that may be lost at once.
func (w *world) failLeader() {
	kind := "ackkill"
	if len(w.options.Swaps) > 0 {
		kind = "kill"
	}
	for _, n := range w.nodes {
		if n.up && n.controllers[0].IsLeader(n.local()) {
			w.fault(kind, n)
			return
		}
	}
}

// forget is the sabotage that loses the memory of accepted changes: always, or
// with each new leader.
func (w *world) forget(n *node, always bool) {
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

// spoilCall is what the sabotages of the calls of plans do to one.
func (w *world) spoilCall(to *node, m *message.Message) {
	if m.Kind != message.KindCall || m.Partition != 0 {
		return
	}
	now := fleetconfig.MustReadPlan(w.read(to, fleetconfig.PlanKey)).Version
	switch w.options.Sabotage {
	case "nobase":
		if m.Op == "changes" {
			m.Body = rebase(m.Body, now, false)
		}
	case "again": // what isn't known is taken on the present version, whatever it was on
		w.forget(to, true)
		if m.Op == "changes" {
			m.Body = rebase(m.Body, now, true)
		}
	case "refuseagain":
		w.forget(to, true)
	case "forgetful":
		w.forget(to, false)
	}
}
