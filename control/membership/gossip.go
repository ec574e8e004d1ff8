package membership

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"time"

	"mulleinmast/wire/message"
)

// same marks a Gossip that leaves out what the other has already.
const same = "same"

func (r *Table) gossip(o *Out) {
	var list []message.Member
	for _, id := range slices.Sorted(maps.Keys(r.mine)) {
		list = append(list, r.mine[id].m)
	}
	owns := r.known()
	sum, kept := digest(list, owns), r.kept()
	theirs := map[string]rumour{}
	for _, id := range slices.Sorted(maps.Keys(r.heard)) { // a daemon's earlier life may be among them still
		h := r.heard[id]
		if addr := h.list[len(h.list)-1].Addr; h.at >= theirs[addr].at {
			theirs[addr] = h
		}
	}
	others := r.controls()
	if r.beats%seldom == 0 {
		others = append(others, r.astray()...)
	}
	for _, to := range others {
		n := message.Message{Kind: message.KindGossip, Self: r.me, Members: list, Leaderships: owns, Term: kept, LastComplete: sum, ResponseTo: theirs[to].sum}
		if r.acked[to] == sum {
			n.Op, n.Members, n.Leaderships = same, nil, nil
		}
		o.Sends = append(o.Sends, message.Envelope{Addr: to, Message: n})
	}
}

// digest is of what a gossip or a welcome tells.
func digest(list []message.Member, owns []message.Leadership) uint64 {
	h := fnv.New64a()
	for _, m := range list {
		_, _ = fmt.Fprint(h, m)
	}
	var b []byte
	for _, o := range owns {
		b = binary.AppendUvarint(binary.AppendUvarint(b[:0], uint64(o.Partition)), o.Term)
		_, _ = h.Write(append(append(b, o.Leader.Ident...), o.Leader.Addr...))
	}
	return h.Sum64() | 1 // 0 is none
}

// told takes another control daemon's gossip.
func (r *Table) told(now time.Duration, n message.Message) {
	r.acked[n.Self.Addr] = n.ResponseTo
	old, ok := r.heard[n.Self.Ident]
	next := rumour{append(n.Members, n.Self), now, n.LastComplete}
	if n.Op == same {
		next.sum = 0 // it takes us to have what we don't, and will hear so
		if ok && old.sum == n.LastComplete {
			if old.list[len(old.list)-1] == n.Self {
				old.at = now
				r.heard[n.Self.Ident] = old
				return
			}
			next = rumour{append(slices.Clone(old.list[:len(old.list)-1]), n.Self), now, n.LastComplete}
		}
	}
	r.heard[n.Self.Ident] = next
	r.rebuild(now)
}

// remembered is how many earlier views are kept to tell differences from.
const remembered = 8

// unlike is a digest that is taken for no view's.
const unlike = 1

// shown is a view and its digest.
type shown struct {
	sum  uint64
	list []message.Member
}

// since has a Welcome hold only what is new since the view of that digest, if
// that is known and the difference is the shorter.
func (r *Table) since(sum uint64, rep *message.Message) {
	i := slices.IndexFunc(r.past, func(s shown) bool { return s.sum == sum })
	if i < 0 {
		return
	}
	was := map[string]message.Member{}
	for _, m := range r.past[i].list {
		was[m.Addr] = m
	}
	var fresh []message.Member
	for _, m := range r.view {
		if was[m.Addr] != m {
			fresh = append(fresh, m)
		}
		delete(was, m.Addr)
	}
	if 2*(len(fresh)+len(was)) < len(r.view) {
		rep.Op, rep.Members, rep.Keys = differ, fresh, slices.Sorted(maps.Keys(was))
	}
}

// merge takes a Welcome's differences. If that doesn't give the view that was
// meant, our next Hello says so by its digest and the whole comes.
func (r *Table) merge(n message.Message) {
	at := map[string]message.Member{}
	for _, m := range r.view {
		at[m.Addr] = m
	}
	for _, m := range n.Members {
		at[m.Addr] = m
	}
	for _, a := range n.Keys {
		delete(at, a)
	}
	list := slices.SortedFunc(maps.Values(at), func(a, b message.Member) int { return strings.Compare(a.Addr, b.Addr) })
	r.see(list)
	if r.print() != n.Term {
		r.sum = unlike // the whole is asked for
	}
}
