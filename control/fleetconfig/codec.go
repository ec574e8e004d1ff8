package fleetconfig

import "github.com/klauspost/compress/zstd"

// Codec creates and applies patches to the values of records (see control/lease). A patch
// is the uncompressed new value, compressed with the uncompressed old value as dictionary.
// It ends with a checksum of the new value.
type Codec struct{}

// dictionaryID is the zstd dictionary id of a patch's base, which is the patch's only dictionary.
const dictionaryID = 1

// minPatchWindow is the minimum zstd window of a patch, in bytes. A base may be as long as a plan.
const minPatchWindow = 1 << 20

// Patch returns the patch that turns one value into another, or nil if the patch isn't
// shorter than half of the compressed value.
//
// Example: patch := fleetconfig.Codec{}.Patch(old.Value, current.Value)
func (Codec) Patch(from, to []byte) []byte {
	base, errBase := uncompressed(from)
	next, errNext := uncompressed(to)
	if errBase != nil || errNext != nil || len(base) == 0 {
		return nil
	}
	w, err := zstd.NewWriter(nil,
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(patchWindow(len(base)+len(next))),
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderDictRaw(dictionaryID, base))
	if err != nil {
		return nil
	}
	patch := w.EncodeAll(next, nil)
	if 2*len(patch) >= len(to) {
		return nil
	}
	return patch
}

// Apply applies a patch and returns the new value, uncompressed.
//
// Example: val, err := fleetconfig.Codec{}.Apply(old.Value, patch)
func (Codec) Apply(from, patch []byte) ([]byte, error) {
	base, err := uncompressed(from)
	if err != nil {
		return nil, err
	}
	r, err := zstd.NewReader(nil,
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxPlanBytes),
		zstd.WithDecoderDictRaw(dictionaryID, base))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer r.Close()
	value, err := r.DecodeAll(patch, nil)
	return value, Error.Wrap(err)
}

// Whole returns a value as sent to daemons that have no base for a patch: compressed, if it is a plan.
//
// Example: rec.Value = fleetconfig.Codec{}.Whole(rec.Value)
func (Codec) Whole(value []byte) []byte {
	if len(value) == 0 || value[0] != plainMsgp {
		return value
	}
	compressed, err := compress(compressedMsgp, value[1:])
	if err != nil { // too long for a plan, so the value isn't one
		return value
	}
	return compressed
}

// uncompressed returns a value in the form kept by daemons that receive it as patches.
func uncompressed(value []byte) ([]byte, error) {
	if len(value) == 0 || value[0] != compressedMsgp {
		return value, nil
	}
	b, err := Decompress(value)
	if err != nil {
		return nil, err
	}
	return append([]byte{plainMsgp}, b...), nil
}

// patchWindow returns the smallest permitted power of two that is at least size.
func patchWindow(size int) int {
	window := minPatchWindow
	for window < size && window < zstd.MaxWindowSize {
		window *= 2
	}
	return window
}
