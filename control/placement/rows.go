package placement

import "time"

// Row is one server in the query shell's table of servers.
type Row struct {
	ServerRecord
	Service     string  `json:"service"`
	Active      int     `json:"active"` // requests being processed, as reported by the server
	Utilization float64 `json:"busy"`   // average utilization of its slots
	Failures    int     `json:"fails"`  // failed polls and calls since the last answer
	Slots       int     `json:"total"`  // slots that all daemons together may use now
	Granted     int     `json:"out"`    // slots that daemons may currently be using
	Withdrawn   bool    `json:"leaves"` // it gets no new work
}

// Rows returns a snapshot of the table of servers.
//
// Example: for _, row := range c.Rows(now) { ... }
func (c *Controller) Rows(now time.Duration) (rows []Row) {
	for _, key := range sortedKeys(c.servers) {
		s := c.servers[key]
		row := Row{
			ServerRecord: s.ServerRecord, Service: s.service, Active: s.observed.usage.Active,
			Utilization: s.observed.utilization, Failures: s.observed.failures,
			Slots: c.slots(now, s), Withdrawn: s.isLeaving(),
		}
		for _, d := range c.daemons {
			if d.demand.Service == s.service {
				row.Granted += d.maxSlotsInUse(now, s.Addr)
			}
		}
		rows = append(rows, row)
	}
	return rows
}
