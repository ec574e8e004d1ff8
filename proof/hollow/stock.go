package hollow

import (
	"fmt"
	"image/color"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Stock is the storage and memory use of the control daemons after a number of
// changes. Each value is the maximum over the daemons, in MB.
type Stock struct {
	Changes  int
	Folder   float64 // all files in the data folder
	Log      float64 // the write-ahead log among them
	Resident float64
	Heap     float64       // in use after a garbage collection
	Longest  time.Duration // longest time to acknowledge a change since the previous sample
}

// MeasureStorage makes changes sequentially and samples storage and memory every step changes.
//
// Example: list, err := f.MeasureStorage(2000, 100)
func (f *Fleet) MeasureStorage(changes, step int) (list []Stock, err error) {
	longest := time.Duration(0)
	for n := 0; ; n++ {
		if n%step == 0 {
			s := f.stock()
			s.Changes, s.Longest = n, longest
			list, longest = append(list, s), 0
		}
		if n == changes {
			return list, nil
		}
		took, err := f.Change()
		if err != nil {
			return list, err
		}
		longest = max(longest, took)
	}
}

// stock samples the storage and memory use of the control daemons.
func (f *Fleet) stock() (s Stock) {
	f.runOnAll(func(int) Command { return Command{Op: "heap"} })
	for _, p := range f.runOnAll(func(int) Command { return Command{Op: "snap"} }) {
		if len(p.Snaps) == 1 && p.Snaps[0].Core {
			s.Resident = max(s.Resident, megabytes(p.Usage.Memory))
			s.Heap = max(s.Heap, megabytes(p.Usage.Heap))
		}
	}
	for _, spec := range f.specs {
		if spec.Config.DataFolder == "" {
			continue
		}
		total, log := int64(0), int64(0)
		_ = filepath.WalkDir(spec.Config.DataFolder, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() {
				return nil // a file may be removed during the walk
			}
			if in, err := d.Info(); err == nil {
				total += in.Size()
				if strings.HasSuffix(path, "-wal") {
					log += in.Size()
				}
			}
			return nil
		})
		s.Folder, s.Log = max(s.Folder, megabytes(total)), max(s.Log, megabytes(log))
	}
	return s
}

func megabytes(n int64) float64 { return float64(n) / (1 << 20) }

// WriteStock writes samples as a CSV file and as a plot next to it.
//
// Example: err := hollow.WriteStock("docs/capacity/many.csv", list)
func WriteStock(path string, list []Stock) error {
	text := "changes,folder_mb,log_mb,resident_mb,heap_mb,longest_ms\n"
	lines := map[string]plotter.XYs{}
	for _, s := range list {
		text += fmt.Sprintf("%d,%.3f,%.3f,%.2f,%.2f,%d\n", s.Changes, s.Folder, s.Log, s.Resident, s.Heap, s.Longest.Milliseconds())
		for name, y := range map[string]float64{"data folder": s.Folder, "its log": s.Log, "resident": s.Resident, "heap": s.Heap} {
			lines[name] = append(lines[name], plotter.XY{X: float64(s.Changes), Y: y})
		}
	}
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return err
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "most of any control daemon", "changes", "MB"
	p.X.Min, p.Y.Min = 0, 0
	p.BackgroundColor = color.White
	for i, name := range []string{"data folder", "its log", "resident", "heap"} {
		line, err := plotter.NewLine(lines[name])
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(name, line)
	}
	p.Legend.Left, p.Legend.Top = true, true
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, strings.TrimSuffix(path, ".csv")+".png")
}
