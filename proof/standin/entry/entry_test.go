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

// Two failed checks take a daemon out of rotation and one success puts it back. With
// fewer than half of a zone in rotation all its daemons are used, with none another zone's.
func TestDaemonsThatReceiveConnections(t *testing.T) {
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
	checkAll := func(n int) {
		for range n {
			e.checkAll(context.Background())
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
	checkAll(1)
	if e.InRotation() != 4 || picks("north") != "abc" || picks("south") != "d" {
		t.Error(e.InRotation(), picks("north"), picks("south"))
	}
	up[0].Store(false)
	checkAll(1)
	if picks("north") != "abc" {
		t.Error("after one failed check:", picks("north"))
	}
	checkAll(1)
	if picks("north") != "bc" {
		t.Error("after two failed checks:", picks("north"))
	}
	up[1].Store(false)
	checkAll(2)
	if picks("north") != "abc" {
		t.Error("fewer than half of the zone ready:", picks("north"))
	}
	up[2].Store(false)
	checkAll(2)
	if picks("north") != "d" {
		t.Error("none of the zone ready:", picks("north"))
	}
	up[1].Store(true)
	up[2].Store(true)
	checkAll(1)
	if picks("north") != "bc" {
		t.Error("after recovery:", picks("north"))
	}
}
