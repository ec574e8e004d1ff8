package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"mulleinmast/proof/standin/fleet"
	"mulleinmast/proof/standin/record"
	"mulleinmast/proof/standin/wire"
	"mulleinmast/wire/httpresponse"
)

// Limits of a process, as in its settings, and intervals of the checks.
const (
	maxMemory      = 284e6
	maxDescriptors = 4100 - 200
	maxDisk        = 64 << 20
	watchInterval  = 250 * time.Millisecond
	readInterval   = 20 * time.Millisecond
)

// Names of a daemon's metrics.
const (
	violations  = "mulleinmast_invariant_violations_total"
	memory      = "process_resident_memory_peak_bytes"
	descriptors = "process_open_fds"
)

// watch checks every process until the context ends: none may end unexpectedly, violate an
// invariant or exceed its limits.
func (r *run) watch(ctx context.Context) {
	beat := time.NewTicker(watchInterval)
	defer beat.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-beat.C:
		}
		for _, m := range r.Fleet.Machines() {
			if !r.lockOf(m).TryLock() {
				r.checkMetrics(m) // another trouble may be starting, ending or disconnecting its process
				continue
			}
			if _, started := r.started.Load(m); started && r.exists(m) && !m.Up() {
				r.Fail("%s ended unexpectedly: %s", m.Name, m.End())
				r.restart(ctx, m)
				r.exits.Add(1)
			}
			r.lockOf(m).Unlock()
			if size := r.Fleet.DiskUse(m); size > maxDisk {
				r.failOnce(m.Name, "disk", "holds %d bytes, more than its limit", size)
			}
			r.checkMetrics(m)
		}
	}
}

// checkMetrics reads a daemon's metrics, if it answers, and checks them against the limits.
func (r *run) checkMetrics(m *fleet.Machine) {
	web := httpresponse.NewClient(watchInterval)
	res, err := web.Get(m.URL("/metrics"))
	if err != nil {
		return
	}
	defer func() { _ = res.Body.Close() }()
	for lines := bufio.NewScanner(res.Body); lines.Scan(); {
		name, number, _ := strings.Cut(lines.Text(), " ")
		value, err := strconv.ParseFloat(number, 64)
		if err != nil {
			continue
		}
		bare, _, _ := strings.Cut(name, "{")
		switch {
		case bare == violations && value > 0:
			r.failOnce(m.Name, name, "is %g", value)
		case bare == memory && value > maxMemory, bare == descriptors && value > maxDescriptors:
			r.failOnce(m.Name, name, "is %g, more than its limit", value)
		}
	}
}

// failOnce reports each wrong metric of a machine once. Only watch calls it.
func (r *run) failOnce(machine, metric, format string, args ...any) {
	what := machine + ": " + metric
	if !r.reported[what] {
		r.reported[what] = true
		r.Fail("%s "+format, append([]any{what}, args...)...)
	}
}

// readConfigs reads the configuration from all machines in turn, connected or not, until the
// context ends.
func (r *run) readConfigs(ctx context.Context) {
	beat := time.NewTicker(readInterval)
	defer beat.Stop()
	web := httpresponse.NewClient(time.Second)
	web.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-beat.C:
		}
		list := r.Fleet.Machines()
		m := list[n%len(list)]
		got := &record.ConfigRead{Daemon: m.Name, Sent: r.Log.Now()}
		go func() {
			res, err := web.Get("http://" + m.ControlAddr() + wire.ConfigPath)
			if err != nil {
				return
			}
			defer func() { _ = res.Body.Close() }()
			body, err := io.ReadAll(res.Body)
			var c wire.Config
			if err != nil || json.Unmarshal(body, &c) != nil {
				return
			}
			got.Status, got.Version = res.StatusCode, c.Version
			r.Log.Do(func(a *record.All) { a.Reads = append(a.Reads, got) })
		}()
	}
}
