package placement

import "time"

// Row is one server as the query shell shows it.
type Row struct {
	ServerRecord
	Service     string  `json:"service"`
	Active      int     `json:"active"` // requests, by the server's report
	Utilization float64 `json:"busy"`   // of its slots; averaged
	Failures    int     `json:"fails"`  // polls and calls that failed since the last answer
	Slots       int     `json:"total"`  // that daemons may fill now, all together
	Granted     int     `json:"out"`    // that daemons may be filling
	Withdrawn   bool    `json:"leaves"` // it gets no new work
}

// Rows snapshots the table of servers.
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
				row.Granted += d.mayFill(now, s.Addr)
			}
		}
		rows = append(rows, row)
	}
	return rows
}
