package transport

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// The machine of a connection's far end may be cut off or without power: it says
// nothing, and the kernel retries more and more rarely: after a cut of 20 s up to
// 20 s later. So a connection whose bytes aren't acknowledged for PeerTimeout is
// closed, with what it holds, and made anew; what was on it is asked for again by
// those above.

const (
	// defaultDialTimeout holds where there is no PeerTimeout.
	defaultDialTimeout = 300 * time.Millisecond
	// dialTimeoutRatio is the part of PeerTimeout in which a new connection comes up:
	// what waits for one is lost if it doesn't.
	dialTimeoutRatio = 0.25
	// keepAliveIdleRatio is after how many times PeerTimeout the far end of an idle
	// connection is probed.
	keepAliveIdleRatio = 4
	// keepAliveProbes is how many unanswered probes end a connection.
	keepAliveProbes = 3
)

// dialer makes connections to other daemons.
func (t *Transport) dialer() *net.Dialer {
	if t.PeerTimeout == 0 {
		return &net.Dialer{Timeout: defaultDialTimeout}
	}
	return &net.Dialer{
		Timeout:         time.Duration(float64(t.PeerTimeout) * dialTimeoutRatio),
		KeepAliveConfig: t.keepAlive(),
		Control: func(_, _ string, conn syscall.RawConn) error {
			return setUserTimeout(conn, t.PeerTimeout)
		},
	}
}

// setUserTimeout has the kernel close a connection whose bytes aren't acknowledged
// for so long.
func setUserTimeout(conn syscall.RawConn, timeout time.Duration) error {
	var optionErr error
	err := conn.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}

func (t *Transport) keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdleRatio * t.PeerTimeout, Interval: t.PeerTimeout, Count: keepAliveProbes,
	}
}

// probeWhenIdle has the kernel find out when the far end's machine of an accepted
// connection is gone without a word.
func (t *Transport) probeWhenIdle(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok && t.PeerTimeout > 0 {
		_ = tcp.SetKeepAliveConfig(t.keepAlive())
	}
}
