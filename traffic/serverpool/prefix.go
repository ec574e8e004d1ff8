package serverpool

import (
	"fmt"
	"hash/fnv"
	"io"
	"slices"
)

// HashPrefixes hashes a prompt's parts cumulatively: entry i stands for parts 0..i.
//
// Example: c := serverpool.HashPrefixes(parts); len(c) == len(parts)
func HashPrefixes(parts []Part) []uint64 {
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

// PrefixIndex remembers which prefill servers hold which prefix; its user holds the lock.
type PrefixIndex struct {
	maxPrefixes int
	servers     map[uint64][]string
	inOrder     []uint64
}

// NewPrefixIndex makes a memory of at most so many prefixes.
//
// Example: p := serverpool.NewPrefixIndex(65536)
func NewPrefixIndex(most int) *PrefixIndex {
	return &PrefixIndex{maxPrefixes: most, servers: map[uint64][]string{}}
}

// Record remembers that a prefill server now holds every prefix of the chain.
//
// Example: p.Record(chain, addr)
func (p *PrefixIndex) Record(chain []uint64, addr string) {
	for _, c := range chain {
		list, known := p.servers[c]
		if !known {
			p.inOrder = append(p.inOrder, c)
			if len(p.inOrder) > p.maxPrefixes {
				delete(p.servers, p.inOrder[0])
				p.inOrder = p.inOrder[1:]
			}
		}
		if !slices.Contains(list, addr) {
			p.servers[c] = append(list, addr)
		}
	}
}

// CachedParts tells how many leading parts each prefill server holds.
//
// Example: if p.CachedParts(chain)[addr] > 0 { prefer(addr) }
func (p *PrefixIndex) CachedParts(chain []uint64) map[string]int {
	out := map[string]int{}
	for i := len(chain) - 1; i >= 0; i-- {
		for _, a := range p.servers[chain[i]] {
			if out[a] == 0 {
				out[a] = i + 1
			}
		}
	}
	return out
}

// ForgetServer drops a prefill server that lost its caches.
//
// Example: p.ForgetServer(addr)
func (p *PrefixIndex) ForgetServer(addr string) {
	for c, list := range p.servers {
		if i := slices.Index(list, addr); i >= 0 {
			p.servers[c] = slices.Delete(slices.Clone(list), i, i+1)
		}
	}
}
