// Package httpresponse reads HTTP/1 responses strictly. A response whose head another reader could
// understand differently is an error, and a body ends without an error only if it is whole.
package httpresponse

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
)

// Read reads the head of the response to a request; if the request is nil, to a GET. The response's
// body is read from r as well. requestSent waits until the request is sent or sending has failed; it
// is called at the end of a body that only the end of its connection delimits. Read returns io.EOF if
// the connection ends before the first byte.
//
// Example: res, err := httpresponse.Read(conn.reader, req, upload.wait)
func Read(r *bufio.Reader, req *http.Request, requestSent func() error) (*http.Response, error) {
	res, _, err := read(r, req, requestSent)
	return res, err
}

// headBuffers holds the buffers, of type *bufio.Reader, through which net/http reads heads.
var headBuffers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, usualHead) }}

// interpret returns the response that a head begins, without its body.
func interpret(h head, req *http.Request) (*http.Response, error) {
	buffer := headBuffers.Get().(*bufio.Reader)
	defer headBuffers.Put(buffer)
	buffer.Reset(bytes.NewReader(h.bytes))
	res, err := http.ReadResponse(buffer, req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return res, nil
}

// read also returns the bytes of the head.
func read(r *bufio.Reader, req *http.Request, requestSent func() error) (*http.Response, []byte, error) {
	h, err := readHead(r)
	if err != nil {
		return nil, nil, err
	}
	res, err := interpret(h, req)
	if err != nil {
		return nil, nil, err
	}
	if res.Body != http.NoBody {
		res.Body = io.NopCloser(newBody(r, res, requestSent))
	}
	return res, h.bytes, nil
}
