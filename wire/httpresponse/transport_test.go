package httpresponse

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// startServer starts a server that answers each request with the next answer in order, and closes the
// connection after the last. It returns its address.
func startServer(t *testing.T, answers ...string) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		r := bufio.NewReader(c)
		for _, answer := range answers {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(c, answer)
		}
	}()
	return ln.Addr().String()
}

func newTestClient(t *testing.T) *http.Client {
	t.Helper()
	transport := NewTransport(&net.Dialer{Timeout: time.Second})
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Timeout: 5 * time.Second, Transport: transport}
}

func get(client *http.Client, addr string) (string, error) {
	res, err := client.Get("http://" + addr + "/")
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	return string(b), err
}

// Valid responses of each framing follow each other on one connection.
func TestTransportReusesConnections(t *testing.T) {
	long := strings.Repeat("0123456789", 5000)
	answers := []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 50000\r\n\r\n" + long,
		"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc350\r\n" + long + "\r\n0\r\nX-Note: 1\r\n\r\n",
		"HTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\n" + long,
	}
	client, addr := newTestClient(t), startServer(t, answers...)
	for i, want := range []string{long, long, "", "", long} {
		if got, err := get(client, addr); got != want || err != nil {
			t.Errorf("response %d: %d bytes, %v; expected %d", i, len(got), err, len(want))
		}
	}
}

// Bytes of a stream are returned as they arrive, before the response ends.
func TestTransportDoesNotHoldBackBytes(t *testing.T) {
	for what, begun := range map[string]string{
		"a length": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbegun",
		"chunks":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbegun\r\n",
		"neither":  "HTTP/1.1 200 OK\r\n\r\nbegun",
	} {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan bool)
		go func() {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, begun)
			}
			<-done
			_ = c.Close()
		}()
		res, err := newTestClient(t).Get("http://" + ln.Addr().String())
		if err != nil {
			t.Fatal(what, err)
		}
		b := make([]byte, 5)
		if _, err := io.ReadFull(res.Body, b); err != nil || string(b) != "begun" {
			t.Errorf("%s: %q, %v", what, b, err)
		}
		close(done)
		_ = res.Body.Close()
		_ = ln.Close()
	}
}

// Responses that Read refuses are errors, and so are bodies that aren't whole.
func TestTransportRefusesBrokenResponses(t *testing.T) {
	for what, answer := range map[string]string{
		"status 000":             "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok",
		"a blank in a name":      "HTTP/1.1 200 OK\r\nX Note: 1\r\nContent-Length: 2\r\n\r\nok",
		"a length too long":      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok",
		"chunks without an end":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"chunks and a length":    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"an end without a start": "",
	} {
		if got, err := get(newTestClient(t), startServer(t, answer)); err == nil {
			t.Errorf("%s: %q", what, got)
		}
	}
}

// abandonUploads answers each request at once, without a length, and ends the connection while the request is sent.
func abandonUploads(ln net.Listener, reset bool) {
	for try := 1; ; try++ {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 4<<10))
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		pause := time.NewTimer(time.Duration(try*5%36) * time.Millisecond)
		<-pause.C
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	}
}

// A body without a length isn't whole if its connection ended while the request was sent.
func TestTransportTakesNoBodyCutDuringTheUpload(t *testing.T) {
	const tries, request = 20, 16 << 20
	for _, reset := range []bool{true, false} {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go abandonUploads(ln, reset)
		for range tries {
			res, err := newTestClient(t).Post("http://"+ln.Addr().String(), "text/plain", strings.NewReader(strings.Repeat("x", request)))
			if err != nil {
				continue
			}
			if b, err := io.ReadAll(res.Body); err == nil {
				t.Errorf("reset %v: %q is taken for whole", reset, b)
			}
			_ = res.Body.Close()
		}
		_ = ln.Close()
	}
}
