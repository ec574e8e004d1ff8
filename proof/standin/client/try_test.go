package client

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"mulleinmast/proof/standin/entry"
	"mulleinmast/proof/standin/record"
)

// A client takes no broken answer for complete, so that one that a daemon sends doesn't go unseen.
func TestBrokenAnswersAreNotComplete(t *testing.T) {
	for _, x := range []struct {
		what, answer    string
		complete, fault bool
	}{
		{"a length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true, false},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true, false},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nok", true, false},
		{"a length too long", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", false, false},
		{"no answer", "", false, false},
		{"part of a head", "HTTP/1.1 200 OK\r\nConte", false, true},
		{"status 000", "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok", false, true},
		{"a blank in a name", "HTTP/1.1 200 OK\r\nX Note: 1\r\nContent-Length: 2\r\n\r\nok", false, true},
		{"a folded line", "HTTP/1.1 200 OK\r\nX-Note: 1\r\n 2\r\nContent-Length: 2\r\n\r\nok", false, true},
	} {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, x.answer)
			}
			_ = c.Close()
		}()
		c, err := dial(context.Background(), entry.Daemon{Public: ln.Addr().String()})
		if err != nil {
			t.Fatal(err)
		}
		var got record.Try
		deadline := time.Now().Add(5 * time.Second)
		c.exchange(record.New(), message{id: "a", host: "h", method: "GET", target: "/"}, &got, time.Second, deadline)
		if got.Complete != x.complete || (got.Fault != "") != x.fault {
			t.Errorf("%s: complete %v, fault %q", x.what, got.Complete, got.Fault)
		}
		_ = c.Close()
		_ = ln.Close()
	}
}
