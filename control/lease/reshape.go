package lease

import (
	"maps"
	"slices"
	"strings"
	"time"

	"mulleinmast/wire/message"
)

// maxJoinChildren is the maximum number of children that a join may redirect to the
// parent. With more children, a relay is likely slow because all nodes are overloaded, and
// the redirected children would overload the parent, too.
const maxJoinChildren = 24

// loadStats holds the measurements by which a node decides whether the tree should be
// deeper or flatter at this node: the paper's RenewCost, F, HitCount and ReqCount.
type loadStats struct {
	renewCost   time.Duration // RenewCost at the parent, smoothed
	requests    int           // ReqCount: renewals of children since windowStart
	hits        int           // HitCount: the renewals that could be granted immediately
	windowStart time.Duration // 0 if counting has not started
	lastChange  time.Duration // when children were last redirected
	skipped     map[message.Replica]*skippedRelay
}

// skippedRelay holds the load that a relay would have if the children that bypass it
// renewed there.
type skippedRelay struct {
	requests, hits int
	volumeExpiry   time.Duration // of the volume lease that the relay would have
	children       map[string]bool
}

// RenewCost returns the smoothed duration of a renewal at the parent.
//
// Example: if n.RenewCost() > 20*time.Millisecond { look() }
func (n *Node) RenewCost() time.Duration { return n.load.renewCost }

// addRenewCost updates RenewCost with the duration of a renewal.
func (s *loadStats) addRenewCost(took time.Duration) {
	if s.renewCost == 0 {
		s.renewCost = took
		return
	}
	s.renewCost += (took - s.renewCost) / 4
}

// startWindow resets the counters and starts a new window.
func (s *loadStats) startWindow(now time.Duration) {
	s.requests, s.hits, s.windowStart = 0, 0, now
	s.skipped = map[message.Replica]*skippedRelay{}
}

// countRenewal counts a child's renewal, and whether it could be granted immediately. The
// renewal is also counted for the relay that the child bypasses, if any.
func (n *Node) countRenewal(now time.Duration, c *child, hit bool) {
	n.load.requests++
	if hit {
		n.load.hits++
	}
	if n.RelayOf == nil {
		return
	}
	relay := n.RelayOf(c.replica.Ident)
	if relay.Ident == "" || relay.Ident == n.self.Ident || relay.Ident == c.replica.Ident {
		return
	}
	skipped := n.load.skipped[relay]
	if skipped == nil {
		skipped = &skippedRelay{children: map[string]bool{}}
		n.load.skipped[relay] = skipped
	}
	skipped.count(now, c.id, n.cfg.VolumeLease)
}

// count counts a renewal that the relay would have received.
func (r *skippedRelay) count(now time.Duration, child string, volumeLease time.Duration) {
	r.requests++
	r.children[child] = true
	if now < r.volumeExpiry {
		r.hits++
	}
	r.volumeExpiry = now + volumeLease
}

// reshape evaluates the paper's inequalities for joins and splits once per LoadInterval, and
// redirects children accordingly. After a change it waits for at least two intervals.
func (n *Node) reshape(now time.Duration, out *Out) {
	s, interval := &n.load, n.cfg.LoadInterval
	if interval == 0 || now-s.windowStart < interval {
		return
	}
	if s.windowStart != 0 && now-s.lastChange >= 2*interval {
		childCost := n.childRenewCost()
		if n.shouldJoin(childCost) {
			s.lastChange = now
			n.redirectChildren(sortedKeys(n.downstream.children), n.upstream.parent, message.RedirectJoin, out)
		}
		n.split(now, childCost, out)
	}
	s.startWindow(now)
}

// shouldJoin reports whether the children would renew faster directly at this node's
// parent, and are few enough for the parent to handle.
func (n *Node) shouldJoin(childCost time.Duration) bool {
	s := &n.load
	if n.root.active || n.upstream.parent.Ident == "" || s.requests == 0 || childCost <= 0 {
		return false
	}
	hitRate := float64(s.hits) / float64(s.requests)
	costThroughHere := childCost + time.Duration((1-hitRate)*float64(s.renewCost))
	return costThroughHere > s.renewCost+n.cfg.MinGain && s.requests < n.cfg.MaxRenewals/2 &&
		len(n.downstream.children) <= maxJoinChildren
}

// split redirects children to the relays that they bypass if they would renew faster at the
// relay, or if this node handled more than MaxRenewals renewals in the window.
func (n *Node) split(now, childCost time.Duration, out *Out) {
	relays := slices.SortedFunc(maps.Keys(n.load.skipped), func(a, b message.Replica) int {
		return strings.Compare(a.Addr+a.Ident, b.Addr+b.Ident)
	})
	for _, relay := range relays {
		skipped := n.load.skipped[relay]
		if skipped.requests == 0 || len(skipped.children) < 2 {
			continue
		}
		if n.isRelayBetter(relay, skipped, childCost) || n.load.requests > n.cfg.MaxRenewals {
			n.load.lastChange = now
			n.redirectChildren(sortedKeys(skipped.children), relay, message.RedirectSplit, out)
		}
	}
}

// isRelayBetter reports whether children that bypass a relay would renew faster at the relay.
func (n *Node) isRelayBetter(relay message.Replica, skipped *skippedRelay, childCost time.Duration) bool {
	missRate := 1 - float64(skipped.hits)/float64(skipped.requests)
	relayCost := n.relayRenewCost(relay)
	return relayCost > 0 && relayCost+time.Duration(missRate*float64(childCost)) < childCost-n.cfg.MinGain
}

// redirectChildren redirects the given children, if they are still known, to another
// parent.
func (n *Node) redirectChildren(ids []string, parent message.Replica, reason string, out *Out) {
	redirect := message.Redirect{Parent: parent, Reason: reason}
	for _, id := range ids {
		if c := n.downstream.children[id]; c != nil {
			n.sendToChild(c, redirect.Message(n.partition), out)
		}
	}
}

// childRenewCost returns the mean RenewCost that children measured at this node; 0 if
// unknown.
func (n *Node) childRenewCost() time.Duration {
	sum, count := time.Duration(0), 0
	for _, c := range n.downstream.children {
		if c.renewCost > 0 {
			sum += c.renewCost
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / time.Duration(count)
}

// relayRenewCost estimates the cost of a renewal at a relay as half of the RenewCost that
// the relay measured at this node; 0 if unknown.
func (n *Node) relayRenewCost(relay message.Replica) time.Duration {
	for _, c := range n.downstream.children {
		if c.replica == relay {
			return c.renewCost / 2
		}
	}
	return 0
}
