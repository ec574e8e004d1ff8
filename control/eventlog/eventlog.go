// Package eventlog is the daemon's log: a ring of entries in memory. An entry has
// a level, a kind (the part of the daemon that it is about), a message and fields.
// Debug entries stay in the ring, an information is written out at once, and a
// warning has the entries before it written out with it.
package eventlog

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"
)

const (
	// warningKind stands before the kind of a warning in the ring, in what is
	// written out, and in the scripts that look for it.
	warningKind = "trouble "
	// flushInterval is the least time between two warnings that have the ring
	// written out, so that a row of them doesn't fill the disk.
	flushInterval = 10 * time.Second
	// missingValue stands for the value of a key without one.
	missingValue = "(none)"
)

// Entry is one line of the ring.
type Entry struct {
	Number uint64    `json:"no"`   // counts up from 1
	Wall   time.Time `json:"wall"` // for people; nothing is decided by it
	Kind   string    `json:"kind"`
	Text   string    `json:"text"` // the message and its fields
}

// Log is the ring with its writer. Its methods may be called by several goroutines.
type Log struct {
	// Verbose has each entry written out as it comes. Set it before the first one.
	Verbose bool

	out log.Logger

	mu        sync.Mutex // guards the fields below
	ring      []Entry    // entry n stands at n modulo the length
	newest    uint64     // number of the newest entry, 0 before the first
	flushed   uint64     // number of the newest entry that a warning wrote out
	flushedAt time.Time  // when it did
}

// New makes a ring of a number of entries that writes out to w.
//
// Example: events := eventlog.New(2048, os.Stderr)
func New(size int, w io.Writer) *Log {
	return &Log{
		ring: make([]Entry, size),
		out:  log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: w}},
	}
}

// Debug keeps an entry in the ring. Fields are keys, each followed by its value.
//
// Example: events.Debug("tree", "redirected", "partition", 3, "parent", addr)
func (l *Log) Debug(kind, message string, fields ...any) {
	l.append(kind, render(message, fields))
}

// Info keeps an entry and writes it out at once.
//
// Example: events.Info("start", "listening", "addr", addr)
func (l *Log) Info(kind, message string, fields ...any) {
	text := render(message, fields)
	l.append(kind, text)
	l.out.Info().Str("kind", kind).Msg(text)
}

// Warn keeps an entry and writes out what the ring gathered since the last time,
// at most once in flushInterval.
//
// Example: events.Warn("disk", "write failed", "error", err)
func (l *Log) Warn(kind, message string, fields ...any) {
	l.append(warningKind+kind, render(message, fields))
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.flushedAt) < flushInterval {
		return
	}
	l.flushedAt = time.Now()
	for _, e := range l.after(l.flushed) {
		l.out.Info().Uint64("no", e.Number).Time("at", e.Wall).Str("kind", e.Kind).Msg(e.Text)
	}
	l.flushed = l.newest
}

// Since returns the entries after a number, as far as the ring holds them.
//
// Example: entries := events.Since(0)
func (l *Log) Since(number uint64) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.after(number)
}

func (l *Log) append(kind, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.newest++
	l.ring[l.newest%uint64(len(l.ring))] = Entry{Number: l.newest, Wall: time.Now(), Kind: kind, Text: text}
	if l.Verbose {
		l.out.Info().Str("kind", kind).Msg(text)
	}
}

// after returns the entries after a number; the lock is held.
func (l *Log) after(number uint64) []Entry {
	size := uint64(len(l.ring))
	first := number + 1
	if l.newest > size && first < l.newest-size+1 {
		first = l.newest - size + 1
	}
	var entries []Entry
	for n := first; n <= l.newest; n++ {
		entries = append(entries, l.ring[n%size])
	}
	return entries
}

// render is a message followed by its fields, as key=value.
func render(message string, fields []any) string {
	if len(fields) == 0 {
		return message
	}
	text := append(make([]byte, 0, 128), message...)
	for i := 0; i < len(fields); i += 2 {
		text = fmt.Append(append(text, ' '), fields[i])
		text = append(text, '=')
		if i+1 == len(fields) {
			text = append(text, missingValue...)
			break
		}
		text = appendValue(text, fields[i+1])
	}
	return string(text)
}

// appendValue appends a value, in quotes where it would not read as one otherwise.
func appendValue(text []byte, value any) []byte {
	s, ok := value.(string)
	if !ok {
		s = fmt.Sprint(value)
	}
	if s == "" || strings.ContainsAny(s, " \t\n\"=") {
		return strconv.AppendQuote(text, s)
	}
	return append(text, s...)
}
