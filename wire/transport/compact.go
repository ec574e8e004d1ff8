package transport

import (
	"io"

	"mulleinmast/wire/message"
)

// frameCodec encodes or decodes the frames of one connection. It keeps the values of
// the previous frame that a compact frame omits because both ends know them: the fields that
// are the same in all messages of a daemon, and the last recipient. The zero value is
// ready for a new connection.
type frameCodec struct {
	hasBase bool
	base    frameBase
}

// frameBase holds the values that a compact frame omits, named as in message.Message.
type frameBase struct {
	fleet, from string
	epoch       uint64
	addr, to    string
}

// Reserved values that replace an identity in a compact frame. They are shorter than
// any identity.
const (
	noRecipient   = "-" // the message has no recipient
	sameSender    = "f" // the identity in the volume epoch is the sender's
	sameRecipient = "t" // the identity in the volume epoch is the recipient's
)

// encode returns the next frame of a connection. It is a compact one if compact is set
// and the message allows it.
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
		return nil, err // the frame isn't sent, so the base stays unchanged
	}
	c.remember(&m)
	return frame, nil
}

// read decodes the next message of the connection and returns it with the length of its frame.
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

// canCompact reports whether a message has the same sender fields as the base and contains
// none of the reserved values.
func (c *frameCodec) canCompact(m *message.Message) bool {
	sameBase := m.Fleet == c.base.fleet && m.From == c.base.from && m.Epoch == c.base.epoch && m.Addr == c.base.addr
	holdsReserved := m.To == noRecipient || m.VolumeEpoch.Ident == sameSender || m.VolumeEpoch.Ident == sameRecipient
	return c.hasBase && sameBase && !holdsReserved
}

// omitBase removes from a message the values that the receiver knows from the base.
func (c *frameCodec) omitBase(m *message.Message) {
	if m.VolumeEpoch.Ident != "" {
		switch m.VolumeEpoch.Ident {
		case m.From:
			m.VolumeEpoch.Ident = sameSender
		case m.To:
			m.VolumeEpoch.Ident = sameRecipient
		}
	}
	switch m.To {
	case c.base.to:
		m.To = ""
	case "":
		m.To = noRecipient
	}
	m.Fleet, m.From, m.Epoch, m.Addr, m.MaxFrameVersion = "", "", 0, "", 0
}

// restoreBase restores the values that a compact frame omits.
func (c *frameCodec) restoreBase(m *message.Message) error {
	if !c.hasBase {
		return Error.Wrap(ErrNoBaseFrame)
	}
	m.Fleet, m.From, m.Epoch, m.Addr = c.base.fleet, c.base.from, c.base.epoch, c.base.addr
	m.MaxFrameVersion = message.CompactFrameVersion
	switch m.To {
	case "":
		m.To = c.base.to
	case noRecipient:
		m.To = ""
	}
	switch m.VolumeEpoch.Ident {
	case sameSender:
		m.VolumeEpoch.Ident = m.From
	case sameRecipient:
		m.VolumeEpoch.Ident = m.To
	}
	return nil
}

// remember makes a message the base for the next frame.
func (c *frameCodec) remember(m *message.Message) {
	c.hasBase = true
	c.base = frameBase{fleet: m.Fleet, from: m.From, epoch: m.Epoch, addr: m.Addr, to: m.To}
}
