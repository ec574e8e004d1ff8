package leader

import (
	"net/http"
	"time"

	"mulleinmast/control/leadercall"
	"mulleinmast/control/ratelimit"
	"mulleinmast/wire/message"
)

// handleToken grants a daemon a token of a tenant's rate limit. Token buckets are kept in memory only, for
// the duration of the leadership.
func (c *Controller) handleToken(now time.Duration, from message.Sender, call message.Call) {
	request, err := decodeBody[ratelimit.Request](call.Body)
	switch {
	case err != nil || request.Tenant == "" || !(request.Limit.Rate > 0) || !(request.Limit.Burst >= 1):
		c.respond(from, call, answer{status: http.StatusBadRequest})
	case !c.partition.IsLeader(now):
		c.respond(from, call, answer{status: leadercall.StatusNotLeader})
	default:
		if c.limits == nil {
			c.limits = ratelimit.NewAllocator(c.partition.Replica.LeaderSince())
		}
		grant := c.limits.Take(now, from.Ident, request)
		c.respond(from, call, answer{status: http.StatusOK, body: leadercall.MustMarshal(grant)})
	}
}
