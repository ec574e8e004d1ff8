package fleetconfig

import (
	"github.com/klauspost/compress/zstd"
)

// Codec makes and applies patches of records' values (control/lease): a patch is the
// later value compressed with the earlier one as dictionary, both as they are
// before they are packed. It ends with a checksum of the later value.
type Codec struct{}

// dictionary is the number by which a patch names its base; there is one.
const dictionary = 1

// patchWindow is the least window of a patch: a base may be as long as a plan.
const patchWindow = 1 << 20

// Patch gives what turns one value into another; none if it isn't shorter than
// half of the packed value.
//
// Example: patch := fleetconfig.Codec{}.Patch(was.Val, is.Val)
func (Codec) Patch(from, to []byte) []byte {
	a, errA := kept(from)
	b, errB := kept(to)
	if errA != nil || errB != nil || len(a) == 0 {
		return nil
	}
	w, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(window(len(a)+len(b))), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderDictRaw(dictionary, a))
	if err != nil {
		return nil
	}
	patch := w.EncodeAll(b, nil)
	if 2*len(patch) >= len(to) {
		return nil
	}
	return patch
}

// Apply gives the value that a patch was made for, unpacked.
//
// Example: val, err := fleetconfig.Codec{}.Apply(was.Val, patch)
func (Codec) Apply(from, patch []byte) ([]byte, error) {
	a, err := kept(from)
	if err != nil {
		return nil, err
	}
	r, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(mostPlan), zstd.WithDecoderDictRaw(dictionary, a))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer r.Close()
	b, err := r.DecodeAll(patch, nil)
	return b, Error.Wrap(err)
}

// Whole gives a value as it goes to those who hold none: packed, if it is a plan.
//
// Example: rec.Val = fleetconfig.Codec{}.Whole(rec.Val)
func (Codec) Whole(val []byte) []byte {
	if len(val) == 0 || val[0] != opened {
		return val
	}
	b, err := squeeze(stored, val[1:])
	if err != nil { // it is longer than a plan may be: it never was one
		return val
	}
	return b
}

// opened begins a plan's record that isn't compressed.
const opened = 'o'

// kept is a value as daemons keep it that take it as what changed.
func kept(val []byte) ([]byte, error) {
	if len(val) == 0 || val[0] != stored {
		return val, nil
	}
	b, err := Decompress(val)
	if err != nil {
		return nil, err
	}
	return append([]byte{opened}, b...), nil
}

// window is a power of two that holds so many bytes.
func window(size int) int {
	w := patchWindow
	for w < size && w < zstd.MaxWindowSize {
		w *= 2
	}
	return w
}

// plainPlan gives what a plan's record holds, and whether it is msgp.
func plainPlan(val []byte) (b []byte, packed bool, err error) {
	if val[0] == opened {
		return val[1:], true, nil
	}
	b, err = Decompress(val)
	return b, val[0] == stored, err
}
