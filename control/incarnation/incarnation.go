// Package incarnation numbers the starts of a daemon that has a data folder. An
// incarnation number, which other packages call an epoch, combines the number of starts from that
// folder with a random nonce drawn at each start. The nonce distinguishes processes that
// were started from copies of the same folder and have the same start count.
package incarnation

import "fmt"

// nonceBits is the length of the nonce, which fills the bits below the start count.
const nonceBits = 32

// MaxNonce is the largest nonce. It is never drawn at a start. Data folders store it in place
// of the drawn nonce. A build without nonces adds one to the stored number, which then
// increments the start count.
const MaxNonce = 1<<nonceBits - 1

// Number combines a start count and a nonce into an incarnation number.
//
// Example: epoch := incarnation.Number(7, rand.Uint32())
func Number(starts uint64, nonce uint32) uint64 { return starts<<nonceBits | uint64(nonce) }

// Starts returns the start count. It is 0 for daemons without a data folder and for
// builds without nonces.
//
// Example: incarnation.Starts(incarnation.Number(7, 99)) == 7
func Starts(epoch uint64) uint64 { return epoch >> nonceBits }

// String formats an incarnation as its start count and nonce, or as a plain number if it
// has no nonce.
//
// Example: incarnation.String(incarnation.Number(7, 0xbeef)) == "7-beef"
func String(epoch uint64) string {
	if Starts(epoch) == 0 {
		return fmt.Sprint(epoch)
	}
	return fmt.Sprintf("%d-%x", Starts(epoch), epoch&MaxNonce)
}

// Order is the result of comparing two incarnations.
type Order uint8

// Possible orders of two incarnations of the same identity.
const (
	Same     Order = iota
	Earlier        // fewer starts
	Later          // more starts
	Conflict       // same start count but different nonces, so two copies of one folder are running
)

// Compare returns the order of epoch relative to other, both of the same identity.
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
