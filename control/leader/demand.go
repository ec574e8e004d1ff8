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

// handleDemand answers a demand with the daemon's share of the slots. Shares are kept in memory only.
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

// canGrantShares reports whether this leader may grant shares. It must not do so before it may write,
// since an earlier leader's shares may be valid until then.
func (c *Controller) canGrantShares(now time.Duration) bool {
	return c.partition.IsLeader(now) && c.placement != nil && now >= c.partition.WritesFrom()
}

// isOutdated reports whether a later demand of the same daemon arrived before this call. The
// call's count of requests in flight is then out of date.
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
