// Package incarnation numbers the starts of a daemon that has a data folder. The
// number (elsewhere an epoch) counts the starts of the folder and bears a nonce that is
// drawn at each start, so that two processes that were started from copies of one
// folder are told apart, also where both counted to the same number.
package incarnation

import "fmt"

// nonceBits is the length of the nonce, below the count.
const nonceBits = 32

// MaxNonce is the largest nonce. No start draws it: folders hold it in place of the one
// that was drawn, so that a build that knows of no nonce and adds one to the number
// counts a start.
const MaxNonce = 1<<nonceBits - 1

// Number joins a count of starts and a nonce.
//
// Example: epoch := incarnation.Number(7, rand.Uint32())
func Number(starts uint64, nonce uint32) uint64 { return starts<<nonceBits | uint64(nonce) }

// Starts is the count of starts. It is 0 in the numbers of daemons without a
// folder and of builds that know of no nonce.
//
// Example: incarnation.Starts(incarnation.Number(7, 99)) == 7
func Starts(epoch uint64) uint64 { return epoch >> nonceBits }

// String prints an incarnation as its count of starts and its nonce; one without
// a nonce as its number.
//
// Example: incarnation.String(incarnation.Number(7, 0xbeef)) == "7-beef"
func String(epoch uint64) string {
	if Starts(epoch) == 0 {
		return fmt.Sprint(epoch)
	}
	return fmt.Sprintf("%d-%x", Starts(epoch), epoch&MaxNonce)
}

// Order is how one incarnation stands to another.
type Order uint8

// The orders of two incarnations of one identity.
const (
	Same     Order = iota
	Earlier        // fewer starts
	Later          // more starts
	Conflict       // as many starts, and not the same one: two copies of one folder run
)

// Compare tells how an incarnation stands to another one of the same identity.
//
// Example: incarnation.Compare(own, known) == incarnation.Conflict
func Compare(epoch, other uint64) Order {
	switch {
	case epoch == other:
		return Same
	case Starts(epoch) == Starts(other) && Starts(epoch) > 0:
		return Conflict
	case epoch < other:
		return Earlier
	}
	return Later
}
