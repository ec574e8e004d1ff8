// Package script generates the text that fake servers stream. Each piece is derived from the
// prompt, the request and the run, so that a client detects a foreign, skipped, repeated or
// spliced piece by its content.
package script

import (
	"fmt"
	"hash/fnv"
	"io"

	"mulleinmast/traffic/serverpool"
)

// Prompt returns the digest of a prompt.
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

// Text returns the text of piece n of a run.
//
// Example: if p.Text != script.Text(prompt, request, run, p.N) { wrong() }
func Text(prompt uint64, request, run string, n int) string {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%x/%s/%s/%d", prompt, request, run, n)
	return fmt.Sprintf("%012x", h.Sum64()&(1<<48-1))
}

// Prefill checks the content of a received stream, as a client does.
type Prefill struct {
	Prompt  uint64
	Request string
	Run     string
	N       int
	failed  bool
}

// Next checks the next piece. It returns end if the answer is complete, broken with the
// error text if an error piece ended the stream, and why if the piece is wrong.
//
// Example: end, broken, why := c.Next(piece)
func (c *Prefill) Next(p serverpool.Piece) (end bool, broken, why string) {
	if c.failed {
		return false, "", "a piece after an error piece"
	}
	if p.Error != "" {
		c.failed = true
		return false, p.Error, ""
	}
	if c.N == 0 {
		c.Run = p.RunID
	}
	if why := p.Mismatch(c.Request, c.Run, c.N); why != "" {
		return false, "", why
	}
	if p.End {
		return true, "", ""
	}
	if want := Text(c.Prompt, c.Request, c.Run, c.N); p.Text != want {
		return false, "", fmt.Sprintf("piece %d says %q where this prompt and run make %q", c.N, p.Text, want)
	}
	c.N++
	return false, "", ""
}
