package transport

import (
	"bufio"
	"encoding/binary"
	"io"

	"mulleinmast/wire/message"
)

// EncodeFrame makes a frame of a message.
//
// Example: b, err := transport.EncodeFrame(message)
func EncodeFrame(n message.Message) ([]byte, error) { return pack(n, message.FrameVersion) }

func pack(n message.Message, version byte) ([]byte, error) {
	b := make([]byte, head, head+256+n.Msgsize()/4)
	b, err := n.MarshalMsg(b)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(b)-head > MaxFrameSize {
		return nil, Error.New("note of %d bytes, at most %d go in a frame", len(b)-head, MaxFrameSize)
	}
	b[0] = version
	binary.BigEndian.PutUint32(b[1:], uint32(len(b)-head))
	return b, nil
}

// ReadFrame takes one message off a stream.
//
// Example: message, err := transport.ReadFrame(conn)
func ReadFrame(r io.Reader) (message.Message, error) {
	var s spoken
	n, _, err := s.read(r)
	return n, err
}

// read takes a message off this connection and gives the length of its frame.
func (s *spoken) read(r io.Reader) (n message.Message, whole int, err error) {
	var h [head]byte
	if _, err = io.ReadFull(r, h[:]); err != nil {
		return n, 0, err
	}
	if h[0] != message.FrameVersion && h[0] != message.CompactFrameVersion {
		return n, 0, Error.New("frame of wire version %d, expected %d or %d", h[0], message.FrameVersion, message.CompactFrameVersion)
	}
	size := int(binary.BigEndian.Uint32(h[1:]))
	if size > MaxFrameSize {
		return n, 0, Error.New("frame of %d bytes, at most %d are taken", size, MaxFrameSize)
	}
	b := make([]byte, min(size, trust))
	got, err := io.ReadFull(r, b)
	if err == nil && got < size {
		var rest []byte
		rest, err = io.ReadAll(io.LimitReader(r, int64(size-got)))
		b = append(b, rest...)
		got = len(b)
	}
	if err != nil && err != io.EOF && err != io.ErrUnexpectedEOF {
		return n, 0, err
	}
	if got < size {
		return n, 0, Error.New("frame cut short: %d of %d bytes", got, size)
	}
	rest, err := n.UnmarshalMsg(b)
	if err != nil {
		return n, 0, Error.New("frame can't be read: %v", err)
	}
	if len(rest) > 0 {
		return n, 0, Error.New("%d bytes left over in a frame", len(rest))
	}
	if !n.Kind.Known() {
		return n, 0, Error.New("note of unknown kind %d", n.Kind)
	}
	if h[0] == message.CompactFrameVersion {
		if err := s.lengthen(&n); err != nil {
			return n, 0, err
		}
	}
	s.keep(n)
	return n, head + size, nil
}

// whole tells whether a whole frame is in the buffer already.
func whole(r *bufio.Reader) bool {
	if r.Buffered() < head {
		return false
	}
	h, err := r.Peek(head)
	return err == nil && r.Buffered()-head >= int(binary.BigEndian.Uint32(h[1:]))
}
