package transport

import (
	"errors"

	"github.com/zeebo/errs"
)

// Error is the error class of this package.
var Error = errs.Class("transport")

// Reasons for rejecting a frame, for use with errors.Is.
var (
	ErrFrameVersion = errors.New("frame version not supported")
	ErrFrameSize    = errors.New("frame too large")
	ErrTruncated    = errors.New("frame truncated")
	ErrMalformed    = errors.New("malformed frame")
	ErrUnknownKind  = errors.New("unknown message kind")
	ErrNoBaseFrame  = errors.New("compact frame without a base frame")
	ErrOtherFleet   = errors.New("message from another fleet")
)

// errRedialPause is returned while an address isn't dialed because a recent dial failed.
var errRedialPause = errors.New("dial postponed: the previous dial failed recently")
