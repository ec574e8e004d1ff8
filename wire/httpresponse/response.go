// Package httpresponse reads HTTP/1 responses strictly. A response whose head another reader could
// understand differently is an error, and a body ends without an error only if it is whole.
package httpresponse

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
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

// read also returns the bytes of the head.
func read(r *bufio.Reader, req *http.Request, requestSent func() error) (*http.Response, []byte, error) {
	h, err := readHead(r)
	if err != nil {
		return nil, nil, err
	}
	res, err := http.ReadResponse(bufio.NewReaderSize(bytes.NewReader(h.bytes), len(h.bytes)), req)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if res.Body != http.NoBody {
		res.Body = io.NopCloser(newBody(r, res, requestSent))
	}
	return res, h.bytes, nil
}
