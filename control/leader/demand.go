package leader

import (
	"encoding/json"
	"net/http"
	"time"

	"mulleinmast/control/leadercall"
	"mulleinmast/control/placement"
	"mulleinmast/wire/message"
)

// demandNumber orders the demands that one daemon reports for a service: by its
// incarnation, then by the number of the call.
type demandNumber struct{ epoch, call uint64 }

func (n demandNumber) isAfter(other demandNumber) bool {
	return n.epoch > other.epoch || n.epoch == other.epoch && n.call > other.call
}

// handleDemand gives a daemon its share of the slots. Shares live in memory only.
func (c *Controller) handleDemand(now time.Duration, from message.Sender, call message.Call) {
	var demand placement.Demand
	if err := json.Unmarshal(call.Body, &demand); err != nil {
		c.respond(from, call, invalidBody(err))
		return
	}
	if !c.mayShare(now) || c.isOvertaken(from, call, demand.Service) {
		c.respond(from, call, answer{status: leadercall.StatusNotLeader})
		return
	}
	leaseLeft := c.partition.Replica.LeaseEnd() - now
	share := c.placement.HandleDemand(now, from.Ident, demand, leaseLeft)
	c.respond(from, call, answer{status: http.StatusOK, body: leadercall.Pack(share)})
}

// mayShare tells whether shares may be given out: shares of an earlier leader may stand
// until this one may write.
func (c *Controller) mayShare(now time.Duration) bool {
	return c.partition.IsLeader(now) && c.placement != nil && now >= c.partition.WritesFrom()
}

// isOvertaken tells whether a later demand of the same daemon came before this
// one, whose requests in flight are then out of date.
func (c *Controller) isOvertaken(from message.Sender, call message.Call, service string) bool {
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
