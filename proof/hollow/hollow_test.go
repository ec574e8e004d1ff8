package hollow

import (
	"math"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// startSmallFleet starts a fleet in this process and waits until all daemons know its servers.
func startSmallFleet(t *testing.T, daemons, servers int) *Fleet {
	t.Helper()
	o := Default(daemons, servers)
	o.Dir, o.Port, o.Apply = t.TempDir(), 20000+os.Getpid()%10000, 3*time.Second
	f, err := Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	if n, _ := f.Await(Command{Wait: time.Minute}); n < daemons {
		t.Fatalf("%d of %d daemons are ready", n, daemons)
	}
	if _, err := f.Configure(); err != nil {
		t.Fatal(err)
	}
	if n, _ := f.Fill(time.Minute); n < daemons {
		t.Fatalf("%d of %d daemons have the records of all servers", n, daemons)
	}
	return f
}

// A small fleet's messages and bytes per second stay within the slopes published in
// docs/CAPACITY.md; the fleet accepts a change and survives the loss of a zone.
func TestCostsMatchPublishedSlopes(t *testing.T) {
	publishedRows, err := ReadCSV("../../docs/capacity/daemons.csv")
	if err != nil {
		t.Fatal(err)
	}
	f := startSmallFleet(t, 10, 12)
	rows := f.Measure("idle", 5*time.Second, nil)
	checked := 0
	for _, r := range rows {
		if r.Role != Front && r.Role != Relay && r.Role != Leader || r.Kind != "all" {
			continue
		}
		for _, cost := range []string{"messages in", "messages out", "bytes"} {
			x, y := Series(publishedRows, "idle", r.Role, "all", "daemons", cost)
			if len(x) < 2 {
				continue
			}
			checked++
			// The assignment of partitions to daemons varies between fleets; only a higher cost is an error.
			if published, got := y[0], Costs[cost](r); got > 1.5*published {
				t.Errorf("%s of a %s: %.1f per second, published %.1f at %v daemons", cost, r.Role, got, published, x[0])
			}
		}
	}
	if checked < 6 {
		t.Errorf("only %d costs were compared: %s", checked, Table(rows))
	}
	acked, everywhere, n, err := f.MeasureChange()
	if err != nil || n < f.Daemons {
		t.Fatalf("change: %v, visible on %d of %d daemons; acknowledged after %v, visible after %v", err, n, f.Daemons, acked, everywhere)
	}
	zone := f.ZoneOf(f.Leaders()[0])
	remaining := f.LoseZone(zone)
	if n, took := f.AwaitOutside(zone, Command{Fresh: true, Zone: zone, Wait: time.Minute}); n < remaining {
		t.Fatalf("after the loss of a zone %d of %d daemons are ready after %v", n, remaining, took)
	}
	if _, err := f.Change(); err != nil {
		t.Fatal(err)
	}
	if n, took := f.AwaitOutside(zone, Command{Version: f.Version(), Wait: time.Minute}); n < remaining {
		t.Errorf("change after the loss of a zone: visible on %d of %d daemons after %v", n, remaining, took)
	}
}

func TestFit(t *testing.T) {
	l := Fit([]float64{10, 40, 130, 520}, []float64{25, 85, 265, 1045})
	if math.Abs(l.Slope-2) > 1e-9 || math.Abs(l.Intercept-5) > 1e-9 || !l.IsLinear() || math.Abs(l.ValueAt(100)-205) > 1e-9 {
		t.Errorf("%+v", l)
	}
	if l = Fit([]float64{1, 2, 3, 4, 5, 6}, []float64{1, 4, 9, 16, 25, 36}); l.IsLinear() && l.MaxDeviation < 0.05 {
		t.Errorf("a quadratic is accepted as linear: %+v", l)
	}
}

// Rows read back from a CSV file equal those written, and can be plotted.
func TestRowsSurviveCSV(t *testing.T) {
	var rows []Row
	for i, n := range []int{10, 40, 130, 520} {
		rows = append(rows, Row{Step: "idle", Daemons: n, Servers: 12, Role: Leader, Kind: "all", DaemonsInRole: i, In: float64(3 * n), BytesIn: float64(n), CPU: 0.01})
	}
	path := t.TempDir() + "/rows.csv"
	if err := WriteCSV(path, rows); err != nil {
		t.Fatal(err)
	}
	back, err := ReadCSV(path)
	if err != nil || len(back) != 4 || back[3] != rows[3] {
		t.Fatalf("%+v, %v", back, err)
	}
	if text := Fits(back, "daemons", 520); !strings.Contains(text, "1560") || strings.Contains(text, "not straight") {
		t.Error(text)
	}
	if err := Plot(t.TempDir()+"/"+strconv.Itoa(1)+".png", back, "idle", "daemons", "bytes"); err != nil {
		t.Error(err)
	}
}
