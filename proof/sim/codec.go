package sim

import (
	"encoding/binary"
	"errors"
	"hash/fnv"

	"mulleinmast/control/lease"
)

// tailCodec stands for the daemon's codec, for values as short as the simulator's: a
// patch is the length that both values begin alike with, a checksum of the later
// one, and its rest.
type tailCodec struct{}

var errBase = errors.New("made from another value")

const tailHead = 4 + 8

func tailSum(val []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(val)
	return h.Sum64()
}

// Patch gives what turns one value into another.
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

// Apply gives the value that a patch was made for.
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

// Whole gives a value as it is.
//
// Example: tailCodec{}.Whole(val)
func (tailCodec) Whole(val []byte) []byte { return val }

// codec is how records go down the tree in this run.
func (w *world) codec() lease.Codec {
	switch {
	case w.options.Wholes:
		return nil
	case w.options.Sabotage == "blindpatch":
		return blindCodec{}
	case w.options.Sabotage == "spoiltpatch":
		return spoiltCodec{}
	}
	return tailCodec{}
}

// spoiltCodec loses the last bytes of every second patch on its way.
type spoiltCodec struct{ tailCodec }

// Apply gets a patch that was cut short.
//
// Example: _, err := spoiltCodec{}.Apply(from, patch)
func (c spoiltCodec) Apply(from, patch []byte) ([]byte, error) {
	return c.tailCodec.Apply(from, cutShort(patch))
}

// blindCodec keeps the earlier value for the later one where a patch is spoilt: the
// fault that the sums are there for.
type blindCodec struct{ tailCodec }

// Apply takes a patch that can't be applied for one that changes nothing.
//
// Example: val, _ := blindCodec{}.Apply(from, patch)
func (c blindCodec) Apply(from, patch []byte) ([]byte, error) {
	val, err := c.tailCodec.Apply(from, cutShort(patch))
	if err != nil {
		return from, nil
	}
	return val, nil
}

func cutShort(patch []byte) []byte {
	if patch[len(patch)-1]%2 == 0 || len(patch)%2 == 0 {
		return patch
	}
	return patch[:max(tailHead, len(patch)-3)]
}
