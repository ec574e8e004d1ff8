package httpresponse

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// acknowledgmentPoll is the interval between two looks at a socket's unacknowledged bytes; the operating
// system doesn't signal that there are none left.
const acknowledgmentPoll = time.Millisecond

// AwaitAcknowledged waits until the peer's machine has acknowledged all bytes written to a connection, until the
// connection fails or until its read deadline. A peer that ends its side of the connection has acknowledged
// with that all that it had received.
//
// Example: if err := httpresponse.AwaitAcknowledged(c); err != nil { return err }
func AwaitAcknowledged(c net.Conn) error {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var poll *time.Ticker
	for {
		left, err := unacknowledged(raw)
		if err != nil || left == 0 {
			return err
		}
		if poll == nil {
			poll = time.NewTicker(acknowledgmentPoll)
			defer poll.Stop()
		}
		<-poll.C
	}
}

// unacknowledged returns how many bytes written to a socket the peer's machine has not acknowledged, 0 if the
// operating system doesn't tell.
func unacknowledged(raw syscall.RawConn) (bytes int, err error) {
	var failure int
	err = raw.Read(func(fd uintptr) bool { // fails if the deadline has passed
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			bytes = n
		}
		failure, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
		return true
	})
	if err == nil && failure != 0 {
		err = syscall.Errno(failure)
	}
	return bytes, err
}
