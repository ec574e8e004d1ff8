package route

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"mulleinmast/control/fleetconfig"
)

func planOf(hostPrefixes ...string) (p fleetconfig.Plan) {
	for i, s := range hostPrefixes {
		host, prefix, _ := strings.Cut(s, "/")
		p.Routes = append(p.Routes, fleetconfig.Route{Name: fmt.Sprint("r", i), Host: host, Prefix: "/" + prefix})
	}
	return p
}

func TestMatchFindsLongestPrefixOfHost(t *testing.T) {
	table := New(planOf("a.example/", "a.example/x/", "a.example/x/y/z/", "B.example/x/", "c.example/only/here/"))
	for hostPath, want := range map[string]string{
		"a.example /": "r0", "a.example /q": "r0", "a.example /x": "r0", "a.example /x/": "r1", "a.example /x/y/zz": "r1",
		"a.example /x/y/z/1/2": "r2", "A.Example:8080 /x/1": "r1", "b.example /x/1": "r3",
		"b.EXAMPLE /y": "", "c.example /only/here": "", "c.example /only/here/": "r4",
		"d.example /x/": "", "a.example ": "", " /x/": "", "a.example x/": "", "a.example //x/": "r0", "a.example /X/": "r0",
	} {
		host, path, _ := strings.Cut(hostPath, " ")
		r, ok := table.Match(host, path)
		if ok != (want != "") || ok && r.Name != want {
			t.Errorf("%s: matched %v, expected %q", hostPath, r, want)
		}
	}
	if r, ok := table.Named("r3"); !ok || r.Host != "B.example" || table.Len() != 5 {
		t.Errorf("route r3 is %v; the table has %d routes, expected 5", r, table.Len())
	}
}

// Match agrees with a linear search of all routes.
func TestMatchAgreesWithLinearSearch(t *testing.T) {
	segment := rapid.SampledFrom([]string{"", "a", "b", "ab"})
	path := rapid.Custom(func(t *rapid.T) string {
		return "/" + strings.Join(rapid.SliceOfN(segment, 0, 5).Draw(t, "pieces"), "/")
	})
	rapid.Check(t, func(t *rapid.T) {
		p := planOf(rapid.SliceOfNDistinct(path, 0, 20, rapid.ID).Draw(t, "prefixes")...) // hosts are empty
		for i := range p.Routes {
			p.Routes[i].Host = rapid.SampledFrom([]string{"h", "H", "i"}).Draw(t, "host")
		}
		table := New(p)
		for range 20 {
			requestPath, host := path.Draw(t, "path"), rapid.SampledFrom([]string{"h:1", "I", "j"}).Draw(t, "at")
			want := ""
			longest := -1
			for _, r := range p.Routes {
				sameHost := fleetconfig.NormalizeHost(r.Host) == fleetconfig.NormalizeHost(host)
				if sameHost && strings.HasPrefix(requestPath, r.Prefix) && len(r.Prefix) > longest {
					want, longest = r.Name, len(r.Prefix)
				}
			}
			r, ok := table.Match(host, requestPath)
			if ok != (longest >= 0) || ok && r.Name != want {
				t.Fatalf("%s%s: matched %v, expected %q", host, requestPath, r, want)
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
	for random := uint64(0); random < 1<<63; random += step {
		got[Pick(r, 2*random)]++
	}
	picks := 1 << 13
	if got["a"]+got["b"] != picks || got["a"] < picks*89/100 || got["a"] > picks*91/100 {
		t.Errorf("%v", got)
	}
	if s := Pick(r, 1<<64-1); s != "b" {
		t.Errorf("highest random bits: picked %q", s)
	}
	if s := Pick(&fleetconfig.Route{}, 7); s != "" {
		t.Errorf("route without services: picked %q", s)
	}
}

func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{10, 5000} {
		var hostPrefixes []string
		for i := range n {
			hostPrefixes = append(hostPrefixes, fmt.Sprintf("h%d.example/p%d/", i%7, i))
		}
		table := New(planOf(hostPrefixes...))
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				if _, ok := table.Match("h3.example:80", "/p3/some/longer/path/1"); !ok {
					b.Fatal("not found")
				}
			}
		})
	}
}
