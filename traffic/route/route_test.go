package route

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"mulleinmast/control/fleetconfig"
)

func plan(places ...string) (p fleetconfig.Plan) {
	for i, s := range places {
		host, prefix, _ := strings.Cut(s, "/")
		p.Routes = append(p.Routes, fleetconfig.Route{Name: fmt.Sprint("r", i), Host: host, Prefix: "/" + prefix})
	}
	return p
}

func TestTheLongestPrefixOfTheHostCounts(t *testing.T) {
	table := New(plan("a.example/", "a.example/x/", "a.example/x/y/z/", "B.example/x/", "c.example/only/here/"))
	for at, want := range map[string]string{
		"a.example /": "r0", "a.example /q": "r0", "a.example /x": "r0", "a.example /x/": "r1", "a.example /x/y/zz": "r1",
		"a.example /x/y/z/1/2": "r2", "A.Example:8080 /x/1": "r1", "b.example /x/1": "r3",
		"b.EXAMPLE /y": "", "c.example /only/here": "", "c.example /only/here/": "r4",
		"d.example /x/": "", "a.example ": "", " /x/": "", "a.example x/": "", "a.example //x/": "r0", "a.example /X/": "r0",
	} {
		host, path, _ := strings.Cut(at, " ")
		r, ok := table.Match(host, path)
		if ok != (want != "") || ok && r.Name != want {
			t.Errorf("%s: %v, expected %q", at, r, want)
		}
	}
	if r, ok := table.Named("r3"); !ok || r.Host != "B.example" || table.Len() != 5 {
		t.Errorf("%v, %d routes", r, table.Len())
	}
}

// The table finds what a look at every route would.
func TestAgainstALookAtEveryRoute(t *testing.T) {
	piece := rapid.SampledFrom([]string{"", "a", "b", "ab"})
	path := rapid.Custom(func(t *rapid.T) string {
		return "/" + strings.Join(rapid.SliceOfN(piece, 0, 5).Draw(t, "pieces"), "/")
	})
	rapid.Check(t, func(t *rapid.T) {
		p := plan(rapid.SliceOfNDistinct(path, 0, 20, rapid.ID).Draw(t, "prefixes")...) // hosts are empty
		for i := range p.Routes {
			p.Routes[i].Host = rapid.SampledFrom([]string{"h", "H", "i"}).Draw(t, "host")
		}
		table := New(p)
		for range 20 {
			at, host := path.Draw(t, "path"), rapid.SampledFrom([]string{"h:1", "I", "j"}).Draw(t, "at")
			want := ""
			size := -1
			for _, r := range p.Routes {
				sameHost := fleetconfig.NormalizeHost(r.Host) == fleetconfig.NormalizeHost(host)
				if sameHost && strings.HasPrefix(at, r.Prefix) && len(r.Prefix) > size {
					want, size = r.Name, len(r.Prefix)
				}
			}
			r, ok := table.Match(host, at)
			if ok != (size >= 0) || ok && r.Name != want {
				t.Fatalf("%s%s: %v, expected %q", host, at, r, want)
			}
		}
	})
}

func TestPickFollowsTheWeights(t *testing.T) {
	r := &fleetconfig.Route{Services: []fleetconfig.Share{
		{Service: "zero"}, {Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "last"},
	}}
	const step = 1 << 50
	got := map[string]int{}
	for dice := uint64(0); dice < 1<<63; dice += step {
		got[Pick(r, 2*dice)]++
	}
	all := 1 << 13
	if got["a"]+got["b"] != all || got["a"] < all*89/100 || got["a"] > all*91/100 {
		t.Errorf("%v", got)
	}
	if s := Pick(r, 1<<64-1); s != "b" {
		t.Errorf("the highest dice: %q", s)
	}
	if s := Pick(&fleetconfig.Route{}, 7); s != "" {
		t.Errorf("no service: %q", s)
	}
}

func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{10, 5000} {
		var places []string
		for i := range n {
			places = append(places, fmt.Sprintf("h%d.example/p%d/", i%7, i))
		}
		table := New(plan(places...))
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				if _, ok := table.Match("h3.example:80", "/p3/some/longer/path/1"); !ok {
					b.Fatal("not found")
				}
			}
		})
	}
}
