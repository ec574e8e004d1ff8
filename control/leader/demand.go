package leader

import (
	"encoding/json"
	"net/http"
	"time"

	"mulleinmast/control/leadercall"
	"mulleinmast/control/placement"
	"mulleinmast/wire/message"
)

// demandNumber orders the demands that one daemon reports for a service: by the daemon's
// incarnation, then by the number of the call.
type demandNumber struct{ epoch, call uint64 }

func (n demandNumber) isAfter(other demandNumber) bool {
	return n.epoch > other.epoch || n.epoch == other.epoch && n.call > other.call
}

// handleDemand returns a daemon's share of the slots. Shares are kept in memory only.
func (c *Controller) handleDemand(now time.Duration, from message.Sender, call message.Call) {
	var demand placement.Demand
	if err := json.Unmarshal(call.Body, &demand); err != nil {
		c.respond(from, call, invalidBodyAnswer(err))
		return
	}
	if !c.canGrantShares(now) || c.isOutdated(from, call, demand.Service) {
		c.respond(from, call, answer{status: leadercall.StatusNotLeader})
		return
	}
	leaseLeft := c.partition.Replica.LeaseEnd() - now
	share := c.placement.HandleDemand(now, from.Ident, demand, leaseLeft)
	c.respond(from, call, answer{status: http.StatusOK, body: leadercall.MustMarshal(share)})
}

// canGrantShares reports whether shares may be granted: an earlier leader's shares may remain valid
// until this leader may write.
func (c *Controller) canGrantShares(now time.Duration) bool {
	return c.partition.IsLeader(now) && c.placement != nil && now >= c.partition.WritesFrom()
}

// isOutdated reports whether a later demand of the same daemon arrived before this
// one, so that its count of requests in flight is out of date.
func (c *Controller) isOutdated(from message.Sender, call message.Call, service string) bool {
	if call.CallID == 0 { // a build that doesn't number its calls
		return false
	}
	key := service + "/" + from.Ident
	number := demandNumber{from.Epoch, call.CallID}
	if !number.isAfter(c.demands[key]) {
		return true
	}
	c.demands[key] = number
	return false
}
