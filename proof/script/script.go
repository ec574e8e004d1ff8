// Package script is the text that stand-in servers write: each piece follows
// from the prompt, the request and the run, so that a client tells a
// foreign, skipped, repeated or spliced piece by its content.
package script

import (
	"fmt"
	"hash/fnv"
	"io"

	"mulleinmast/traffic/serverpool"
)

// Prompt is a prompt's digest.
//
// Example: d := script.Prompt(parts)
func Prompt(parts []serverpool.Part) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = fmt.Fprintf(h, "%d:", len(p.Text))
		_, _ = io.WriteString(h, p.Text)
	}
	return h.Sum64()
}

// Text is piece n of a run.
//
// Example: if p.Text != script.Text(prompt, request, run, p.N) { wrong() }
func Text(prompt uint64, request, run string, n int) string {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%x/%s/%s/%d", prompt, request, run, n)
	return fmt.Sprintf("%012x", h.Sum64()&(1<<48-1))
}

// Prefill server checks a stream as a client does, by its content.
type Prefill struct {
	Prompt  uint64
	Request string
	Run     string
	N       int
	failed  bool
}

// Next takes a piece; end says that the answer is whole, why what is wrong with
// it, and broken that the stream was ended by an error piece.
//
// Example: end, broken, why := r.Next(piece)
func (r *Prefill) Next(p serverpool.Piece) (end bool, broken, why string) {
	if r.failed {
		return false, "", "a piece after an error piece"
	}
	if p.Error != "" {
		r.failed = true
		return false, p.Error, ""
	}
	if r.N == 0 {
		r.Run = p.RunID
	}
	if why := p.Mismatch(r.Request, r.Run, r.N); why != "" {
		return false, "", why
	}
	if p.End {
		return true, "", ""
	}
	if want := Text(r.Prompt, r.Request, r.Run, r.N); p.Text != want {
		return false, "", fmt.Sprintf("piece %d says %q where this prompt and run make %q", r.N, p.Text, want)
	}
	r.N++
	return false, "", ""
}
