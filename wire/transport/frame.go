package transport

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"mulleinmast/wire/message"
)

// MaxFrameSize is the maximum size of the message in a frame, in bytes.
const MaxFrameSize = 32 << 20

const (
	// headerSize is the length of a frame's header: one byte for the version, and four
	// big-endian bytes for the length of the message.
	headerSize = 5
	// minMessageCapacity is the minimum capacity allocated for an encoded message.
	minMessageCapacity = 256
	// maxPrealloc limits the bytes allocated in advance from the length in a frame's header,
	// which may be wrong. Beyond that, memory is allocated as data arrives.
	maxPrealloc = 64 << 10
)

// EncodeFrame encodes a message as a complete frame, which can be decoded on its own.
//
// Example: b, err := transport.EncodeFrame(m)
func EncodeFrame(m message.Message) ([]byte, error) { return encodeFrame(&m, message.FrameVersion) }

func encodeFrame(m *message.Message, version byte) ([]byte, error) {
	frame := make([]byte, headerSize, headerSize+minMessageCapacity+m.Msgsize()/4)
	frame, err := m.MarshalMsg(frame)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	size := len(frame) - headerSize
	if size > MaxFrameSize {
		return nil, Error.Wrap(fmt.Errorf("message of %d bytes exceeds the limit of %d bytes: %w",
			size, MaxFrameSize, ErrFrameSize))
	}
	frame[0] = version
	binary.BigEndian.PutUint32(frame[1:], uint32(size))
	return frame, nil
}

// ReadFrame reads one complete frame from a stream and returns its message.
//
// Example: m, err := transport.ReadFrame(conn)
func ReadFrame(r io.Reader) (message.Message, error) {
	var codec frameCodec
	m, _, err := codec.read(r)
	return m, err
}

// readHeader reads the header of a frame. Errors of the reader are returned unwrapped, so
// that callers can distinguish the end of a connection from an invalid frame.
func readHeader(r io.Reader) (version byte, size int, err error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, 0, err
	}
	version = header[0]
	if version != message.FrameVersion && version != message.CompactFrameVersion {
		return 0, 0, Error.Wrap(fmt.Errorf("frame of wire version %d, expected %d or %d: %w",
			version, message.FrameVersion, message.CompactFrameVersion, ErrFrameVersion))
	}
	size = int(binary.BigEndian.Uint32(header[1:]))
	if size > MaxFrameSize {
		return 0, 0, Error.Wrap(fmt.Errorf("frame of %d bytes exceeds the limit of %d bytes: %w",
			size, MaxFrameSize, ErrFrameSize))
	}
	return version, size, nil
}

// readBody reads the encoded message, which is size bytes long.
func readBody(r io.Reader, size int) ([]byte, error) {
	body := make([]byte, min(size, maxPrealloc))
	got, err := io.ReadFull(r, body)
	if err == nil && got < size {
		var rest []byte
		rest, err = io.ReadAll(io.LimitReader(r, int64(size-got)))
		body = append(body, rest...)
		got = len(body)
	}
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, err
	}
	if got < size {
		return nil, Error.Wrap(fmt.Errorf("got %d of %d bytes: %w", got, size, ErrTruncated))
	}
	return body, nil
}

// decodeBody decodes a message and rejects trailing bytes and unknown kinds.
func decodeBody(body []byte, m *message.Message) error {
	rest, err := m.UnmarshalMsg(body)
	if err != nil {
		return Error.Wrap(fmt.Errorf("%w: %w", ErrMalformed, err))
	}
	if len(rest) > 0 {
		return Error.Wrap(fmt.Errorf("%d trailing bytes after the message: %w", len(rest), ErrMalformed))
	}
	if !m.Kind.IsKnown() {
		return Error.Wrap(fmt.Errorf("kind %d: %w", m.Kind, ErrUnknownKind))
	}
	return nil
}

// hasCompleteFrame reports whether the buffer already contains a complete frame.
func hasCompleteFrame(r *bufio.Reader) bool {
	if r.Buffered() < headerSize {
		return false
	}
	header, err := r.Peek(headerSize)
	return err == nil && r.Buffered()-headerSize >= int(binary.BigEndian.Uint32(header[1:]))
}
