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

// Manner is one way in which a client misbehaves.
type Manner uint8

// The manners.
const (
	LeavesEarly Manner = iota // closes its connection in the middle
	SlowHead                  // sends a byte of its head now and then
	SlowBody                  // the same with its body
	HeldBody                  // sends a large body but for its last byte
	SetsHeaders               // sets headers that are the system's to set
	Pipelines                 // sends its next request before the answer has come, then leaves
	HalfCloses                // closes its side once its request is out
	TwoOfOneID                // sends the same request twice at once, under one id
	Idles                     // opens connections and says nothing
	ManyManners               // their number
)

// String names a manner.
//
// Example: client.SlowBody.String() == "slow body"
func (m Manner) String() string {
	return [...]string{"leaves early", "slow head", "slow body", "held body", "sets headers", "pipelines", "half closes", "two of one id", "idles"}[m]
}

const (
	heldBytes   = 900 << 10 // of a body that is held back
	idleCrowd   = 40        // connections of one that idles
	heldCrowd   = 12
	slowBetween = 150 * time.Millisecond
)

// Misbehave has some clients misbehave towards a daemon for a time.
//
// Example: load.Misbehave(ctx, client.SlowBody, daemon, rng, 3*time.Second)
func (l *Load) Misbehave(ctx context.Context, manner Manner, d entry.Daemon, rng *rand.Rand, length time.Duration) {
	ctx, done := context.WithTimeout(ctx, length)
	defer done()
	asks := *l.asks.Load()
	a := asks[rng.Intn(len(asks))]
	c := &client{name: l.Name + "-misbehaves", zone: d.Zone, rng: rng}
	if len(l.Keys) > 0 {
		c.key = l.Keys[rng.Intn(len(l.Keys))]
	}
	switch manner {
	case LeavesEarly:
		for ctx.Err() == nil {
			l.leave(c, asks[rng.Intn(len(asks))], d, time.Duration(rng.Intn(120))*time.Millisecond)
		}
	case SlowHead:
		l.dribble(ctx, d, l.message(c, a).bytes())
	case SlowBody:
		l.dribble(ctx, d, fmt.Sprintf("POST %sslow HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nContent-Length: 100000\r\n\r\n", a.Route.Start, a.Route.Host, wire.Attempt, l.id()))
	case HeldBody:
		l.crowd(ctx, d, heldCrowd, fmt.Sprintf("POST %sheld HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", a.Route.Start, a.Route.Host, wire.Attempt, l.id(), heldBytes, strings.Repeat("x", heldBytes-1)))
	case Idles:
		l.crowd(ctx, d, idleCrowd, "")
	case SetsHeaders:
		for ctx.Err() == nil {
			m := l.message(c, a)
			m.extra = fmt.Sprintf("%s: %s\r\n%s: i-nobody\r\n%s: 127.0.0.1:1/handle\r\nX-Mulleinmast-Expect-Version: 99\r\n%s: 0\r\nConnection: keep-alive, %s, %s\r\n", wire.Stage, wire.Reading, wire.Expect, wire.Memory, wire.Urgency, wire.Attempt, wire.Prefix)
			l.alone(d, m)
		}
	case HalfCloses:
		m := l.message(c, a)
		m.halfCloses = true
		l.alone(d, m)
	case Pipelines:
		l.pipeline(ctx, c, a, d)
	case TwoOfOneID:
		for _, a := range asks {
			for a.Route.Kind == wire.Safe && ctx.Err() == nil {
				l.two(c, a, d)
			}
		}
	}
}

func (l *Load) id() string { return fmt.Sprintf("%s%08x", l.Name, l.ids.Add(1)) }

// ready gives a message an id and the time of its route.
func (l *Load) ready(m *message) time.Time {
	m.id, m.left = l.id(), time.Duration(m.Route.GiveUpMs)*time.Millisecond
	return time.Now().Add(m.left)
}

// alone sends one request over a connection of its own.
func (l *Load) alone(d entry.Daemon, m message) {
	until := l.ready(&m)
	l.exchange(d, m, until)
}

func (l *Load) exchange(d entry.Daemon, m message, until time.Time) {
	to, err := dial(context.Background(), d)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	t := l.open(d, &m, until)
	l.log.Do(func(*record.All) { t.Client, t.Probe = "misbehaves", true })
	_ = to.exchange(l.log, m, t, time.Until(until), until)
	l.log.Do(func(*record.All) { t.End, t.GaveUp = l.log.Now(), t.GaveUp || m.halfCloses })
}

// leave sends a request and closes the connection after a while.
func (l *Load) leave(c *client, a Ask, d entry.Daemon, after time.Duration) {
	m := l.message(c, a)
	until := l.ready(&m)
	to, err := dial(context.Background(), d)
	if err != nil {
		return
	}
	t := l.open(d, &m, until)
	l.log.Do(func(*record.All) { t.Client, t.Probe = "leaves", true })
	_, err = io.WriteString(to, m.bytes())
	rest := time.NewTimer(after)
	<-rest.C
	l.log.Do(func(*record.All) {
		if err == nil {
			t.Whole = t.Sent + 1
		}
		t.GaveUp, t.Left, t.End = true, l.log.Now(), l.log.Now()
	})
	_ = to.Close()
}

// dribble sends bytes one by one until the context ends, or the daemon ends the
// connection.
func (l *Load) dribble(ctx context.Context, d entry.Daemon, bytes string) {
	to, err := dial(ctx, d)
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	head := strings.Index(bytes, "\r\n\r\n") + 4
	if strings.HasSuffix(bytes, "\r\n\r\n") { // a head whose body comes slowly
		if _, err := io.WriteString(to, bytes); err != nil {
			return
		}
		bytes = strings.Repeat("x", 1000)
	} else {
		bytes = bytes[:head-4] // it never ends
	}
	beat := time.NewTicker(slowBetween)
	defer beat.Stop()
	for i := range len(bytes) {
		select {
		case <-ctx.Done():
			return
		case <-beat.C:
		}
		if _, err := io.WriteString(to, bytes[i:i+1]); err != nil {
			return
		}
	}
}

// crowd opens connections, says the same on each, and holds them.
func (l *Load) crowd(ctx context.Context, d entry.Daemon, n int, says string) {
	var wait sync.WaitGroup
	for range n {
		wait.Go(func() {
			to, err := dial(ctx, d)
			if err != nil {
				return
			}
			defer func() { _ = to.Close() }()
			_ = to.SetDeadline(time.Now().Add(time.Minute))
			_, _ = io.WriteString(to, says)
			<-ctx.Done()
		})
	}
	wait.Wait()
}

// pipeline sends two requests at once, and leaves before the first answer's end.
func (l *Load) pipeline(ctx context.Context, c *client, a Ask, d entry.Daemon) {
	for ctx.Err() == nil {
		first, second := l.message(c, a), l.message(c, a)
		l.ready(&first)
		until := l.ready(&second)
		to, err := dial(ctx, d)
		if err != nil {
			return
		}
		var list []*record.Try
		for _, m := range []*message{&first, &second} {
			t := l.open(d, m, until)
			l.log.Do(func(*record.All) { t.Client, t.Probe, t.GaveUp = "pipelines", true, true })
			list = append(list, t)
		}
		_, _ = io.WriteString(to, first.bytes()+second.bytes())
		rest := time.NewTimer(time.Duration(c.rng.Intn(60)) * time.Millisecond)
		<-rest.C
		_ = to.Close()
		l.log.Do(func(*record.All) {
			for _, t := range list {
				t.End = l.log.Now()
			}
		})
	}
}

// two sends a request twice at the same moment, under the same id.
func (l *Load) two(c *client, a Ask, d entry.Daemon) {
	m := l.message(c, a)
	until := l.ready(&m)
	var wait sync.WaitGroup
	for range 2 {
		wait.Go(func() { l.exchange(d, m, until) })
	}
	wait.Wait()
}

// closeWrite ends one side of a connection.
func (l *line) closeWrite() {
	if t, ok := l.Conn.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}
