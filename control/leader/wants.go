package leader

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"mulleinmast/control/leadercall"
	"mulleinmast/control/placement"
	"mulleinmast/wire/message"
)

// wanted gives a daemon its share of the slots; shares live in memory only.
func (m *Controller) wanted(now time.Duration, n message.Message) {
	var w placement.Demand
	switch err := json.Unmarshal(n.Body, &w); {
	case err != nil:
		m.back(n, http.StatusBadRequest, leadercall.Pack(leadercall.Response{Result: "broken", Faults: []string{err.Error()}}))
	case !m.sec.Leader(now) || m.holder == nil || now < m.sec.WritesFrom(): // an earlier leader's shares may stand
		m.back(n, leadercall.StatusNotLeader, nil)
	case m.overtaken(n, w.Service):
		m.back(n, leadercall.StatusNotLeader, nil)
	default:
		m.back(n, http.StatusOK, leadercall.Pack(m.holder.HandleDemand(now, n.From, w, m.sec.Replica.LeaseEnd()-now)))
	}
}

// overtaken tells whether a later report of the same daemon came before this
// one: what it says is in flight is no longer so.
func (m *Controller) overtaken(n message.Message, service string) bool {
	if n.ResponseTo == 0 { // a build that doesn't number its calls
		return false
	}
	id := service + "/" + n.From
	last, now := m.wants[id], [2]uint64{n.Epoch, n.ResponseTo}
	if slices.Compare(now[:], last[:]) <= 0 {
		return true
	}
	m.wants[id] = now
	return false
}
