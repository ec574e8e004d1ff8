package sim

import (
	"encoding/binary"
	"errors"
	"hash/fnv"

	"mulleinmast/control/lease"
)

// tailCodec replaces the daemon's codec for the short values of the simulator. A patch
// holds the length of the common prefix, a checksum of the new value, and the bytes of the
// new value after that prefix.
type tailCodec struct{}

var errBase = errors.New("patch does not match the base value")

const tailHead = 4 + 8

func tailSum(val []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(val)
	return h.Sum64()
}

// Patch returns a patch that turns one value into another.
//
// Example: tailCodec{}.Patch([]byte("ab"), []byte("abc"))
func (tailCodec) Patch(from, to []byte) []byte {
	n := 0
	for n < len(from) && n < len(to) && from[n] == to[n] {
		n++
	}
	out := binary.BigEndian.AppendUint32(nil, uint32(n))
	out = binary.BigEndian.AppendUint64(out, tailSum(to))
	return append(out, to[n:]...)
}

// Apply returns the value that a patch produces.
//
// Example: val, err := tailCodec{}.Apply([]byte("ab"), patch)
func (tailCodec) Apply(from, patch []byte) ([]byte, error) {
	if len(patch) < tailHead {
		return nil, errBase
	}
	n := int(binary.BigEndian.Uint32(patch))
	if n > len(from) {
		return nil, errBase
	}
	val := append(append([]byte(nil), from[:n]...), patch[tailHead:]...)
	if tailSum(val) != binary.BigEndian.Uint64(patch[4:]) {
		return nil, errBase
	}
	return val, nil
}

// Whole returns a value unchanged.
//
// Example: tailCodec{}.Whole(val)
func (tailCodec) Whole(val []byte) []byte { return val }

// codec returns the codec for records sent down the lease tree; nil: records are sent in full.
func (w *world) codec() lease.Codec {
	switch {
	case w.options.FullRecords:
		return nil
	case w.options.Sabotage == "blindpatch":
		return blindCodec{}
	case w.options.Sabotage == "spoiltpatch":
		return truncatingCodec{}
	}
	return tailCodec{}
}

// truncatingCodec truncates some of the patches before they are applied.
type truncatingCodec struct{ tailCodec }

// Apply applies a patch that may be truncated.
//
// Example: _, err := truncatingCodec{}.Apply(from, patch)
func (c truncatingCodec) Apply(from, patch []byte) ([]byte, error) {
	return c.tailCodec.Apply(from, truncated(patch))
}

// blindCodec treats the old value as the new one if a patch is truncated: the fault that
// the checksums guard against.
type blindCodec struct{ tailCodec }

// Apply treats a patch that can't be applied as one that changes nothing.
//
// Example: val, _ := blindCodec{}.Apply(from, patch)
func (c blindCodec) Apply(from, patch []byte) ([]byte, error) {
	val, err := c.tailCodec.Apply(from, truncated(patch))
	if err != nil {
		return from, nil
	}
	return val, nil
}

func truncated(patch []byte) []byte {
	if patch[len(patch)-1]%2 == 0 || len(patch)%2 == 0 {
		return patch
	}
	return patch[:max(tailHead, len(patch)-3)]
}
