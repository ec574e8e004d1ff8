package transport

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"mulleinmast/wire/message"
)

// MaxFrameSize is the largest message that a frame may hold, in bytes.
const MaxFrameSize = 32 << 20

const (
	// headerSize is the length of a frame's header: the version, and the length of
	// the message in four bytes, the highest first.
	headerSize = 5
	// typicalSize is the room that is made for a small message.
	typicalSize = 256
	// maxPrealloc is how many bytes are made room for because a header says so; more
	// only as they arrive.
	maxPrealloc = 64 << 10
)

// EncodeFrame makes a whole frame of a message: one that needs no other to be read.
//
// Example: b, err := transport.EncodeFrame(m)
func EncodeFrame(m message.Message) ([]byte, error) { return encodeFrame(&m, message.FrameVersion) }

func encodeFrame(m *message.Message, version byte) ([]byte, error) {
	frame := make([]byte, headerSize, headerSize+typicalSize+m.Msgsize()/4)
	frame, err := m.MarshalMsg(frame)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	size := len(frame) - headerSize
	if size > MaxFrameSize {
		return nil, Error.Wrap(fmt.Errorf("message of %d bytes, at most %d go in a frame: %w",
			size, MaxFrameSize, ErrFrameSize))
	}
	frame[0] = version
	binary.BigEndian.PutUint32(frame[1:], uint32(size))
	return frame, nil
}

// ReadFrame takes the message of one whole frame off a stream.
//
// Example: m, err := transport.ReadFrame(conn)
func ReadFrame(r io.Reader) (message.Message, error) {
	var codec frameCodec
	m, _, err := codec.read(r)
	return m, err
}

// readHeader reads a frame's header. What the reader returns is passed on as it is, so
// that the end of a connection can be told from a bad frame.
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
		return 0, 0, Error.Wrap(fmt.Errorf("frame of %d bytes, at most %d are taken: %w", size, MaxFrameSize, ErrFrameSize))
	}
	return version, size, nil
}

// readBody reads the message's bytes.
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
		return nil, Error.Wrap(fmt.Errorf("frame cut short: %d of %d bytes: %w", got, size, ErrTruncated))
	}
	return body, nil
}

// decodeBody reads the message out of its bytes.
func decodeBody(body []byte, m *message.Message) error {
	rest, err := m.UnmarshalMsg(body)
	if err != nil {
		return Error.Wrap(fmt.Errorf("%w: %w", ErrMalformed, err))
	}
	if len(rest) > 0 {
		return Error.Wrap(fmt.Errorf("%d bytes left over in a frame: %w", len(rest), ErrMalformed))
	}
	if !m.Kind.IsKnown() {
		return Error.Wrap(fmt.Errorf("message of unknown kind %d: %w", m.Kind, ErrUnknownKind))
	}
	return nil
}

// hasWholeFrame tells whether a whole frame is in the buffer already.
func hasWholeFrame(r *bufio.Reader) bool {
	if r.Buffered() < headerSize {
		return false
	}
	header, err := r.Peek(headerSize)
	return err == nil && r.Buffered()-headerSize >= int(binary.BigEndian.Uint32(header[1:]))
}
