package daemon

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"mulleinmast/wire/transport"
)

const (
	// wireLogRatio is the interval between two samples of the transport's counters, as a ratio to
	// the plan bound.
	wireLogRatio = 2
	// busyBytesPerSecond is the minimum average rate of sent bytes at which an interval is logged.
	busyBytesPerSecond = 64 << 10
	// loggedKinds is the maximum number of message kinds named in a log entry.
	loggedKinds = 4
)

// wireUsage is a sample of the transport's counters.
type wireUsage struct {
	at     time.Duration
	counts map[string]transport.KindCount
}

// runWireLog logs which kinds of messages cause the traffic in each interval in which this daemon
// sends at least busyBytesPerSecond.
func (d *Daemon) runWireLog(ctx context.Context) error {
	ticker := time.NewTicker(fraction(d.Cfg.Bounds.Plan, wireLogRatio))
	defer ticker.Stop()
	last := wireUsage{d.Now(), d.Transport.Counts()}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		now := wireUsage{d.Now(), d.Transport.Counts()}
		if text := now.since(last); text != "" {
			d.Events.Info("wire", text)
		}
		last = now
	}
}

// since describes the traffic since an earlier sample; empty if there was little.
func (u wireUsage) since(earlier wireUsage) string {
	seconds := (u.at - earlier.at).Seconds()
	sent, received := map[string]int64{}, map[string]int64{}
	var sentBytes, receivedBytes int64
	for kind, count := range u.counts {
		sent[kind] = count.SentBytes - earlier.counts[kind].SentBytes
		received[kind] = count.ReceivedBytes - earlier.counts[kind].ReceivedBytes
		sentBytes, receivedBytes = sentBytes+sent[kind], receivedBytes+received[kind]
	}
	if seconds <= 0 || float64(sentBytes)/seconds < busyBytesPerSecond {
		return ""
	}
	return fmt.Sprintf("sent %.0f KB/s (%s), received %.0f KB/s (%s)",
		float64(sentBytes)/seconds/1024, largestKinds(sent), float64(receivedBytes)/seconds/1024, largestKinds(received))
}

// largestKinds lists the kinds with the most bytes.
func largestKinds(bytes map[string]int64) string {
	kinds := slices.SortedFunc(maps.Keys(bytes), func(a, b string) int {
		return cmp.Or(cmp.Compare(bytes[b], bytes[a]), cmp.Compare(a, b))
	})
	var parts []string
	for _, kind := range kinds[:min(len(kinds), loggedKinds)] {
		parts = append(parts, fmt.Sprintf("%s %d KB", kind, bytes[kind]/1024))
	}
	return strings.Join(parts, ", ")
}
