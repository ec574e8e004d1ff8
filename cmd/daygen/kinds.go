package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
)

// Range is the range that a number is drawn from: a single value, or the lowest and
// the highest.
type Range []float64

// Values of Kind.Loses: what is lost while an entry of the kind lasts.
const (
	losesNothing = ""
	losesMachine = "machine"
	losesZone    = "zone"
	losesAll     = "all" // every counted machine, regardless of how many may be lost at once
)

// defaultLossSeconds is the length of a loss if neither its entry nor the table sets it.
const defaultLossSeconds = 5.0

// Kind is a kind of entry: the list it belongs to, what it loses, and the ranges and
// words that its fields are drawn from. A field without a range is omitted.
type Kind struct {
	Name    string `toml:"name"`
	Planned bool   `toml:"planned"` // belongs to plan, otherwise to faults
	Control bool   `toml:"control"` // affects the control plane; drawn at least twice with -twice
	Storm   bool   `toml:"storm"`   // makes `count` changes, gap_s apart
	Loses   string `toml:"loses"`   // machine, zone, all, or nothing
	// LastsS is the minimum length of the loss, which for_s may exceed.
	LastsS  float64  `toml:"lasts_s"`
	Weight  *int     `toml:"weight"` // 1 if left out; 0: only by -twice or -changes
	How     []string `toml:"how"`
	On      []string `toml:"on"`
	Service []string `toml:"service"`
	Class   []string `toml:"class"`
	Share   Range    `toml:"share"`
	Count   Range    `toml:"count"`
	X       Range    `toml:"x"`
	ForS    Range    `toml:"for_s"`
	GapS    Range    `toml:"gap_s"`
}

// Closing is a fault that may end a day.
type Closing struct {
	Kind  string   `toml:"kind"`
	How   []string `toml:"how"`
	DownS Range    `toml:"down_s"`
}

// Table lists the kinds that a day is drawn from.
type Table struct {
	Kinds    []Kind    `toml:"kind"`
	Closings []Closing `toml:"closing"`
}

// ReadTable reads and checks a table of kinds.
func ReadTable(path string) (Table, error) {
	var t Table
	text, err := os.ReadFile(path)
	if err != nil {
		return t, err
	}
	meta, err := toml.Decode(string(text), &t)
	if err != nil {
		return t, fmt.Errorf("%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return t, fmt.Errorf("%s: %s: no such field", path, unknown[0])
	}
	if err := t.check(); err != nil {
		return t, fmt.Errorf("%s: %w", path, err)
	}
	return t, nil
}

// check returns an error for the first invalid entry of the table.
func (t Table) check() error {
	if len(t.Kinds) == 0 {
		return fmt.Errorf("no [[kind]] is listed")
	}
	for i, k := range t.Kinds {
		if k.Name == "" {
			return fmt.Errorf("kind %d: name is needed", i+1)
		}
		if err := k.check(); err != nil {
			return fmt.Errorf("kind %s: %w", k.Name, err)
		}
	}
	for i, c := range t.Closings {
		if c.Kind == "" {
			return fmt.Errorf("closing %d: kind is needed", i+1)
		}
		if err := c.DownS.check("down_s", 0); err != nil {
			return fmt.Errorf("closing %s: %w", c.Kind, err)
		}
	}
	return nil
}

// check returns an error if the kind is invalid.
func (k Kind) check() error {
	switch {
	case !slices.Contains([]string{losesNothing, losesMachine, losesZone, losesAll}, k.Loses):
		return fmt.Errorf("loses %q: expected machine, zone or all", k.Loses)
	case k.Weight != nil && *k.Weight < 0:
		return fmt.Errorf("weight %d: expected 0 or more", *k.Weight)
	case k.LastsS < 0:
		return fmt.Errorf("lasts_s %v: expected 0 or more", k.LastsS)
	case k.Storm && len(k.GapS) == 0:
		return fmt.Errorf("a storm needs gap_s")
	}
	for name, r := range map[string]Range{
		"count": k.Count, "x": k.X, "for_s": k.ForS, "gap_s": k.GapS, "share": k.Share,
	} {
		if err := r.check(name, 0); err != nil {
			return err
		}
	}
	if len(k.Share) > 0 && k.Share[len(k.Share)-1] > 1 {
		return fmt.Errorf("share %v: expected 1 at most", []float64(k.Share))
	}
	return nil
}

// check returns an error if the range is malformed or has values below least.
func (r Range) check(name string, least float64) error {
	switch {
	case len(r) > 2:
		return fmt.Errorf("%s %v: expected one value, or lowest and highest", name, []float64(r))
	case len(r) == 2 && !(r[0] <= r[1]):
		return fmt.Errorf("%s %v: the lowest is above the highest", name, []float64(r))
	case len(r) > 0 && !(r[0] >= least):
		return fmt.Errorf("%s %v: expected %v or more", name, []float64(r), least)
	}
	return nil
}

// draw returns a random value of the range, or false if the range is empty.
func (r Range) draw(random *rand.Rand) (float64, bool) {
	switch len(r) {
	case 0:
		return 0, false
	case 1:
		return r[0], true
	}
	return r[0] + random.Float64()*(r[1]-r[0]), true
}

// weight returns the relative frequency of the kind.
func (k Kind) weight() int {
	if k.Weight == nil {
		return 1
	}
	return *k.Weight
}

// Pick returns the table with only the kinds in only (all if empty) that are not in
// without. An unknown name is an error.
func (t Table) Pick(only, without []string) (Table, error) {
	known := func(name string) bool {
		return slices.ContainsFunc(t.Kinds, func(k Kind) bool { return k.Name == name })
	}
	for _, name := range append(slices.Clone(only), without...) {
		if !known(name) {
			return t, fmt.Errorf("kind %q isn't in the table", name)
		}
	}
	kept := Table{Closings: t.Closings}
	for _, k := range t.Kinds {
		if (len(only) == 0 || slices.Contains(only, k.Name)) && !slices.Contains(without, k.Name) {
			kept.Kinds = append(kept.Kinds, k)
		}
	}
	if len(kept.Kinds) == 0 {
		return t, fmt.Errorf("no kind is left to draw from")
	}
	return kept, nil
}

// closing returns the faults that may end a day: none, any, or the one named.
func (t Table) closing(name string) ([]Closing, error) {
	switch name {
	case "", "none":
		return nil, nil
	case "any":
		if len(t.Closings) == 0 {
			return nil, fmt.Errorf("-closing any: the table lists no [[closing]]")
		}
		return t.Closings, nil
	}
	var known []string
	for _, c := range t.Closings {
		if c.Kind == name {
			return []Closing{c}, nil
		}
		known = append(known, c.Kind)
	}
	return nil, fmt.Errorf("-closing %q: expected any, none or one of [%s]", name, strings.Join(known, " "))
}
