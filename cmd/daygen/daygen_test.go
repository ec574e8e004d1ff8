package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

const siteFile = `
name = "harbour"
length_s = 30.0
troubles = [
  { kind = "quake", share = 0.2, for_s = 4.0, how = "deep" },
  { kind = "notice", for_s = 4.0, gap_s = 0.3 },
  { kind = "rush", class = "letters", x = 2.0, for_s = 5.0 },
]
[timing]
catch_up_s = 4.0
[[day]]
one = 0.8
zero = 0.4
goal = { floor = 0.5 }
wall = 2.0
plan = [ { at = 1.0, kind = "notice", for_s = 3.0, gap_s = 0.2 } ]
[[day]]
one = 0.7
zero = 0.3
goal = { floor = 0.45 }
wall = 3.0
`

const tableFile = `
kind = [
  { name = "quake", control = true, share = [0.1, 0.3], for_s = [2, 4], how = ["", "deep"], loses = "machine" },
  { name = "flood", control = true, for_s = [1, 2], loses = "zone", weight = 0 },
  { name = "notice", planned = true, storm = true, count = [2, 9], gap_s = [0.05, 0.2] },
  { name = "rush", x = [1.5, 2], for_s = [3, 5] },
]
closing = [ { kind = "night", down_s = [1, 2], how = ["", "dark"] } ]
`

// writeFiles writes a site file and a table of kinds and returns their paths.
func writeFiles(t *testing.T, site, table string) (string, string) {
	t.Helper()
	dir := t.TempDir()
	s, k := filepath.Join(dir, "site.toml"), filepath.Join(dir, "kinds.toml")
	for path, text := range map[string]string{s: site, k: table} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return s, k
}

// drawDay runs daygen with the arguments and returns its output.
func drawDay(t *testing.T, args ...string) string {
	t.Helper()
	var out, stderr bytes.Buffer
	if code := run(args, &out, &stderr); code != exitDrawn {
		t.Fatalf("%v: exit code %d: %s", args, code, stderr.String())
	}
	return out.String()
}

// readDay parses the output of daygen.
func readDay(t *testing.T, text string) (plan, faults []Entry, seconds float64) {
	t.Helper()
	var file struct {
		Day []struct {
			Seconds float64 `toml:"length_s"`
			Plan    []Entry `toml:"plan"`
			Faults  []Entry `toml:"faults"`
		} `toml:"day"`
	}
	if _, err := toml.Decode(text, &file); err != nil || len(file.Day) != 1 {
		t.Fatalf("found %d days, want 1 (%v), in\n%s", len(file.Day), err, text)
	}
	return file.Day[0].Plan, file.Day[0].Faults, file.Day[0].Seconds
}

func TestSameSeedGivesSameOutput(t *testing.T) {
	site, kinds := writeFiles(t, siteFile, tableFile)
	draw := func(seed string) string {
		return drawDay(t, "-site", site, "-kinds", kinds, "-twice", "-changes", "150", "-seconds", "120",
			"-closing", "any", "-seed", seed)
	}
	first, again, other := draw("7"), draw("7"), draw("8")
	if first != again || first == other {
		t.Fatalf("same seed gave equal output: %v; another seed gave equal output: %v", first == again, first == other)
	}
}

func TestDayMatchesRequest(t *testing.T) {
	site, kinds := writeFiles(t, siteFile, tableFile)
	for seed := range 40 {
		plan, faults, seconds := readDay(t, drawDay(t, "-site", site, "-kinds", kinds, "-twice", "-changes", "200",
			"-entries", "9", "-seconds", "0", "-seed", strconv.Itoa(seed)))
		kindCounts, changes := map[string]int{}, 0
		for _, e := range append(plan, faults...) {
			kindCounts[e.Kind]++
			if e.At < quietStart || e.At > seconds-quietEnd {
				t.Errorf("%s at %v s is in the quiet start or end of a day of %v s", e.Kind, e.At, seconds)
			}
			if e.Kind == "notice" {
				changes += int(*e.Count)
			}
		}
		checkLossesDoNotOverlap(t, faults)
		if kindCounts["quake"] < 2 || kindCounts["flood"] < 2 || changes < 200 {
			t.Errorf("entries by kind %v, want 2 of quake and flood; %d changes, want 200", kindCounts, changes)
		}
	}
}

// checkLossesDoNotOverlap checks that each loss begins after the previous one has
// ended and its machines have caught up.
func checkLossesDoNotOverlap(t *testing.T, faults []Entry) {
	t.Helper()
	earliest := 0.0 // earliest time of the next loss
	for _, e := range faults {
		if e.Kind == "rush" {
			continue
		}
		if e.At < earliest {
			t.Errorf("%s at %v begins before the previous loss has caught up at %v", e.Kind, e.At, earliest)
		}
		earliest = e.At + *e.ForS + 4
	}
}

func TestTableDerivedFromSite(t *testing.T) {
	site, _ := writeFiles(t, siteFile, tableFile)
	plan, faults, _ := readDay(t, drawDay(t, "-site", site, "-entries", "30", "-seconds", "0", "-changes", "10"))
	for _, e := range plan {
		if e.Kind != "notice" {
			t.Errorf("%s is listed under plan, but in no plan of the site", e.Kind)
		}
	}
	for _, e := range faults {
		if e.Kind == "quake" && (e.How != "deep" || *e.Share < 0.13 || *e.Share > 0.27) {
			t.Errorf("%s is outside the range around the site's example", e)
		}
	}
	if len(plan) == 0 || len(faults) == 0 {
		t.Errorf("%d planned entries, %d faults, want some of each", len(plan), len(faults))
	}
}

func TestErrorNamesTheProblem(t *testing.T) {
	site, kinds := writeFiles(t, siteFile, tableFile)
	broken := func(table string) string { _, k := writeFiles(t, siteFile, table); return k }
	for _, c := range []struct {
		args    []string
		code    int
		message string
	}{
		{nil, exitUsage, "-site is needed"},
		{[]string{"-site", site, "more"}, exitUsage, "no arguments"},
		{[]string{"-site", site, "-seconds", "NaN"}, exitUsage, "-seconds"},
		{[]string{"-site", site, "-seconds", "5"}, exitUsage, "10 to 3600"},
		{[]string{"-site", site, "-changes", "-1"}, exitUsage, "-changes"},
		{[]string{"-site", site, "-entries", "501"}, exitUsage, "-entries"},
		{[]string{"-site", site, "-colour"}, exitUsage, "-colour"},
		{[]string{"-site", site + "x"}, exitFailed, "no such file"},
		{[]string{"-site", kinds}, exitFailed, "no name"},
		{[]string{"-site", site, "-kinds", broken(`kind = [ { name = "a", colour = 1 } ]`)}, exitFailed, "colour"},
		{[]string{"-site", site, "-kinds", broken(`kind = [ { name = "a", x = [2, 1] } ]`)}, exitFailed, "lowest is above"},
		{
			[]string{"-site", site, "-kinds", broken(`kind = [ { name = "a", share = [0.5, 1.5] } ]`)},
			exitFailed, "1 at most",
		},
		{
			[]string{"-site", site, "-kinds", broken(`kind = [ { name = "a", loses = "heart" } ]`)},
			exitFailed, "machine, zone or all",
		},
		{[]string{"-site", site, "-kinds", broken(`kind = [ { name = "a", storm = true } ]`)}, exitFailed, "needs gap_s"},
		{[]string{"-site", site, "-kinds", broken(``)}, exitFailed, "no [[kind]]"},
		{[]string{"-site", site, "-kinds", kinds, "-without", "frost"}, exitFailed, `"frost" isn't in the table`},
		{[]string{"-site", site, "-kinds", kinds, "-only", "rush", "-without", "rush"}, exitFailed, "no kind is left"},
		{[]string{"-site", site, "-kinds", kinds, "-only", "rush", "-twice"}, exitFailed, "marked control"},
		{[]string{"-site", site, "-kinds", kinds, "-only", "flood"}, exitFailed, "weight 0"},
		{[]string{"-site", site, "-kinds", kinds, "-only", "rush", "-changes", "3"}, exitFailed, "marked storm"},
		{[]string{"-site", site, "-kinds", kinds, "-closing", "dawn"}, exitFailed, "night"},
		{
			[]string{"-site", site, "-kinds", kinds, "-only", "quake", "-entries", "20", "-seconds", "60"},
			exitFailed, "need -seconds",
		},
	} {
		var out, stderr bytes.Buffer
		if code := run(c.args, &out, &stderr); code != c.code || !strings.Contains(stderr.String(), c.message) || out.Len() > 0 {
			t.Errorf("%v: exit code %d, want %d; %q lacks %q, or a day was written", c.args, code, c.code, stderr.String(), c.message)
		}
	}
}

func TestKindsFileIsValid(t *testing.T) {
	table, err := ReadTable("kinds.toml")
	if err != nil {
		t.Fatal(err)
	}
	site, _ := writeFiles(t, siteFile, tableFile)
	for _, closing := range []string{"none", "any", table.Closings[0].Kind} {
		text := drawDay(t, "-site", site, "-kinds", "kinds.toml", "-twice", "-changes", "300", "-seconds", "0",
			"-closing", closing)
		_, _, seconds := readDay(t, text)
		if seconds < 60 || strings.Contains(text, "closing =") == (closing == "none") {
			t.Errorf("closing %s: %v s\n%s", closing, seconds, text)
		}
	}
}
