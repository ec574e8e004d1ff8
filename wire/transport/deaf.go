package transport

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A connection to a machine that is cut off or has lost power says nothing, and
// the system would send again more and more rarely: after a cut of 20 s up to
// 20 s later. So one whose bytes aren't confirmed for Dead is closed, with what
// it holds, and made anew; what was on it is asked for again by those above.

const (
	usualDead  = time.Second
	dialRatio  = 0.5 // of Dead: a new connection comes up
	probeRatio = 4   // of Dead: an idle connection's other end is asked whether it is there
	probes     = 3   // unanswered ones that end it
)

func (l *Line) dead() time.Duration {
	if l.Dead > 0 {
		return l.Dead
	}
	return usualDead
}

func (l *Line) alive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeRatio * l.dead(), Interval: l.dead(), Count: probes}
}

// dialer makes connections to other daemons.
func (l *Line) dialer() net.Dialer {
	dead := int(l.dead().Milliseconds())
	return net.Dialer{
		Timeout:         time.Duration(float64(l.dead()) * dialRatio),
		KeepAliveConfig: l.alive(),
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// Without it all works, if slower: a connection is worth more.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, dead)
			})
		},
	}
}

// watch has the end of a connection seen that was taken, where the other end's
// machine is gone without a word.
func (l *Line) watch(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetKeepAliveConfig(l.alive())
	}
}
