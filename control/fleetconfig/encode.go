package fleetconfig

import (
	"bytes"
	"encoding/json"

	"github.com/klauspost/compress/zstd"
)

// The first byte of a value identifies its encoding; uncompressed JSON begins with '{'.
const (
	compressedJSON = 'z' // bodies of calls, and plan records of older builds
	compressedMsgp = 'm' // plan records, which are read far more often than written, on a fifth of a processor
	plainMsgp      = 'o' // plan records in daemons that receive them as patches
)

// maxPlanBytes bounds the uncompressed size of a value, so that Decompress can read all that EncodeCall returns.
const maxPlanBytes = 64 << 20

// EncodeCall returns the compressed body of a call with a plan or changes. It returns an
// error if the value is too long or a raw field isn't JSON.
//
// Example: body, err := fleetconfig.EncodeCall(changes)
func EncodeCall(x any) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false) // escaping would make raw fields longer
	if err := e.Encode(x); err != nil {
		return nil, Error.Wrap(err)
	}
	return compress(compressedJSON, b.Bytes())
}

// EncodePlan returns the value of a plan record. It returns an error if the plan is too long.
//
// Example: val, err := fleetconfig.EncodePlan(plan)
func EncodePlan(p Plan) ([]byte, error) {
	b, err := p.MarshalMsg(nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return compress(compressedMsgp, b)
}

func compress(encoding byte, b []byte) ([]byte, error) {
	if len(b) > maxPlanBytes {
		return nil, Error.New("%d bytes, at most %d are taken", len(b), maxPlanBytes)
	}
	// One worker and a small window: plans are small and seldom written.
	w, err := zstd.NewWriter(nil,
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(1<<20))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return w.EncodeAll(b, []byte{encoding}), nil
}

// Decompress returns the content of a compressed value, and an uncompressed value unchanged.
// It returns an error if the value is damaged.
//
// Example: b, err := fleetconfig.Decompress(rec.Value)
func Decompress(b []byte) ([]byte, error) {
	if len(b) == 0 || b[0] != compressedJSON && b[0] != compressedMsgp {
		return b, nil
	}
	r, err := zstd.NewReader(nil,
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxPlanBytes))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer r.Close()
	out, err := r.DecodeAll(b[1:], nil)
	return out, Error.Wrap(err)
}

// decompressPlan returns the encoded plan of a plan record and whether it is msgp rather than JSON.
func decompressPlan(value []byte) (b []byte, isMsgp bool, err error) {
	if value[0] == plainMsgp {
		return value[1:], true, nil
	}
	b, err = Decompress(value)
	return b, value[0] == compressedMsgp, err
}
