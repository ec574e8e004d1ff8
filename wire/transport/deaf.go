package transport

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A connection to a machine that is cut off or has lost power says nothing, and
// the system would send again more and more rarely: after a cut of 20 s up to
// 20 s later. So one whose bytes aren't confirmed for PeerTimeout is closed, with what
// it holds, and made anew; what was on it is asked for again by those above.

const (
	usualDial  = 300 * time.Millisecond
	dialRatio  = 0.25 // of PeerTimeout: a new connection comes up; what waits for one is lost if it does not
	probeRatio = 4    // of PeerTimeout: an idle connection's other end is asked whether it is there
	probes     = 3    // unanswered ones that end it
)

// dialer makes connections to other daemons.
func (l *Transport) dialer() *net.Dialer {
	if l.PeerTimeout == 0 {
		return &net.Dialer{Timeout: usualDial}
	}
	return &net.Dialer{
		Timeout:         time.Duration(float64(l.PeerTimeout) * dialRatio),
		KeepAliveConfig: l.probed(),
		Control: func(_, _ string, raw syscall.RawConn) error {
			var fault error
			err := raw.Control(func(fd uintptr) {
				fault = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(l.PeerTimeout.Milliseconds()))
			})
			return errors.Join(err, fault)
		},
	}
}

func (l *Transport) probed() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeRatio * l.PeerTimeout, Interval: l.PeerTimeout, Count: probes}
}

// watch has the end of a connection seen that was taken, where the other end's
// machine is gone without a word.
func (l *Transport) watch(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok && l.PeerTimeout > 0 {
		_ = t.SetKeepAliveConfig(l.probed())
	}
}
