package placement

import (
	"time"
)

// Row is one server as the query shell shows it.
type Row struct {
	ServerRecord
	Service     string  `json:"service"`
	Active      int     `json:"active"`
	Utilization float64 `json:"busy"`
	Failures    int     `json:"fails"`
	Slots       int     `json:"total"`
	Granted     int     `json:"out"`
	Withdrawn   bool    `json:"leaves"`
}

// Rows snapshots the table of servers.
//
// Example: for _, r := range h.Rows(now) { ... }
func (h *Controller) Rows(now time.Duration) []Row {
	var out []Row
	for _, key := range sorted(h.servers) {
		s := h.servers[key]
		r := Row{ServerRecord: s.ServerRecord, Service: s.svc, Active: s.usage.Active, Utilization: s.busy, Failures: s.fails, Slots: h.total(now, s), Withdrawn: s.leaving()}
		for _, d := range h.daemons {
			if d.want.Service == s.svc {
				r.Granted += d.out(now, s.Addr)
			}
		}
		out = append(out, r)
	}
	return out
}
