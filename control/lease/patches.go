package lease

import (
	"slices"
	"time"

	"mulleinmast/wire/message"
)

// A record that changes goes down the tree as patches. A child that asks for a record
// names the version that it held last; the parent sends the patches from that version
// to the current one, none if they are the same, and the full value if the child's
// version is too old. A relay forwards the patches that it received. A patch holds a
// checksum of the value that it leads to; if that doesn't match, the child drops it and
// asks for the full value.

// Codec makes and applies patches of records' values.
type Codec interface {
	// Patch returns what turns one value into another; nil if that isn't shorter.
	Patch(from, to []byte) []byte
	// Apply returns the value that a patch leads to, in the form in which it is stored
	// below the root. It fails if the patch was made from another value.
	Apply(from, patch []byte) ([]byte, error)
	// Whole returns a stored value in the form in which it is sent in full.
	Whole(stored []byte) []byte
}

// MinPatchedLength is the length in bytes below which values are sent in full: a patch
// has a header, too.
const MinPatchedLength = 256

// maxPatches is the number of changes of a record that a parent keeps patches for.
const maxPatches = 32

// patchCache is what a node knows of changes: as a child the values that it held
// last, as a parent the patches that lead from earlier versions to the present one.
type patchCache struct {
	codec     Codec // nil: every value is sent in full, and the maps are nil
	minLength int   // in bytes; shorter values are sent in full

	bases  map[string]withdrawnRecord // key -> the value that was withdrawn last
	chains map[string][]message.Patch // key -> patches, each from the version that the one before leads to
	full   map[string]message.Record  // key -> the record as it goes to children that hold none

	sentAsPatches, sentInFull int // records that were sent to children
}

// withdrawnRecord is a record that isn't served any more.
type withdrawnRecord struct {
	record message.Record
	at     time.Duration // when it was withdrawn
}

// UseCodec has changes go down as patches, for values of minLength bytes and more.
//
// Example: node.UseCodec(fleetconfig.Codec{}, lease.MinPatchedLength)
func (n *Node) UseCodec(codec Codec, minLength int) {
	n.patches.codec, n.patches.minLength = codec, minLength
	n.patches.bases = map[string]withdrawnRecord{}
	n.patches.chains = map[string][]message.Patch{}
	n.patches.full = map[string]message.Record{}
}

// SentAsPatches is the number of records that were sent to children as patches.
//
// Example: gauge("records_sent_as_changes", n.SentAsPatches())
func (n *Node) SentAsPatches() int { return n.patches.sentAsPatches }

// SentInFull is the number of records that were sent to children in full, of those
// that are long enough for patches.
//
// Example: gauge("records_sent_whole", n.SentInFull())
func (n *Node) SentInFull() int { return n.patches.sentInFull }

// isPatchable tells whether a record is long enough to be patched.
func (p *patchCache) isPatchable(record message.Record) bool {
	return p.codec != nil && !record.Deleted && len(record.Value) >= p.minLength
}

// keepBase keeps a record that is withdrawn, to take the next version as a patch.
func (p *patchCache) keepBase(now time.Duration, record message.Record) {
	if p.isPatchable(record) {
		p.bases[record.Key] = withdrawnRecord{record, now}
	}
}

// forget drops what belongs to values that were withdrawn longer ago than a time.
func (p *patchCache) forget(now, age time.Duration) {
	for key, base := range p.bases {
		if now-base.at > age {
			delete(p.bases, key)
			delete(p.chains, key)
			delete(p.full, key)
		}
	}
}

// setChain keeps the last of a record's patches.
func (p *patchCache) setChain(key string, chain []message.Patch) {
	p.chains[key] = chain[max(0, len(chain)-maxPatches):]
}

// continueChain adds a patch to a chain; one that doesn't end where the patch begins
// is given up.
func continueChain(chain []message.Patch, patch message.Patch) []message.Patch {
	if len(chain) > 0 && chain[len(chain)-1].To != patch.From {
		chain = nil
	}
	return append(slices.Clone(chain), patch)
}

// leadsTo tells whether a chain ends at a version.
func leadsTo(chain []message.Patch, version message.Version) bool {
	return len(chain) > 0 && chain[len(chain)-1].To == version
}

// between are the patches from one version to another, if they are all there and
// shorter than the full value.
func (p *patchCache) between(key string, from, to message.Version) []message.Patch {
	chain := p.chains[key]
	first := slices.IndexFunc(chain, func(patch message.Patch) bool { return patch.From == from })
	if first < 0 || !leadsTo(chain, to) {
		return nil
	}
	chain = chain[first:]
	size := 0
	for _, patch := range chain {
		size += len(patch.Delta)
	}
	if full, ok := p.full[key]; ok && size >= len(full.Value) {
		return nil
	}
	return chain
}

// extendChain makes the patch that leads to a record that is served now from the
// version before, if there are children that it may go to.
func (n *Node) extendChain(record message.Record) {
	p := &n.patches
	base, ok := p.bases[record.Key]
	if !ok || record.Deleted || base.record.Version == record.Version || len(n.downstream.children) == 0 {
		return
	}
	chain := p.chains[record.Key]
	if leadsTo(chain, record.Version) {
		return
	}
	delta := p.codec.Patch(base.record.Value, record.Value)
	if delta == nil {
		delete(p.chains, record.Key)
		return
	}
	patch := message.Patch{From: base.record.Version, To: record.Version, Delta: delta}
	p.setChain(record.Key, continueChain(chain, patch))
}

// recordFor is a record as it goes to a child that holds a version of it; zero: none.
func (n *Node) recordFor(record message.Record, base message.Version) message.Record {
	p := &n.patches
	if !p.isPatchable(record) {
		return record
	}
	if base == record.Version {
		p.sentAsPatches++
		return message.Record{Key: record.Key, Version: record.Version, Patched: true}
	}
	if base != (message.Version{}) {
		n.extendChain(record)
		if chain := p.between(record.Key, base, record.Version); chain != nil {
			p.sentAsPatches++
			return message.Record{Key: record.Key, Version: record.Version, Patched: true, Patches: chain}
		}
	}
	p.sentInFull++
	return p.fullRecord(record)
}

// fullRecord is a record as it goes to a child that holds none.
func (p *patchCache) fullRecord(record message.Record) message.Record {
	if full, ok := p.full[record.Key]; !ok || full.Version != record.Version {
		record.Value = p.codec.Whole(record.Value)
		p.full[record.Key] = record
	}
	return p.full[record.Key]
}

// baseVersions are, of the records that are asked for, the versions from which this
// node can take patches.
func (n *Node) baseVersions(keys []string) (list []message.Record) {
	for _, key := range keys {
		if version := n.baseVersion(key); version != (message.Version{}) {
			list = append(list, message.Record{Key: key, Version: version})
		}
	}
	return list
}

// baseVersion is the version of a record from which this node can take a patch; zero:
// none.
func (n *Node) baseVersion(key string) message.Version {
	if cached, ok := n.records.cached[key]; ok && n.patches.isPatchable(cached.record) {
		return cached.record.Version
	}
	return n.patches.bases[key].record.Version
}

// applyPatches returns the full record that a parent sent as patches.
func (n *Node) applyPatches(granted message.Record) (record message.Record, ok bool) {
	if !granted.Patched {
		return granted, true
	}
	p := &n.patches
	record = p.bases[granted.Key].record
	if cached, ok := n.records.cached[granted.Key]; ok {
		record = cached.record
	}
	if p.codec == nil || record.Version == (message.Version{}) {
		return message.Record{}, false
	}
	chain := p.chains[granted.Key]
	for _, patch := range granted.Patches {
		value, err := p.codec.Apply(record.Value, patch.Delta)
		if err != nil || patch.From != record.Version {
			delete(p.bases, granted.Key)
			delete(p.chains, granted.Key)
			return message.Record{}, false
		}
		record.Value, record.Version = value, patch.To
		chain = continueChain(chain, patch)
	}
	if record.Version != granted.Version {
		return message.Record{}, false
	}
	p.setChain(granted.Key, chain)
	record.Patched, record.Patches = false, nil
	return record, true
}
