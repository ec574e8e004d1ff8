package transport

import (
	"errors"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("transport")

// What is wrong with a frame, for errors.Is.
var (
	ErrFrameVersion = errors.New("frame version not supported")
	ErrFrameSize    = errors.New("frame too large")
	ErrTruncated    = errors.New("frame truncated")
	ErrMalformed    = errors.New("malformed frame")
	ErrUnknownKind  = errors.New("unknown kind of message")
	ErrNoBaseFrame  = errors.New("compact frame without a base")
	ErrOtherFleet   = errors.New("message of another fleet")
)

// errRedialPause says that an address could not be reached a moment ago.
var errRedialPause = errors.New("not dialed again yet")
