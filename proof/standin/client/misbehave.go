package client

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net"
	"strings"
	"sync"
	"time"

	"mulleinmast/proof/standin/entry"
	"mulleinmast/proof/standin/record"
	"mulleinmast/proof/standin/wire"
)

// Manner is one kind of client misbehavior.
type Manner uint8

// Kinds of client misbehavior.
const (
	LeavesEarly Manner = iota // closes its connection before the answer is complete
	SlowHead                  // sends its request head slowly, byte by byte
	SlowBody                  // sends its request body slowly, byte by byte
	HeldBody                  // sends a large body and withholds its last byte
	SetsHeaders               // sets headers that only the system may set
	Pipelines                 // sends a second request before the first answer, then closes the connection
	HalfCloses                // closes its sending side after the request
	TwoOfOneID                // sends the same request twice at once under one attempt id
	Idles                     // opens connections and sends nothing
	ManyManners               // number of manners
)

// String returns the manner's name.
//
// Example: client.SlowBody.String() == "slow body"
func (m Manner) String() string {
	return [...]string{"leaves early", "slow head", "slow body", "held body", "sets headers", "pipelines", "half closes", "two of one id", "idles"}[m]
}

const (
	heldBodyBytes    = 900 << 10 // size of a body whose last byte is withheld
	idleConns        = 40        // connections that an idle client opens
	heldBodyConns    = 12
	slowByteInterval = 150 * time.Millisecond
)

// Misbehave sends misbehaving clients to a daemon for the given duration.
//
// Example: load.Misbehave(ctx, client.SlowBody, daemon, rng, 3*time.Second)
func (l *Load) Misbehave(ctx context.Context, manner Manner, d entry.Daemon, rng *rand.Rand, duration time.Duration) {
	ctx, done := context.WithTimeout(ctx, duration)
	defer done()
	kinds := *l.requestKinds.Load()
	a := kinds[rng.Intn(len(kinds))]
	c := &client{name: l.Name + "-misbehaves", zone: d.Zone, rng: rng}
	if len(l.Keys) > 0 {
		c.key = l.Keys[rng.Intn(len(l.Keys))]
	}
	switch manner {
	case LeavesEarly:
		for ctx.Err() == nil {
			l.sendAndClose(c, kinds[rng.Intn(len(kinds))], d, time.Duration(rng.Intn(120))*time.Millisecond)
		}
	case SlowHead:
		l.sendSlowly(ctx, d, l.newMessage(c, a).bytes())
	case SlowBody:
		l.sendSlowly(ctx, d, fmt.Sprintf("POST %sslow HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nContent-Length: 100000\r\n\r\n", a.Route.Start, a.Route.Host, wire.Attempt, l.newID()))
	case HeldBody:
		l.holdConns(ctx, d, heldBodyConns, fmt.Sprintf("POST %sheld HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", a.Route.Start, a.Route.Host, wire.Attempt, l.newID(), heldBodyBytes, strings.Repeat("x", heldBodyBytes-1)))
	case Idles:
		l.holdConns(ctx, d, idleConns, "")
	case SetsHeaders:
		for ctx.Err() == nil {
			m := l.newMessage(c, a)
			m.extraHeaders = fmt.Sprintf("%s: %s\r\n%s: i-nobody\r\n%s: 127.0.0.1:1/handle\r\nX-Mulleinmast-Expect-Version: 99\r\n%s: 0\r\nConnection: keep-alive, %s, %s\r\n", wire.Stage, wire.Prefill, wire.Expect, wire.Memory, wire.Urgency, wire.Attempt, wire.Prefix)
			l.sendOnNewConn(d, m)
		}
	case HalfCloses:
		m := l.newMessage(c, a)
		m.halfCloses = true
		l.sendOnNewConn(d, m)
	case Pipelines:
		l.pipeline(ctx, c, a, d)
	case TwoOfOneID:
		for _, a := range kinds {
			for a.Route.Kind == wire.Safe && ctx.Err() == nil {
				l.sendTwice(c, a, d)
			}
		}
	}
}

func (l *Load) newID() string { return fmt.Sprintf("%s%08x", l.Name, l.lastID.Add(1)) }

// prepare assigns an attempt id and the route's time limit to a message and returns its deadline.
func (l *Load) prepare(m *message) time.Time {
	m.id, m.timeLeft = l.newID(), time.Duration(m.Route.GiveUpMs)*time.Millisecond
	return time.Now().Add(m.timeLeft)
}

// sendOnNewConn sends one request over a dedicated connection.
func (l *Load) sendOnNewConn(d entry.Daemon, m message) {
	deadline := l.prepare(&m)
	l.exchangeOnNewConn(d, m, deadline)
}

func (l *Load) exchangeOnNewConn(d entry.Daemon, m message, deadline time.Time) {
	nc, err := dial(context.Background(), d)
	if err != nil {
		return
	}
	defer func() { _ = nc.Close() }()
	t := l.recordTry(d, &m, deadline)
	l.log.Do(func(*record.All) { t.Client, t.Probe = "misbehaves", true })
	_ = nc.exchange(l.log, m, t, time.Until(deadline), deadline)
	l.log.Do(func(*record.All) { t.End, t.GaveUp = l.log.Now(), t.GaveUp || m.halfCloses })
}

// sendAndClose sends a request and closes the connection after the given delay.
func (l *Load) sendAndClose(c *client, a RequestKind, d entry.Daemon, after time.Duration) {
	m := l.newMessage(c, a)
	deadline := l.prepare(&m)
	nc, err := dial(context.Background(), d)
	if err != nil {
		return
	}
	t := l.recordTry(d, &m, deadline)
	l.log.Do(func(*record.All) { t.Client, t.Probe = "leaves", true })
	_, err = io.WriteString(nc, m.bytes())
	timer := time.NewTimer(after)
	<-timer.C
	l.log.Do(func(*record.All) {
		if err == nil {
			t.SentFully = t.Sent + 1
		}
		t.GaveUp, t.ClosedAt, t.End = true, l.log.Now(), l.log.Now()
	})
	_ = nc.Close()
}

// sendSlowly sends a request byte by byte until the context is canceled or the
// daemon closes the connection.
func (l *Load) sendSlowly(ctx context.Context, d entry.Daemon, bytes string) {
	nc, err := dial(ctx, d)
	if err != nil {
		return
	}
	defer func() { _ = nc.Close() }()
	head := strings.Index(bytes, "\r\n\r\n") + 4
	if strings.HasSuffix(bytes, "\r\n\r\n") { // send the head at once and the body slowly
		if _, err := io.WriteString(nc, bytes); err != nil {
			return
		}
		bytes = strings.Repeat("x", 1000)
	} else {
		bytes = bytes[:head-4] // the head is never completed
	}
	ticker := time.NewTicker(slowByteInterval)
	defer ticker.Stop()
	for i := range len(bytes) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, err := io.WriteString(nc, bytes[i:i+1]); err != nil {
			return
		}
	}
}

// holdConns opens n connections, sends the same data on each, and keeps them open
// until the context is canceled.
func (l *Load) holdConns(ctx context.Context, d entry.Daemon, n int, data string) {
	var wait sync.WaitGroup
	for range n {
		wait.Go(func() {
			nc, err := dial(ctx, d)
			if err != nil {
				return
			}
			defer func() { _ = nc.Close() }()
			_ = nc.SetDeadline(time.Now().Add(time.Minute))
			_, _ = io.WriteString(nc, data)
			<-ctx.Done()
		})
	}
	wait.Wait()
}

// pipeline sends two requests at once and closes the connection before the first
// answer is complete.
func (l *Load) pipeline(ctx context.Context, c *client, a RequestKind, d entry.Daemon) {
	for ctx.Err() == nil {
		first, second := l.newMessage(c, a), l.newMessage(c, a)
		l.prepare(&first)
		deadline := l.prepare(&second)
		nc, err := dial(ctx, d)
		if err != nil {
			return
		}
		var list []*record.Try
		for _, m := range []*message{&first, &second} {
			t := l.recordTry(d, m, deadline)
			l.log.Do(func(*record.All) { t.Client, t.Probe, t.GaveUp = "pipelines", true, true })
			list = append(list, t)
		}
		_, _ = io.WriteString(nc, first.bytes()+second.bytes())
		timer := time.NewTimer(time.Duration(c.rng.Intn(60)) * time.Millisecond)
		<-timer.C
		_ = nc.Close()
		l.log.Do(func(*record.All) {
			for _, t := range list {
				t.End = l.log.Now()
			}
		})
	}
}

// sendTwice sends a request twice concurrently under the same attempt id.
func (l *Load) sendTwice(c *client, a RequestKind, d entry.Daemon) {
	m := l.newMessage(c, a)
	deadline := l.prepare(&m)
	var wait sync.WaitGroup
	for range 2 {
		wait.Go(func() { l.exchangeOnNewConn(d, m, deadline) })
	}
	wait.Wait()
}

// closeWrite closes the sending side of a connection.
func (c *conn) closeWrite() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}
