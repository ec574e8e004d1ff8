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

// folder holds a site file and a table, and gives their paths.
func folder(t *testing.T, site, table string) (string, string) {
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

// drawn is the day that the arguments ask for.
func drawn(t *testing.T, args ...string) string {
	t.Helper()
	var out, bad bytes.Buffer
	if code := run(args, &out, &bad); code != exitDrawn {
		t.Fatalf("%v: exit code %d: %s", args, code, bad.String())
	}
	return out.String()
}

// readDay reads a day back from its text.
func readDay(t *testing.T, text string) (plan, faults []Trouble, seconds float64) {
	t.Helper()
	var file struct {
		Day []struct {
			Seconds float64   `toml:"length_s"`
			Plan    []Trouble `toml:"plan"`
			Faults  []Trouble `toml:"faults"`
		} `toml:"day"`
	}
	if _, err := toml.Decode(text, &file); err != nil || len(file.Day) != 1 {
		t.Fatalf("%d days, %v in\n%s", len(file.Day), err, text)
	}
	return file.Day[0].Plan, file.Day[0].Faults, file.Day[0].Seconds
}

func TestSameSeedGivesSameBytes(t *testing.T) {
	site, kinds := folder(t, siteFile, tableFile)
	draw := func(seed string) string {
		return drawn(t, "-site", site, "-kinds", kinds, "-twice", "-changes", "150", "-seconds", "120",
			"-closing", "any", "-seed", seed)
	}
	first, again, other := draw("7"), draw("7"), draw("8")
	if first != again || first == other {
		t.Fatalf("same seed alike: %v; another seed alike: %v", first == again, first == other)
	}
}

func TestDayHoldsWhatIsRequested(t *testing.T) {
	site, kinds := folder(t, siteFile, tableFile)
	for seed := range 40 {
		plan, faults, seconds := readDay(t, drawn(t, "-site", site, "-kinds", kinds, "-twice", "-changes", "200",
			"-entries", "9", "-seconds", "0", "-seed", strconv.Itoa(seed)))
		seen, changes := map[string]int{}, 0
		for _, e := range append(plan, faults...) {
			seen[e.Kind]++
			if e.At < quietStart || e.At > seconds-quietEnd {
				t.Errorf("%s at %v of a day of %v s", e.Kind, e.At, seconds)
			}
			if e.Kind == "notice" {
				changes += int(*e.Count)
			}
		}
		checkLossesFollow(t, faults)
		if seen["quake"] < 2 || seen["flood"] < 2 || changes < 200 {
			t.Errorf("kinds %v, %d changes", seen, changes)
		}
	}
}

// checkLossesFollow checks that no loss begins before the one before it is over
// and has caught up.
func checkLossesFollow(t *testing.T, faults []Trouble) {
	t.Helper()
	free := 0.0 // when the next loss may begin
	for _, e := range faults {
		if e.Kind == "rush" {
			continue
		}
		if e.At < free {
			t.Errorf("%s at %v, while one is lost or catches up until %v", e.Kind, e.At, free)
		}
		free = e.At + *e.ForS + 4
	}
}

func TestTableOfSitesOwnTroubles(t *testing.T) {
	site, _ := folder(t, siteFile, tableFile)
	plan, faults, _ := readDay(t, drawn(t, "-site", site, "-entries", "30", "-seconds", "0", "-changes", "10"))
	for _, e := range plan {
		if e.Kind != "notice" {
			t.Errorf("%s stands under plan, but in no day of the site", e.Kind)
		}
	}
	for _, e := range faults {
		if e.Kind == "quake" && (e.How != "deep" || *e.Share < 0.13 || *e.Share > 0.27) {
			t.Errorf("%s isn't like the site's example", e)
		}
	}
	if len(plan) == 0 || len(faults) == 0 {
		t.Errorf("%d planned, %d faults", len(plan), len(faults))
	}
}

func TestErrorNamesWhatIsWrong(t *testing.T) {
	site, kinds := folder(t, siteFile, tableFile)
	broken := func(table string) string { _, k := folder(t, siteFile, table); return k }
	for _, c := range []struct {
		args []string
		code int
		says string
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
		var out, bad bytes.Buffer
		if code := run(c.args, &out, &bad); code != c.code || !strings.Contains(bad.String(), c.says) || out.Len() > 0 {
			t.Errorf("%v: code %d (%d), %q lacks %q, or a day was written", c.args, code, c.code, bad.String(), c.says)
		}
	}
}

func TestKindsFileIsValid(t *testing.T) {
	table, err := ReadTable("kinds.toml")
	if err != nil {
		t.Fatal(err)
	}
	site, _ := folder(t, siteFile, tableFile)
	for _, closing := range []string{"none", "any", table.Closings[0].Kind} {
		text := drawn(t, "-site", site, "-kinds", "kinds.toml", "-twice", "-changes", "300", "-seconds", "0",
			"-closing", closing)
		_, _, seconds := readDay(t, text)
		if seconds < 60 || strings.Contains(text, "closing =") == (closing == "none") {
			t.Errorf("closing %s: %v s\n%s", closing, seconds, text)
		}
	}
}
