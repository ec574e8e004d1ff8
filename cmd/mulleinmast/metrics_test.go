package main

import (
	"io"
	"net/http/httptest"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"mulleinmast/control/daemon"
	"mulleinmast/control/eventlog"
	"mulleinmast/platform"
	"mulleinmast/traffic/nativeapi"
)

var (
	metricValue = regexp.MustCompile(` \S+$`)
	address     = regexp.MustCompile(`\d+\.\d+\.\d+\.\d+:\d+`)
)

// The names and labels of all metrics of the daemon are stable, including the names
// of invariants that occur as label values. GOLDEN=write rewrites the expected list.
func TestMetricsKeepTheirNames(t *testing.T) {
	cfg := daemon.Default()
	cfg.WireAddr, cfg.HTTPAddr = "127.0.0.1:0", "127.0.0.1:0"
	d, err := daemon.Open(cfg, eventlog.New(64, io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	nativeapi.New(t.Context(), d)
	local := "127.0.0.1:0"
	settings := platform.Settings{Listen: platform.Listen{Public: local, Readiness: local, Control: local}}
	if _, err := platform.Start(settings, d, nil); err != nil {
		t.Fatal(err)
	}
	written := httptest.NewRecorder()
	d.Mux.ServeHTTP(written, httptest.NewRequestWithContext(t.Context(), "GET", "/metrics", nil))
	names := d.Metrics.ListMetricNames() // includes metrics without a value
	for line := range strings.Lines(written.Body.String()) {
		if strings.HasPrefix(line, "mulleinmast_") {
			names = append(names, metricValue.ReplaceAllString(strings.TrimSpace(line), ""))
		}
	}
	for i, name := range names {
		names[i] = address.ReplaceAllString(name, "<address>")
	}
	slices.Sort(names)
	got := strings.Join(slices.Compact(names), "\n") + "\n"
	path := "testdata/metrics.txt"
	if os.Getenv("GOLDEN") == "write" {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil || got != string(want) {
		t.Errorf("metrics differ from the golden file (read error: %v), got\n%s", err, got)
	}
}
