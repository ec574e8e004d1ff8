package lease

import (
	"maps"
	"slices"
	"strings"
	"time"

	"mulleinmast/wire/message"
)

// maxJoinChildren is the most children that a join may send to our parent: where there
// are more, the relay is slow because all are, and the parent would be next.
const maxJoinChildren = 24

// loadStats is what a node measures to decide whether the tree should be deeper
// or flatter at it: the paper's RenewCost, F, HitCount and ReqCount.
type loadStats struct {
	renewCost   time.Duration // RenewCost at our parent, smoothed
	requests    int           // ReqCount: renewals of children since windowStart
	hits        int           // HitCount: those of them that could be granted from here at once
	windowStart time.Duration // 0: not yet counting
	lastChange  time.Duration // when children were last redirected
	skipped     map[message.Replica]*skippedRelay
}

// skippedRelay counts what a relay would see whose children come straight here.
type skippedRelay struct {
	requests, hits int
	volumeExpiry   time.Duration // of the lease that it would have
	children       map[string]bool
}

// RenewCost is the time that a renewal at the parent takes, smoothed.
//
// Example: if n.RenewCost() > 20*time.Millisecond { look() }
func (n *Node) RenewCost() time.Duration { return n.load.renewCost }

// measure takes a renewal's time into RenewCost.
func (s *loadStats) measure(took time.Duration) {
	if s.renewCost == 0 {
		s.renewCost = took
		return
	}
	s.renewCost += (took - s.renewCost) / 4
}

// startWindow begins counting anew.
func (s *loadStats) startWindow(now time.Duration) {
	s.requests, s.hits, s.windowStart = 0, 0, now
	s.skipped = map[message.Replica]*skippedRelay{}
}

// countRenewal counts a child's renewal, and whether it could be granted from here.
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

// count counts a renewal that the relay would have got.
func (r *skippedRelay) count(now time.Duration, child string, volumeLease time.Duration) {
	r.requests++
	r.children[child] = true
	if now < r.volumeExpiry {
		r.hits++
	}
	r.volumeExpiry = now + volumeLease
}

// reshape applies the paper's inequalities once a LoadInterval; after a change it
// waits for two more.
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

// shouldJoin tells whether our children do better straight at our parent, and it has
// room for them.
func (n *Node) shouldJoin(childCost time.Duration) bool {
	s := &n.load
	if n.root.active || n.upstream.parent.Ident == "" || s.requests == 0 || childCost <= 0 {
		return false
	}
	hitRate := float64(s.hits) / float64(s.requests)
	throughHere := childCost + time.Duration((1-hitRate)*float64(s.renewCost))
	return throughHere > s.renewCost+n.cfg.MinGain && s.requests < n.cfg.MaxRenewals/2 &&
		len(n.downstream.children) <= maxJoinChildren
}

// split sends children to relays that they skip, where these would serve them better
// or this node is loaded.
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

// isRelayBetter tells whether children that skip a relay would renew faster there.
func (n *Node) isRelayBetter(relay message.Replica, skipped *skippedRelay, childCost time.Duration) bool {
	missRate := 1 - float64(skipped.hits)/float64(skipped.requests)
	atRelay := n.relayRenewCost(relay)
	return atRelay > 0 && atRelay+time.Duration(missRate*float64(childCost)) < childCost-n.cfg.MinGain
}

// redirectChildren names another parent to those of the children that are still known.
func (n *Node) redirectChildren(ids []string, parent message.Replica, reason string, out *Out) {
	redirect := message.Redirect{Parent: parent, Reason: reason}
	for _, id := range ids {
		if c := n.downstream.children[id]; c != nil {
			n.sendToChild(c, redirect.Message(n.partition), out)
		}
	}
}

// childRenewCost is the mean RenewCost that our children measured here; 0: unknown.
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

// relayRenewCost is what a child would pay at the relay, by our own link to it; 0:
// unknown.
func (n *Node) relayRenewCost(relay message.Replica) time.Duration {
	for _, c := range n.downstream.children {
		if c.replica == relay {
			return c.renewCost / 2
		}
	}
	return 0
}
