package membership

import (
	"time"

	"mulleinmast/wire/message"
)

// Vacant names a standby control daemon for a replica whose daemon is gone: its
// address came back under a new identity, or it had no session for a while.
//
// Example: replicas, ok := r.Vacant(now, replicas, 18*time.Second)
func (r *Table) Vacant(now time.Duration, replicas []message.Replica, wait time.Duration) ([]message.Replica, bool) {
	at := map[string]message.Member{}
	in := map[string]bool{}
	for _, m := range r.view {
		if m.Disk {
			at[m.Addr] = m
		}
		in[m.Ident] = true
	}
	held := map[string]bool{}
	for _, s := range replicas {
		held[s.Ident] = true
	}
	for i, s := range replicas {
		if in[s.Ident] {
			continue
		}
		if _, ok := r.goneAt[s.Ident]; !ok {
			r.goneAt[s.Ident] = now // gone before we came
		}
		var next message.Member
		if m, ok := at[s.Addr]; ok && !held[m.Ident] {
			next = m
		} else if now-r.goneAt[s.Ident] >= wait {
			next = r.standby(held)
		}
		if next.Ident != "" {
			out := append([]message.Replica(nil), replicas...)
			out[i] = message.Replica{Ident: next.Ident, Addr: next.Addr}
			return out, true
		}
	}
	return replicas, false
}

// standby is a control daemon without a replica, from the zone with the fewest replicas.
func (r *Table) standby(held map[string]bool) (next message.Member) {
	taken := map[string]int{}
	for _, m := range r.view {
		if held[m.Ident] {
			taken[m.Zone]++
		}
	}
	for _, m := range r.view {
		if m.Disk && !held[m.Ident] && (next.Ident == "" || taken[m.Zone] < taken[next.Zone]) {
			next = m
		}
	}
	return next
}
