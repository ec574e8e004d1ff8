package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// fakeDaemon serves the daemon's query API from testdata and returns its address. It
// lists itself as the address of every member.
func fakeDaemon(t *testing.T) string {
	t.Helper()
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	addr := strings.TrimPrefix(server.URL, "http://")
	for path, file := range map[string]string{
		"/v1/state":         "state.json",
		"/v1/plan":          "plan.json",
		"/v1/ring":          "ring.json",
		"/v1/why/{request}": "why.json",
	} {
		text, err := os.ReadFile(filepath.Join("testdata", file))
		if err != nil {
			t.Fatal(err)
		}
		mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
			if r.PathValue("request") == "unknown" {
				_, _ = w.Write([]byte("[]"))
				return
			}
			_, _ = w.Write(bytes.ReplaceAll(text, []byte("ADDR"), []byte(addr)))
		})
	}
	return addr
}

// The output and exit code of each query, as text and as JSON, are stable.
// GOLDEN=write rewrites the expected output.
func TestQueryOutput(t *testing.T) {
	addr := fakeDaemon(t)
	var all strings.Builder
	for _, query := range []string{
		"help", "members", "plan", "partitions", "tree", "tree 1", "tree 9", "servers", "versions", "queue", "counts",
		"why all", "why unknown", "why", "story", "story leader",
		"import testdata/nowhere.yaml", "import testdata/api.yaml", "nonsense",
	} {
		for _, asJSON := range []bool{false, true} {
			var out bytes.Buffer
			s := &shell{daemons: []string{addr}, asJSON: asJSON, http: http.DefaultClient, out: &out}
			code := s.query(strings.Fields(query))
			fmt.Fprintf(&all, "%s, JSON %v: %d\n%s\n", query, asJSON, code, strings.ReplaceAll(out.String(), addr, "ADDR"))
			if asJSON && query != "help" && out.Len() > 0 && !json.Valid(out.Bytes()) {
				t.Errorf("%s: invalid JSON: %s", query, out.String())
			}
		}
	}
	path := filepath.Join("testdata", "queries.txt")
	if os.Getenv("GOLDEN") == "write" {
		if err := os.WriteFile(path, []byte(all.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil || all.String() != string(want) {
		t.Errorf("output differs from the golden file (read error: %v), got\n%s", err, all.String())
	}
}
