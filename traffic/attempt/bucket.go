package attempt

import "time"

const (
	slotsPerWindow = 16                 // resolution at which a Bucket counts
	slotsKept      = slotsPerWindow + 2 // retries are counted over slightly more than the window
)

// Bucket limits retries to a fraction of the first sends in every window, so that
// retries earned during a quiet period can't all be spent on one outage. Since the
// limit is a ratio, it also holds for the sum of several buckets.
type Bucket struct {
	Ratio  float64       // retries per first send
	Window time.Duration // must be above 0
	Slack  int           // retries per window in addition to those earned
	slots  [slotsKept]slot
}

// slot counts the sends in one part of the window.
type slot struct {
	number              int64 // slots since the clock's zero
	firstSends, retries int
}

// slotNumber returns the number of the slot that a time falls into.
func (b *Bucket) slotNumber(at time.Duration) int64 { return int64(at / (b.Window / slotsPerWindow)) }

// slotAt returns the slot of now. A new slot replaces the oldest one.
func (b *Bucket) slotAt(now time.Duration) *slot {
	number := b.slotNumber(now)
	s := &b.slots[number%slotsKept]
	if s.number != number {
		*s = slot{number: number}
	}
	return s
}

// Earn counts a first send.
//
// Example: b.Earn(now)
func (b *Bucket) Earn(now time.Duration) { b.slotAt(now).firstSends++ }

// Has reports whether a retry may be made now. First sends are counted over slightly
// less than the window and retries over slightly more, so that rounding to slots
// never allows too many.
//
// Example: if !b.Has(now) { giveUp() }
func (b *Bucket) Has(now time.Duration) bool {
	number := b.slotAt(now).number
	firstSends, retries := 0, 0
	for _, s := range b.slots {
		if s.number > number-slotsPerWindow+1 {
			firstSends += s.firstSends
		}
		if s.number > number-slotsPerWindow-2 {
			retries += s.retries
		}
	}
	return float64(retries+1) <= b.Ratio*float64(firstSends)+float64(b.Slack)
}

// Take spends a retry if one may be made.
//
// Example: if !b.Take(now) { giveUp() }
func (b *Bucket) Take(now time.Duration) bool {
	if !b.Has(now) {
		return false
	}
	b.slotAt(now).retries++
	return true
}

// Return gives back a retry that was taken at takenAt but not made.
//
// Example: b.Return(takenAt)
func (b *Bucket) Return(takenAt time.Duration) {
	number := b.slotNumber(takenAt)
	if s := &b.slots[number%slotsKept]; s.number == number && s.retries > 0 {
		s.retries--
	}
}
