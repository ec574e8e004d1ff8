package hollow

import (
	"math"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// small starts a small fleet in this process, with its servers known to all.
func small(t *testing.T, daemons, servers int) *Fleet {
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
		t.Fatalf("%d of %d daemons have every server's record", n, daemons)
	}
	return f
}

// A small fleet's messages and bytes stay on the slopes that docs/CAPACITY.md
// publishes, takes a change, and survives the loss of a zone.
func TestCountsStayOnTheSlopes(t *testing.T) {
	published, err := ReadCSV("../../docs/capacity/daemons.csv")
	if err != nil {
		t.Fatal(err)
	}
	f := small(t, 10, 12)
	rows := f.Measure("idle", 5*time.Second, nil)
	checked := 0
	for _, r := range rows {
		if r.Role != Front && r.Role != Relay && r.Role != Leader || r.Kind != "all" {
			continue
		}
		for _, cost := range []string{"messages in", "messages out", "bytes"} {
			x, y := Series(published, "idle", r.Role, "all", "daemons", cost)
			if len(x) < 2 {
				continue
			}
			checked++
			// Where a role's parts fall differs from fleet to fleet; only more is a fault.
			if line, got := y[0], Costs[cost](r); got > 1.5*line {
				t.Errorf("%s of a %s: %.1f a second, published %.1f at %v daemons", cost, r.Role, got, line, x[0])
			}
		}
	}
	if checked < 6 {
		t.Errorf("only %d costs were compared: %s", checked, Table(rows))
	}
	yes, everywhere, n, err := f.Put()
	if err != nil || n < f.Daemons {
		t.Fatalf("a change: %v, in force at %d of %d daemons after %v and %v", err, n, f.Daemons, yes, everywhere)
	}
	zone := f.ZoneOf(f.Leaders()[0])
	left := f.LoseZone(zone)
	if n, took := f.AwaitOutside(zone, Command{Fresh: true, Zone: zone, Wait: time.Minute}); n < left {
		t.Fatalf("a zone lost: %d of %d daemons are well after %v", n, left, took)
	}
	if _, err := f.Change(); err != nil {
		t.Fatal(err)
	}
	if n, took := f.AwaitOutside(zone, Command{Version: f.Version(), Wait: time.Minute}); n < left {
		t.Errorf("a change without a zone: in force at %d of %d daemons after %v", n, left, took)
	}
}

func TestFit(t *testing.T) {
	l := Fit([]float64{10, 40, 130, 520}, []float64{25, 85, 265, 1045})
	if math.Abs(l.Slope-2) > 1e-9 || math.Abs(l.At-5) > 1e-9 || !l.Straight() || math.Abs(l.For(100)-205) > 1e-9 {
		t.Errorf("%+v", l)
	}
	if l = Fit([]float64{1, 2, 3, 4, 5, 6}, []float64{1, 4, 9, 16, 25, 36}); l.Straight() && l.Off < 0.05 {
		t.Errorf("a square passes for a line: %+v", l)
	}
}

// Rows come back from a file as they were written, and can be drawn.
func TestRowsAreKept(t *testing.T) {
	var rows []Row
	for i, n := range []int{10, 40, 130, 520} {
		rows = append(rows, Row{Step: "idle", Daemons: n, Servers: 12, Role: Leader, Kind: "all", Of: i, In: float64(3 * n), BytesIn: float64(n), CPU: 0.01})
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
