package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
)

// Bounds of what may be asked for.
const (
	shortestDay = 10.0
	longestDay  = 3600.0
	mostChanges = 5000
	mostEntries = 500
)

// How a day is laid out, in seconds and parts.
const (
	quietStart = 1.0  // before the first entry
	quietEnd   = 6.0  // after the last one's beginning
	slack      = 1.0  // beyond catching up, between a loss's end and the next
	looseness  = 0.5  // and a part of catching up more, by luck
	stormSize  = 60.0 // changes that one storm brings at most
	atPlaces   = 100.0
)

// Wish is what a day shall hold.
type Wish struct {
	Seed    uint64
	Seconds float64 // 0: as long as the entries need
	Changes int
	Entries int
	Twice   bool
	Closing []Closing
}

// Day is a day of trouble.
type Day struct {
	Site          string
	Wish          Wish
	Seconds       float64
	One, Zero     float64
	Floor, Wall   float64
	Plan, Faults  []Trouble
	Closing       string
	ClosingHow    string
	ClosingDownS  float64
	Changes, Lost int
}

// drawer holds what one drawing of a day needs.
type drawer struct {
	site  Site
	wish  Wish
	luck  *rand.Rand
	day   *Day
	clear float64 // when the next loss may begin
}

// Draw lays out a day of kinds from the table. Entries that lose counted
// machines or zones follow each other: the next begins when the machines of the
// one before are back and had the time that the site gives them to catch up.
// Everything else may come at any moment.
func Draw(site Site, table Table, wish Wish) (Day, error) {
	one, zero, floor, wall := site.marks()
	d := &drawer{
		site: site, wish: wish, luck: rand.New(rand.NewPCG(wish.Seed, uint64(len(table.Kinds)))), clear: quietStart,
		day: &Day{Site: site.Name, Wish: wish, One: one, Zero: zero, Floor: floor},
	}
	drawn, err := d.choose(table)
	if err != nil {
		return Day{}, err
	}
	if err := d.lay(drawn); err != nil {
		return Day{}, err
	}
	if err := d.storms(table); err != nil {
		return Day{}, err
	}
	d.close()
	d.day.Wall = tidy(max(wall, 1) * math.Ceil(d.day.Seconds/site.LengthS))
	for _, list := range [][]Trouble{d.day.Plan, d.day.Faults} {
		sort.SliceStable(list, func(i, j int) bool { return list[i].At < list[j].At })
	}
	return *d.day, nil
}

// choose draws the kinds of the day, in the order in which losses follow.
func (d *drawer) choose(table Table) ([]Kind, error) {
	var drawn, pot []Kind
	for _, k := range table.Kinds {
		if d.wish.Twice && k.Control {
			drawn = append(drawn, k, k)
		}
		for range k.weight() {
			pot = append(pot, k)
		}
	}
	if d.wish.Twice && len(drawn) == 0 {
		return nil, fmt.Errorf("-twice: no kind of the table is marked control")
	}
	if d.wish.Entries > 0 && len(pot) == 0 {
		return nil, fmt.Errorf("-entries %d: every kind of the table has weight 0", d.wish.Entries)
	}
	for range d.wish.Entries {
		drawn = append(drawn, pot[d.luck.IntN(len(pot))])
	}
	d.luck.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	return drawn, nil
}

// lay gives each entry its moment: first the losses, one after the other, then
// the rest between the day's start and end.
func (d *drawer) lay(drawn []Kind) error {
	var rest []Kind
	for _, k := range drawn {
		if k.Loses == loseNothing {
			rest = append(rest, k)
			continue
		}
		t := d.entry(k)
		t.At = tidy(d.clear)
		d.clear += d.lasts(k, t) + d.site.Timing.CatchUpS*(1+looseness*d.luck.Float64()) + slack
		d.day.Lost++
		d.add(k, t)
	}
	d.day.Seconds = d.wish.Seconds
	need := math.Ceil(d.clear + quietEnd)
	if d.wish.Seconds == 0 {
		d.day.Seconds = max(need, shortestDay)
	}
	if d.day.Lost > 0 && need > d.day.Seconds {
		return fmt.Errorf("%d losses, one after the other with %v s to catch up, need -seconds %v, not %v (or fewer kinds: -without, -entries)",
			d.day.Lost, d.site.Timing.CatchUpS, need, d.day.Seconds)
	}
	for _, k := range rest {
		t := d.entry(k)
		t.At = d.moment(0)
		d.add(k, t)
	}
	return nil
}

// storms spreads the changes asked for over storms of the kinds that bring them.
func (d *drawer) storms(table Table) error {
	if d.wish.Changes == 0 {
		return nil
	}
	var kinds []Kind
	for _, k := range table.Kinds {
		if k.Storm {
			kinds = append(kinds, k)
		}
	}
	if len(kinds) == 0 {
		return fmt.Errorf("-changes %d: no kind of the table is marked storm", d.wish.Changes)
	}
	for left := d.wish.Changes; left > 0; {
		k := kinds[d.luck.IntN(len(kinds))]
		t := d.entry(k)
		size := min(left, 1+d.luck.IntN(int(stormSize)))
		gap, _ := k.GapS.draw(d.luck)
		gap = min(gap, (d.day.Seconds-quietStart-quietEnd)/stormSize)
		t.GapS, t.Count, t.ForS = number(math.Max(tidy(gap), 1/atPlaces)), number(float64(size)), nil
		t.At = d.moment(float64(size) * *t.GapS)
		left -= size
		d.day.Changes += size
		d.add(k, t)
	}
	return nil
}

// moment is any time of the day from which length seconds still fit.
func (d *drawer) moment(length float64) float64 {
	return tidy(quietStart + d.luck.Float64()*max(0, d.day.Seconds-quietStart-quietEnd-length))
}

// entry draws the fields of an entry of a kind.
func (d *drawer) entry(k Kind) Trouble {
	draw := func(r Range, whole bool) *float64 {
		v, ok := r.draw(d.luck)
		switch {
		case !ok:
			return nil
		case whole:
			return number(math.Round(v))
		}
		return number(tidy(v))
	}
	return Trouble{
		Kind: k.Name, On: d.word(k.On), Service: d.word(k.Of), Class: d.word(k.Class), How: d.word(k.How),
		Share: draw(k.Share, false), Count: draw(k.Count, true), X: draw(k.X, false), ForS: draw(k.ForS, false), GapS: draw(k.GapS, false),
	}
}

func (d *drawer) word(of []string) string {
	if len(of) == 0 {
		return ""
	}
	return of[d.luck.IntN(len(of))]
}

// lasts is how long a loss of this kind keeps its machines away.
func (d *drawer) lasts(k Kind, t Trouble) float64 {
	long := k.LastsS
	if t.ForS != nil {
		long = max(long, *t.ForS)
	}
	if long == 0 {
		long = defaultLoss
	}
	return long
}

func (d *drawer) add(k Kind, t Trouble) {
	if k.Planned {
		d.day.Plan = append(d.day.Plan, t)
	} else {
		d.day.Faults = append(d.day.Faults, t)
	}
}

// close draws what ends the day, if anything may.
func (d *drawer) close() {
	if len(d.wish.Closing) == 0 {
		return
	}
	c := d.wish.Closing[d.luck.IntN(len(d.wish.Closing))]
	down, _ := c.DownS.draw(d.luck)
	d.day.Closing, d.day.ClosingHow, d.day.ClosingDownS = c.Kind, d.word(c.How), tidy(down)
}

// tidy rounds to the places that a day is written with.
func tidy(v float64) float64 { return math.Round(v*atPlaces) / atPlaces }

func number(v float64) *float64 { return &v }
