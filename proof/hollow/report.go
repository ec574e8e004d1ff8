package hollow

import (
	"encoding/csv"
	"fmt"
	"os"
	"time"
)

// WriteCSV writes rows to a file.
//
// Example: err := hollow.WriteCSV("docs/capacity/idle.csv", rows)
func WriteCSV(path string, rows []Row) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	w := csv.NewWriter(f)
	_ = w.Write([]string{"step", "daemons", "servers", "tenants", "routes", "role", "kind", "of", "in_s", "out_s", "bytes_in_s", "bytes_out_s", "hearing_core", "cpu_core", "resident_mb", "heap_mb", "written_bytes_s", "allocs_s", "alloc_bytes_s"})
	for _, r := range rows {
		rec := []string{r.Step, fmt.Sprint(r.Daemons), fmt.Sprint(r.Servers), fmt.Sprint(r.Tenants), fmt.Sprint(r.Routes), r.Role, r.Kind, fmt.Sprint(r.DaemonsInRole)}
		for _, x := range []float64{r.In, r.Out, r.BytesIn, r.BytesOut, r.HandlingCores, r.CPU, r.Memory, r.Heap, r.Written, r.Allocs, r.Alloc} {
			rec = append(rec, fmt.Sprintf("%.6g", x))
		}
		_ = w.Write(rec)
	}
	w.Flush()
	err = w.Error() // also of earlier writes
	if e := f.Close(); err == nil {
		err = e
	}
	return err
}

// Profile writes processor profiles of the first shared process and of every process
// with a single daemon.
//
// Example: err := f.Profile("/tmp/40-12", 10*time.Second)
func (f *Fleet) Profile(path string, length time.Duration) error {
	names := map[int]string{0: "shared"}
	for i, p := range f.snapshot().procs {
		if len(p.Snaps) == 1 {
			names[i] = fmt.Sprintf("%s-%d", p.Snaps[0].role(), p.Snaps[0].Index)
		}
	}
	return firstError(f.runOnAll(func(i int) Command {
		if names[i] == "" {
			return Command{Op: "snap"}
		}
		return Command{Op: "profile", Path: path + "-" + names[i] + ".cpu", Wait: length}
	}))
}

// Version returns the version of the current configuration.
//
// Example: f.Await(hollow.Command{Version: f.Version(), Wait: time.Second})
func (f *Fleet) Version() uint64 { return f.version }
