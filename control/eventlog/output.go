package eventlog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// maxQueuedLines is the capacity of an Output's queue, in lines.
const maxQueuedLines = 4096

// Output writes lines to a stream in the background, so that a reader that is slow, stands still or is gone
// neither holds up nor ends the process. Lines that don't fit into its queue, or that can't be written, are
// lost and counted; once lines can be written again, one of them tells how many were lost. Its methods are
// safe for concurrent use.
type Output struct {
	lines     chan []byte
	lost      atomic.Int64
	reported  int64 // lost lines that a line has told of; used only by the writer
	unwritten atomic.Int64
}

// NewOutput starts an output to a stream, for the rest of the process.
//
// Example: out := eventlog.NewOutput(os.Stderr); defer out.Flush(time.Second)
func NewOutput(stream io.Writer) *Output {
	o := &Output{lines: make(chan []byte, maxQueuedLines)}
	go o.write(stream)
	return o
}

// Write queues a line. It never fails and never waits.
//
// Example: fmt.Fprintln(out, "started")
func (o *Output) Write(line []byte) (int, error) {
	o.unwritten.Add(1)
	select {
	case o.lines <- append([]byte(nil), line...):
	default:
		o.unwritten.Add(-1)
		o.lost.Add(1)
	}
	return len(line), nil
}

// Lost returns the number of lines that were lost.
//
// Example: lost := out.Lost()
func (o *Output) Lost() int64 { return o.lost.Load() }

// Flush waits until all queued lines are written, or for the given time at most.
//
// Example: out.Flush(time.Second)
func (o *Output) Flush(atMost time.Duration) {
	const interval = time.Millisecond
	for waited := time.Duration(0); o.unwritten.Load() > 0 && waited < atMost; waited += interval {
		<-time.After(interval)
	}
}

// write writes the queued lines.
func (o *Output) write(stream io.Writer) {
	for line := range o.lines {
		if lost := o.lost.Load(); lost > o.reported {
			if _, err := fmt.Fprintf(stream, "%d lines of the log were lost\n", lost-o.reported); err == nil {
				o.reported = lost
			}
		}
		if _, err := stream.Write(line); err != nil {
			o.lost.Add(1)
		}
		o.unwritten.Add(-1)
	}
}
