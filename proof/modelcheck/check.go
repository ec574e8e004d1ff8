package modelcheck

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"
	"unsafe"

	"mulleinmast/control/partition"
	"mulleinmast/wire/message"
)

// The invariants. They are checked after every event. The first violation is stored in
// world.violation and ends the run.

// violate records the violation of an invariant, unless there is one already.
func (w *world) violate(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

// checkElected checks that each term has at most one leader.
func (w *world) checkElected(i int) {
	d := w.daemons[i]
	term, incarnation := d.partition.Replica.Term(), fmt.Sprintf("%s#%d", d.self.Ident, d.epoch)
	group := d.partition.Replica.Group()
	w.log("%s leads under term %d with group %d %s", incarnation, term, group.Number, groupNames(group))
	if other, ok := w.leaders[term]; ok && other != incarnation {
		w.violate("one leader a term: %s and %s both led under term %d", other, incarnation, term)
	}
	w.leaders[term] = incarnation
}

// checkAcknowledged checks that at most one change on a base is acknowledged, and none while
// a lease is valid under which the previous state may be read.
func (w *world) checkAcknowledged(i int, r partition.Result) {
	d := w.daemons[i]
	c := &w.changes[r.Tag-1]
	c.outcome = r.Outcome
	w.log("change %c: %v", c.tag, r.Outcome)
	if r.Outcome != partition.Done {
		return
	}
	for k, o := range w.changes {
		if k != int(r.Tag-1) && o.outcome == partition.Done && o.base == c.base {
			w.violate("one change on a base: %c and %c were both acknowledged on base %d", o.tag, c.tag, c.base)
		}
	}
	for _, g := range w.grants {
		if g.end > w.now && (g.daemon != i || g.epoch != d.epoch || g.term != d.partition.Replica.Term()) {
			w.violate("no old read: change %c is acknowledged under term %d while leases of term %d are valid for %v",
				c.tag, d.partition.Replica.Term(), g.term, g.end-w.now)
		}
	}
	rec, _ := d.partition.Replica.Records().Get(key)
	at := strings.IndexByte(string(rec.Value), c.tag)
	if at < 0 {
		w.violate("no write lost: change %c is acknowledged, its leader holds %q", c.tag, rec.Value)
	} else if at >= len(w.lastRead) { // the rest may be the next change, in progress
		w.lastRead = string(rec.Value[:at+1])
	}
}

// checkInvariants checks the invariants that hold in every state.
func (w *world) checkInvariants() {
	w.checkOneLeader()
	w.checkReads()
	w.checkMajority()
}

// checkOneLeader checks that no two leaders have valid leases at the same time.
func (w *world) checkOneLeader() {
	last := -1
	for i, d := range w.daemons {
		if !d.isLeader(w.now) {
			continue
		}
		if last >= 0 {
			o := w.daemons[last]
			w.violate("one leader: %s under term %d and %s under term %d both have valid leases",
				o.self.Ident, o.partition.Replica.Term(), d.self.Ident, d.partition.Replica.Term())
		}
		last = i
		if !w.setup.Tree {
			w.recordGrant(i)
		}
	}
}

// recordGrant records until when leases granted by a leader may be valid.
func (w *world) recordGrant(i int) {
	d := w.daemons[i]
	end := w.now + min(leaseConfig.VolumeLease, d.partition.Replica.LeaseEnd()-d.local(w.now))
	g := grant{i, d.epoch, d.partition.Replica.Term(), end}
	for k, o := range w.grants {
		if o.daemon == g.daemon && o.epoch == g.epoch && o.term == g.term {
			w.grants[k].end = max(o.end, end)
			return
		}
	}
	w.grants = append(slices.DeleteFunc(w.grants, func(o grant) bool { return o.end <= w.now }), g)
}

// checkReads checks that no daemon serves a state older than one that was acknowledged or
// served before, or a refused change.
func (w *world) checkReads() {
	for _, d := range w.daemons {
		if !d.isUp {
			continue
		}
		rec, ok := d.partition.Node.Get(d.local(w.now), key)
		if !ok {
			continue
		}
		if !strings.HasPrefix(string(rec.Value), w.lastRead) {
			w.violate("no old read: %s serves %q after %q", d.self.Ident, rec.Value, w.lastRead)
		}
		if len(rec.Value) > len(w.lastRead) {
			w.lastRead = string(rec.Value)
		}
	}
	for _, c := range w.changes {
		isRefused := c.outcome == partition.NotLeader || c.outcome == partition.Unchanged
		if isRefused && strings.IndexByte(w.lastRead, c.tag) >= 0 {
			w.violate("refused is refused: change %c was refused (%v) and took effect", c.tag, c.outcome)
		}
	}
}

// replicaState is the state that a replica would report to a candidate.
type replicaState struct {
	ident string
	group message.Group
	set   uint64
	val   string
	ver   message.Version

	epoch uint64
	base  message.SavePoint
	peers []message.PeerIncarnation
}

// checkMajority checks that any majority that may elect a leader next, under any group with
// which a replica may still run for election, holds every change acknowledged or read.
func (w *world) checkMajority() {
	if w.lastRead == "" || w.setup.DuplicateStart {
		return // with duplicate starts either copy may be elected, but not both; checkOneLeader covers that
	}
	var disks, mems []replicaState
	for _, d := range w.daemons {
		if !d.hasDisk {
			continue
		}
		if d.isUp && d.partition.Replica.Superseded() != "" {
			continue // it no longer votes, and restarts with a new identity
		}
		c := replicaState{
			ident: d.self.Ident, group: d.disk.meta.Group, set: d.disk.meta.LastComplete, peers: d.disk.meta.Peers,
		}
		c.epoch, c.base = d.startsAs()
		if r, ok := d.disk.records[key]; ok {
			c.val, c.ver = string(r.Value), r.Version
		}
		disks = append(disks, c)
		if d.isUp {
			m := d.partition.Replica.Meta()
			c.group, c.set, c.peers, c.val, c.ver = m.Group, m.LastComplete, m.Peers, "", message.Version{}
			if r, ok := d.partition.Replica.Records().Get(key); ok {
				c.val, c.ver = string(r.Value), r.Version
			}
		}
		mems = append(mems, c)
	}
	w.checkElectable(disks, "on disk")
	w.checkElectable(mems, "as they run")
}

// checkElectable checks, for every majority of the replicas, that a candidate elected by it
// finds every change acknowledged or read.
func (w *world) checkElectable(copies []replicaState, how string) {
	for mask := 1; mask < 1<<len(copies); mask++ {
		in := func(id string) bool {
			k := slices.IndexFunc(copies, func(c replicaState) bool { return c.ident == id })
			return k >= 0 && mask>>k&1 == 1
		}
		for k, c := range copies {
			if mask>>k&1 == 0 || !c.group.Has(c.ident) || !c.group.HasQuorum(in) {
				continue
			}
			if val, ok := electedValue(copies, mask, c.group); ok && !strings.HasPrefix(val, w.lastRead) {
				w.violate("a majority holds all: %q was acknowledged or read, "+
					"but %s with group %d %s may be elected by %s, %s, and finds %q",
					w.lastRead, c.ident, c.group.Number, groupNames(c.group), memberNames(copies, mask), how, val)
				return
			}
		}
	}
}

// electedValue returns the value that a candidate with this group would find at the replicas in
// mask. ok reports whether all of them are members and would vote for it.
func electedValue(copies []replicaState, mask int, g message.Group) (val string, ok bool) {
	var set uint64
	var ver message.Version
	for k, c := range copies {
		if mask>>k&1 == 0 {
			continue
		}
		for l, o := range copies {
			if l != k && mask>>l&1 == 1 && (o.ident == c.ident || !admits(c, o)) {
				return "", false
			}
		}
		if !g.Has(c.ident) || c.group.Number > g.Number ||
			c.group.Number == g.Number && groupNames(c.group) != groupNames(g) {
			return "", false
		}
		if c.set > set {
			set, ver, val = c.set, message.Version{}, ""
		}
		if c.set == set && ver.Less(c.ver) {
			ver, val = c.ver, c.val
		}
	}
	return val, true
}

func memberNames(copies []replicaState, mask int) (s string) {
	for k, c := range copies {
		if mask>>k&1 == 1 {
			s += c.ident
		}
	}
	return s
}

// hash returns a hash of everything that determines the future of a state. States with equal
// hashes are treated as the same.
func (w *world) hash() uint64 {
	h := hasher{now: w.now}
	for _, d := range w.daemons {
		h.word(d.hash(w.now))
	}
	var held uint64
	for _, p := range w.packets {
		if p.isDelayed {
			held += p.hash
		} else {
			h.word(p.hash)
		}
	}
	h.word(held)
	for _, c := range w.cuts {
		h.word(uint64(c[0]<<8 | c[1]))
	}
	h.value(reflect.ValueOf(w.used))
	for _, c := range w.changes {
		h.word(uint64(c.tag)<<16 | uint64(c.base)<<8 | uint64(c.outcome))
	}
	for _, g := range w.grants {
		if g.end > w.now {
			h.word(uint64(g.daemon)<<32 ^ g.epoch<<16 ^ g.term)
			h.word(uint64(g.end - w.now))
		}
	}
	h.text(w.lastRead)
	for _, s := range w.wantedReplicas {
		h.text(s.Ident)
	}
	return h.sum
}

func (d *daemon) hash(now time.Duration) uint64 {
	if d.cachedHash != 0 && d.cachedAt == now {
		return d.cachedHash
	}
	h := hasher{now: d.local(now), seen: map[unsafe.Pointer]bool{}}
	h.text(d.self.Ident)
	h.word(d.epoch)
	h.value(reflect.ValueOf(d.isUp))
	h.value(reflect.ValueOf(d.isStalled))
	h.value(reflect.ValueOf(d.disk))
	h.value(reflect.ValueOf(d.pendingSaves))
	if d.partition != nil {
		h.value(reflect.ValueOf(d.partition))
	}
	d.cachedHash, d.cachedAt = h.sum, now
	return h.sum
}

func packetSum(from, to int, n message.Message) uint64 {
	h := hasher{seen: map[unsafe.Pointer]bool{}}
	h.word(uint64(from<<8 | to))
	h.value(reflect.ValueOf(n))
	return h.sum
}
