package daemon

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"mulleinmast/control/invariant"
)

// metricPrefix is the prefix of all metric names.
const metricPrefix = "mulleinmast_"

// registerMetrics registers the control plane's metrics except those that the disk writer
// registers itself.
func (d *Daemon) registerMetrics() {
	gauge := func(name string, value func() float64) { d.Metrics.NewGauge(metricPrefix+name, value) }
	gauge("ready", func() float64 { return boolValue(d.Ready()) })
	gauge("group_known", func() float64 { return boolValue(d.members.whyNoGroup() == "") })
	gauge("log_lines_lost", func() float64 { return float64(d.Events.LostLines()) })
	gauge("members", func() float64 { return float64(len(d.View().Members)) })
	gauge("plan_version", func() float64 {
		_, version, _ := d.Plan()
		return float64(version)
	})
	gauge("superseded", func() float64 { return boolValue(d.WhySuperseded() != "") })
	gauge("disk_refusals_in_a_row", func() float64 { return float64(d.disk.consecutiveFailures.Load()) })
	gauge("records_unreadable", func() float64 {
		n, _ := d.unreadableRecords()
		return float64(n)
	})
	d.registerPartitionMetrics(gauge)
	d.registerWireMetrics(gauge)
	d.listDelay = d.Metrics.NewHistogram(metricPrefix + "server_list_written_seconds")
	d.planGaps.duration = d.Metrics.NewHistogram(metricPrefix + "plan_withdrawn_seconds")
	d.leadershipsWon = d.Metrics.NewCounter(metricPrefix + "leaderships_won_total")
}

// registerPartitionMetrics registers metrics that are summed over all partitions.
func (d *Daemon) registerPartitionMetrics(gauge func(name string, value func() float64)) {
	sum := func(name string, value func(*shard) float64) {
		gauge(name, func() float64 { return d.sumOverShards(value) })
	}
	sum("partitions_led", func(s *shard) float64 { return boolValue(s.isLeader(d.Now())) })
	sum("volume_leases", func(s *shard) float64 { return boolValue(d.Now() < s.node().VolumeExpiry()) })
	sum("records_sent_as_changes", func(s *shard) float64 { return float64(s.node().SentAsPatches()) })
	sum("records_sent_whole", func(s *shard) float64 { return float64(s.node().SentInFull()) })
}

// registerWireMetrics registers the counts of messages exchanged with other daemons.
func (d *Daemon) registerWireMetrics(gauge func(name string, value func() float64)) {
	gauge("wire_sent", func() float64 { return float64(d.Transport.Sent.Load()) })
	gauge("wire_got", func() float64 { return float64(d.Transport.Received.Load()) })
	gauge("wire_lost", func() float64 { return float64(d.Transport.Dropped.Load()) })
	gauge("wire_addresses", func() float64 { return float64(d.Transport.AddressCount()) })
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// sumOverShards returns the sum of a value over all partitions, each read under its lock.
func (d *Daemon) sumOverShards(value func(*shard) float64) (sum float64) {
	for _, s := range d.shards {
		s.mu.Lock()
		sum += value(s)
		s.mu.Unlock()
	}
	return sum
}

// WriteMetrics writes all metrics in the Prometheus text format: the daemon's own, the counts of
// violated invariants, the bytes on the wire by kind of message, and those of the process.
//
// Example: d.WriteMetrics(w)
func (d *Daemon) WriteMetrics(w io.Writer) {
	d.Metrics.WritePrometheus(w)
	for _, check := range invariant.All() {
		_, _ = fmt.Fprintf(w, metricPrefix+"invariant_violations_total{check=%q} %d\n", check.Name(), check.Count())
	}
	counts := d.Transport.Counts()
	for _, kind := range slices.Sorted(maps.Keys(counts)) {
		_, _ = fmt.Fprintf(w, metricPrefix+"wire_sent_bytes_total{kind=%q} %d\n", kind, counts[kind].SentBytes)
		_, _ = fmt.Fprintf(w, metricPrefix+"wire_received_bytes_total{kind=%q} %d\n", kind, counts[kind].ReceivedBytes)
	}
	metrics.WriteProcessMetrics(w)
	metrics.WriteFDMetrics(w)
}
