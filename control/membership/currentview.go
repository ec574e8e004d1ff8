package membership

import (
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"time"

	"mulleinmast/wire/message"
)

// rememberedViews is how many earlier views are kept to tell differences from.
const rememberedViews = 8

// noViewDigest is a digest that is taken for no view's; 0 is one that is not computed.
const noViewDigest = 1

// readyBit marks a ready member in a view's digest.
const readyBit = 128

// currentView is the members that this daemon knows: a control daemon makes them out
// of all sessions, others get them from one.
type currentView struct {
	members []message.Member // by address; nil: none yet
	digest  uint64           // of members; 0: not computed yet; noViewDigest: they are not those that were meant
	past    []pastView       // views before this one, oldest first; at control daemons only
	madeAt  time.Duration    // when it was last made out of the sessions
}

// pastView is an earlier view and its digest.
type pastView struct {
	digest  uint64
	members []message.Member
}

func byAddr(a, b message.Member) int { return strings.Compare(a.Addr, b.Addr) }

// viewDigest is a digest of the view, so that an unchanged one isn't sent again.
func (v *currentView) viewDigest() uint64 {
	if v.digest != 0 {
		return v.digest
	}
	h := fnv.New64a()
	for _, m := range v.members {
		for _, text := range []string{m.Ident, m.Addr, m.HTTPAddr, m.Zone} {
			_, _ = h.Write([]byte(text))
		}
		state := byte(m.Epoch)
		if m.Ready {
			state ^= readyBit
		}
		_, _ = h.Write([]byte{state})
	}
	v.digest = h.Sum64()
	return v.digest
}

// remember keeps the view for those who have it still.
func (v *currentView) remember() {
	past := v.past[max(0, len(v.past)-rememberedViews+1):]
	v.past = append(past, pastView{v.viewDigest(), v.members})
}

// diffSince is what changed since the view of a digest: the members that are new or
// different, and the addresses that are no longer there. It is not ok if that view is
// not known any more, or the difference is no shorter than the full view.
func (v *currentView) diffSince(digest uint64) (changed []message.Member, removed []string, ok bool) {
	i := slices.IndexFunc(v.past, func(p pastView) bool { return p.digest == digest })
	if i < 0 {
		return nil, nil, false
	}
	before := membersByAddr(v.past[i].members)
	for _, m := range v.members {
		if before[m.Addr] != m {
			changed = append(changed, m)
		}
		delete(before, m.Addr)
	}
	if 2*(len(changed)+len(before)) >= len(v.members) {
		return nil, nil, false
	}
	return changed, slices.Sorted(maps.Keys(before)), true
}

func membersByAddr(members []message.Member) map[string]message.Member {
	byAddr := map[string]message.Member{}
	for _, m := range members {
		byAddr[m.Addr] = m
	}
	return byAddr
}

// setView takes a view, if it is another one than before.
func (t *Table) setView(members []message.Member) {
	v := &t.view
	if v.members != nil && v.digest != noViewDigest && slices.Equal(members, v.members) {
		return
	}
	if t.self.HasDisk && v.members != nil {
		v.remember()
	}
	t.noteLost(members)
	v.members, v.digest = members, 0
}

// rebuildView makes a control daemon's view out of all sessions, one entry an
// address: the identity seen last stands for it.
func (t *Table) rebuildView(now time.Duration) {
	latest := map[string]session{t.self.Addr: {t.self, now + 1}}
	add := func(m message.Member, at time.Duration) {
		known, ok := latest[m.Addr]
		if !ok || known.renewedAt < at || known.member.Ident == m.Ident && known.member.Epoch < m.Epoch {
			latest[m.Addr] = session{m, at}
		}
	}
	for _, s := range t.controls.sessions {
		add(s.member, s.renewedAt)
	}
	for _, g := range t.gossip.received {
		for _, m := range g.members {
			add(m, g.at)
		}
	}
	members := make([]message.Member, 0, len(latest))
	for _, s := range latest {
		members = append(members, s.member)
	}
	slices.SortFunc(members, byAddr)
	t.view.madeAt = now
	t.setView(members)
}

// mergeDiff takes a Welcome's differences. If that doesn't give the view that was
// meant, the digest in our next Hello has the sender answer with the full view.
func (t *Table) mergeDiff(m message.Welcome) {
	merged := membersByAddr(t.view.members)
	for _, member := range m.Members {
		merged[member.Addr] = member
	}
	for _, addr := range m.RemovedAddrs {
		delete(merged, addr)
	}
	t.setView(slices.SortedFunc(maps.Values(merged), byAddr))
	if t.view.viewDigest() != m.ViewDigest {
		t.view.digest = noViewDigest
	}
}
