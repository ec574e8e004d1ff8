package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"mulleinmast/proof/standin/wire"
)

// Two misses take a daemon out, one answer takes it in again; with few in, all
// of a zone are used, with none, another zone's.
func TestWhoGetsConnections(t *testing.T) {
	var list []Daemon
	var up [4]atomic.Bool
	for i := range up {
		up[i].Store(true)
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != wire.ReadyPath || !up[i].Load() {
				w.WriteHeader(503)
			}
		}))
		defer srv.Close()
		list = append(list, Daemon{Name: string(rune('a' + i)), Zone: []string{"north", "south"}[i/3], Readiness: strings.TrimPrefix(srv.URL, "http://")})
	}
	e := New(func() []Daemon { return list })
	look := func(n int) {
		for range n {
			e.look(context.Background())
		}
	}
	picks := func(zone string) string {
		got := map[string]bool{}
		for try := range 12 {
			d, _ := e.Pick("c", zone, try)
			got[d.Name] = true
		}
		out := ""
		for _, d := range list {
			if got[d.Name] {
				out += d.Name
			}
		}
		return out
	}
	look(1)
	if e.In() != 4 || picks("north") != "abc" || picks("south") != "d" {
		t.Error(e.In(), picks("north"), picks("south"))
	}
	up[0].Store(false)
	look(1)
	if picks("north") != "abc" {
		t.Error("one miss:", picks("north"))
	}
	look(1)
	if picks("north") != "bc" {
		t.Error("two misses:", picks("north"))
	}
	up[1].Store(false)
	look(2)
	if picks("north") != "abc" {
		t.Error("fewer than half:", picks("north"))
	}
	up[2].Store(false)
	look(2)
	if picks("north") != "d" {
		t.Error("none in the zone:", picks("north"))
	}
	up[1].Store(true)
	up[2].Store(true)
	look(1)
	if picks("north") != "bc" {
		t.Error("back:", picks("north"))
	}
}
