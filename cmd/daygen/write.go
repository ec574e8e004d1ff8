package main

import (
	"fmt"
	"strconv"
	"strings"
)

// String writes the day as TOML, as a site file holds its own days.
func (d Day) String() string {
	var b strings.Builder
	line := func(form string, of ...any) { _, _ = fmt.Fprintf(&b, form+"\n", of...) }
	line("# Drawn by daygen for %s: seed %d, %d losses one after the other, %d changes in storms.", d.Site, d.Wish.Seed, d.Lost, d.Changes)
	line("[[day]]")
	line("name = %s", quote(fmt.Sprintf("drawn-%d", d.Wish.Seed)))
	line("slot = \"trouble\"")
	line("seed = %d", d.Wish.Seed)
	line("length_s = %s", short(d.Seconds))
	if d.Closing != "" {
		how := ""
		if d.ClosingHow != "" {
			how = ", how = " + quote(d.ClosingHow)
		}
		line("closing = { kind = %s, down_s = %s%s }", quote(d.Closing), short(d.ClosingDownS), how)
	}
	line("one = %s", short(d.One))
	line("zero = %s", short(d.Zero))
	line("goal = { floor = %s }", short(d.Floor))
	line("labels = []")
	line("wall = %s", short(d.Wall))
	line("light = true")
	for _, list := range []struct {
		name string
		of   []Trouble
	}{{"plan", d.Plan}, {"faults", d.Faults}} {
		line("%s = [", list.name)
		for _, t := range list.of {
			line("  %s,", t)
		}
		line("]")
	}
	return b.String()
}

// String writes an entry as an inline table.
func (t Trouble) String() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "{ at = %s, kind = %s", short(t.At), quote(t.Kind))
	for _, f := range []struct {
		name string
		of   *float64
	}{{"share", t.Share}, {"count", t.Count}, {"x", t.X}, {"for_s", t.ForS}, {"gap_s", t.GapS}} {
		if f.of != nil {
			_, _ = fmt.Fprintf(&b, ", %s = %s", f.name, short(*f.of))
		}
	}
	for _, f := range []struct{ name, of string }{{"on", t.On}, {"service", t.Service}, {"class", t.Class}, {"how", t.How}} {
		if f.of != "" {
			_, _ = fmt.Fprintf(&b, ", %s = %s", f.name, quote(f.of))
		}
	}
	return b.String() + " }"
}

func short(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// quote writes a basic string; names and variants hold plain words.
func quote(s string) string { return strconv.Quote(s) }
