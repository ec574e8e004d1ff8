package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
)

// Limits of a Request.
const (
	minDaySeconds = 10.0
	maxDaySeconds = 3600.0
	maxChanges    = 5000
	maxEntries    = 500
)

// Layout of a day, in seconds unless noted.
const (
	quietStart    = 1.0   // no entry begins earlier
	quietEnd      = 6.0   // no entry begins in the last seconds of the day
	lossGap       = 1.0   // between the end of catching up from a loss and the next loss
	catchUpSpread = 0.5   // the time to catch up is extended at random by up to this fraction
	maxStormSize  = 60.0  // maximum number of changes in a storm
	placesFactor  = 100.0 // numbers of a day are rounded to two decimal places
)

// Request describes the day to draw.
type Request struct {
	Seed    uint64
	Seconds float64   // length of the day; 0: as long as the entries need
	Changes int       // number of configuration changes in storms
	Entries int       // number drawn by weight, in addition to those of Twice and Changes
	Twice   bool      // include each control kind at least twice
	Closing []Closing // candidates for the fault that ends the day; empty: none
}

// Day is a drawn fault schedule.
type Day struct {
	Site         string // name of the site
	Request      Request
	Seconds      float64 // length of the traffic
	One, Zero    float64 // `one` and `zero` of the site's hardest day
	Floor        float64 // `floor` of the day's goal
	Wall         float64 // `wall`, scaled from the site's days to the length of this one
	Plan         []Entry // sorted by time
	Faults       []Entry // sorted by time
	Closing      string  // kind of the fault that ends the day; "": none
	ClosingHow   string
	ClosingDownS float64
	StormChanges int // number of changes in storms
	Losses       int // number of entries that lose counted machines or zones
}

// dayBuilder holds the state while a day is drawn.
type dayBuilder struct {
	site     Site
	request  Request
	random   *rand.Rand
	day      *Day
	nextLoss float64 // earliest time of the next loss
}

// Draw draws a day with kinds from the table. Entries that lose counted machines or
// zones do not overlap: the next one begins after the machines of the previous one
// are back and have had the site's time to catch up. All other entries are placed at
// random.
func Draw(site Site, table Table, request Request) (Day, error) {
	marks := site.hardestDay()
	d := &dayBuilder{
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
	for _, list := range [][]Entry{d.day.Plan, d.day.Faults} {
		sort.SliceStable(list, func(i, j int) bool { return list[i].At < list[j].At })
	}
	return *d.day, nil
}

// drawKinds draws the kinds of the day. Losses are scheduled in the returned order.
func (d *dayBuilder) drawKinds(table Table) ([]Kind, error) {
	var drawn []Kind
	var pool []Kind // each kind, repeated according to its weight
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

// schedule draws the entries and their times: first the losses, one after another,
// then the others at random times between the quiet start and end.
func (d *dayBuilder) schedule(drawn []Kind) error {
	var rest []Kind
	for _, k := range drawn {
		if k.Loses == losesNothing {
			rest = append(rest, k)
			continue
		}
		e := d.drawEntry(k)
		e.At = rounded(d.nextLoss)
		catchUp := d.site.Timing.CatchUpS * (1 + catchUpSpread*d.random.Float64())
		d.nextLoss += d.lossSeconds(k, e) + catchUp + lossGap
		d.day.Losses++
		d.add(k, e)
	}
	d.day.Seconds = d.request.Seconds
	need := math.Ceil(d.nextLoss + quietEnd)
	if d.request.Seconds == 0 {
		d.day.Seconds = max(need, minDaySeconds)
	}
	if d.day.Losses > 0 && need > d.day.Seconds {
		return fmt.Errorf("%d losses, one after another with %v s to catch up, need -seconds %v, not %v "+
			"(or fewer kinds: -without, -entries)",
			d.day.Losses, d.site.Timing.CatchUpS, need, d.day.Seconds)
	}
	for _, k := range rest {
		e := d.drawEntry(k)
		e.At = d.randomTime(0)
		d.add(k, e)
	}
	return nil
}

// addStorms distributes the requested changes over storms.
func (d *dayBuilder) addStorms(table Table) error {
	if d.request.Changes == 0 {
		return nil
	}
	var stormKinds []Kind
	for _, k := range table.Kinds {
		if k.Storm {
			stormKinds = append(stormKinds, k)
		}
	}
	if len(stormKinds) == 0 {
		return fmt.Errorf("-changes %d: no kind of the table is marked storm", d.request.Changes)
	}
	for left := d.request.Changes; left > 0; {
		k := stormKinds[d.random.IntN(len(stormKinds))]
		e := d.drawEntry(k)
		size := min(left, 1+d.random.IntN(int(maxStormSize)))
		gap, _ := k.GapS.draw(d.random)
		gap = min(gap, (d.day.Seconds-quietStart-quietEnd)/maxStormSize)
		e.GapS = pointerTo(math.Max(rounded(gap), 1/placesFactor))
		e.Count = pointerTo(float64(size))
		e.ForS = nil
		e.At = d.randomTime(float64(size) * *e.GapS)
		left -= size
		d.day.StormChanges += size
		d.add(k, e)
	}
	return nil
}

// randomTime returns a random start time for an entry that lasts length seconds.
func (d *dayBuilder) randomTime(length float64) float64 {
	return rounded(quietStart + d.random.Float64()*max(0, d.day.Seconds-quietStart-quietEnd-length))
}

// drawEntry draws the fields of an entry of a kind. The order of the fields must not
// change, or the same seed would give a different day.
func (d *dayBuilder) drawEntry(k Kind) Entry {
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
	return Entry{
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

// oneOf returns a random word of the list, or "" if the list is empty.
func (d *dayBuilder) oneOf(words []string) string {
	if len(words) == 0 {
		return ""
	}
	return words[d.random.IntN(len(words))]
}

// lossSeconds returns how long the machines of a loss are unavailable.
func (d *dayBuilder) lossSeconds(k Kind, e Entry) float64 {
	seconds := k.LastsS
	if e.ForS != nil {
		seconds = max(seconds, *e.ForS)
	}
	if seconds == 0 {
		return defaultLossSeconds
	}
	return seconds
}

// add appends an entry to the day's plan or faults, depending on its kind.
func (d *dayBuilder) add(k Kind, e Entry) {
	if k.Planned {
		d.day.Plan = append(d.day.Plan, e)
	} else {
		d.day.Faults = append(d.day.Faults, e)
	}
}

// drawClosing draws the fault that ends the day, if one is requested.
func (d *dayBuilder) drawClosing() {
	if len(d.request.Closing) == 0 {
		return
	}
	closing := d.request.Closing[d.random.IntN(len(d.request.Closing))]
	down, _ := closing.DownS.draw(d.random)
	d.day.Closing = closing.Kind
	d.day.ClosingHow = d.oneOf(closing.How)
	d.day.ClosingDownS = rounded(down)
}

// rounded rounds to the decimal places of a written day.
func rounded(v float64) float64 { return math.Round(v*placesFactor) / placesFactor }

// pointerTo returns a pointer to v, for fields that may be absent.
func pointerTo(v float64) *float64 { return &v }
