package roster

import (
	"hash/fnv"
	"iter"
	"sync"

	"mulleinmast/wire/form"
)

// View is a snapshot of the fleet; it is never changed once published.
type View struct {
	Me      form.Member
	Members []form.Member
	Owns    map[int]form.Own
	Live    bool // our own session stands
	small   int
	by      map[string]form.Member
	memo    sync.Map // relays found so far, by place
}

// place is a part in a cell.
type place struct {
	part int
	cell string
}

// Find looks a member up by identity.
//
// Example: m, ok := v.Find(note.From)
func (v *View) Find(id string) (form.Member, bool) { m, ok := v.by[id]; return m, ok }

// In iterates over the members of a cell.
//
// Example: for m := range v.In("north") { ... }
func (v *View) In(cell string) iter.Seq[form.Member] {
	return func(yield func(form.Member) bool) {
		for _, m := range v.Members {
			if m.Cell == cell && !yield(m) {
				return
			}
		}
	}
}

// Relay is the static relay of a part in a cell; none in a small cell.
//
// Example: seat := v.Relay(3, "north")
func (v *View) Relay(part int, cell string) form.Seat {
	if r, ok := v.memo.Load(place{part, cell}); ok {
		return r.(form.Seat)
	}
	r := v.relay(part, cell)
	v.memo.Store(place{part, cell}, r)
	return r
}

func (v *View) relay(part int, cell string) form.Seat {
	own := v.Owns[part].Seat.Ident
	var best form.Seat
	top, n := uint64(0), 0
	for m := range v.In(cell) {
		if m.Ident == own {
			continue
		}
		n++
		if s := weight(part, m.Addr); best.Ident == "" || s > top {
			top, best = s, form.Seat{Ident: m.Ident, Addr: m.Addr}
		}
	}
	if n < v.small {
		return form.Seat{}
	}
	return best
}

// Parent is this daemon's static parent for a part: the cell's relay, or the
// owner for the relay itself and in small cells.
//
// Example: seat := v.Parent(3)
func (v *View) Parent(part int) form.Seat {
	own := v.Owns[part].Seat
	if own.Ident == v.Me.Ident {
		return form.Seat{}
	}
	if r := v.Relay(part, v.Me.Cell); r.Ident != "" && r.Ident != v.Me.Ident {
		return r
	}
	return own
}

func weight(part int, addr string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte{byte(part), byte(part >> 8)})
	_, _ = h.Write([]byte(addr))
	x := h.Sum64()
	x ^= x >> 31
	x *= 0x9e3779b97f4a7c15
	return x ^ x>>29
}
