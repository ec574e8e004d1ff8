package httpresponse

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

func sent() error { return nil }

var errReset = errors.New("connection reset")

func notSent() error { return errReset }

// A body ends without an error only if it is whole by its own framing, or if its connection ended
// properly and the request was sent. Reads of any size see the same.
func TestBodiesAreWhole(t *testing.T) {
	const length, chunks = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, x := range []struct {
		what, says  string
		requestSent func() error
		whole       bool
	}{
		{"a length", length + "body", sent, true},
		{"a length, the request not sent", length + "body", notSent, true},
		{"a length, too short", length + "bod", sent, false},
		{"chunks", chunks + "4\r\nbody\r\n0\r\n\r\n", sent, true},
		{"chunks, the request not sent", chunks + "4\r\nbody\r\n0\r\n\r\n", notSent, true},
		{"chunks with a trailer", chunks + "4\r\nbody\r\n0\r\nX-Note: 1\r\n\r\n", sent, true},
		{"chunks with a broken trailer", chunks + "4\r\nbody\r\n0\r\nX Note: 1\r\n\r\n", sent, false},
		{"chunks with a trailer without an end", chunks + "4\r\nbody\r\n0\r\nX-Note: 1\r\n", sent, false},
		{"chunks without the last one", chunks + "4\r\nbody\r\n", sent, false},
		{"chunks without an end", chunks + "4\r\nbody\r\n0\r\n", sent, false},
		{"no framing", "HTTP/1.1 200 OK\r\n\r\nbody", sent, true},
		{"no framing, the request not sent", "HTTP/1.1 200 OK\r\n\r\nbody", notSent, false},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nbody", sent, true},
		{"HTTP/1.0, the request not sent", "HTTP/1.0 200 OK\r\n\r\nbody", notSent, false},
	} {
		for _, oneByOne := range []bool{false, true} {
			var from io.Reader = strings.NewReader(x.says)
			if oneByOne {
				from = iotest.OneByteReader(from)
			}
			res, err := Read(bufio.NewReader(from), nil, x.requestSent)
			if err != nil {
				t.Errorf("%s: %v", x.what, err)
				continue
			}
			b, err := io.ReadAll(res.Body)
			if (err == nil) != x.whole || x.whole && string(b) != "body" || !strings.HasPrefix("body", string(b)) {
				t.Errorf("%s: %q, %v", x.what, b, err)
			}
			if n, again := res.Body.Read(make([]byte, 1)); n != 0 || (again == io.EOF) != x.whole || again == nil {
				t.Errorf("%s: after its end %d, %v", x.what, n, again)
			}
		}
	}
}

// endless repeats its text. It counts the bytes that were read.
type endless struct {
	text string
	read int // bytes
}

func (e *endless) Read(p []byte) (int, error) {
	n := copy(p, e.text)
	e.read += n
	return n, nil
}

// A head or trailer without an end is refused after a bounded number of bytes.
func TestHeadsWithoutAnEndAreRefused(t *testing.T) {
	for what, begin := range map[string]string{
		"fields":        "HTTP/1.1 200 OK\r\n",
		"a field":       "HTTP/1.1 200 OK\r\nX-Note: ",
		"a status line": "HTTP/1.1 200 ",
		"a trailer":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
	} {
		more := &endless{text: "X"}
		if what == "fields" || what == "a trailer" {
			more.text = "X-Note: 1\r\n"
		}
		res, err := Read(bufio.NewReader(io.MultiReader(strings.NewReader(begin), more)), nil, sent)
		if err == nil {
			_, err = io.ReadAll(res.Body)
		}
		if !errors.Is(err, ErrMalformed) || more.read > 2*maxHead {
			t.Errorf("%s: %v after %d bytes", what, err, more.read)
		}
	}
}
