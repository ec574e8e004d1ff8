package board

import (
	"cmp"
	"maps"
	"slices"

	"mulleinmast/wire/message"
)

// What is told of the servers' load is what changed since the last telling, the
// largest changes first and no more than one telling holds, and a part of the rest
// in turn: who joins, or missed a telling, has all of it some beats later. So a
// telling doesn't grow with the servers, and a head's link carries other messages
// beside the tellings of its zone.

// The kinds of sheets that say what changed.
const (
	zonalPart byte = whole + 1 + iota
	wholePart
)

const (
	mostUses = 128 // servers in one telling of what changed
	inTurn   = 16  // tellings in which all servers come up, changed or not
	perTurn  = 48  // of those in one telling
)

// telling is what an audience was told last.
type telling struct {
	last map[uint64]Use
	turn uint64
}

// before is the last build that takes no sheets which say what changed.
const before = "1"

// takesParts tells whether a daemon takes sheets that say what changed.
func takesParts(m message.Member) bool { return m.Build != "" && m.Build != before }

// part is what is told next of the present uses.
func (t *telling) part(now map[uint64]Use) []Change {
	if t.last == nil {
		t.last = map[uint64]Use{}
	}
	var changed, rest []Use
	t.turn++
	for _, key := range slices.Sorted(maps.Keys(now)) {
		switch u := now[key]; {
		case weightOf(t.last[key], u) > 0:
			changed = append(changed, u)
		case key%inTurn == t.turn%inTurn && len(rest) < perTurn:
			rest = append(rest, u)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(t.last)) {
		if _, ok := now[key]; !ok {
			changed = append(changed, Use{Server: key})
		}
	}
	slices.SortStableFunc(changed, func(a, b Use) int {
		return cmp.Compare(weightOf(t.last[b.Server], b), weightOf(t.last[a.Server], a))
	})
	var out []Change
	for _, u := range append(changed[:min(len(changed), mostUses)], rest...) {
		out = append(out, Change(u))
		if t.last[u.Server] = u; u == (Use{Server: u.Server}) {
			delete(t.last, u.Server)
		}
	}
	return out
}

// weightOf is how much it matters that one use became another: 0 if not at all. Who
// had answers of late says something only beside those that had none.
func weightOf(was, is Use) int {
	w := abs(is.Tokens-was.Tokens) + 256*abs(is.Writing-was.Writing)
	if was.Bad > 0 || is.Bad > 0 {
		w += 4096 * (abs(is.Bad-was.Bad) + abs(is.Good-was.Good))
	}
	if d := abs(is.Pause - was.Pause); 8*d > was.Pause {
		w += d
	}
	return w
}

func abs(n int) int { return max(n, -n) }

// change takes in what a telling says of servers.
func (h *heard) change(list []Change) {
	if h.uses == nil {
		h.uses = map[uint64]Use{}
	}
	for _, c := range list {
		if u := Use(c); u == (Use{Server: u.Server}) {
			delete(h.uses, u.Server)
		} else {
			h.uses[u.Server] = u
		}
	}
}
