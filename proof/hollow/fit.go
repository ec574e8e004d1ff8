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

// Line is a linear fit of measured points.
type Line struct {
	Intercept, Slope float64 // y = Intercept + Slope * x
	MaxDeviation     float64 // largest deviation of a point, as a fraction of the largest y
	Points           int
}

// Fit fits a line to points by linear regression.
//
// Example: l := hollow.Fit([]float64{10, 40, 130, 520}, bytes)
func Fit(x, y []float64) Line {
	l := Line{Points: len(x)}
	if len(x) < 2 {
		return l
	}
	l.Intercept, l.Slope = stat.LinearRegression(x, y, nil, false)
	largest := 0.0
	for i := range x {
		largest = max(largest, math.Abs(y[i]))
		l.MaxDeviation = max(l.MaxDeviation, math.Abs(y[i]-l.Intercept-l.Slope*x[i]))
	}
	if largest > 0 {
		l.MaxDeviation /= largest
	}
	return l
}

// IsLinear reports whether the points lie on the line within measurement error.
//
// Example: if !l.IsLinear() { fmt.Println("not straight") }
func (l Line) IsLinear() bool { return l.MaxDeviation < 0.15 }

// ValueAt returns the value of the line at a size.
//
// Example: l.ValueAt(520)
func (l Line) ValueAt(size float64) float64 { return l.Intercept + l.Slope*size }

// Sizes and Costs are the independent and dependent variables of the fits, by name.
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

// Series returns the points of one role's cost over a size.
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

// Fits formats a table of the linear fits of each role's costs over a size, with
// the value of each line at the design size.
//
// Example: fmt.Print(hollow.Fits(rows, "daemons", 520))
func Fits(rows []Row, size string, designSize float64) (out string) {
	var steps []string
	for _, r := range rows {
		if !slices.Contains(steps, r.Step) {
			steps = append(steps, r.Step)
		}
	}
	out = fmt.Sprintf("%-10s %-12s %-12s %12s %14s %8s %6s %14s\n", "step", "role", "cost", "at 0", "per "+size, "off", "points", fmt.Sprintf("at %g", designSize))
	for _, step := range steps {
		for _, role := range Roles() {
			for _, cost := range []string{"messages in", "messages out", "bytes", "core", "resident MB", "disk bytes"} {
				x, y := Series(rows, step, role, "all", size, cost)
				if len(x) < 3 || slices.Max(y) == 0 {
					continue
				}
				l := Fit(x, y)
				note := ""
				if !l.IsLinear() {
					note = "  not straight"
				}
				out += fmt.Sprintf("%-10s %-12s %-12s %12.4g %14.4g %7.0f%% %6d %14.5g%s\n", step, role, cost, l.Intercept, l.Slope, 100*l.MaxDeviation, l.Points, l.ValueAt(designSize), note)
			}
		}
	}
	return out
}

// Plot writes an image of one cost of every role over a size.
//
// Example: err := hollow.Plot("docs/capacity/bytes.png", rows, "idle", "daemons", "bytes")
func Plot(path string, rows []Row, step, size, cost string) error {
	figure := plot.New()
	figure.Title.Text = fmt.Sprintf("%s: %s a second and daemon over %s", step, cost, size)
	if cost == "core" || cost == "resident MB" {
		figure.Title.Text = fmt.Sprintf("%s: %s a daemon over %s", step, cost, size)
	}
	figure.X.Label.Text, figure.Y.Label.Text = size, cost
	figure.X.Min, figure.Y.Min = 0, 0
	figure.BackgroundColor = color.White
	for i, role := range Roles() {
		x, y := Series(rows, step, role, "all", size, cost)
		if len(x) < 2 {
			continue
		}
		points := make(plotter.XYs, len(x))
		for j := range x {
			points[j].X, points[j].Y = x[j], y[j]
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return err
		}
		line.Color, dots.Color, dots.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
		figure.Add(line, dots)
		figure.Legend.Add(role, line, dots)
	}
	figure.Legend.Top, figure.Legend.Left = true, true
	return figure.Save(16*vg.Centimeter, 10*vg.Centimeter, path)
}

// ReadCSV reads rows written by WriteCSV.
//
// Example: rows, err := hollow.ReadCSV("docs/capacity/daemons.csv")
func ReadCSV(path string) (rows []Row, err error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	records, err := csv.NewReader(f).ReadAll()
	if err != nil {
		return nil, err
	}
	for i, record := range records {
		if i == 0 {
			continue
		}
		r := Row{Step: record[0], Role: record[5], Kind: record[6]}
		var errs error
		for j, to := range map[int]*int{1: &r.Daemons, 2: &r.Servers, 3: &r.Tenants, 4: &r.Routes, 7: &r.DaemonsInRole} {
			var e error
			*to, e = strconv.Atoi(record[j])
			errs = errors.Join(errs, e)
		}
		for j, to := range []*float64{&r.In, &r.Out, &r.BytesIn, &r.BytesOut, &r.HandlingCores, &r.CPU, &r.Memory, &r.Heap, &r.Written, &r.Allocs, &r.Alloc} {
			var e error
			*to, e = strconv.ParseFloat(record[8+j], 64)
			errs = errors.Join(errs, e)
		}
		if errs != nil {
			return nil, fmt.Errorf("%s, line %d: %w", path, i+1, errs)
		}
		rows = append(rows, r)
	}
	return rows, nil
}
