// Package eventlog is the daemon's log: a ring buffer of entries in memory. An entry has a level,
// a kind (the part of the daemon that it concerns), a message and fields. Debug entries stay in
// the ring buffer. Info entries are also written out immediately. A warning is written out together
// with the entries before it.
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
	// warningKind is the prefix of the kind of a warning, in the ring buffer and in the output.
	// Scripts search for this prefix.
	warningKind = "trouble "
	// flushInterval is the minimum time between two warnings that write out the ring buffer, so
	// that a series of warnings doesn't fill the disk.
	flushInterval = 10 * time.Second
	// missingValue is shown after a key that has no value.
	missingValue = "(none)"
)

// Entry is one entry of the log.
type Entry struct {
	Number uint64    `json:"no"`   // sequence number, starting at 1
	Wall   time.Time `json:"wall"` // informational; not used for decisions
	Kind   string    `json:"kind"`
	Text   string    `json:"text"` // the message and its fields
}

// Log is the ring buffer with its output. Its methods are safe for concurrent use.
type Log struct {
	// Verbose makes the log write out each entry immediately. Set it before the first entry.
	Verbose bool

	out    log.Logger
	output *Output // what out writes to; nil if that isn't an Output

	mu        sync.Mutex // guards the fields below
	ring      []Entry    // entry n is at index n modulo the length
	newest    uint64     // number of the newest entry; 0 if there is none
	flushed   uint64     // number of the newest entry written out by a warning
	flushedAt time.Time  // when a warning last wrote out entries
}

// New returns a log that keeps up to size entries and writes to w.
//
// Example: events := eventlog.New(2048, os.Stderr)
func New(size int, w io.Writer) *Log {
	output, _ := w.(*Output)
	return &Log{
		ring:   make([]Entry, size),
		out:    log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: w}},
		output: output,
	}
}

// LostLines returns the number of lines that the output has lost.
//
// Example: lost := events.LostLines()
func (l *Log) LostLines() int64 {
	if l.output == nil {
		return 0
	}
	return l.output.Lost()
}

// Debug adds an entry to the ring buffer. Fields are keys, each followed by its value.
//
// Example: events.Debug("tree", "redirected", "partition", 3, "parent", addr)
func (l *Log) Debug(kind, message string, fields ...any) {
	l.append(kind, render(message, fields))
}

// Info adds an entry and writes it out immediately.
//
// Example: events.Info("start", "listening", "addr", addr)
func (l *Log) Info(kind, message string, fields ...any) {
	text := render(message, fields)
	l.append(kind, text)
	l.out.Info().Str("kind", kind).Msg(text)
}

// Warn adds an entry and writes out all entries since the last write by a warning. It writes at
// most once per flushInterval; a warning within that interval only adds its entry.
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
	for _, e := range l.entriesAfter(l.flushed) {
		l.out.Info().Uint64("no", e.Number).Time("at", e.Wall).Str("kind", e.Kind).Msg(e.Text)
	}
	l.flushed = l.newest
}

// Since returns the entries after a number that are still in the ring buffer.
//
// Example: entries := events.Since(0)
func (l *Log) Since(number uint64) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entriesAfter(number)
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

// entriesAfter returns the entries after a number. The caller holds the lock.
func (l *Log) entriesAfter(number uint64) []Entry {
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

// render returns a message followed by its fields as key=value.
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

// appendValue appends a value, quoted if it would be ambiguous otherwise.
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
