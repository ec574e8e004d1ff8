package transport

import (
	"bufio"
	"context"
	"io"
	"net"
	"time"

	"mulleinmast/wire/message"
)

// Send queues a message for its address, after setting the fields that describe this
// daemon as the sender. The message is dropped if the queue is full or Serve hasn't
// been called yet.
//
// Example: t.Send(message.Envelope{Addr: "127.0.0.1:7001", Message: m})
func (t *Transport) Send(e message.Envelope) {
	if t.dropsTo(e.Addr) {
		return
	}
	m := e.Message
	m.Fleet, m.From, m.Epoch, m.Addr = t.Fleet, t.Self.Ident, t.Epoch, t.Self.Addr
	queue, coalescing := t.queueFor(e.Addr)
	if queue == nil {
		return
	}
	if delay := t.delayTo(e.Addr); delay > 0 {
		t.sendLater(queue, m, delay)
		return
	}
	if !queue.put(m) {
		t.Dropped.Add(1)
		return
	}
	t.Sent.Add(1)
	if !coalescing {
		queue.wakeWriter()
	}
}

// sendLater queues a message after an injected delay.
func (t *Transport) sendLater(queue *sendQueue, m message.Message, delay time.Duration) {
	time.AfterFunc(delay, func() {
		if queue.put(m) {
			t.Sent.Add(1)
			queue.wakeWriter()
		}
	})
}

// queueFor returns the queue of an address, creating it and starting its writer if
// needed. It returns nil before Serve. coalescing reports whether a Coalesce call is in
// progress. The writers are woken when the last such call ends.
func (t *Transport) queueFor(addr string) (queue *sendQueue, coalescing bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx == nil {
		return nil, false
	}
	queue = t.queues[addr]
	if queue == nil {
		queue = &sendQueue{wake: make(chan struct{}, 1)}
		t.queues[addr] = queue
		go t.writeQueue(t.ctx, addr, queue)
	}
	return queue, t.coalescing > 0
}

// Coalesce runs a step and sends the messages that it queues for an address in one write.
//
// Example: t.Coalesce(func() { tickAll() })
func (t *Transport) Coalesce(step func()) {
	t.mu.Lock()
	t.coalescing++
	t.mu.Unlock()
	defer t.endCoalescing()
	step()
}

// endCoalescing wakes the writers of all non-empty queues once no Coalesce call is in progress.
func (t *Transport) endCoalescing() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.coalescing--; t.coalescing > 0 {
		return
	}
	for _, queue := range t.queues {
		if !queue.isEmpty() {
			queue.wakeWriter()
		}
	}
}

// writeQueue writes the queue of an address to its connection. It returns when the
// context ends or the queue has been idle for idleTimeout.
func (t *Transport) writeQueue(ctx context.Context, addr string, queue *sendQueue) {
	w := &connectionWriter{transport: t, addr: addr, dialer: t.dialer()}
	defer w.close()
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	var batch []message.Message
	for {
		select {
		case <-ctx.Done():
			return
		case <-idle.C:
			if t.removeIfEmpty(addr, queue) {
				return
			}
		case <-queue.wake:
		}
		idle.Reset(idleTimeout)
		batch = queue.takeAll(batch)
		if len(batch) == 0 {
			continue
		}
		if err := w.write(ctx, batch); err != nil {
			t.Dropped.Add(int64(len(batch)))
		}
	}
}

// connectionWriter writes to the connection of one address, which it dials on demand. It
// is used only by the goroutine that runs writeQueue.
type connectionWriter struct {
	transport *Transport
	addr      string
	dialer    *net.Dialer

	conn     net.Conn // nil: not connected
	buffered *bufio.Writer
	codec    frameCodec
	dialedAt time.Time // start of the last dial
	failedAt time.Time // time of the last failed dial
}

// write writes a batch. On an error the caller counts the complete batch as dropped.
func (w *connectionWriter) write(ctx context.Context, batch []message.Message) error {
	if w.conn == nil {
		if err := w.dial(ctx); err != nil {
			return err
		}
	}
	if err := w.writeFrames(batch); err != nil {
		w.close()
		return err
	}
	return nil
}

func (w *connectionWriter) dial(ctx context.Context) error {
	if time.Since(w.failedAt) < redialPause {
		return errRedialPause
	}
	w.dialedAt = time.Now()
	conn, err := w.dialer.DialContext(ctx, "tcp", w.addr)
	if err != nil {
		w.failedAt = time.Now()
		return err
	}
	w.conn, w.buffered, w.codec = conn, bufio.NewWriterSize(conn, bufferSize), frameCodec{}
	go closeWhenPeerCloses(conn)
	return nil
}

// closeWhenPeerCloses closes a dialed connection when the remote end does. The remote end
// never writes, so the read returns only once the connection has ended.
func closeWhenPeerCloses(conn net.Conn) {
	_, _ = io.Copy(io.Discard, conn)
	_ = conn.Close()
}

// writeFrames writes the frames of a batch. A message that can't be encoded is reported
// and skipped.
func (w *connectionWriter) writeFrames(batch []message.Message) error {
	compact := w.transport.readsCompact(w.addr, w.dialedAt)
	_ = w.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	for _, m := range batch {
		frame, err := w.codec.encode(m, compact)
		if err != nil {
			w.transport.reportError(w.addr, err)
			continue
		}
		if _, err := w.buffered.Write(frame); err != nil {
			return err
		}
		w.transport.countSent(m.Kind, len(frame))
	}
	return w.buffered.Flush()
}

func (w *connectionWriter) close() {
	if w.conn != nil {
		_ = w.conn.Close()
		w.conn = nil
	}
}
