package serverpool

import (
	"fmt"
	"hash/fnv"
	"io"
	"slices"
)

// HashPrefixes hashes a prompt's parts cumulatively: entry i is the hash of parts 0..i.
//
// Example: hashes := serverpool.HashPrefixes(parts); len(hashes) == len(parts)
func HashPrefixes(parts []Part) []uint64 {
	h := fnv.New64a()
	hashes := make([]uint64, len(parts))
	for i, p := range parts {
		// The text is hashed even if there is a key: parts with the same key may differ in text.
		_, _ = fmt.Fprintf(h, "%d:%d:", len(p.Key), len(p.Text))
		_, _ = io.WriteString(h, p.Key)
		_, _ = io.WriteString(h, p.Text)
		hashes[i] = h.Sum64()
	}
	return hashes
}

// PrefixIndex tracks which prefill servers have which prefixes cached. It is not safe for
// concurrent use: callers must hold a lock.
type PrefixIndex struct {
	maxPrefixes int
	servers     map[uint64][]string // addresses by prefix hash
	insertions  []uint64            // prefix hashes, oldest first
}

// NewPrefixIndex returns an index of at most maxPrefixes prefixes.
//
// Example: p := serverpool.NewPrefixIndex(65536)
func NewPrefixIndex(maxPrefixes int) *PrefixIndex {
	return &PrefixIndex{maxPrefixes: maxPrefixes, servers: map[uint64][]string{}}
}

// Record records that a prefill server has every prefix of a prompt cached.
//
// Example: p.Record(hashes, addr)
func (p *PrefixIndex) Record(hashes []uint64, addr string) {
	for _, hash := range hashes {
		servers, known := p.servers[hash]
		if !known {
			p.insertions = append(p.insertions, hash)
			p.evictOldest()
		}
		if !slices.Contains(servers, addr) {
			p.servers[hash] = append(servers, addr)
		}
	}
}

// evictOldest removes the oldest prefix if the index is over its limit.
func (p *PrefixIndex) evictOldest() {
	if len(p.insertions) > p.maxPrefixes {
		delete(p.servers, p.insertions[0])
		p.insertions = p.insertions[1:]
	}
}

// CachedParts returns how many leading parts of a prompt each prefill server has cached.
//
// Example: if p.CachedParts(hashes)[addr] > 0 { prefer(addr) }
func (p *PrefixIndex) CachedParts(hashes []uint64) map[string]int {
	parts := map[string]int{}
	for i, hash := range slices.Backward(hashes) {
		for _, addr := range p.servers[hash] {
			if parts[addr] == 0 {
				parts[addr] = i + 1
			}
		}
	}
	return parts
}

// ForgetServer removes a prefill server that lost its caches from all prefixes.
//
// Example: p.ForgetServer(addr)
func (p *PrefixIndex) ForgetServer(addr string) {
	for hash, servers := range p.servers {
		if i := slices.Index(servers, addr); i >= 0 {
			p.servers[hash] = slices.Delete(slices.Clone(servers), i, i+1)
		}
	}
}
