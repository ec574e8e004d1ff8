package roster

import (
	"time"

	"mulleinmast/wire/form"
)

// Vacant names a standby control daemon for a seat whose daemon is gone: its
// address came back under a new identity, or it had no session for a while.
//
// Example: seats, ok := r.Vacant(now, seats, 18*time.Second)
func (r *Roster) Vacant(now time.Duration, seats []form.Seat, wait time.Duration) ([]form.Seat, bool) {
	at := map[string]form.Member{}
	in := map[string]bool{}
	for _, m := range r.view {
		if m.Disk {
			at[m.Addr] = m
		}
		in[m.Ident] = true
	}
	held := map[string]bool{}
	for _, s := range seats {
		held[s.Ident] = true
	}
	for i, s := range seats {
		if in[s.Ident] {
			continue
		}
		if _, ok := r.goneAt[s.Ident]; !ok {
			r.goneAt[s.Ident] = now // gone before we came
		}
		var next form.Member
		if m, ok := at[s.Addr]; ok && !held[m.Ident] {
			next = m
		} else if now-r.goneAt[s.Ident] >= wait {
			next = r.standby(held)
		}
		if next.Ident != "" {
			out := append([]form.Seat(nil), seats...)
			out[i] = form.Seat{Ident: next.Ident, Addr: next.Addr}
			return out, true
		}
	}
	return seats, false
}

// standby is a control daemon without a seat, from the cell with the fewest seats.
func (r *Roster) standby(held map[string]bool) (next form.Member) {
	taken := map[string]int{}
	for _, m := range r.view {
		if held[m.Ident] {
			taken[m.Cell]++
		}
	}
	for _, m := range r.view {
		if m.Disk && !held[m.Ident] && (next.Ident == "" || taken[m.Cell] < taken[next.Cell]) {
			next = m
		}
	}
	return next
}
