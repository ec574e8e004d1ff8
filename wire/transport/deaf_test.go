package transport

import (
	"context"
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"mulleinmast/wire/message"
)

// deafen has the system drop all that comes for one end of a connection, as a
// cut or a loss of power does: nothing is confirmed and nothing is reset.
func deafen(t *testing.T, c net.Conn) {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	var bad error
	if err := raw.Control(func(fd uintptr) {
		bad = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop[0]})
	}); err != nil || bad != nil {
		t.Fatal(err, bad)
	}
}

// A peer that is cut off without a word is spoken to on a new connection after
// PeerTimeout, not when the system gives the old one up: that takes as long again as
// the cut did, or a quarter of an hour.
func TestADeafConnectionIsMadeAnew(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	came := make(chan net.Conn, 64)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			came <- c
		}
	}()
	const dead = 200 * time.Millisecond
	l := &Transport{Fleet: "f", Self: message.Replica{Ident: "a", Addr: "127.0.0.1:1"}, PeerTimeout: dead, Receive: func(message.Message) {}}
	if err := l.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() { _ = l.Serve(ctx) }()
	beat := time.NewTicker(dead / 8)
	defer beat.Stop()
	limit := time.After(20 * dead)
	// next is the next connection that a note comes on.
	next := func(what string) net.Conn {
		for {
			select {
			case c := <-came:
				if n, err := ReadFrame(c); err != nil || n.Key != "k" {
					t.Fatalf("%s: %v %v", what, n, err)
				}
				return c
			case <-beat.C:
				l.Send(message.Envelope{Addr: ln.Addr().String(), Message: message.Message{Kind: message.KindRenewLease, Key: "k"}})
			case <-limit:
				t.Fatalf("%s: no connection within %v", what, 20*dead)
			}
		}
	}
	first := next("first")
	defer func() { _ = first.Close() }()
	deafen(t, first)
	at := time.Now()
	second := next("after the first fell deaf")
	defer func() { _ = second.Close() }()
	t.Logf("spoken to again after %v", time.Since(at).Round(time.Millisecond))
}

// A machine that has no power answers no opening packet, and while one is waited
// for, what goes to its address waits behind it: a question that a change of
// leader needs is lost when the wait ends in vain. So the wait is short.
func TestAMachineWithoutPowerIsDialledAnewSoon(t *testing.T) {
	const dead = 800 * time.Millisecond
	if most := (&Transport{PeerTimeout: dead}).dialer().Timeout; most > dead/4 || most <= 0 {
		t.Errorf("a connection is waited for %v where one that is deaf is closed after %v", most, dead)
	}
}
