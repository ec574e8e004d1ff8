package httpresponse

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"sync"
	"time"
)

// NewTransport returns a transport that opens connections with the dialer, for HTTP without TLS and methods
// other than HEAD. The responses that it returns are those that Read accepts.
//
// Example: client := &http.Client{Transport: httpresponse.NewTransport(&net.Dialer{Timeout: time.Second})}
func NewTransport(dialer *net.Dialer) *http.Transport {
	return &http.Transport{
		IdleConnTimeout: idleTimeout,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return newConn(c), nil
		},
	}
}

// idleTimeout is how long an idle connection is kept.
const idleTimeout = 90 * time.Second

// Settings of the connections of NewClient's clients.
const (
	dialTimeout       = 30 * time.Second
	keepAliveInterval = 30 * time.Second
	maxIdleConns      = 100
)

// defaultTransport is the transport of all clients that NewClient returns.
var defaultTransport = newDefaultTransport()

func newDefaultTransport() *http.Transport {
	transport := NewTransport(&net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval})
	transport.Proxy, transport.MaxIdleConns = http.ProxyFromEnvironment, maxIdleConns
	return transport
}

// NewClient returns a client whose calls, with their bodies, end after the timeout. Its connections are shared
// with the other clients that NewClient has returned.
//
// Example: client := httpresponse.NewClient(time.Second)
func NewClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: defaultTransport}
}

// conn is a connection to a server whose Read returns the bytes of valid responses only.
type conn struct {
	net.Conn
	reader   *bufio.Reader // of the connection as it is
	response io.Reader     // rest of the response that is being read; nil between responses
	isLast   bool          // the response ends with the connection
	err      error         // final

	writing  sync.Mutex // held during a write
	writeErr error      // of the first write that failed
}

func newConn(c net.Conn) *conn { return &conn{Conn: c, reader: bufio.NewReader(c)} }

// Write implements net.Conn.
//
// Example: n, err := c.Write(request)
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// requestSent waits for the write under way and until the server's machine has what was written. It returns
// the error of the first write that failed.
func (c *conn) requestSent() error {
	c.writing.Lock()
	err := c.writeErr
	c.writing.Unlock()
	if err != nil {
		return err
	}
	return AwaitAcknowledged(c.Conn)
}

// Read implements net.Conn.
//
// Example: n, err := c.Read(buf)
func (c *conn) Read(p []byte) (n int, err error) {
	for n == 0 && c.err == nil {
		if c.response == nil {
			c.err = c.nextResponse()
			continue
		}
		if n, c.err = c.response.Read(p); c.err == io.EOF && !c.isLast {
			c.response, c.err = nil, nil
		}
	}
	if n > 0 {
		return n, nil
	}
	return 0, c.err
}

// nextResponse reads the head of the next response.
func (c *conn) nextResponse() error {
	res, head, err := read(c.reader, nil, c.requestSent)
	if err != nil {
		return err
	}
	body := io.Reader(res.Body)
	if len(res.TransferEncoding) > 0 {
		body = &chunkEncoder{body: body}
	}
	c.response = io.MultiReader(bytes.NewReader(head), body)
	c.isLast = res.Body != http.NoBody && len(res.TransferEncoding) == 0 && res.ContentLength < 0
	return nil
}

// encodedChunk is the longest chunk that a chunkEncoder returns, in bytes.
const encodedChunk = 4 << 10

// chunkEncoder returns a body in chunks.
type chunkEncoder struct {
	body    io.Reader
	encoded bytes.Buffer
	err     error // of the body
}

// Read returns io.EOF after the last chunk.
//
// Example: n, err := encoder.Read(buf)
func (e *chunkEncoder) Read(p []byte) (int, error) {
	for e.encoded.Len() == 0 {
		if e.err != nil {
			return 0, e.err
		}
		e.encodeNext()
	}
	return e.encoded.Read(p)
}

// encodeNext encodes the next bytes of the body as a chunk, and its end as the last chunk.
func (e *chunkEncoder) encodeNext() {
	var piece [encodedChunk]byte
	var n int
	n, e.err = e.body.Read(piece[:])
	chunks := httputil.NewChunkedWriter(&e.encoded)
	if n > 0 {
		_, _ = chunks.Write(piece[:n])
	}
	if e.err == io.EOF {
		_ = chunks.Close()
		_, _ = e.encoded.WriteString(lineEnd)
	}
}
