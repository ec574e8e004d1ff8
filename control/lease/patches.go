package lease

import (
	"slices"
	"time"

	"mulleinmast/wire/message"
)

// Changes of a record are sent down the tree as patches. A child that requests a record
// includes the version that it last held. The parent sends the patches from that version
// to the current one. It sends no patch if the versions are the same, and the full value if
// the child's version is too old. Relays forward the patches that they receive. Each patch contains a
// checksum of the resulting value. If the checksum does not match, the child discards the
// patch and requests the full value.

// Codec computes and applies patches between record values.
type Codec interface {
	// Patch returns a patch that turns one value into another, or nil if the patch would
	// not be shorter than the value.
	Patch(from, to []byte) []byte
	// Apply returns the result of applying a patch, in the form in which values are stored
	// below the root. It fails if the patch was computed from a different value.
	Apply(from, patch []byte) ([]byte, error)
	// Whole returns the full value in the form in which it is sent to children.
	Whole(stored []byte) []byte
}

// MinPatchedLength is the minimum length in bytes of values that are sent as patches.
// Shorter values are sent in full, since a patch has a header of its own.
const MinPatchedLength = 256

// maxPatches is the maximum number of patches that a parent keeps per record.
const maxPatches = 32

// patchCache holds the state needed for patches: the last withdrawn values, which are the
// bases of later patches, and the patches from earlier versions to the current one.
type patchCache struct {
	codec     Codec // if nil, all values are sent in full and the maps are nil
	minLength int   // in bytes; shorter values are sent in full

	bases  map[string]withdrawnRecord // key -> the last withdrawn record
	chains map[string][]message.Patch // key -> patches, each starting at the version where the previous one ends
	full   map[string]message.Record  // key -> the record as sent to children that hold no version of it

	// unpatchable holds the last change of each record that has no patch. Computing a patch takes as long without a
	// result, and every child that has the earlier version needs it.
	unpatchable map[string]recordChange

	sentAsPatches, sentInFull int // numbers of records sent to children
}

// recordChange is the change from one version of a record to another.
type recordChange struct{ from, to message.Version }

// withdrawnRecord is a record that is no longer served.
type withdrawnRecord struct {
	record message.Record
	at     time.Duration // when it was withdrawn
}

// UseCodec enables patches for values of at least minLength bytes.
//
// Example: node.UseCodec(fleetconfig.Codec{}, lease.MinPatchedLength)
func (n *Node) UseCodec(codec Codec, minLength int) {
	n.patches.codec, n.patches.minLength = codec, minLength
	n.patches.bases = map[string]withdrawnRecord{}
	n.patches.chains = map[string][]message.Patch{}
	n.patches.full = map[string]message.Record{}
	n.patches.unpatchable = map[string]recordChange{}
}

// SentAsPatches returns the number of records that were sent to children as patches.
//
// Example: gauge("records_sent_as_changes", n.SentAsPatches())
func (n *Node) SentAsPatches() int { return n.patches.sentAsPatches }

// SentInFull returns the number of records that were sent to children in full although
// they are long enough for patches.
//
// Example: gauge("records_sent_whole", n.SentInFull())
func (n *Node) SentInFull() int { return n.patches.sentInFull }

// isPatchable reports whether a record may be sent as patches.
func (p *patchCache) isPatchable(record message.Record) bool {
	return p.codec != nil && !record.Deleted && len(record.Value) >= p.minLength
}

// keepBase keeps a withdrawn record as the base for a patch to the next version.
func (p *patchCache) keepBase(now time.Duration, record message.Record) {
	if p.isPatchable(record) {
		p.bases[record.Key] = withdrawnRecord{record, now}
	}
}

// evictOlderThan drops the data of records that were withdrawn longer ago than age.
func (p *patchCache) evictOlderThan(now, age time.Duration) {
	for key, base := range p.bases {
		if now-base.at > age {
			delete(p.bases, key)
			delete(p.chains, key)
			delete(p.full, key)
			delete(p.unpatchable, key)
		}
	}
}

// setChain stores the latest patches of a record, at most maxPatches.
func (p *patchCache) setChain(key string, chain []message.Patch) {
	p.chains[key] = chain[max(0, len(chain)-maxPatches):]
}

// appendToChain returns a chain extended by a patch. If the chain does not end at the
// version where the patch starts, the result contains only the patch.
func appendToChain(chain []message.Patch, patch message.Patch) []message.Patch {
	if len(chain) > 0 && chain[len(chain)-1].To != patch.From {
		chain = nil
	}
	return append(slices.Clone(chain), patch)
}

// endsAt reports whether a chain ends at a version.
func endsAt(chain []message.Patch, version message.Version) bool {
	return len(chain) > 0 && chain[len(chain)-1].To == version
}

// patchesBetween returns the patches from one version to another, or nil if they are not
// all available or not shorter than the full value.
func (p *patchCache) patchesBetween(key string, from, to message.Version) []message.Patch {
	chain := p.chains[key]
	first := slices.IndexFunc(chain, func(patch message.Patch) bool { return patch.From == from })
	if first < 0 || !endsAt(chain, to) {
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

// extendChain computes the patch from the previous version of a record to the current one,
// unless that has been done before or this node has no children.
func (n *Node) extendChain(record message.Record) {
	p := &n.patches
	base, ok := p.bases[record.Key]
	if !ok || record.Deleted || base.record.Version == record.Version || len(n.downstream.children) == 0 {
		return
	}
	chain, change := p.chains[record.Key], recordChange{base.record.Version, record.Version}
	if endsAt(chain, record.Version) || p.unpatchable[record.Key] == change {
		return
	}
	delta := p.codec.Patch(base.record.Value, record.Value)
	if delta == nil {
		delete(p.chains, record.Key)
		p.unpatchable[record.Key] = change
		return
	}
	patch := message.Patch{From: base.record.Version, To: record.Version, Delta: delta}
	p.setChain(record.Key, appendToChain(chain, patch))
}

// recordForChild returns a record in the form to send to a child that holds its version
// base. A zero base means that the child holds no version.
func (n *Node) recordForChild(record message.Record, base message.Version) message.Record {
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
		if chain := p.patchesBetween(record.Key, base, record.Version); chain != nil {
			p.sentAsPatches++
			return message.Record{Key: record.Key, Version: record.Version, Patched: true, Patches: chain}
		}
	}
	p.sentInFull++
	return p.fullRecord(record)
}

// fullRecord returns a record in the form to send to a child that holds no version of it.
func (p *patchCache) fullRecord(record message.Record) message.Record {
	if full, ok := p.full[record.Key]; !ok || full.Version != record.Version {
		record.Value = p.codec.Whole(record.Value)
		p.full[record.Key] = record
	}
	return p.full[record.Key]
}

// baseVersions returns, for the requested records, the versions from which this node can
// apply patches.
func (n *Node) baseVersions(keys []string) (list []message.Record) {
	for _, key := range keys {
		if version := n.baseVersion(key); version != (message.Version{}) {
			list = append(list, message.Record{Key: key, Version: version})
		}
	}
	return list
}

// baseVersion returns the version of a record from which this node can apply patches;
// zero if none.
func (n *Node) baseVersion(key string) message.Version {
	if cached, ok := n.records.cached[key]; ok && n.patches.isPatchable(cached.record) {
		return cached.record.Version
	}
	return n.patches.bases[key].record.Version
}

// applyPatches returns the full version of a granted record, applying its patches if there
// are any.
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
		chain = appendToChain(chain, patch)
	}
	if record.Version != granted.Version {
		return message.Record{}, false
	}
	p.setChain(granted.Key, chain)
	record.Patched, record.Patches = false, nil
	return record, true
}
