package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
)

// Bounds of what may be asked for.
const (
	minDaySeconds = 10.0
	maxDaySeconds = 3600.0
	maxChanges    = 5000
	maxEntries    = 500
)

// How a day is laid out, in seconds and parts.
const (
	quietStart    = 1.0   // before the first entry
	quietEnd      = 6.0   // after the last one's beginning
	lossGap       = 1.0   // beyond catching up, between a loss's end and the next
	catchUpSpread = 0.5   // and up to this part of catching up more, at random
	maxStormSize  = 60.0  // changes that one storm brings at most
	placesFactor  = 100.0 // a day is written with two decimal places
)

// Request is what a day shall hold.
type Request struct {
	Seed    uint64
	Seconds float64   // 0: as long as the entries need
	Changes int       // of the configuration, in storms
	Entries int       // drawn by weight, besides those of Twice and Changes
	Twice   bool      // each control kind comes twice at least
	Closing []Closing // what the day may end with; none: nothing
}

// Day is a day of trouble.
type Day struct {
	Site         string // its name
	Request      Request
	Seconds      float64   // length of the traffic
	One, Zero    float64   // marks of the site's hardest day
	Floor        float64   // of the day's goal
	Wall         float64   // as in the site's days, for the length of this one
	Plan         []Trouble // by time
	Faults       []Trouble // by time
	Closing      string    // kind of the closing fault; "": none
	ClosingHow   string
	ClosingDownS float64
	StormChanges int // changes that the storms bring
	Losses       int // entries that lose counted machines or zones
}

// drawer holds what one drawing of a day needs.
type drawer struct {
	site     Site
	request  Request
	random   *rand.Rand
	day      *Day
	nextLoss float64 // when the next loss may begin
}

// Draw lays out a day of kinds from the table. Entries that lose counted
// machines or zones follow each other: the next begins when the machines of the
// one before are back and had the time that the site gives them to catch up.
// Everything else may come at any moment.
func Draw(site Site, table Table, request Request) (Day, error) {
	marks := site.hardestDay()
	d := &drawer{
		site:     site,
		request:  request,
		random:   rand.New(rand.NewPCG(request.Seed, uint64(len(table.Kinds)))),
		nextLoss: quietStart,
		day:      &Day{Site: site.Name, Request: request, One: marks.one, Zero: marks.zero, Floor: marks.floor},
	}
	drawn, err := d.drawKinds(table)
	if err != nil {
		return Day{}, err
	}
	if err := d.schedule(drawn); err != nil {
		return Day{}, err
	}
	if err := d.addStorms(table); err != nil {
		return Day{}, err
	}
	d.drawClosing()
	d.day.Wall = rounded(max(marks.wall, 1) * math.Ceil(d.day.Seconds/site.LengthS))
	for _, list := range [][]Trouble{d.day.Plan, d.day.Faults} {
		sort.SliceStable(list, func(i, j int) bool { return list[i].At < list[j].At })
	}
	return *d.day, nil
}

// drawKinds draws the kinds of the day, in the order in which losses follow.
func (d *drawer) drawKinds(table Table) ([]Kind, error) {
	var drawn []Kind
	var pool []Kind // each kind as often as its weight
	for _, k := range table.Kinds {
		if d.request.Twice && k.Control {
			drawn = append(drawn, k, k)
		}
		for range k.weight() {
			pool = append(pool, k)
		}
	}
	if d.request.Twice && len(drawn) == 0 {
		return nil, fmt.Errorf("-twice: no kind of the table is marked control")
	}
	if d.request.Entries > 0 && len(pool) == 0 {
		return nil, fmt.Errorf("-entries %d: every kind of the table has weight 0", d.request.Entries)
	}
	for range d.request.Entries {
		drawn = append(drawn, pool[d.random.IntN(len(pool))])
	}
	d.random.Shuffle(len(drawn), func(i, j int) { drawn[i], drawn[j] = drawn[j], drawn[i] })
	return drawn, nil
}

// schedule gives each entry its moment: first the losses, one after the other, then
// the rest between the day's start and end.
func (d *drawer) schedule(drawn []Kind) error {
	var rest []Kind
	for _, k := range drawn {
		if k.Loses == losesNothing {
			rest = append(rest, k)
			continue
		}
		t := d.drawEntry(k)
		t.At = rounded(d.nextLoss)
		catchUp := d.site.Timing.CatchUpS * (1 + catchUpSpread*d.random.Float64())
		d.nextLoss += d.lossSeconds(k, t) + catchUp + lossGap
		d.day.Losses++
		d.add(k, t)
	}
	d.day.Seconds = d.request.Seconds
	need := math.Ceil(d.nextLoss + quietEnd)
	if d.request.Seconds == 0 {
		d.day.Seconds = max(need, minDaySeconds)
	}
	if d.day.Losses > 0 && need > d.day.Seconds {
		return fmt.Errorf("%d losses, one after the other with %v s to catch up, need -seconds %v, not %v "+
			"(or fewer kinds: -without, -entries)",
			d.day.Losses, d.site.Timing.CatchUpS, need, d.day.Seconds)
	}
	for _, k := range rest {
		t := d.drawEntry(k)
		t.At = d.randomTime(0)
		d.add(k, t)
	}
	return nil
}

// addStorms spreads the changes asked for over storms of the kinds that bring them.
func (d *drawer) addStorms(table Table) error {
	if d.request.Changes == 0 {
		return nil
	}
	var kinds []Kind
	for _, k := range table.Kinds {
		if k.Storm {
			kinds = append(kinds, k)
		}
	}
	if len(kinds) == 0 {
		return fmt.Errorf("-changes %d: no kind of the table is marked storm", d.request.Changes)
	}
	for left := d.request.Changes; left > 0; {
		k := kinds[d.random.IntN(len(kinds))]
		t := d.drawEntry(k)
		size := min(left, 1+d.random.IntN(int(maxStormSize)))
		gap, _ := k.GapS.draw(d.random)
		gap = min(gap, (d.day.Seconds-quietStart-quietEnd)/maxStormSize)
		t.GapS = pointerTo(math.Max(rounded(gap), 1/placesFactor))
		t.Count = pointerTo(float64(size))
		t.ForS = nil
		t.At = d.randomTime(float64(size) * *t.GapS)
		left -= size
		d.day.StormChanges += size
		d.add(k, t)
	}
	return nil
}

// randomTime is any time of the day from which length seconds still fit.
func (d *drawer) randomTime(length float64) float64 {
	return rounded(quietStart + d.random.Float64()*max(0, d.day.Seconds-quietStart-quietEnd-length))
}

// drawEntry draws the fields of an entry of a kind, in the order written here: in
// another order the same seed would give another day.
func (d *drawer) drawEntry(k Kind) Trouble {
	draw := func(r Range, whole bool) *float64 {
		v, ok := r.draw(d.random)
		switch {
		case !ok:
			return nil
		case whole:
			return pointerTo(math.Round(v))
		}
		return pointerTo(rounded(v))
	}
	return Trouble{
		Kind:    k.Name,
		On:      d.oneOf(k.On),
		Service: d.oneOf(k.Service),
		Class:   d.oneOf(k.Class),
		How:     d.oneOf(k.How),
		Share:   draw(k.Share, false),
		Count:   draw(k.Count, true),
		X:       draw(k.X, false),
		ForS:    draw(k.ForS, false),
		GapS:    draw(k.GapS, false),
	}
}

// oneOf draws one of the words; "" where there is none.
func (d *drawer) oneOf(words []string) string {
	if len(words) == 0 {
		return ""
	}
	return words[d.random.IntN(len(words))]
}

// lossSeconds is how long a loss of this kind keeps its machines away.
func (d *drawer) lossSeconds(k Kind, t Trouble) float64 {
	seconds := k.LastsS
	if t.ForS != nil {
		seconds = max(seconds, *t.ForS)
	}
	if seconds == 0 {
		return defaultLossSeconds
	}
	return seconds
}

// add puts an entry on the list of the day that its kind stands under.
func (d *drawer) add(k Kind, t Trouble) {
	if k.Planned {
		d.day.Plan = append(d.day.Plan, t)
	} else {
		d.day.Faults = append(d.day.Faults, t)
	}
}

// drawClosing draws what ends the day, if anything may.
func (d *drawer) drawClosing() {
	if len(d.request.Closing) == 0 {
		return
	}
	closing := d.request.Closing[d.random.IntN(len(d.request.Closing))]
	down, _ := closing.DownS.draw(d.random)
	d.day.Closing = closing.Kind
	d.day.ClosingHow = d.oneOf(closing.How)
	d.day.ClosingDownS = rounded(down)
}

// rounded rounds to the places that a day is written with.
func rounded(v float64) float64 { return math.Round(v*placesFactor) / placesFactor }

// pointerTo is the field of a value that isn't left out.
func pointerTo(v float64) *float64 { return &v }
