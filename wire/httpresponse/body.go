package httpresponse

import (
	"fmt"
	"io"
)

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
