package tariff

import (
	"bytes"
	"encoding/json"

	"github.com/klauspost/compress/zstd"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("tariff")

// packed begins a compressed value; plain JSON begins with '{'.
const packed = 'z'

// mostPlan bounds a value before it is packed, in bytes: what Pack makes, Plain
// opens.
const mostPlan = 64 << 20

// Pack makes a compressed record, or the body of a call, of a plan or changes;
// the error is of a value that is too long or, in a raw part, isn't JSON.
//
// Example: body, err := tariff.Pack(plan)
func Pack(x any) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false) // a raw part stays as long as it is
	if err := e.Encode(x); err != nil {
		return nil, Error.Wrap(err)
	}
	if b.Len() > mostPlan {
		return nil, Error.New("%d bytes, at most %d are taken", b.Len(), mostPlan)
	}
	// One worker and a small window: plans are small and seldom written.
	w, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(1<<20))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return w.EncodeAll(b.Bytes(), []byte{packed}), nil
}

// Plain gives the JSON of a packed value; one that is not packed stays as it
// is. The error is of a value that Pack didn't make.
//
// Example: b, err := tariff.Plain(rec.Val)
func Plain(b []byte) ([]byte, error) {
	if len(b) == 0 || b[0] != packed {
		return b, nil
	}
	r, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(mostPlan))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer r.Close()
	out, err := r.DecodeAll(b[1:], nil)
	return out, Error.Wrap(err)
}
