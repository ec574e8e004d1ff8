package httpresponse

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
)

// ErrTooLong is the error for a body that is longer than its receiver allows.
var ErrTooLong = errors.New("body is too long")

// ReadBody reads a body to its end. A body that isn't whole, or longer than limit bytes, is an error.
//
// Example: b, err := httpresponse.ReadBody(res.Body, 64<<10)
func ReadBody(body io.Reader, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err == nil && int64(len(b)) > limit {
		err = ErrTooLong
	}
	return b, err
}

// ReadJSON decodes a whole body of at most limit bytes, which is one JSON value.
//
// Example: err := httpresponse.ReadJSON(res.Body, 64<<10, &handle)
func ReadJSON(body io.Reader, limit int64, to any) error {
	b, err := ReadBody(body, limit)
	if err != nil {
		return err
	}
	return json.Unmarshal(b, to)
}

// newBody returns the reader of a response's body. It returns io.EOF only after the whole body.
func newBody(r *bufio.Reader, res *http.Response, requestSent func() error) io.Reader {
	switch {
	case len(res.TransferEncoding) > 0: // net/http accepts only "chunked"
		return &endedBody{reader: &chunkedBody{chunks: httputil.NewChunkedReader(r), reader: r}}
	case res.ContentLength >= 0:
		return &endedBody{reader: &sizedBody{reader: r, left: res.ContentLength}}
	}
	return &endedBody{reader: &unsizedBody{reader: r, requestSent: requestSent}}
}

// endedBody is a body whose end or error is final: no later call reads on.
type endedBody struct {
	reader io.Reader
	err    error
}

// Read returns io.EOF after the whole body.
//
// Example: n, err := body.Read(buf)
func (b *endedBody) Read(p []byte) (n int, err error) {
	if b.err == nil {
		n, b.err = b.reader.Read(p)
	}
	return n, b.err
}

// sizedBody is a body of a known length.
type sizedBody struct {
	reader io.Reader
	left   int64 // bytes
}

// Read returns io.EOF after the whole body.
//
// Example: n, err := body.Read(buf)
func (b *sizedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	if err == io.EOF && b.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody is a body in chunks. Its trailer is checked and discarded.
type chunkedBody struct {
	chunks io.Reader
	reader *bufio.Reader
}

// Read returns io.EOF after the whole body.
//
// Example: n, err := body.Read(buf)
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.chunks.Read(p)
	if err != io.EOF {
		return n, err
	}
	if err := readTrailer(b.reader); err != nil {
		return n, err
	}
	return n, io.EOF
}

// unsizedBody is a body that ends with its connection. The operating system reports a
// connection's error to only one call, and to the call after it the connection looks properly
// closed. So the body is whole only if sending the request didn't fail either.
type unsizedBody struct {
	reader      io.Reader
	requestSent func() error
}

// Read returns io.EOF after the whole body.
//
// Example: n, err := body.Read(buf)
func (b *unsizedBody) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err != io.EOF || n > 0 {
		return n, err
	}
	if err := b.requestSent(); err != nil {
		return 0, fmt.Errorf("%w: the connection ended while the request was sent: %w", io.ErrUnexpectedEOF, err)
	}
	return 0, io.EOF
}
