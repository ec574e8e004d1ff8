package wire

import (
	"fmt"
	"testing"
)

func TestAChangeKeepsPlacesAndAddsLast(t *testing.T) {
	var ch Change
	ch.Version = 7
	ch.Replace.Routes = []Route{{Name: "new"}, {Name: "b", Start: "/b2"}}
	ch.Remove.Routes = []string{"a"}
	ch.Replace.Services = []Service{{Name: "s"}, {Name: "t"}}
	ch.Remove.Services = []string{"s", "never"}
	c := Config{Version: 6, Routes: []Route{{Name: "a"}, {Name: "b"}, {Name: "c"}}, Services: []Service{{Name: "s"}}, Limits: Limits{IdleMs: 5}}
	next := c.With(ch)
	var said []string
	for _, r := range next.Routes {
		said = append(said, r.Name+r.Start)
	}
	for _, s := range next.Services {
		said = append(said, s.Name)
	}
	if fmt.Sprint(said) != "[b/b2 c new t]" || next.Version != 7 || next.Limits != c.Limits {
		t.Errorf("%v, version %d, limits %+v", said, next.Version, next.Limits)
	}
}
