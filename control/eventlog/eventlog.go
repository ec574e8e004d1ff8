// Package eventlog is the daemon's log: a ring in memory, written out when
// something goes wrong, and little else.
package eventlog

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/phuslu/log"
)

// Entry is one line of the ring.
type Entry struct {
	No   uint64    `json:"no"`
	Wall time.Time `json:"wall"` // for people; never decided by
	Kind string    `json:"kind"`
	Text string    `json:"text"`
}

// Log is the ring.
type Log struct {
	Loud bool // each line is written out as it comes; set before use

	mu   sync.Mutex
	ring []Entry
	no   uint64
	out  log.Logger
	last uint64 // last entry written out
	at   time.Time
}

// New makes a ring of a size that writes out to w.
//
// Example: b := eventlog.New(2048, os.Stderr)
func New(size int, w io.Writer) *Log {
	return &Log{ring: make([]Entry, size), out: log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: w}}}
}

// Record adds a line.
//
// Example: b.Record("leader", "won partition %d", 3)
func (b *Log) Record(kind, how string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.no++
	e := Entry{b.no, time.Now(), kind, fmt.Sprintf(how, args...)}
	b.ring[b.no%uint64(len(b.ring))] = e
	if b.Loud {
		b.out.Info().Str("kind", e.Kind).Msg(e.Text)
	}
}

// Trouble adds a line and writes out what the ring gathered since the last
// time, at most once in ten seconds so that trouble doesn't drown the disk.
//
// Example: b.Trouble("disk", "write failed: %v", err)
func (b *Log) Trouble(kind, how string, args ...any) {
	b.Record("trouble "+kind, how, args...)
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Since(b.at) < 10*time.Second {
		return
	}
	b.at = time.Now()
	for _, e := range b.since(b.last) {
		b.out.Info().Uint64("no", e.No).Time("at", e.Wall).Str("kind", e.Kind).Msg(e.Text)
	}
	b.last = b.no
}

// Say writes one line out at once.
//
// Example: b.Say("start", "listening on %s", addr)
func (b *Log) Say(kind, how string, args ...any) {
	b.Record(kind, how, args...)
	b.out.Info().Str("kind", kind).Msgf(how, args...)
}

func (b *Log) since(no uint64) []Entry {
	size := uint64(len(b.ring))
	from := no + 1
	if b.no > size && from < b.no-size+1 {
		from = b.no - size + 1
	}
	var out []Entry
	for i := from; i <= b.no; i++ {
		out = append(out, b.ring[i%size])
	}
	return out
}

// Since returns the lines after a number, as far as the ring holds them.
//
// Example: lines := b.Since(0)
func (b *Log) Since(no uint64) []Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.since(no)
}
