package httpresponse

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"golang.org/x/net/http/httpguts"
)

// Sizes of the head of a response, and of a trailer, in bytes.
const (
	maxHead   = 64 << 10
	usualHead = 512 // longer ones are read with more than one allocation
)

// ErrMalformed is the error for bytes that are no HTTP/1 response.
var ErrMalformed = errors.New("malformed response")

// head is the head of a response, or a trailer.
type head struct {
	bytes       []byte // as received, with the empty line
	hasLength   bool   // it has a field Content-Length
	hasEncoding bool   // it has a field Transfer-Encoding
}

// readHead reads a status line and header fields up to the empty line, and checks them. It
// returns io.EOF if the connection ends before the first byte.
func readHead(r *bufio.Reader) (h head, err error) {
	h.bytes = make([]byte, 0, usualHead)
	if err := h.appendLine(r); err == io.EOF && len(h.bytes) > 0 {
		return h, io.ErrUnexpectedEOF
	} else if err != nil {
		return h, err
	}
	statusLine := h.lineFrom(0)
	if err := checkStatusLine(statusLine); err != nil {
		return h, err
	}
	isVersion10 := bytes.HasPrefix(statusLine, []byte(version10))
	if err := h.appendFields(r); err != nil {
		return h, err
	}
	switch { // where such a body ends can't be known (RFC 9112, sections 6.1 and 6.3)
	case h.hasEncoding && h.hasLength:
		return h, fmt.Errorf("%w: a length and a transfer encoding", ErrMalformed)
	case h.hasEncoding && isVersion10:
		return h, fmt.Errorf("%w: a transfer encoding in %s", ErrMalformed, version10)
	}
	return h, nil
}

// readTrailer reads the fields after the last chunk up to the empty line.
func readTrailer(r *bufio.Reader) error {
	var trailer head
	return trailer.appendFields(r)
}

// appendFields appends the field lines up to and including the empty line, and checks them.
func (h *head) appendFields(r *bufio.Reader) error {
	for {
		start := len(h.bytes)
		if err := h.appendLine(r); err == io.EOF {
			return io.ErrUnexpectedEOF
		} else if err != nil {
			return err
		}
		line := h.lineFrom(start)
		if len(line) == 0 {
			return nil
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok {
			return fmt.Errorf("%w: no colon in %q", ErrMalformed, line)
		}
		if err := checkField(name, value); err != nil {
			return err
		}
		h.hasLength = h.hasLength || bytes.EqualFold(name, []byte("Content-Length"))
		h.hasEncoding = h.hasEncoding || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	}
}

const lineEnd = "\r\n"

// lineFrom returns the last line, which begins at start, without its end.
func (h *head) lineFrom(start int) []byte { return h.bytes[start : len(h.bytes)-len(lineEnd)] }

// appendLine appends the next line with its end.
func (h *head) appendLine(r *bufio.Reader) error {
	for {
		fragment, err := r.ReadSlice('\n')
		h.bytes = append(h.bytes, fragment...)
		switch {
		case len(h.bytes) > maxHead:
			return fmt.Errorf("%w: a head of more than %d bytes", ErrMalformed, maxHead)
		case err == bufio.ErrBufferFull:
			continue
		case err != nil:
			return err
		case !bytes.HasSuffix(h.bytes, []byte(lineEnd)):
			return fmt.Errorf("%w: a line ends without a carriage return", ErrMalformed)
		}
		return nil
	}
}

const (
	version10 = "HTTP/1.0"
	version11 = "HTTP/1.1"
)

// The first digits of the status codes that exist (RFC 9110, section 15).
const (
	firstStatusClass = '1'
	lastStatusClass  = '5'
)

// checkStatusLine checks a line such as "HTTP/1.1 200 OK". The reason may be missing.
func checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	status, reason, _ := bytes.Cut(rest, []byte(" "))
	switch {
	case string(version) != version10 && string(version) != version11:
		return fmt.Errorf("%w: version %q", ErrMalformed, version)
	case !isStatus(status):
		return fmt.Errorf("%w: status %q", ErrMalformed, status)
	case !httpguts.ValidHeaderFieldValue(string(reason)):
		return fmt.Errorf("%w: reason %q", ErrMalformed, reason)
	}
	return nil
}

// isStatus reports whether a status code is from 100 to 599.
func isStatus(code []byte) bool {
	return len(code) == 3 && code[0] >= firstStatusClass && code[0] <= lastStatusClass && isDigit(code[1]) && isDigit(code[2])
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// checkField checks a field. net/http also accepts a blank in or after the name, and a line that continues
// the one before it, which two programs may understand differently (RFC 9112, sections 5.1 and 5.2).
func checkField(name, value []byte) error {
	switch {
	case !httpguts.ValidHeaderFieldName(string(name)):
		return fmt.Errorf("%w: field name %q", ErrMalformed, name)
	case !httpguts.ValidHeaderFieldValue(string(value)):
		return fmt.Errorf("%w: value of field %s", ErrMalformed, name)
	}
	return nil
}
