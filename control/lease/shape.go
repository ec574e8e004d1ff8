package lease

import (
	"maps"
	"slices"
	"strings"
	"time"

	"mulleinmast/wire/message"
)

// Shape is what a node measures to decide whether the tree should be deeper
// or flatter at it: the paper's RenewCost, F, HitCount and ReqCount.
type Shape struct {
	cost  time.Duration // RenewCost at our parent, smoothed
	asked int
	local int
	from  time.Duration
	// RelayOf tells which skipped child (static relay) a child would go through;
	// set by the daemon from the member list.
	RelayOf func(ident string) message.Replica
	skip    map[message.Replica]*ghost
	moved   time.Duration
}

// ghost simulates a skipped static child.
type ghost struct {
	reqs, hits int
	till       time.Duration
	kids       map[string]bool
}

func (s Shape) fresh() Shape {
	return Shape{cost: s.cost, RelayOf: s.RelayOf, skip: map[message.Replica]*ghost{}}
}

// RenewCost is RenewCost at the parent, smoothed.
//
// Example: if n.RenewCost() > 20*time.Millisecond { look() }
func (n *Node) RenewCost() time.Duration { return n.cost }

// costed records a measured renewal at the parent.
func (n *Node) costed(d time.Duration) {
	if n.cost == 0 {
		n.cost = d
		return
	}
	n.cost += (d - n.cost) / 4
}

// counted records a child's renewal and whether it was served from here.
func (n *Node) counted(now time.Duration, k *kid, local bool) {
	n.asked++
	if local {
		n.local++
	}
	if n.RelayOf == nil {
		return
	}
	to := n.RelayOf(k.replica.Ident)
	if to.Ident == "" || to.Ident == n.me.Ident || to.Ident == k.replica.Ident {
		return
	}
	g := n.skip[to]
	if g == nil {
		g = &ghost{kids: map[string]bool{}}
		n.skip[to] = g
	}
	g.reqs++
	g.kids[k.id] = true
	if now < g.till {
		g.hits++
	}
	g.till = now + n.cfg.VolumeLease
}

// wide is the most children that a join may send to our parent: where there are
// more, the relay is slow because all are, and the parent would be next.
const wide = 24

// reshape applies the paper's inequalities once a Span, with a dwell.
func (n *Node) reshape(now time.Duration, o *Out) {
	if n.cfg.LoadInterval == 0 || now-n.from < n.cfg.LoadInterval {
		return
	}
	defer func() {
		n.asked, n.local, n.from = 0, 0, now
		n.skip = map[message.Replica]*ghost{}
	}()
	if n.from == 0 || now-n.moved < 2*n.cfg.LoadInterval {
		return
	}
	near := n.kidCost()
	// Join: our children do better straight at our parent, and it has room.
	if !n.root && n.parent.Ident != "" && n.asked > 0 && near > 0 {
		f := float64(n.local) / float64(n.asked)
		through := near + time.Duration((1-f)*float64(n.cost))
		if through > n.cost+n.cfg.MinGain && n.asked < n.cfg.MaxRenewals/2 && len(n.kids) <= wide {
			n.moved = now
			for _, id := range sorted(n.kids) {
				n.tell(n.kids[id], message.Message{Kind: message.KindRedirect, Hint: n.parent, Reason: "join"}, o)
			}
		}
	}
	// Split: a skipped relay would serve its children better, or we are loaded.
	for _, to := range slices.SortedFunc(maps.Keys(n.skip), func(a, b message.Replica) int { return strings.Compare(a.Addr+a.Ident, b.Addr+b.Ident) }) {
		g := n.skip[to]
		if g.reqs == 0 || len(g.kids) < 2 {
			continue
		}
		miss := 1 - float64(g.hits)/float64(g.reqs)
		at := n.relayCost(to)
		better := at > 0 && at+time.Duration(miss*float64(near)) < near-n.cfg.MinGain
		if better || n.asked > n.cfg.MaxRenewals {
			n.moved = now
			for _, id := range sorted(g.kids) {
				if k := n.kids[id]; k != nil {
					n.tell(k, message.Message{Kind: message.KindRedirect, Hint: to, Reason: "split"}, o)
				}
			}
		}
	}
}

// kidCost is the mean RenewCost that our children measured here.
func (n *Node) kidCost() time.Duration {
	sum, c := time.Duration(0), 0
	for _, k := range n.kids {
		if k.cost > 0 {
			sum += k.cost
			c++
		}
	}
	if c == 0 {
		return 0
	}
	return sum / time.Duration(c)
}

// relayCost is what a child would pay at the relay: by our own link to it.
func (n *Node) relayCost(to message.Replica) time.Duration {
	for _, k := range n.kids {
		if k.replica == to {
			return k.cost / 2
		}
	}
	return 0
}
