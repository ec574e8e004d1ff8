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
		rec := []string{r.Step, fmt.Sprint(r.Daemons), fmt.Sprint(r.Servers), fmt.Sprint(r.Tenants), fmt.Sprint(r.Routes), r.Role, r.Kind, fmt.Sprint(r.Of)}
		for _, x := range []float64{r.In, r.Out, r.BytesIn, r.BytesOut, r.Hearing, r.CPU, r.Memory, r.Heap, r.Written, r.Allocs, r.Alloc} {
			rec = append(rec, fmt.Sprintf("%.6g", x))
		}
		_ = w.Write(rec)
	}
	w.Flush()
	err = w.Error() // of any write before, too
	if e := f.Close(); err == nil {
		err = e
	}
	return err
}

// Profile writes profiles of processor time and allocations, of the shared
// process, of the configuration's leader and of a front alone.
//
// Example: err := f.Profile("/tmp/40-12", 10*time.Second)
func (f *Fleet) Profile(path string, length time.Duration) error {
	names := map[int]string{0: "shared"}
	for i, p := range f.read().procs {
		if len(p.Snaps) == 1 {
			names[i] = fmt.Sprintf("%s-%d", p.Snaps[0].role(), p.Snaps[0].Index)
		}
	}
	return fault(f.each(func(i int) Command {
		if names[i] == "" {
			return Command{Op: "snap"}
		}
		return Command{Op: "profile", Path: path + "-" + names[i] + ".cpu", Wait: length}
	}))
}

// Version is that of the configuration in force.
//
// Example: f.Await(hollow.Command{Version: f.Version(), Wait: time.Second})
func (f *Fleet) Version() uint64 { return f.base }
