package serverpool

import (
	"fmt"
	"hash/fnv"
	"io"
	"slices"
)

// Chain hashes a prompt's parts cumulatively: entry i stands for parts 0..i.
//
// Example: c := serverpool.Chain(parts); len(c) == len(parts)
func Chain(parts []Part) []uint64 {
	h := fnv.New64a()
	out := make([]uint64, len(parts))
	for i, p := range parts {
		// A key names a part but doesn't stand for its text.
		_, _ = fmt.Fprintf(h, "%d:%d:", len(p.Key), len(p.Text))
		_, _ = io.WriteString(h, p.Key)
		_, _ = io.WriteString(h, p.Text)
		out[i] = h.Sum64()
	}
	return out
}

// Prefixes remembers which prefill servers hold which prefix; its user holds the lock.
type Prefixes struct {
	most int
	at   map[uint64][]string
	keys []uint64
}

// NewPrefixes makes a memory of at most so many prefixes.
//
// Example: p := serverpool.NewPrefixes(65536)
func NewPrefixes(most int) *Prefixes { return &Prefixes{most: most, at: map[uint64][]string{}} }

// Note remembers that a prefill server now holds every prefix of the chain.
//
// Example: p.Note(chain, addr)
func (p *Prefixes) Note(chain []uint64, addr string) {
	for _, c := range chain {
		list, known := p.at[c]
		if !known {
			p.keys = append(p.keys, c)
			if len(p.keys) > p.most {
				delete(p.at, p.keys[0])
				p.keys = p.keys[1:]
			}
		}
		if !slices.Contains(list, addr) {
			p.at[c] = append(list, addr)
		}
	}
}

// Depth tells how many leading parts each prefill server holds.
//
// Example: if p.Depth(chain)[addr] > 0 { prefer(addr) }
func (p *Prefixes) Depth(chain []uint64) map[string]int {
	out := map[string]int{}
	for i := len(chain) - 1; i >= 0; i-- {
		for _, a := range p.at[chain[i]] {
			if out[a] == 0 {
				out[a] = i + 1
			}
		}
	}
	return out
}

// Forget drops a prefill server that lost its caches.
//
// Example: p.Forget(addr)
func (p *Prefixes) Forget(addr string) {
	for c, list := range p.at {
		if i := slices.Index(list, addr); i >= 0 {
			p.at[c] = slices.Delete(slices.Clone(list), i, i+1)
		}
	}
}
