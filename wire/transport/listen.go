package transport

import (
	"errors"
	"net"
	"time"
)

// acceptRetryInterval is the pause after a failed accept, for example while the process has no free descriptor.
const acceptRetryInterval = 20 * time.Millisecond

// retryingListener is a listener whose Accept fails only once it is closed. A server would otherwise stop, and
// close the listener, at an error that concerns one connection or the moment.
type retryingListener struct{ net.Listener }

// Listen opens a TCP listener whose Accept retries until the listener is closed.
//
// Example: listener, err := transport.Listen("127.0.0.1:7000")
func Listen(addr string) (net.Listener, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return retryingListener{listener}, nil
}

// Accept returns the next connection.
//
// Example: conn, err := listener.Accept()
func (l retryingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		<-time.After(acceptRetryInterval)
	}
}
