package daemon

import (
	"fmt"
	"io"

	"github.com/VictoriaMetrics/metrics"

	"mulleinmast/control/invariant"
)

// measure registers the figures of the control plane.
func (c *Daemon) measure() {
	gauge := func(name string, value func() float64) { c.Metrics.NewGauge("mulleinmast_"+name, value) }
	gauge("ready", func() float64 { return one(c.Ready()) })
	gauge("members", func() float64 { return float64(len(c.View().Members)) })
	gauge("plan_version", func() float64 {
		_, version, _ := c.Plan()
		return float64(version)
	})
	gauge("partitions_led", func() float64 { return c.partitionsThat((*shard).led, c) })
	gauge("volume_leases", func() float64 { return c.partitionsThat((*shard).leased, c) })
	gauge("disk_refusals_in_a_row", func() float64 { return float64(c.refused.Load()) })
	gauge("records_unreadable", func() float64 { return float64(count(c.unreadable())) })
	gauge("wire_sent", func() float64 { return float64(c.Transport.Sent.Load()) })
	gauge("wire_got", func() float64 { return float64(c.Transport.Received.Load()) })
	gauge("wire_lost", func() float64 { return float64(c.Transport.Dropped.Load()) })
	gauge("wire_addresses", func() float64 { return float64(c.Transport.Addresses()) })
	gauge("superseded", func() float64 { return one(c.WhySuperseded() != "") })
	gauge("records_sent_as_changes", func() float64 { return c.records(func(s *shard) int { return s.Partition().Node.SentAsPatches() }) })
	gauge("records_sent_whole", func() float64 { return c.records(func(s *shard) int { return s.Partition().Node.SentInFull() }) })
	c.withdrawn.took = c.Metrics.NewHistogram("mulleinmast_plan_withdrawn_seconds")
	c.diskWrites = c.Metrics.NewHistogram("mulleinmast_disk_write_seconds")
	c.terms = c.Metrics.NewCounter("mulleinmast_leaderships_won_total")
}

func count(n int, _ error) int { return n }

func one(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}

func (s *shard) led(c *Daemon) bool { return s.IsLeader(c.Now()) }

func (s *shard) leased(c *Daemon) bool { return c.Now() < s.Partition().Node.VolumeExpiry() }

// partitionsThat counts the partitions of which something is true.
func (c *Daemon) partitionsThat(is func(*shard, *Daemon) bool, of *Daemon) (n float64) {
	for _, s := range c.shards {
		s.mu.Lock()
		n += one(is(s, of))
		s.mu.Unlock()
	}
	return n
}

// records adds up a count of records over the partitions.
func (c *Daemon) records(count func(*shard) int) (n float64) {
	for _, s := range c.shards {
		s.mu.Lock()
		n += float64(count(s))
		s.mu.Unlock()
	}
	return n
}

// WriteMetrics writes the daemon's figures, those of its process, and the counts
// of violated invariants, as lines that the usual collectors read.
//
// Example: c.WriteMetrics(w)
func (c *Daemon) WriteMetrics(w io.Writer) {
	c.Metrics.WritePrometheus(w)
	for _, check := range invariant.All() {
		_, _ = fmt.Fprintf(w, "mulleinmast_invariant_violations_total{check=%q} %d\n", check.Name(), check.Count())
	}
	metrics.WriteProcessMetrics(w)
	metrics.WriteFDMetrics(w)
}
