package wire

import (
	"fmt"
	"testing"
)

func TestChangeKeepsOrderAndAppends(t *testing.T) {
	var ch Change
	ch.Version = 7
	ch.Replace.Routes = []Route{{Name: "new"}, {Name: "b", Start: "/b2"}}
	ch.Remove.Routes = []string{"a"}
	ch.Replace.Services = []Service{{Name: "s"}, {Name: "t"}}
	ch.Remove.Services = []string{"s", "never"}
	c := Config{Version: 6, Routes: []Route{{Name: "a"}, {Name: "b"}, {Name: "c"}}, Services: []Service{{Name: "s"}}, Limits: Limits{IdleMs: 5}}
	next := c.With(ch)
	var items []string
	for _, r := range next.Routes {
		items = append(items, r.Name+r.Start)
	}
	for _, s := range next.Services {
		items = append(items, s.Name)
	}
	if fmt.Sprint(items) != "[b/b2 c new t]" || next.Version != 7 || next.Limits != c.Limits {
		t.Errorf("got items %v, version %d, limits %+v", items, next.Version, next.Limits)
	}
}
