package main

import (
	"fmt"
	"os"

	"github.com/BurntSushi/toml"
)

// spread is how far a value drawn after a site's example may lie from it, as a
// part of it.
const spread = 0.3

// Trouble is an entry of a site's list, or of a day.
type Trouble struct {
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

// Site is what a day takes from its site file.
type Site struct {
	Name     string    `toml:"name"`
	LengthS  float64   `toml:"length_s"`
	Troubles []Trouble `toml:"troubles"`
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
		Plan []Trouble      `toml:"plan"`
	} `toml:"day"`
}

// ReadSite reads and checks what is needed of a site file.
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

// Table makes kinds of the site's own list of troubles: each entry is a kind,
// its numbers are drawn around the example's. What stands under plan in one of
// the site's days counts as planned; what a kind takes with it isn't said there,
// so each that is on machines is taken to lose one.
func (s Site) Table() Table {
	planned := map[string]bool{}
	for _, d := range s.Days {
		for _, t := range d.Plan {
			planned[t.Kind] = true
		}
	}
	var t Table
	for _, e := range s.Troubles {
		k := Kind{
			Name: e.Kind, Planned: planned[e.Kind], Storm: e.GapS != nil && e.ForS != nil && e.Share == nil && e.X == nil && planned[e.Kind],
			How: one(e.How), On: one(e.On), Of: one(e.Service), Class: one(e.Class),
			Share: around(e.Share, 1), Count: exactly(e.Count), X: around(e.X, 0), ForS: around(e.ForS, 0), GapS: around(e.GapS, 0),
		}
		if !k.Planned && len(k.Of) == 0 && len(k.Class) == 0 {
			k.Loses = loseMachine
		}
		t.Kinds = append(t.Kinds, k)
	}
	return t
}

func one(s string) []string {
	if s == "" {
		return nil
	}
	return []string{s}
}

func exactly(v *float64) Range {
	if v == nil {
		return nil
	}
	return Range{*v}
}

func around(v *float64, most float64) Range {
	if v == nil {
		return nil
	}
	high := *v * (1 + spread)
	if most > 0 {
		high = min(high, most)
	}
	return Range{*v * (1 - spread), high}
}

// marks gives the marks of the site's hardest day: what a day of its own is
// judged by.
func (s Site) marks() (one, zero, floor, wall float64) {
	for i, d := range s.Days {
		f, _ := d.Goal["floor"].(float64)
		if i == 0 || f < floor {
			one, zero, floor = d.One, d.Zero, f
		}
		wall = max(wall, d.Wall)
	}
	return one, zero, floor, wall
}
