package main

import (
	"fmt"
	"strconv"
	"strings"
)

// String returns the day as TOML, in the format of the days in a site file.
func (d Day) String() string {
	var b strings.Builder
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(&b, format+"\n", args...) }
	line("# Drawn by daygen for %s: seed %d, %d losses one after the other, %d changes in storms.",
		d.Site, d.Request.Seed, d.Losses, d.StormChanges)
	line("[[day]]")
	line("name = %s", quote(fmt.Sprintf("drawn-%d", d.Request.Seed)))
	line("slot = \"trouble\"")
	line("seed = %d", d.Request.Seed)
	line("length_s = %s", formatNumber(d.Seconds))
	if d.Closing != "" {
		how := ""
		if d.ClosingHow != "" {
			how = ", how = " + quote(d.ClosingHow)
		}
		line("closing = { kind = %s, down_s = %s%s }", quote(d.Closing), formatNumber(d.ClosingDownS), how)
	}
	line("one = %s", formatNumber(d.One))
	line("zero = %s", formatNumber(d.Zero))
	line("goal = { floor = %s }", formatNumber(d.Floor))
	line("labels = []")
	line("wall = %s", formatNumber(d.Wall))
	line("light = true")
	for _, list := range []struct {
		name    string
		entries []Entry
	}{{"plan", d.Plan}, {"faults", d.Faults}} {
		line("%s = [", list.name)
		for _, e := range list.entries {
			line("  %s,", e)
		}
		line("]")
	}
	return b.String()
}

// String returns the entry as a TOML inline table.
func (e Entry) String() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "{ at = %s, kind = %s", formatNumber(e.At), quote(e.Kind))
	for _, f := range []struct {
		name  string
		value *float64
	}{{"share", e.Share}, {"count", e.Count}, {"x", e.X}, {"for_s", e.ForS}, {"gap_s", e.GapS}} {
		if f.value != nil {
			_, _ = fmt.Fprintf(&b, ", %s = %s", f.name, formatNumber(*f.value))
		}
	}
	for _, f := range []struct{ name, value string }{
		{"on", e.On}, {"service", e.Service}, {"class", e.Class}, {"how", e.How},
	} {
		if f.value != "" {
			_, _ = fmt.Fprintf(&b, ", %s = %s", f.name, quote(f.value))
		}
	}
	return b.String() + " }"
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// quote returns a TOML basic string. Go's quoting is sufficient because names and
// variants are plain words.
func quote(s string) string { return strconv.Quote(s) }
