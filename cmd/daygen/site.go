package main

import (
	"fmt"
	"math"
	"os"

	"github.com/BurntSushi/toml"
)

// exampleSpread is the maximum deviation of a drawn value from the site's example, as
// a fraction of the example.
const exampleSpread = 0.3

// Entry is an entry of a site's list of troubles or of a day's plan or faults.
type Entry struct {
	At      float64  `toml:"at"`
	Kind    string   `toml:"kind"`
	On      string   `toml:"on"`
	Service string   `toml:"service"`
	Class   string   `toml:"class"`
	Share   *float64 `toml:"share"`
	Count   *float64 `toml:"count"`
	X       *float64 `toml:"x"`
	ForS    *float64 `toml:"for_s"`
	GapS    *float64 `toml:"gap_s"`
	How     string   `toml:"how"`
}

// Site is the part of a site file that daygen uses.
type Site struct {
	Name     string  `toml:"name"`
	LengthS  float64 `toml:"length_s"`
	Troubles []Entry `toml:"troubles"`
	Timing   struct {
		CatchUpS float64 `toml:"catch_up_s"`
	} `toml:"timing"`
	Bounds struct {
		TouchMs float64 `toml:"touch_ms"`
	} `toml:"bounds"`
	Days []struct {
		Slot string         `toml:"slot"`
		One  float64        `toml:"one"`
		Zero float64        `toml:"zero"`
		Goal map[string]any `toml:"goal"`
		Wall float64        `toml:"wall"`
		Plan []Entry        `toml:"plan"`
	} `toml:"day"`
}

// ReadSite reads a site file and checks the fields that daygen uses.
func ReadSite(path string) (Site, error) {
	var s Site
	text, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	if _, err := toml.Decode(string(text), &s); err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	switch {
	case s.Name == "":
		return s, fmt.Errorf("%s: not a site file: it has no name", path)
	case !(s.LengthS > 0):
		return s, fmt.Errorf("%s: length_s %v: expected above 0", path, s.LengthS)
	case s.Timing.CatchUpS < 0 || s.Bounds.TouchMs < 0:
		return s, fmt.Errorf("%s: catch_up_s and touch_ms: expected 0 or more", path)
	}
	return s, nil
}

// Table derives a table of kinds from the site's list of troubles: each entry becomes
// a kind, with ranges around the entry's numbers. A kind is planned if one of the
// site's days lists it under plan. The site file does not say what a kind loses, so
// every unplanned kind without a service or class is assumed to lose a machine.
func (s Site) Table() Table {
	planned := map[string]bool{}
	for _, d := range s.Days {
		for _, e := range d.Plan {
			planned[e.Kind] = true
		}
	}
	var t Table
	for _, e := range s.Troubles {
		k := Kind{
			Name:    e.Kind,
			Planned: planned[e.Kind],
			Storm:   planned[e.Kind] && e.isStorm(),
			How:     listOf(e.How),
			On:      listOf(e.On),
			Service: listOf(e.Service),
			Class:   listOf(e.Class),
			Share:   rangeAround(e.Share, 1),
			Count:   rangeOf(e.Count),
			X:       rangeAround(e.X, math.Inf(1)),
			ForS:    rangeAround(e.ForS, math.Inf(1)),
			GapS:    rangeAround(e.GapS, math.Inf(1)),
		}
		if !k.Planned && len(k.Service) == 0 && len(k.Class) == 0 {
			k.Loses = losesMachine
		}
		t.Kinds = append(t.Kinds, k)
	}
	return t
}

// isStorm reports whether an entry only makes changes at intervals of gap_s for for_s.
func (e Entry) isStorm() bool {
	return e.GapS != nil && e.ForS != nil && e.Share == nil && e.X == nil
}

// listOf returns a list of one word, or nil for "".
func listOf(word string) []string {
	if word == "" {
		return nil
	}
	return []string{word}
}

// rangeOf returns the range that consists of one value, or nil for nil.
func rangeOf(v *float64) Range {
	if v == nil {
		return nil
	}
	return Range{*v}
}

// rangeAround returns the range around an example's value, limited to highest, or nil
// for nil.
func rangeAround(v *float64, highest float64) Range {
	if v == nil {
		return nil
	}
	return Range{*v * (1 - exampleSpread), min(*v*(1+exampleSpread), highest)}
}

// dayMarks are the values that a day is judged by, named as in the site file.
type dayMarks struct {
	one, zero, floor, wall float64
}

// hardestDay returns the marks for a drawn day: those of the site's hardest day, which
// is the one with the lowest floor, and the longest wall of all days.
func (s Site) hardestDay() (marks dayMarks) {
	for i, day := range s.Days {
		floor, _ := day.Goal["floor"].(float64)
		if i == 0 || floor < marks.floor {
			marks.one, marks.zero, marks.floor = day.One, day.Zero, floor
		}
		marks.wall = max(marks.wall, day.Wall)
	}
	return marks
}
