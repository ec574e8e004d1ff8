package fleetconfig

import "github.com/klauspost/compress/zstd"

// Codec makes and applies patches of records' values (control/lease): a patch is the
// later value compressed with the earlier one as dictionary, both as they are
// before they are compressed. It ends with a checksum of the later value.
type Codec struct{}

// dictionaryID is the number by which a patch names its base; there is one.
const dictionaryID = 1

// minPatchWindow is the least window of a patch, in bytes: a base may be as long as a plan.
const minPatchWindow = 1 << 20

// Patch gives what turns one value into another; none if it isn't shorter than
// half of the compressed value.
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

// Apply gives the value that a patch was made for, uncompressed.
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

// Whole gives a value as it goes to those who hold none: compressed, if it is a plan.
//
// Example: rec.Value = fleetconfig.Codec{}.Whole(rec.Value)
func (Codec) Whole(value []byte) []byte {
	if len(value) == 0 || value[0] != plainMsgp {
		return value
	}
	compressed, err := compress(compressedMsgp, value[1:])
	if err != nil { // it is longer than a plan may be: it never was one
		return value
	}
	return compressed
}

// uncompressed is a value as daemons keep it that take it as patches.
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

// patchWindow is a power of two that holds so many bytes.
func patchWindow(size int) int {
	window := minPatchWindow
	for window < size && window < zstd.MaxWindowSize {
		window *= 2
	}
	return window
}
