package membership

import (
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"time"

	"mulleinmast/wire/message"
)

// maxPastViews is the number of earlier views that are kept for sending differences.
const maxPastViews = 8

// invalidViewDigest is a digest that matches no view; 0 means that the digest is not computed yet.
const invalidViewDigest = 1

// readyBit marks a ready member in the digest of a view.
const readyBit = 128

// currentView holds the members that this daemon knows. A control daemon builds the view from
// all sessions; other daemons receive it from a control daemon.
type currentView struct {
	members   []message.Member // sorted by address; nil: none yet
	digest    uint64           // of members; 0: not computed yet; invalidViewDigest: members differ from the sender's view
	past      []pastView       // earlier views, oldest first; only at control daemons
	rebuiltAt time.Duration    // time when the view was last rebuilt from the sessions
}

// pastView is an earlier view and its digest.
type pastView struct {
	digest  uint64
	members []message.Member
}

func compareByAddr(a, b message.Member) int { return strings.Compare(a.Addr, b.Addr) }

// viewDigest returns a digest of the view. It is used to avoid sending an unchanged view again.
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

// savePastView stores the current view, so that members that still use this view can be sent the
// differences to the next one.
func (v *currentView) savePastView() {
	past := v.past[max(0, len(v.past)-maxPastViews+1):]
	v.past = append(past, pastView{v.viewDigest(), v.members})
}

// diffSince returns the changes since the view with the given digest: the members that are new
// or different, and the addresses that were removed. ok is false if that view is no longer
// kept, or if the changes affect at least half as many members as the full view has.
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

// setView replaces the view if it differs from the current one.
func (t *Table) setView(members []message.Member) {
	v := &t.view
	if v.members != nil && v.digest != invalidViewDigest && slices.Equal(members, v.members) {
		return
	}
	if t.self.HasDisk && v.members != nil {
		v.savePastView()
	}
	t.recordLost(members)
	v.members, v.digest = members, 0
}

// rebuildView builds a control daemon's view from all sessions, with one entry per address:
// the identity that was seen last.
func (t *Table) rebuildView(now time.Duration) {
	latest := map[string]session{t.self.Addr: {member: t.self, renewedAt: now + 1}}
	add := func(m message.Member, at time.Duration) {
		known, ok := latest[m.Addr]
		if !ok || known.renewedAt < at || known.member.Ident == m.Ident && known.member.Epoch < m.Epoch {
			latest[m.Addr] = session{member: m, renewedAt: at}
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
	slices.SortFunc(members, compareByAddr)
	t.view.rebuiltAt = now
	t.setView(members)
}

// mergeDiff applies the differences from a Welcome. If the result is not the sender's view, the
// invalid digest in the next Hello makes the sender answer with the full view.
func (t *Table) mergeDiff(m message.Welcome) {
	merged := membersByAddr(t.view.members)
	for _, member := range m.Members {
		merged[member.Addr] = member
	}
	for _, addr := range m.RemovedAddrs {
		delete(merged, addr)
	}
	t.setView(slices.SortedFunc(maps.Values(merged), compareByAddr))
	if t.view.viewDigest() != m.ViewDigest {
		t.view.digest = invalidViewDigest
	}
}
