package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"golang.org/x/sys/unix"
)

// disconnectWait is how long an order waits for the end of its caller's connection. The end of a caller that
// has given up follows its request at once, also after a freeze of the daemon or a break of the link.
const disconnectWait = 14 * time.Millisecond

// tcpEstablished is the state of a TCP connection that neither side has closed, as in TCPInfo.State.
const tcpEstablished = 1

// connectionKey is the context key of a call's connection.
type connectionKey struct{}

// WithConnection makes a connection known to the handlers of its requests; it is for http.Server.ConnContext.
//
// Example: server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return daemon.WithConnection(ctx, c) }
func WithConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// AwaitCaller returns how much is left of the patience of an order's caller, 0 if the caller has given up. It waits
// briefly for the end of the connection. Orders have no ID or version by which a late one could be recognized. An
// order whose caller has given up must not be carried out: the caller may have repeated and reversed it elsewhere.
//
// Example: if left := daemon.AwaitCaller(r, 900*time.Millisecond); left > 0 { call(left) }
func AwaitCaller(r *http.Request, patience time.Duration) (left time.Duration) {
	received := time.Now()
	timer := time.NewTimer(disconnectWait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
	}
	if r.Context().Err() != nil { // both may have happened while the daemon stood still
		return 0
	}
	age, open := requestAge(r)
	if !open {
		return 0
	}
	return max(0, patience-max(age, time.Since(received)))
}

// requestAge returns how long ago the last bytes of a request arrived at this machine, which may be long before the
// daemon read them, and whether its caller's side of the connection is open. The age is 0 if it isn't known.
func requestAge(r *http.Request) (age time.Duration, open bool) {
	conn, ok := r.Context().Value(connectionKey{}).(*net.TCPConn)
	if !ok {
		return 0, true
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, false
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(socket uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(socket), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoErr != nil {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, info.State == tcpEstablished
}
