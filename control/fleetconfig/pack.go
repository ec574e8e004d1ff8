package fleetconfig

import (
	"bytes"
	"encoding/json"
	"sync"

	"github.com/klauspost/compress/zstd"
	"github.com/zeebo/errs"

	"mulleinmast/wire/message"
)

// Error is the class of this package's errors.
var Error = errs.Class("fleet configuration")

// packed begins a compressed value; plain JSON begins with '{'.
const packed = 'z'

// mostPlan bounds a value before it is packed, in bytes: what Pack makes, Plain
// opens.
const mostPlan = 64 << 20

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
	return squeeze(packed, b.Bytes())
}

// stored begins a plan's record: msgp, compressed. It is read many times for
// each time it is written, by daemons with a fifth of a processor.
const stored = 'm'

// EncodePlan makes the record of a plan; the error is of one that is too long.
//
// Example: val, err := fleetconfig.EncodePlan(plan)
func EncodePlan(p Plan) ([]byte, error) {
	b, err := p.MarshalMsg(nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return squeeze(stored, b)
}

func squeeze(mark byte, b []byte) ([]byte, error) {
	if len(b) > mostPlan {
		return nil, Error.New("%d bytes, at most %d are taken", len(b), mostPlan)
	}
	// One worker and a small window: plans are small and seldom written.
	w, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(1<<20))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return w.EncodeAll(b, []byte{mark}), nil
}

// PlanReader keeps the last plan that it read, by its record's version: a plan is
// read once a version, however many ask. Plans that it gives are not changed.
type PlanReader struct {
	mu   sync.Mutex
	ver  message.Version
	plan Plan
	err  error
}

// Read is ReadPlan, once a version.
//
// Example: plan, err := reader.Read(rec)
func (r *PlanReader) Read(rec message.Record) (Plan, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec.Version == (message.Version{}) || rec.Deleted {
		return ReadPlan(rec)
	}
	if r.ver != rec.Version {
		r.plan, r.err = ReadPlan(rec)
		r.ver = rec.Version
	}
	return r.plan, r.err
}

// Open is Read for records that were found readable before.
//
// Example: plan := reader.Open(rec)
func (r *PlanReader) Open(rec message.Record) Plan {
	p, err := r.Read(rec)
	if err != nil {
		panic(err)
	}
	return p
}

// Decompress gives what a compressed value holds; one that isn't compressed stays as
// it is. The error is of a value that Pack didn't make.
//
// Example: b, err := fleetconfig.Decompress(rec.Val)
func Decompress(b []byte) ([]byte, error) {
	if len(b) == 0 || b[0] != packed && b[0] != stored {
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
