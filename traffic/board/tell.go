package board

import (
	"maps"
	"slices"
	"time"

	"mulleinmast/wire/message"
)

// crowd is the members of a zone from which on its head is one of its control
// daemons, if it has any: their machines have the wide links.
const crowd = 12

// Head is the daemon of a zone that sums for it: alike by all who see the same
// members.
//
// Example: replica := board.Head(view.Members, "north")
func Head(members []message.Member, zone string) message.Member {
	var any, wide chosen
	n := 0
	for _, m := range members {
		if m.Zone != zone {
			continue
		}
		n++
		any.offer(m)
		if m.HasDisk {
			wide.offer(m)
		}
	}
	if n >= crowd && wide.Ident != "" {
		return wide.Member
	}
	return any.Member
}

// chosen is the member with the highest weight so far.
type chosen struct {
	message.Member
	top uint64
}

func (c *chosen) offer(m message.Member) {
	if w := Name("head", m.Addr); c.Ident == "" || w > c.top {
		c.Member, c.top = m, w
	}
}

// Tick tells what is due.
//
// Example: for _, s := range b.Tick(now, view.Self, view.Members) { send(s) }
func (b *Board) Tick(now time.Duration, me message.Member, members []message.Member) (out []message.Envelope) {
	if now < b.next {
		return nil
	}
	b.next = now + b.cfg.Beat
	head := Head(members, me.Zone)
	b.head = head.Ident == me.Ident || head.Ident == ""
	own := b.marked(now)
	b.told = own
	if !b.head {
		out = append(out, b.sheet(head, Sheet{From: me.Ident, Zone: me.Zone, Kind: leaf, Uses: flat(own), Kept: b.most(&b.news)}))
		b.pass, b.spill = nil, nil
		return out
	}
	for id, h := range b.leaves {
		if now-h.at >= b.cfg.Old {
			delete(b.leaves, id)
		}
	}
	sum := maps.Clone(own)
	for _, h := range b.leaves {
		merge(sum, h.uses)
	}
	news := b.most(&b.news)
	pass := append(b.most(&b.pass), news...)
	for _, k := range news {
		b.spill = append(b.spill, loadReport{k, me.Ident})
	}
	spill := b.spill[:min(len(b.spill), b.cfg.Most)]
	b.spill = nil
	all := maps.Clone(sum)
	for zone, h := range b.zones {
		if now-h.at >= b.cfg.Old {
			delete(b.zones, zone)
			continue
		}
		merge(all, h.uses)
	}
	toZone, toHeads := audience{whole, wholePart, all, b.toZone.part(all)}, audience{zonal, zonalPart, sum, b.toHeads.part(sum)}
	zones := map[string]bool{me.Zone: true}
	for _, m := range members {
		switch {
		case m.Ident == me.Ident:
		case m.Zone == me.Zone:
			out = append(out, b.sheet(m, toZone.sheet(me, m, but(spill, m.Ident))))
		case !zones[m.Zone]:
			zones[m.Zone] = true
			head := Head(members, m.Zone)
			out = append(out, b.sheet(head, toHeads.sheet(me, head, pass)))
		}
	}
	return out
}

// audience is whom one telling goes to: those who take what changed are told that,
// those of older builds all of it.
type audience struct {
	wholeKind, partKind byte
	all                 map[uint64]Use
	part                []Change
}

func (a audience) sheet(me, to message.Member, kept []Kept) Sheet {
	s := Sheet{From: me.Ident, Zone: me.Zone, Kind: a.partKind, Changes: a.part, Kept: kept}
	if !takesParts(to) {
		s.Kind, s.Changes, s.Uses = a.wholeKind, nil, flat(a.all)
	}
	return s
}

// most takes so many messages as one telling holds; what is over is let go, since
// it says only where something may be found.
func (b *Board) most(list *[]Kept) []Kept {
	out := *list
	*list = nil
	return out[:min(len(out), b.cfg.Most)]
}

func (b *Board) sheet(to message.Member, s Sheet) message.Envelope {
	body, err := s.MarshalMsg(nil)
	if err != nil {
		panic(err) // our own types always pack
	}
	return message.Envelope{Addr: to.Addr, Message: message.Message{Kind: message.KindLoadReport, To: to.Ident, Body: body}}
}

func flat(m map[uint64]Use) []Use {
	out := make([]Use, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, m[k])
	}
	return out
}

func merge(to, from map[uint64]Use) {
	for k, u := range from {
		t := to[k]
		to[k] = Use{Server: k, Tokens: t.Tokens + u.Tokens, Writing: t.Writing + u.Writing, Pause: t.Pause + u.Pause, Good: t.Good + u.Good, Bad: t.Bad + u.Bad}
	}
}

// Hear takes another daemon's telling; one that can't be read is passed over.
//
// Example: b.Hear(now, message)
func (b *Board) Hear(now time.Duration, n message.Message) {
	var s Sheet
	if rest, err := s.UnmarshalMsg(n.Body); err != nil || len(rest) > 0 {
		return
	}
	h := heard{at: now, uses: make(map[uint64]Use, len(s.Uses))}
	for _, u := range s.Uses {
		h.uses[u.Server] = u
	}
	switch s.Kind {
	case zonalPart:
		h.uses = b.zones[s.Zone].uses
	case wholePart:
		h.uses = b.whole.uses
	}
	h.change(s.Changes)
	for _, k := range s.Kept {
		b.learn(k)
	}
	switch s.Kind {
	case leaf:
		b.leaves[s.From] = h
		b.pass = append(b.pass, s.Kept...)
		b.spread(s)
	case zonal, zonalPart:
		b.zones[s.Zone] = h
		b.spread(s)
	case whole, wholePart:
		b.whole = h
	}
}

// spread has what was told told on to the daemons of this zone.
func (b *Board) spread(s Sheet) {
	for _, k := range s.Kept {
		b.spill = append(b.spill, loadReport{k, s.From})
	}
}

func but(list []loadReport, ident string) (out []Kept) {
	for _, n := range list {
		if n.from != ident {
			out = append(out, n.Kept)
		}
	}
	return out
}
