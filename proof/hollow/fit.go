package hollow

import (
	"encoding/csv"
	"errors"
	"fmt"
	"image/color"
	"math"
	"os"
	"slices"
	"strconv"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Line is a straight line through measured points.
type Line struct {
	At, Slope float64 // y = At + Slope * x
	Off       float64 // the largest distance of a point from it, in parts of the largest y
	Points    int
}

// Fit lays a straight line through points.
//
// Example: l := hollow.Fit([]float64{10, 40, 130, 520}, bytes)
func Fit(x, y []float64) Line {
	l := Line{Points: len(x)}
	if len(x) < 2 {
		return l
	}
	l.At, l.Slope = stat.LinearRegression(x, y, nil, false)
	most := 0.0
	for i := range x {
		most = max(most, math.Abs(y[i]))
		l.Off = max(l.Off, math.Abs(y[i]-l.At-l.Slope*x[i]))
	}
	if most > 0 {
		l.Off /= most
	}
	return l
}

// Straight tells whether the points lie on the line as far as a measurement
// can tell.
//
// Example: if !l.Straight() { message("not straight") }
func (l Line) Straight() bool { return l.Off < 0.15 }

// For is the line's figure at a size.
//
// Example: l.For(520)
func (l Line) For(size float64) float64 { return l.At + l.Slope*size }

// Size and Cost are what a line is drawn over, and of.
var (
	Sizes = map[string]func(Row) float64{
		"daemons": func(r Row) float64 { return float64(r.Daemons) }, "servers": func(r Row) float64 { return float64(r.Servers) },
		"routes": func(r Row) float64 { return float64(r.Routes) }, "tenants": func(r Row) float64 { return float64(r.Tenants) },
	}
	Costs = map[string]func(Row) float64{
		"messages in": func(r Row) float64 { return r.In }, "messages out": func(r Row) float64 { return r.Out },
		"bytes": func(r Row) float64 { return r.BytesIn + r.BytesOut }, "core": func(r Row) float64 { return r.CPU },
		"resident MB": func(r Row) float64 { return r.Memory }, "disk bytes": func(r Row) float64 { return r.Written },
	}
)

// Series picks one role's cost over a size out of rows.
//
// Example: x, y := hollow.Series(rows, "idle", hollow.Leader, "all", "daemons", "bytes")
func Series(rows []Row, step, role, kind, size, cost string) (x, y []float64) {
	for _, r := range rows {
		if v := Costs[cost](r); r.Step == step && r.Role == role && r.Kind == kind && (v > 0 || r.CPU > 0) {
			x, y = append(x, Sizes[size](r)), append(y, v)
		}
	}
	return x, y
}

// Fits prints the line of each role's costs over a size, and what it gives at
// the size to design for.
//
// Example: fmt.Print(hollow.Fits(rows, "daemons", 520))
func Fits(rows []Row, size string, plan float64) (out string) {
	var steps []string
	for _, r := range rows {
		if !slices.Contains(steps, r.Step) {
			steps = append(steps, r.Step)
		}
	}
	out = fmt.Sprintf("%-10s %-12s %-12s %12s %14s %8s %6s %14s\n", "step", "role", "cost", "at 0", "per "+size, "off", "points", fmt.Sprintf("at %g", plan))
	for _, step := range steps {
		for _, role := range Roles() {
			for _, cost := range []string{"messages in", "messages out", "bytes", "core", "resident MB", "disk bytes"} {
				x, y := Series(rows, step, role, "all", size, cost)
				if len(x) < 3 || slices.Max(y) == 0 {
					continue
				}
				l := Fit(x, y)
				word := ""
				if !l.Straight() {
					word = "  not straight"
				}
				out += fmt.Sprintf("%-10s %-12s %-12s %12.4g %14.4g %7.0f%% %6d %14.5g%s\n", step, role, cost, l.At, l.Slope, 100*l.Off, l.Points, l.For(plan), word)
			}
		}
	}
	return out
}

// Plot draws one cost of every role over a size.
//
// Example: err := hollow.Plot("docs/capacity/bytes.png", rows, "idle", "daemons", "bytes")
func Plot(path string, rows []Row, step, size, cost string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: %s a second and daemon over %s", step, cost, size)
	if cost == "core" || cost == "resident MB" {
		p.Title.Text = fmt.Sprintf("%s: %s a daemon over %s", step, cost, size)
	}
	p.X.Label.Text, p.Y.Label.Text = size, cost
	p.X.Min, p.Y.Min = 0, 0
	p.BackgroundColor = color.White
	for i, role := range Roles() {
		x, y := Series(rows, step, role, "all", size, cost)
		if len(x) < 2 {
			continue
		}
		pts := make(plotter.XYs, len(x))
		for j := range x {
			pts[j].X, pts[j].Y = x[j], y[j]
		}
		line, dots, err := plotter.NewLinePoints(pts)
		if err != nil {
			return err
		}
		line.Color, dots.Color, dots.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
		p.Add(line, dots)
		p.Legend.Add(role, line, dots)
	}
	p.Legend.Top, p.Legend.Left = true, true
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, path)
}

// ReadCSV reads what WriteCSV wrote.
//
// Example: rows, err := hollow.ReadCSV("docs/capacity/daemons.csv")
func ReadCSV(path string) (rows []Row, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	recs, err := csv.NewReader(f).ReadAll()
	if err != nil {
		return nil, err
	}
	for i, rec := range recs {
		if i == 0 {
			continue
		}
		r := Row{Step: rec[0], Role: rec[5], Kind: rec[6]}
		var bad error
		for j, to := range map[int]*int{1: &r.Daemons, 2: &r.Servers, 3: &r.Tenants, 4: &r.Routes, 7: &r.Of} {
			var e error
			*to, e = strconv.Atoi(rec[j])
			bad = errors.Join(bad, e)
		}
		for j, to := range []*float64{&r.In, &r.Out, &r.BytesIn, &r.BytesOut, &r.Hearing, &r.CPU, &r.Memory, &r.Heap, &r.Written, &r.Allocs, &r.Alloc} {
			var e error
			*to, e = strconv.ParseFloat(rec[8+j], 64)
			bad = errors.Join(bad, e)
		}
		if bad != nil {
			return nil, fmt.Errorf("%s, line %d: %w", path, i+1, bad)
		}
		rows = append(rows, r)
	}
	return rows, nil
}
