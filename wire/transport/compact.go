package transport

import (
	"io"

	"mulleinmast/wire/message"
)

// frameCodec makes or reads the frames of one connection. It holds what the frame
// before said, as both ends know it: the fields that are alike in all that a daemon
// says, and whom it addressed last. A compact frame leaves them out. The zero value
// is that of a new connection.
type frameCodec struct {
	hasBase bool
	base    frameBase
}

// frameBase is what a compact frame leaves out, under the names of message.Message.
type frameBase struct {
	fleet, from string
	epoch       uint64
	addr, to    string
}

// What stands in a compact frame in place of an identity, shorter than any: no
// addressee, and a volume epoch that is the sender's or the addressee's.
const (
	noAddressee   = "-"
	sameSender    = "f"
	sameAddressee = "t"
)

// encode makes the next frame of a connection, a compact one if the reader
// understands it and the message allows it.
func (c *frameCodec) encode(m message.Message, compact bool) (frame []byte, err error) {
	next := m
	if compact && c.canCompact(&m) {
		c.omitBase(&next)
		frame, err = encodeFrame(&next, message.CompactFrameVersion)
	} else {
		next.MaxFrameVersion = message.CompactFrameVersion
		frame, err = encodeFrame(&next, message.FrameVersion)
	}
	if err != nil {
		return nil, err // nothing of it goes out: the base stays
	}
	c.remember(&m)
	return frame, nil
}

// read takes a message off the connection and gives the length of its frame.
func (c *frameCodec) read(r io.Reader) (m message.Message, frameSize int, err error) {
	version, size, err := readHeader(r)
	if err != nil {
		return m, 0, err
	}
	body, err := readBody(r, size)
	if err != nil {
		return m, 0, err
	}
	if err := decodeBody(body, &m); err != nil {
		return m, 0, err
	}
	if version == message.CompactFrameVersion {
		if err := c.restoreBase(&m); err != nil {
			return m, 0, err
		}
	}
	c.remember(&m)
	return m, headerSize + size, nil
}

// canCompact tells whether a message differs from the base in its addressee alone, and
// holds nothing that would be read as one of the marks.
func (c *frameCodec) canCompact(m *message.Message) bool {
	sameBase := m.Fleet == c.base.fleet && m.From == c.base.from && m.Epoch == c.base.epoch && m.Addr == c.base.addr
	holdsMark := m.To == noAddressee || m.VolumeEpoch.Ident == sameSender || m.VolumeEpoch.Ident == sameAddressee
	return c.hasBase && sameBase && !holdsMark
}

// omitBase takes out of a message what its reader knows.
func (c *frameCodec) omitBase(m *message.Message) {
	if m.VolumeEpoch.Ident != "" {
		switch m.VolumeEpoch.Ident {
		case m.From:
			m.VolumeEpoch.Ident = sameSender
		case m.To:
			m.VolumeEpoch.Ident = sameAddressee
		}
	}
	switch m.To {
	case c.base.to:
		m.To = ""
	case "":
		m.To = noAddressee
	}
	m.Fleet, m.From, m.Epoch, m.Addr, m.MaxFrameVersion = "", "", 0, "", 0
}

// restoreBase gives the message of a compact frame what was left out.
func (c *frameCodec) restoreBase(m *message.Message) error {
	if !c.hasBase {
		return Error.Wrap(ErrNoBaseFrame)
	}
	m.Fleet, m.From, m.Epoch, m.Addr = c.base.fleet, c.base.from, c.base.epoch, c.base.addr
	m.MaxFrameVersion = message.CompactFrameVersion
	switch m.To {
	case "":
		m.To = c.base.to
	case noAddressee:
		m.To = ""
	}
	switch m.VolumeEpoch.Ident {
	case sameSender:
		m.VolumeEpoch.Ident = m.From
	case sameAddressee:
		m.VolumeEpoch.Ident = m.To
	}
	return nil
}

// remember makes a message the base of the next frame.
func (c *frameCodec) remember(m *message.Message) {
	c.hasBase = true
	c.base = frameBase{fleet: m.Fleet, from: m.From, epoch: m.Epoch, addr: m.Addr, to: m.To}
}
