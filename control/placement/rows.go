package placement

import (
	"time"
)

// Row is one server as the query shell shows it.
type Row struct {
	ServerRecord
	Service string  `json:"service"`
	Active  int     `json:"active"`
	Busy    float64 `json:"busy"`
	Fails   int     `json:"fails"`
	Total   int     `json:"total"`
	Out     int     `json:"out"`
	Leaves  bool    `json:"leaves"`
}

// Rows snapshots the table of servers.
//
// Example: for _, r := range h.Rows(now) { ... }
func (h *Controller) Rows(now time.Duration) []Row {
	var out []Row
	for _, key := range sorted(h.servers) {
		s := h.servers[key]
		r := Row{ServerRecord: s.ServerRecord, Service: s.svc, Active: s.usage.Active, Busy: s.busy, Fails: s.fails, Total: h.total(now, s), Leaves: s.leaving()}
		for _, d := range h.daemons {
			if d.want.Service == s.svc {
				r.Out += d.out(now, s.Addr)
			}
		}
		out = append(out, r)
	}
	return out
}
