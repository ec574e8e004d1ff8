package attempt

import "time"

const (
	slotsPerWindow = 16                 // how finely a Bucket tells time
	slotsKept      = slotsPerWindow + 2 // retries count over a little more than the window
)

// Bucket bounds retries to a fraction of first sends in every window, so that
// what quiet times earned can't be spent in one failure. A sum of buckets
// keeps the bound that each of them keeps.
type Bucket struct {
	Ratio  float64       // retries over first sends
	Window time.Duration // more than 0
	Slack  int           // retries in a window beyond those earned
	slots  [slotsKept]slot
}

// slot is what was sent in one part of the window.
type slot struct {
	number       int64 // of the slots since the clock's zero
	first, again int   // first sends, and retries
}

// numberOf is the number of the slot of a time.
func (b *Bucket) numberOf(at time.Duration) int64 { return int64(at / (b.Window / slotsPerWindow)) }

// slotAt is the slot of now; it takes the place of the oldest.
func (b *Bucket) slotAt(now time.Duration) *slot {
	number := b.numberOf(now)
	s := &b.slots[number%slotsKept]
	if s.number != number {
		*s = slot{number: number}
	}
	return s
}

// Earn counts a first send.
//
// Example: b.Earn(now)
func (b *Bucket) Earn(now time.Duration) { b.slotAt(now).first++ }

// Has tells whether a retry may be made now. First sends count over a little
// less than the window, retries over a little more.
//
// Example: if !b.Has(now) { giveUp() }
func (b *Bucket) Has(now time.Duration) bool {
	number := b.slotAt(now).number
	first, again := 0, 0
	for _, s := range b.slots {
		if s.number > number-slotsPerWindow+1 {
			first += s.first
		}
		if s.number > number-slotsPerWindow-2 {
			again += s.again
		}
	}
	return float64(again+1) <= b.Ratio*float64(first)+float64(b.Slack)
}

// Take spends a retry if one may be made.
//
// Example: if !b.Take(now) { giveUp() }
func (b *Bucket) Take(now time.Duration) bool {
	if !b.Has(now) {
		return false
	}
	b.slotAt(now).again++
	return true
}

// Return gives a retry back that was taken at that time and not made.
//
// Example: b.Return(takenAt)
func (b *Bucket) Return(takenAt time.Duration) {
	number := b.numberOf(takenAt)
	if s := &b.slots[number%slotsKept]; s.number == number && s.again > 0 {
		s.again--
	}
}
