package roster

import (
	"time"

	"mulleinmast/wire/form"
)

// Guide chooses a daemon's parent for one part: where it was steered, the
// owner while the relay can't serve, else the static parent.
type Guide struct {
	Part int
	Vol  time.Duration

	steer     form.Seat
	steerTill time.Duration
	fallTill  time.Duration
	live      bool
}

// Orphaned makes the guide fall back to the owner for a while.
//
// Example: if out.Orphan { g.Orphaned(now) }
func (g *Guide) Orphaned(now time.Duration) {
	g.fallTill, g.steer = now+5*g.Vol, form.Seat{}
}

// Steered follows a hint: join, split, or return to a relay that is back.
//
// Example: g.Steered(now, out.Steer)
func (g *Guide) Steered(now time.Duration, to form.Seat) {
	g.steer, g.steerTill, g.fallTill = to, now+40*g.Vol, 0
}

// Parent is the seat to renew at now; none for the owner itself.
//
// Example: p := g.Parent(now, view)
func (g *Guide) Parent(now time.Duration, v *View) form.Seat {
	own := v.Owns[g.Part].Seat
	if own.Ident == v.Me.Ident {
		return form.Seat{}
	}
	// A steer leads to the owner or to our cell's relay. When the view says that
	// its target is neither any more, it would have us hang below a relay's
	// child, with a lease too short to renew in time.
	if to := g.steer.Ident; to != "" && to != v.Me.Ident && now < g.steerTill && (to == own.Ident || to == v.Relay(g.Part, v.Me.Cell).Ident) {
		return g.steer
	}
	if now < g.fallTill {
		return own
	}
	return v.Parent(g.Part)
}

// Hints are the return hints a relay sends when its lease is valid again.
//
// Example: for _, m := range g.Hints(node.Live(now), node.Mark(), view) { send(m) }
func (g *Guide) Hints(live bool, mark form.Mark, v *View) (out []form.Send) {
	me := form.Seat{Ident: v.Me.Ident, Addr: v.Me.Addr}
	if live && !g.live && v.Relay(g.Part, v.Me.Cell).Ident == me.Ident {
		for m := range v.In(v.Me.Cell) {
			if m.Ident != me.Ident && m.Ident != v.Owns[g.Part].Seat.Ident {
				out = append(out, form.Send{Addr: m.Addr, Note: form.Note{Kind: form.Steer, Part: g.Part, To: m.Ident, Mark: mark, Hint: me, Why: "return"}})
			}
		}
	}
	g.live = live
	return out
}
