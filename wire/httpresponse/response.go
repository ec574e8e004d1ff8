// Package httpresponse reads HTTP/1 responses. A body ends without an error only if it is whole.
package httpresponse

import (
	"bufio"
	"io"
	"net/http"
)

// Read reads the head of the response to a request; if the request is nil, to a GET. The response's
// body is read from r as well. requestSent waits until the request is sent or sending has failed; it
// is called at the end of a body that only the end of its connection delimits.
//
// Example: res, err := httpresponse.Read(conn.reader, req, upload.wait)
func Read(r *bufio.Reader, req *http.Request, requestSent func() error) (*http.Response, error) {
	res, err := http.ReadResponse(r, req)
	if err != nil {
		return nil, err
	}
	if res.Body != http.NoBody && len(res.TransferEncoding) == 0 && res.ContentLength < 0 {
		res.Body = io.NopCloser(&unsizedBody{reader: r, requestSent: requestSent})
	}
	return res, nil
}
