package daemon

import (
	"bytes"
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"mulleinmast/control/eventlog"
	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leader"
	"mulleinmast/control/leadercall"
	"mulleinmast/control/placement"
)

// golden compares a text with a file in testdata, which records names and formats that users and
// other builds depend on. Rewrite the files only to change the interface on purpose:
//
//	GOLDEN=write go test ./control/daemon
func golden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if os.Getenv("GOLDEN") == "write" {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got == string(want) {
		return
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(string(want), "\n")
	for i := range max(len(gotLines), len(wantLines)) {
		line := func(lines []string) string {
			if i < len(lines) {
				return lines[i]
			}
			return "(end)"
		}
		if line(gotLines) != line(wantLines) {
			t.Errorf("%s:%d: got %q, expected %q", path, i+1, line(gotLines), line(wantLines))
			return
		}
	}
}

// fill sets every exported field of a value, recursively, to a fixed value of its type.
func fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem())
	case reflect.Struct:
		if at, ok := v.Addr().Interface().(*time.Time); ok {
			*at = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
			return
		}
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i))
			}
		}
	case reflect.Slice:
		if raw, ok := v.Addr().Interface().(*json.RawMessage); ok {
			*raw = json.RawMessage(`"raw"`)
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0))
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i))
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key)
		fill(value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Interface:
		v.Set(reflect.ValueOf("any"))
	case reflect.String:
		v.SetString("text")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(1.5)
	default:
		if v.CanInt() {
			v.SetInt(1)
		} else if v.CanUint() {
			v.SetUint(1)
		}
	}
}

// The JSON of the operator API's requests and responses, with every field set, is unchanged.
func TestOperatorJSONKeepsItsNames(t *testing.T) {
	var text strings.Builder
	for _, x := range []struct {
		name  string
		value any
	}{
		{"answer to a call", new(leadercall.Response)},
		{"plan", new(fleetconfig.Plan)},
		{"changes of a plan", new(fleetconfig.Changes)},
		{"list of servers", new(fleetconfig.List)},
		{"call for a replica", new(leader.ReplicaCall)},
		{"call with servers", new(leader.ServersCall)},
		{"demand for slots", new(placement.Demand)},
		{"share of slots", new(placement.Share)},
		{"order to a server", new(placement.Order)},
		{"state of a daemon", new(State)},
		{"line of the log", new(eventlog.Entry)},
	} {
		fill(reflect.ValueOf(x.value).Elem())
		packed, err := json.MarshalIndent(x.value, "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&text, "%s: %s\n", x.name, packed)
	}
	golden(t, "operator-types.txt", text.String())
}

// maskJSON returns a JSON text in which the parts that vary between runs are masked. Numbers become
// 0, and only the first log entry is kept.
func maskJSON(text []byte, vary ...string) string {
	var v any
	if err := json.Unmarshal(text, &v); err != nil {
		return string(text)
	}
	var mask func(v any) any
	mask = func(v any) any {
		switch v := v.(type) {
		case map[string]any:
			out := map[string]any{}
			for key, value := range v {
				if list, ok := value.([]any); ok && key == "lines" {
					value = list[:min(1, len(list))]
				}
				out[maskText(key, vary)] = mask(value)
				if key == "text" { // of a log entry
					out[key] = "<text>"
				}
			}
			return out
		case []any:
			for i := range v {
				v[i] = mask(v[i])
			}
			return v
		case float64:
			return 0
		case string:
			return maskText(v, vary)
		}
		return v
	}
	packed, err := json.MarshalIndent(mask(v), "", "  ")
	if err != nil {
		return err.Error()
	}
	return string(packed)
}

var wallTime = regexp.MustCompile(`\d{4}-\d\d-\d\dT[\d:.]+(Z|[+-]\d\d:\d\d)`)

func maskText(s string, vary []string) string {
	for i, text := range vary {
		s = strings.ReplaceAll(s, text, fmt.Sprint("<", i, ">"))
	}
	return wallTime.ReplaceAllString(s, "<time>")
}

// transcript records calls to a daemon and its responses, with varying parts masked.
type transcript struct {
	strings.Builder
	d      *Daemon
	inPath []string // varying texts in paths
	inBody []string // varying texts in responses
}

func (tr *transcript) call(t *testing.T, method, path, body string) {
	t.Helper()
	w := httptest.NewRecorder()
	r := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body))
	tr.d.Mux.ServeHTTP(w, r)
	_, _ = fmt.Fprintf(tr, "%s %s\n%d", method, maskText(path, tr.inPath), w.Code)
	for _, name := range []string{"Content-Type", "Retry-After", "Warning", "Allow"} {
		if v := w.Header().Get(name); v != "" {
			_, _ = fmt.Fprintf(tr, " %s: %s;", name, v)
		}
	}
	_, _ = fmt.Fprintf(tr, "\n%s\n", maskJSON(w.Body.Bytes(), tr.inBody...))
}

// operatorCall is a call with its route (method and path) as registered with the mux.
type operatorCall struct{ route, body string }

func (tr *transcript) calls(t *testing.T, list []operatorCall) {
	t.Helper()
	for _, call := range list {
		method, path, _ := strings.Cut(call.route, " ")
		path = strings.NewReplacer("{zone}", "north", "{op}", "return").Replace(path)
		tr.call(t, method, path, call.body)
	}
}

// The responses to the calls of the operator API, at the only daemon of a fleet, are unchanged.
func TestOperatorCallsKeepTheirAnswers(t *testing.T) {
	cfg, backup := singleDaemonConfig(t), filepath.Join(t.TempDir(), "backup")
	d, plan := runDaemon(t, cfg), string(firstPlan())
	servers := string(leadercall.MustMarshal(fleetconfig.List{
		Version: 1,
		Servers: []fleetconfig.Server{{Addr: "10.0.0.9:80", Zone: "north", Capacity: 1}},
	}))
	out := &transcript{
		d:      d.Daemon,
		inPath: []string{backup},
		inBody: []string{d.Ident(), cfg.WireAddr, cfg.HTTPAddr, cfg.DataFolder, backup},
	}
	out.calls(t, []operatorCall{{"GET /livez", ""}, {"GET /readyz", ""}})
	if status, answer := d.Call(t.Context(), 0, leadercall.OpPlan, []byte(plan), 20*time.Second); status != http.StatusOK {
		t.Fatalf("writing the first plan: %d %s", status, answer)
	}
	await(t, d.Daemon, d.isReady)
	out.calls(t, []operatorCall{
		{"GET /readyz", ""},
		{"GET /v1/plan/template", ""},
		{"GET /v1/plan", ""},
		{"PUT /v1/plan", plan},
		{"PUT /v1/plan", `{"id":"first","tenants":[],"services":[{"name":"m","prefill_servers":1,"decode_servers":1}]}`},
		{"PUT /v1/plan", `{"id":1}`},
		{"POST /v1/plan/changes", `{"id":"next","base":1,"changes":[{"op":"drop-tenant","name":"x"}]}`},
		{"POST /v1/zones/north/evacuate", ""},
	})
	await(t, d.Daemon, func() bool {
		state := d.State()
		member := state.Me.Ready && !state.Me.Empty && state.Members[0] == state.Me
		leads := state.Partitions[0].LedHere && state.Partitions[1].LedHere
		known := len(d.View().Leaderships) == len(state.Partitions)
		return len(state.ZonesOut) == 1 && state.Live && state.PlanValid && member && leads && known
	})
	out.calls(t, []operatorCall{
		{"GET /v1/state", ""},
		{"POST /v1/zones/zone-1/return", ""},
		{"POST /v1/cells/{zone}/{op}", ""},
		{"POST /v1/zones/north/leave", ""},
		{"POST /v1/replicas", `{"out":""}`},
		{"POST /v1/seats", `{"out":"a","ident":"b","addr":"10.0.0.1:1"}`},
		{"PUT /v1/services/m/servers", servers},
		{"PUT /v1/services/m/servers", `{"version":0,"servers":[{"addr":"x"}]}`},
		{"GET /v1/services/m/servers", ""},
		{"GET /v1/services/n/servers", ""},
		{"GET /v1/services/a%20b/servers", ""},
		{"GET /v1/ring", ""},
		{"GET /v1/ring?since=x", ""},
		{"POST /v1/backup?to=relative", ""},
		{"POST /v1/backup?to=" + backup, ""},
		{"POST /v1/backup?to=" + backup, ""},
		{"DELETE /v1/plan", ""},
		{"POST /test/cut", "[]"},
	})
	d.Leave()
	out.calls(t, []operatorCall{{"GET /readyz", ""}})
	golden(t, "operator-calls.txt", out.String())
}

// await waits until a condition holds. It checks at each change of a record and at a short
// interval.
func await(t *testing.T, d *Daemon, condition func() bool) {
	t.Helper()
	timeout, ticker := time.After(20*time.Second), time.NewTicker(10*time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-timeout:
			t.Fatal("timed out: " + d.whyNotReady())
		case <-d.Changed():
		case <-ticker.C:
		}
	}
}

// The paths and responses of the fault injection calls are unchanged.
func TestFaultInjectionCallsKeepTheirAnswers(t *testing.T) {
	d := openIsolated(t, func(cfg *Config) { withLongLeases(cfg); cfg.TestSwitches = true })
	var text strings.Builder
	for _, call := range []struct{ path, body string }{
		{"/test/cut", `["10.0.0.1:1"]`},
		{"/test/cut", "x"},
		{"/test/deaf", "[]"},
		{"/test/slow?for=300ms", ""},
		{"/test/slow", ""},
		{"/test/stall?for=1s", ""},
		{"/test/leap?by=30s", ""},
		{"/test/leap", ""},
		{"/test/full?on=1", ""},
	} {
		w := httptest.NewRecorder()
		r := httptest.NewRequestWithContext(t.Context(), "POST", call.path, strings.NewReader(call.body))
		d.Mux.ServeHTTP(w, r)
		fmt.Fprintf(&text, "POST %s %s\n%d %s", call.path, call.body, w.Code, w.Body)
	}
	golden(t, "switches.txt", text.String())
}

var route = regexp.MustCompile(`^(GET|HEAD|PUT|POST|PATCH|DELETE) /`)

// The registered paths and their methods are unchanged, both in the sources and in the mux.
func TestPathsAreUnchanged(t *testing.T) {
	sources, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	var paths []string
	for _, source := range sources {
		if strings.HasSuffix(source, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), source, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if literal, ok := n.(*ast.BasicLit); ok && literal.Kind == token.STRING {
				if text, err := strconv.Unquote(literal.Value); err == nil && route.MatchString(text) {
					paths = append(paths, text)
				}
			}
			return true
		})
	}
	slices.Sort(paths)
	d := openIsolated(t, func(cfg *Config) { cfg.DataFolder, cfg.TestSwitches = t.TempDir(), true })
	for _, path := range paths {
		method, place, _ := strings.Cut(path, " ")
		place = strings.NewReplacer("{", "", "}", "").Replace(place)
		r, err := http.NewRequestWithContext(t.Context(), method, place, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, pattern := d.Mux.Handler(r); pattern != path {
			t.Errorf("%s is served by %q", path, pattern)
		}
	}
	golden(t, "paths.txt", strings.Join(paths, "\n")+"\n")
}

// The control plane's metrics keep their names.
func TestMetricsKeepTheirNames(t *testing.T) {
	d := openIsolated(t, func(*Config) {})
	names := d.Metrics.ListMetricNames()
	slices.Sort(names)
	golden(t, "metrics.txt", strings.Join(names, "\n")+"\n")
}

// leafValues returns the sorted values of all fields below a value, without their names.
func leafValues(v reflect.Value) (list []string) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			list = append(list, leafValues(v.Field(i))...)
		}
	case reflect.Slice:
		for i := range v.Len() {
			list = append(list, leafValues(v.Index(i))...)
		}
	default:
		list = append(list, fmt.Sprint(v))
	}
	slices.Sort(list)
	return list
}

// The settings of the config file and the flags keep their names, defaults and limits.
func TestSettingsKeepTheirNames(t *testing.T) {
	var text bytes.Buffer
	show := func(what string, args ...string) {
		cfg, err := ReadConfig("mulleinmast", args, &text)
		fmt.Fprintf(&text, "%s: %v\n", what, err)
		for _, leaf := range leafValues(reflect.ValueOf(cfg)) {
			fmt.Fprintln(&text, " ", leaf)
		}
	}
	show("usage", "-h")
	show("file", "-config", "testdata/settings.json")
	show("faults of a file", "-config", "testdata/faulty.json")
	show("no file", "-config", "testdata/nowhere.json")
	show("flags", "-fleet", "f1", "-wire", "10.0.0.1:1", "-web", "10.0.0.1:2", "-zone", "z1",
		"-seeds", "10.0.0.3:3,10.0.0.4:4", "-data", "d1", "-partitions", "5", "-drift", "0.06",
		"-losses", "3", "-first=false", "-admit", "7.5", "-queue", "88", "-test-switches")
	show("over the file", "-config", "testdata/settings.json", "-zone", "z1", "-queue", "88")
	show("faults", "-fleet", "a b", "-wire", "0.0.0.0:1", "-web", "x", "-zone", "", "-seeds", "x,x",
		"-partitions", "65", "-drift", "0.3", "-losses", "5", "-admit", "101", "-queue", "0", "stray")
	for _, set := range []func(*Config){
		func(c *Config) { c.Bounds.Plan = 0 },
		func(c *Config) { c.Bounds.Leave = 0 },
		func(c *Config) { c.Bounds.Evacuate = 0 },
		func(c *Config) { c.Bounds.Swap = 2 * time.Hour },
		func(c *Config) { c.Bounds.Recover = 0 },
		func(c *Config) { c.EventLogSize = 1 },
	} {
		cfg := Default()
		cfg.WireAddr, cfg.HTTPAddr, cfg.Seeds = "10.0.0.1:1", "10.0.0.1:2", []string{"10.0.0.1:1"}
		set(&cfg)
		fmt.Fprintln(&text, cfg.Check().List)
	}
	golden(t, "settings.txt", text.String())
}
