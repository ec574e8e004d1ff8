package fleetconfig

import (
	"bytes"
	"encoding/json"

	"github.com/klauspost/compress/zstd"
)

// The first byte of a value says how it is encoded; plain JSON begins with '{'.
const (
	compressedJSON = 'z' // the body of a call; plans' records of older builds
	compressedMsgp = 'm' // a plan's record: it is read many times for each time it is written, on a fifth of a processor
	plainMsgp      = 'o' // a plan's record as daemons keep it that take it as patches
)

// maxPlanBytes bounds a value before it is compressed: what EncodeCall makes, Decompress opens.
const maxPlanBytes = 64 << 20

// EncodeCall makes the compressed body of a call of a plan or changes; the error is
// of a value that is too long or, in a raw part, isn't JSON.
//
// Example: body, err := fleetconfig.EncodeCall(changes)
func EncodeCall(x any) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false) // a raw part stays as long as it is
	if err := e.Encode(x); err != nil {
		return nil, Error.Wrap(err)
	}
	return compress(compressedJSON, b.Bytes())
}

// EncodePlan makes the record of a plan; the error is of one that is too long.
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

// Decompress gives what a compressed value holds; one that isn't compressed stays as
// it is. The error is of a value that is damaged.
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

// planBytes gives what a plan's record holds, and whether it is msgp; else it is JSON.
func planBytes(value []byte) (b []byte, isMsgp bool, err error) {
	if value[0] == plainMsgp {
		return value[1:], true, nil
	}
	b, err = Decompress(value)
	return b, value[0] == compressedMsgp, err
}
