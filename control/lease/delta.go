package lease

import (
	"slices"
	"time"

	"mulleinmast/wire/message"
)

// A record that changes goes down the tree as what changed. A child that asks for
// one tells the version that it held last; the parent sends the patches from
// there to the present one, or nothing where that is the present one, and the whole value
// where the child's is too old. A relay passes the patches on that it got. Every
// patch tells whether it was applied to the right value; one that wasn't is
// thrown away and the whole is asked for.

// Codec makes and applies patches of records' values.
type Codec interface {
	// Patch gives what turns one value into another; none if that isn't shorter.
	Patch(from, to []byte) []byte
	// Apply gives the value that a patch was made for, in the form in which it
	// is kept below the root. The error is of another value than it was made from.
	Apply(from, patch []byte) ([]byte, error)
	// Whole gives a value as it goes to those who hold none.
	Whole(kept []byte) []byte
}

// MinPatchedLength is the length below which values are sent whole: a patch has a head,
// too.
const MinPatchedLength = 256

// mostLinks is how many changes of a record a parent has patches for.
const mostLinks = 32

// delta is what a node knows of changes: as a child the values that it held last, as
// a parent the patches that lead from earlier versions to the present one.
type delta struct {
	codec Codec // none: all is sent whole
	least int
	bases map[string]base
	links map[string][]message.Patch
	whole map[string]message.Record // as they go to those who hold none

	SentChanges, SentWhole int // records that went to children as what changed, and whole
}

// base is a value that isn't served any more.
type base struct {
	rec message.Record
	at  time.Duration
}

// UseCodec has changes go down as patches, of values of a length at least.
//
// Example: node.UseCodec(fleetconfig.Codec{}, lease.MinPatchedLength)
func (n *Node) UseCodec(c Codec, least int) {
	n.least = least
	n.codec, n.bases, n.links, n.whole = c, map[string]base{}, map[string][]message.Patch{}, map[string]message.Record{}
}

// retire keeps a value that is withdrawn, to take the next one as what changed.
func (n *Node) retire(now time.Duration, rec message.Record) {
	if n.codec != nil && !rec.Deleted && len(rec.Value) >= n.least {
		n.bases[rec.Key] = base{rec, now}
	}
}

// forgetBases drops the values that were withdrawn long ago.
func (n *Node) forgetBases(now time.Duration) {
	for key, b := range n.bases {
		if now-b.at > n.cfg.ObjectLease {
			delete(n.bases, key)
			delete(n.links, key)
			delete(n.whole, key)
		}
	}
}

// heldVersion is the version of a record that this node can take a patch from.
func (n *Node) heldVersion(key string) (v message.Version) {
	if n.codec == nil {
		return v
	}
	if c, ok := n.objs[key]; ok && !c.rec.Deleted && len(c.rec.Value) >= n.least {
		return c.rec.Version
	}
	return n.bases[key].rec.Version
}

// heldVersions are those of the records that are asked for.
func (n *Node) heldVersions(keys []string) (list []message.Record) {
	for _, key := range keys {
		if v := n.heldVersion(key); v != (message.Version{}) {
			list = append(list, message.Record{Key: key, Version: v})
		}
	}
	return list
}

// reach extends the links by the one that leads to a record that is served now,
// from the one before.
func (n *Node) reach(rec message.Record) {
	b, ok := n.bases[rec.Key]
	if !ok || rec.Deleted || b.rec.Version == rec.Version || len(n.kids) == 0 {
		return
	}
	list := n.links[rec.Key]
	if len(list) > 0 && list[len(list)-1].To == rec.Version {
		return
	}
	if len(list) > 0 && list[len(list)-1].To != b.rec.Version {
		list = nil
	}
	if patch := n.codec.Patch(b.rec.Value, rec.Value); patch != nil {
		n.extend(rec.Key, list, message.Patch{From: b.rec.Version, To: rec.Version, Delta: patch})
	} else {
		delete(n.links, rec.Key)
	}
}

func (n *Node) extend(key string, list []message.Patch, more ...message.Patch) {
	list = append(slices.Clone(list), more...)
	n.links[key] = list[max(0, len(list)-mostLinks):]
}

// sent is a record as it goes to a child that holds a version of it, or none.
func (n *Node) sent(rec message.Record, holds message.Version) message.Record {
	if n.codec == nil || rec.Deleted || len(rec.Value) < n.least {
		return rec
	}
	if holds == rec.Version {
		n.SentChanges++
		return message.Record{Key: rec.Key, Version: rec.Version, Patched: true}
	}
	if holds != (message.Version{}) {
		n.reach(rec)
		if list := n.between(rec.Key, holds, rec.Version); list != nil {
			n.SentChanges++
			return message.Record{Key: rec.Key, Version: rec.Version, Patched: true, Patches: list}
		}
	}
	n.SentWhole++
	if w, ok := n.whole[rec.Key]; !ok || w.Version != rec.Version {
		rec.Value = n.codec.Whole(rec.Value)
		n.whole[rec.Key] = rec
	}
	return n.whole[rec.Key]
}

// between are the links from one version to another, if they are all there and
// shorter than the whole would be.
func (n *Node) between(key string, from, to message.Version) []message.Patch {
	list := n.links[key]
	first := slices.IndexFunc(list, func(l message.Patch) bool { return l.From == from })
	if first < 0 || list[len(list)-1].To != to {
		return nil
	}
	list = list[first:]
	size := 0
	for _, l := range list {
		size += len(l.Delta)
	}
	if w, ok := n.whole[key]; ok && size >= len(w.Value) {
		return nil
	}
	return list
}

// received gives a record whole that a parent sent as what changed.
func (n *Node) received(now time.Duration, r message.Record) (rec message.Record, ok bool) {
	if !r.Patched {
		return r, true
	}
	from := n.bases[r.Key].rec
	if c, ok := n.objs[r.Key]; ok {
		from = c.rec
	}
	if n.codec == nil || from.Version == (message.Version{}) {
		return rec, false
	}
	kept := n.links[r.Key]
	for _, l := range r.Patches {
		val, err := n.codec.Apply(from.Value, l.Delta)
		if err != nil || l.From != from.Version {
			delete(n.bases, r.Key)
			delete(n.links, r.Key)
			return rec, false
		}
		from.Value, from.Version = val, l.To
		if len(kept) > 0 && kept[len(kept)-1].To != l.From {
			kept = nil
		}
		kept = append(slices.Clone(kept), l)
	}
	if from.Version != r.Version {
		return rec, false
	}
	n.extend(r.Key, kept)
	from.Patched, from.Patches = false, nil
	return from, true
}
