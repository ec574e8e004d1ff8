package fleet

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"mulleinmast/proof/track"
)

const memoryLimit = 284e6 // bytes; memory-mb of the settings

// public returns the address at which a machine accepts clients.
func (m *Machine) public() string { return fmt.Sprintf("%s:%d", m.IP, publicPort) }

// openConnections opens connections to a machine and sends the same text on each. They
// stay open until the test ends.
func openConnections(t *testing.T, m *Machine, n int, text string) {
	t.Helper()
	var wait sync.WaitGroup
	for range n {
		wait.Go(func() {
			c, err := net.DialTimeout("tcp4", m.public(), time.Second)
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second))
			_, _ = io.WriteString(c, text)
		})
	}
	wait.Wait()
}

// metric returns the value of one of a daemon's metrics, or -1 if it cannot be read.
func metric(m *Machine, name string) float64 {
	web := &http.Client{Timeout: 3 * time.Second}
	res, err := web.Get(m.URL("/metrics"))
	if err != nil {
		return -1
	}
	defer func() { _ = res.Body.Close() }()
	for lines := bufio.NewScanner(res.Body); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			value, err := strconv.ParseFloat(rest, 64)
			if err != nil {
				return -1
			}
			return value
		}
	}
	return -1
}

// startOne starts a fleet of one machine and waits until its daemon listens.
func startOne(t *testing.T, files int) *Machine {
	t.Helper()
	f, m := newOne(t)
	f.Files, m.seeds = files, []string{m.ControlAddr()}
	if err := f.writeSettings(m, true, m.seeds); err != nil {
		t.Fatal(err)
	}
	if err := f.startDaemon(m); err != nil {
		t.Fatal(err)
	}
	if !track.Until(context.Background(), waitLimit, func() bool { return listens(m) }) {
		t.Fatal("the daemon does not listen")
	}
	return m
}

// However many clients hold connections and send incomplete bodies, a daemon stays within
// its memory and open-file limits, and still accepts connections from other daemons and
// readiness probes.
func TestClientsCannotExhaustMemoryOrFiles(t *testing.T) {
	t.Run("bodies", func(t *testing.T) {
		const size = 3900 << 10
		m := startOne(t, 0)
		openConnections(t, m, 120, fmt.Sprintf("POST /a/ HTTP/1.1\r\nHost: h\r\nX-Mulleinmast-Attempt-Id: a\r\nX-Mulleinmast-Time-Left-Ms: 60000\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size-1)))
		most := metric(m, "process_resident_memory_peak_bytes")
		if most < 0 || most > memoryLimit {
			t.Errorf("peak memory is %.0f MB, the limit is %.0f MB", most/1e6, memoryLimit/1e6)
		}
		t.Logf("peak memory is %.0f MB", most/1e6)
	})
	t.Run("connections", func(t *testing.T) {
		m := startOne(t, 300)
		openConnections(t, m, 400, "")
		if open := metric(m, "process_open_fds"); open < 0 || open > 250 {
			t.Errorf("%.0f of 300 descriptors are open (negative: its own interface accepts no connection)", open)
		}
		for _, port := range []int{readinessPort, controlPort, firstPort} {
			c, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", m.IP, port), time.Second)
			if err != nil {
				t.Errorf("port %d: %v", port, err)
				continue
			}
			_ = c.Close()
		}
	})
}
