package transport

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A remote machine that is cut off or without power sends nothing, and the kernel backs
// off its retransmissions: after an outage of 20 s the next retransmission may be 20 s away.
// A connection whose data isn't acknowledged for PeerTimeout is therefore closed, which
// discards the data, and dialed again. The state machines that sent the data retry.

const (
	// defaultDialTimeout applies if PeerTimeout isn't set.
	defaultDialTimeout = 300 * time.Millisecond
	// dialTimeoutRatio is the dial timeout as a fraction of PeerTimeout. Messages that wait
	// for the connection are lost if the dial fails.
	dialTimeoutRatio = 0.25
	// keepAliveIdleRatio is the idle time before the first keep-alive probe, in multiples
	// of PeerTimeout.
	keepAliveIdleRatio = 4
	// keepAliveProbes is the number of unanswered probes after which a connection is closed.
	keepAliveProbes = 3
)

// dialer returns the dialer for connections to other daemons.
func (t *Transport) dialer() *net.Dialer {
	if t.PeerTimeout == 0 {
		return &net.Dialer{Timeout: defaultDialTimeout}
	}
	return &net.Dialer{
		Timeout:         time.Duration(float64(t.PeerTimeout) * dialTimeoutRatio),
		KeepAliveConfig: t.keepAliveConfig(),
		Control: func(_, _ string, conn syscall.RawConn) error {
			return setUserTimeout(conn, t.PeerTimeout)
		},
	}
}

// setUserTimeout makes the kernel close a connection whose data stays unacknowledged for
// the timeout.
func setUserTimeout(conn syscall.RawConn, timeout time.Duration) error {
	var optionErr error
	err := conn.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}

func (t *Transport) keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdleRatio * t.PeerTimeout, Interval: t.PeerTimeout, Count: keepAliveProbes,
	}
}

// enableKeepAlive makes the kernel probe an idle accepted connection, so that it is closed
// if the remote machine has vanished without closing it.
func (t *Transport) enableKeepAlive(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok && t.PeerTimeout > 0 {
		_ = tcp.SetKeepAliveConfig(t.keepAliveConfig())
	}
}
