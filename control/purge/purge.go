// Package purge is one daemon's place in a part's tree of volume leases
// (Yin, Alvisi, Dahlin, Lin: Hierarchical Cache Consistency in a WAN, 1999).
// A Node is a child of its parent and a parent to its children at once; at
// the root it stands on the owner's duty lease instead of a parent's.
//
// A record is served only under its object lease and the volume lease. A
// holder counts a lease from when it sent the request; a granter from when it
// sent the grant, stretched by drift and margin. No node grants a volume lease
// that outlasts its own.
package purge

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"mulleinmast/wire/form"
)

// Config holds the bounds of the leases.
type Config struct {
	Vol    time.Duration // volume lease
	Obj    time.Duration // object lease
	Drift  float64
	Margin time.Duration
	Beat   time.Duration // renew and resend interval
	Gain   time.Duration // what a join or split must save
	Span   time.Duration // interval over which hits are counted
	Most   int           // renewals in a Span above which a parent is loaded
}

func (c Config) wait(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.Drift) + c.Margin
}

// Source reads the root's committed records.
type Source func(key string) form.Rec

// Out is what a step asks for.
type Out struct {
	Sends  []form.Send
	Fresh  []string // records that became servable
	Gone   []string // records that were withdrawn
	Purged []uint64 // tags of holds whose purge is complete
	Orphan bool     // the parent said no or is silent: find another
	Steer  form.Seat
}

type hold struct {
	ver  form.Ver
	till time.Duration
}

type kid struct {
	id     string // identity and epoch: a child that started anew is another child
	seat   form.Seat
	epoch  uint64
	till   time.Duration
	objs   map[string]hold
	listed bool   // on the unreachable list
	known  bool   // went through reconnect since we know it
	sync   uint64 // number of the Synced whose Connect clears the list
	ask    *form.Note
	askAt  time.Duration
	cost   time.Duration
	seen   time.Duration
}

// list puts a child on the unreachable list; only a Connect for a later Synced
// takes it off.
func (k *kid) list() { k.listed, k.sync = true, 0 }

type back struct {
	seat form.Seat
	ref  uint64
	mark form.Mark
}

type sweep struct {
	key  string
	no   uint64                   // acks carry it: one for an earlier sweep doesn't count
	wait map[string]time.Duration // child -> when its purge was last sent
	ups  []back
	tags []uint64
}

type cached struct {
	rec  form.Rec
	till time.Duration
}

type ask struct {
	at time.Duration
}

// Node is the state machine.
type Node struct {
	cfg   Config
	part  int
	me    form.Seat
	epoch uint64

	root  bool
	src   Source
	lease func() time.Duration
	term  uint64
	held  map[string]int

	parent form.Seat
	pmark  form.Mark
	heard  map[form.Mark]uint64 // highest number heard from each granter
	till   time.Duration
	no     uint64
	passes uint64 // numbers sweeps
	out    uint64 // numbers all notes to children, so that they can drop late ones
	reqs   map[uint64]ask
	sentAt time.Duration
	listAt time.Duration // when our list last went out
	backAt time.Duration // when the parent last replied
	objs   map[string]cached
	want   map[string]time.Duration // asked of the parent, and when first
	pins   map[string]bool

	kids   map[string]*kid
	needs  map[string]map[string]bool // key -> children waiting for it
	sweeps map[string]*sweep

	Shape
}

// New makes a node without a parent.
//
// Example: n := purge.New(cfg, 0, me, epoch)
func New(cfg Config, part int, me form.Seat, epoch uint64) *Node {
	n := &Node{cfg: cfg, part: part, me: me, epoch: epoch, held: map[string]int{}, heard: map[form.Mark]uint64{}, pins: map[string]bool{}}
	n.clear()
	n.objs, n.want, n.reqs = map[string]cached{}, map[string]time.Duration{}, map[uint64]ask{}
	return n
}

func (n *Node) clear() {
	n.kids, n.needs, n.sweeps = map[string]*kid{}, map[string]map[string]bool{}, map[string]*sweep{}
	n.Shape = n.Shape.fresh()
}

// Crown makes this node the root: src reads its records, lease is the duty lease.
//
// Example: n.Crown(seat.Num(), src, seat.Lease)
func (n *Node) Crown(term uint64, src Source, lease func() time.Duration) {
	n.clear()
	n.root, n.term, n.src, n.lease = true, term, src, lease
	n.held = map[string]int{}
	n.objs, n.want, n.reqs = map[string]cached{}, map[string]time.Duration{}, map[uint64]ask{}
	n.parent, n.pmark, n.till = form.Seat{}, form.Mark{}, 0
}

// Uncrown ends the root's part; everything it granted lapsed with its lease.
//
// Example: n.Uncrown()
func (n *Node) Uncrown() {
	n.clear()
	n.root, n.src, n.lease, n.term = false, nil, nil, 0
	n.held = map[string]int{}
}

// Root tells whether this node is the root.
//
// Example: if n.Root() { ... }
func (n *Node) Root() bool { return n.root }

// Parent is the seat this node renews at.
//
// Example: p := n.Parent()
func (n *Node) Parent() form.Seat { return n.parent }

// Mark is this node's volume epoch towards its children.
//
// Example: note.Mark == n.Mark()
func (n *Node) Mark() form.Mark { return form.Mark{Ident: n.me.Ident, Epoch: n.epoch, Term: n.term} }

// Till is when this node's own volume lease ends.
//
// Example: if now < n.Till() { serve() }
func (n *Node) Till() time.Duration {
	if n.root {
		return n.lease()
	}
	return n.till
}

// Live tells whether the volume lease is valid.
//
// Example: ready := n.Live(now)
func (n *Node) Live(now time.Duration) bool { return now < n.Till() }

// Get serves a record if both leases are valid. A Dead record with ok true is
// known absence.
//
// Example: rec, ok := n.Get(now, "plan/now")
func (n *Node) Get(now time.Duration, key string) (form.Rec, bool) {
	if !n.Live(now) {
		return form.Rec{}, false
	}
	if n.root {
		if n.held[key] > 0 {
			return form.Rec{}, false
		}
		return n.src(key), true
	}
	c, ok := n.objs[key]
	if !ok || now >= c.till {
		return form.Rec{}, false
	}
	return c.rec, true
}

// Pin keeps a record wanted: it is fetched now and again when withdrawn.
//
// Example: out := n.Pin(now, "plan/now")
func (n *Node) Pin(now time.Duration, key string) (o Out) {
	if n.pins[key] {
		return o
	}
	n.pins[key] = true
	if !n.root {
		n.fetch(now, key)
		n.renew(now, &o)
	}
	return o
}

// Adopt sets the parent. The old one's lease goes on being honoured until the
// new one has confirmed our records.
//
// Example: out := n.Adopt(now, seat)
func (n *Node) Adopt(now time.Duration, p form.Seat) (o Out) {
	if n.root || p.Ident == n.me.Ident || p == n.parent {
		return o
	}
	n.parent, n.pmark = p, form.Mark{}
	n.reqs, n.listAt = map[uint64]ask{}, 0
	n.backAt = now
	if p.Ident != "" {
		n.renew(now, &o)
	}
	return o
}

func (n *Node) fetch(now time.Duration, key string) {
	if _, ok := n.want[key]; !ok {
		n.want[key] = now
	}
}

// renew asks the parent for the volume lease and for everything wanted.
func (n *Node) renew(now time.Duration, o *Out) {
	if n.root || n.parent.Ident == "" {
		return
	}
	n.no++
	keys := make([]string, 0, len(n.want))
	for k := range n.want {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	n.reqs[n.no] = ask{at: now}
	if len(n.reqs) > 16 {
		for r := range n.reqs {
			if r+12 < n.no {
				delete(n.reqs, r)
			}
		}
	}
	n.sentAt = now
	o.Sends = append(o.Sends, form.Send{Addr: n.parent.Addr, Note: form.Note{Kind: form.Renew, Part: n.part, No: n.no, Mark: n.pmark, Keys: keys, To: n.parent.Ident, Cost: int64(n.cost)}})
}

func (n *Node) tell(k *kid, note form.Note, o *Out) {
	n.out++
	note.Part, note.No, note.Num, note.Mark, note.To = n.part, n.out, k.epoch, n.Mark(), k.seat.Ident
	o.Sends = append(o.Sends, form.Send{Addr: k.seat.Addr, Note: note})
}

// Hear takes a note from a parent or a child.
//
// Example: out := n.Hear(now, note)
func (n *Node) Hear(now time.Duration, m form.Note) (o Out) {
	switch m.Kind {
	case form.Renew:
		n.renewed(now, m, &o)
	case form.Listing:
		n.listing(now, m, &o)
	case form.Connect:
		if k := n.kids[kidID(m)]; k != nil && m.Mark == n.Mark() && m.Ref == k.sync {
			k.listed = false
		}
	case form.Purged:
		n.purged(now, kidID(m), m.Key, m.Ref, &o)
	case form.Grant, form.Reconnect, form.Synced, form.Purge, form.Deny, form.Steer:
		n.fromParent(now, m, &o)
	}
	return o
}

// kidID tells one life of a child from another: a relay that starts anew can't
// answer for what it granted before, so its old life's lease is waited out.
func kidID(m form.Note) string { return fmt.Sprintf("%s#%d", m.From, m.Epoch) }

func (n *Node) child(m form.Note) *kid {
	id := kidID(m)
	k := n.kids[id]
	if k == nil {
		k = &kid{id: id, epoch: m.Epoch, objs: map[string]hold{}}
		n.kids[id] = k
	}
	k.seat = form.Seat{Ident: m.From, Addr: m.Addr}
	return k
}

func (n *Node) renewed(now time.Duration, m form.Note, o *Out) {
	k := n.child(m)
	k.seen, k.cost = now, time.Duration(m.Cost)
	n.counted(now, k, n.Live(now) && n.holds(now, m.Keys))
	if !n.Live(now) {
		if n.root || n.parent.Ident == "" || n.parent.Ident == m.From {
			n.tell(k, form.Note{Kind: form.Deny, Ref: m.No, Why: "no lease"}, o)
			return
		}
		if k.ask == nil {
			k.askAt = now
		}
		k.ask = &m
		if now-n.sentAt > n.cfg.Beat/2 {
			n.renew(now, o)
		}
		return
	}
	k.ask = nil
	for _, key := range sorted(n.sweeps) {
		s := n.sweeps[key]
		if _, ok := s.wait[k.id]; ok {
			// Not renewed while it owes us a purge; told again only if the first
			// may be lost, since its acknowledgement may just have been overtaken.
			if now-s.wait[k.id] < n.cfg.Beat/4 {
				continue
			}
			s.wait[k.id] = now
			n.tell(k, form.Note{Kind: form.Purge, Key: key, Ref: s.no}, o)
		}
	}
	if n.owes(k.id) {
		return
	}
	if !k.known || k.listed || m.Mark != n.Mark() {
		n.tell(k, form.Note{Kind: form.Reconnect, Ref: m.No}, o)
		return
	}
	n.grant(now, k, m.No, m.Keys, true, o)
}

func (n *Node) holds(now time.Duration, keys []string) bool {
	for _, key := range keys {
		if _, ok := n.Get(now, key); !ok {
			return false
		}
	}
	return true
}

func (n *Node) owes(id string) bool {
	for _, s := range n.sweeps {
		if _, ok := s.wait[id]; ok {
			return true
		}
	}
	return false
}

// volLen is the longest volume lease that may be granted now.
func (n *Node) volLen(now time.Duration) time.Duration {
	return max(0, min(n.cfg.Vol, n.Till()-now))
}

// grant sends what is held; what is not is asked for and sent when it comes.
func (n *Node) grant(now time.Duration, k *kid, ref uint64, keys []string, vol bool, o *Out) {
	g := form.Note{Kind: form.Grant, Ref: ref}
	if vol {
		d := n.volLen(now)
		g.Len = int64(d)
		k.till = max(k.till, now+n.cfg.wait(d))
	}
	for _, key := range keys {
		rec, ok := n.Get(now, key)
		if s := n.sweeps[key]; !ok || s != nil {
			n.need(now, key, k.id, o)
			continue
		}
		g.Recs = append(g.Recs, rec)
		k.objs[key] = hold{ver: rec.Ver, till: now + n.cfg.wait(n.cfg.Obj)}
	}
	if len(g.Recs) > 0 {
		g.Long = int64(n.cfg.Obj)
	}
	if vol || len(g.Recs) > 0 {
		n.tell(k, g, o)
	}
}

func (n *Node) need(now time.Duration, key, id string, o *Out) {
	if n.needs[key] == nil {
		n.needs[key] = map[string]bool{}
	}
	n.needs[key][id] = true
	if !n.root {
		if _, asked := n.want[key]; !asked {
			n.fetch(now, key)
			n.renew(now, o)
		}
	}
}

// serve sends a record to the children that wait for it.
func (n *Node) serve(now time.Duration, key string, o *Out) {
	if n.sweeps[key] != nil {
		return
	}
	ids := n.needs[key]
	if len(ids) == 0 {
		return
	}
	if _, ok := n.Get(now, key); !ok {
		return
	}
	delete(n.needs, key)
	for _, id := range sorted(ids) {
		if k := n.kids[id]; k != nil && k.known && !k.listed && now < k.till && !n.owes(id) {
			n.grant(now, k, 0, []string{key}, false, o)
		}
	}
}

// listing is the second half of a reconnect: matching records are granted,
// the rest invalidated, and the volume lease granted, in one note.
func (n *Node) listing(now time.Duration, m form.Note, o *Out) {
	k := n.child(m)
	if !n.Live(now) || n.owes(k.id) || m.Mark != n.Mark() {
		return
	}
	// Listed until its Connect; object leases noted earlier stay noted, since a
	// late Listing must not make us forget what the child got meanwhile.
	k.listed, k.known = true, true
	s := form.Note{Kind: form.Synced, Ref: m.No, Long: int64(n.cfg.Obj)}
	for _, r := range m.Recs {
		cur, ok := n.Get(now, r.Key)
		if ok && n.sweeps[r.Key] == nil && cur.Ver == r.Ver && cur.Dead == r.Dead {
			s.Recs = append(s.Recs, form.Rec{Key: r.Key, Ver: r.Ver, Dead: r.Dead})
			k.objs[r.Key] = hold{ver: r.Ver, till: now + n.cfg.wait(n.cfg.Obj)}
		}
	}
	d := n.volLen(now)
	s.Len = int64(d)
	k.till = max(k.till, now+n.cfg.wait(d))
	n.tell(k, s, o)
	k.sync = n.out
}

func (n *Node) fromParent(now time.Duration, m form.Note, o *Out) {
	if m.Mark.Ident != m.From {
		return
	}
	if m.Kind == form.Steer && m.Why == "return" {
		o.Steer = m.Hint
		return
	}
	if m.Num != n.epoch {
		return // meant for an earlier life of ours: the granter notes it there
	}
	if m.Kind == form.Purge {
		// Whoever says so, dropping a record is safe; the number makes a grant
		// that was overtaken by this purge come too late.
		n.heard[m.Mark] = max(n.heard[m.Mark], m.No)
		n.sweep(now, m.Key, &back{seat: form.Seat{Ident: m.From, Addr: m.Addr}, ref: m.Ref, mark: m.Mark}, 0, o)
		return
	}
	if n.root || m.From != n.parent.Ident || m.No <= n.heard[m.Mark] {
		return
	}
	n.heard[m.Mark] = m.No
	n.backAt = now
	switch m.Kind {
	case form.Reconnect:
		// One at a time: two that overlap would undo one another for ever.
		if n.listAt > 0 && now-n.listAt < n.cfg.Beat/2 {
			return
		}
		n.listAt = now
		n.no++
		n.reqs[n.no] = ask{at: now}
		list := form.Note{Kind: form.Listing, Part: n.part, No: n.no, Mark: m.Mark, To: n.parent.Ident}
		for key, c := range n.objs {
			if now < c.till {
				list.Recs = append(list.Recs, form.Rec{Key: key, Ver: c.rec.Ver, Dead: c.rec.Dead})
			}
		}
		sort.Slice(list.Recs, func(i, j int) bool { return list.Recs[i].Key < list.Recs[j].Key })
		o.Sends = append(o.Sends, form.Send{Addr: n.parent.Addr, Note: list})
	case form.Synced:
		req, ok := n.reqs[m.Ref]
		if !ok {
			return
		}
		delete(n.reqs, m.Ref)
		n.costed(now - req.at)
		keep := map[string]form.Rec{}
		for _, r := range m.Recs {
			keep[r.Key] = r
		}
		for _, key := range sorted(n.objs) {
			c := n.objs[key]
			if r, ok := keep[key]; ok && r.Ver == c.rec.Ver && r.Dead == c.rec.Dead {
				c.till = req.at + time.Duration(m.Long)
				n.objs[key] = c
				continue
			}
			n.sweep(now, key, nil, 0, o)
		}
		n.pmark = m.Mark
		n.till = req.at + time.Duration(m.Len)
		o.Sends = append(o.Sends, form.Send{Addr: n.parent.Addr, Note: form.Note{Kind: form.Connect, Part: n.part, Ref: m.No, Mark: m.Mark, To: n.parent.Ident}})
		for key := range n.pins {
			if _, ok := n.Get(now, key); !ok {
				n.fetch(now, key)
			}
		}
		if len(n.want) > 0 {
			n.renew(now, o)
		}
		n.answerKids(now, o)
	case form.Grant:
		if m.Mark != n.pmark {
			return
		}
		if req, ok := n.reqs[m.Ref]; ok && m.Len > 0 {
			n.till = max(n.till, req.at+time.Duration(m.Len))
			delete(n.reqs, m.Ref)
			n.costed(now - req.at)
		}
		for _, r := range m.Recs {
			at, ok := n.want[r.Key]
			if !ok || n.sweeps[r.Key] != nil {
				continue
			}
			delete(n.want, r.Key)
			n.objs[r.Key] = cached{rec: r, till: at + time.Duration(m.Long)}
			o.Fresh = append(o.Fresh, r.Key)
			n.serve(now, r.Key, o)
		}
		n.answerKids(now, o)
	case form.Deny:
		o.Orphan = true
	case form.Steer:
		o.Steer = m.Hint
	}
}

// answerKids serves the renewals that waited for our own lease.
func (n *Node) answerKids(now time.Duration, o *Out) {
	if !n.Live(now) {
		return
	}
	for _, id := range sorted(n.kids) {
		if k := n.kids[id]; k.ask != nil {
			m := *k.ask
			k.ask = nil
			n.renewed(now, m, o)
		}
	}
}

func sorted[T any](m map[string]T) []string { return slices.Sorted(maps.Keys(m)) }

// Hold stops serving a record at the root and withdraws it from the tree;
// Out.Purged carries the tag when no valid lease on it is left below.
//
// Example: out := n.Hold(now, "plan/now", 17)
func (n *Node) Hold(now time.Duration, key string, tag uint64) (o Out) {
	n.held[key]++
	n.sweep(now, key, nil, tag, &o)
	return o
}

// Free serves a held record again, in its new version.
//
// Example: out := n.Free(now, "plan/now")
func (n *Node) Free(now time.Duration, key string) (o Out) {
	if n.held[key]--; n.held[key] <= 0 {
		delete(n.held, key)
		n.serve(now, key, &o)
	}
	return o
}

// sweep drops a record here and below: children with a valid volume lease get
// the purge and are waited for; lapsed ones go on the unreachable list.
func (n *Node) sweep(now time.Duration, key string, up *back, tag uint64, o *Out) {
	if _, ok := n.objs[key]; ok {
		delete(n.objs, key)
		o.Gone = append(o.Gone, key)
	}
	s := n.sweeps[key]
	if s == nil {
		n.passes++
		s = &sweep{key: key, no: n.passes, wait: map[string]time.Duration{}}
		for _, id := range sorted(n.kids) {
			k := n.kids[id]
			h, ok := k.objs[key]
			if !ok {
				continue
			}
			delete(k.objs, key)
			if now >= h.till {
				continue
			}
			if now >= k.till {
				k.list()
				continue
			}
			s.wait[id] = now
			n.tell(k, form.Note{Kind: form.Purge, Key: key, Ref: s.no}, o)
		}
		n.sweeps[key] = s
	}
	if up != nil {
		s.ups = append(s.ups, *up)
	}
	if tag != 0 {
		s.tags = append(s.tags, tag)
	}
	n.swept(now, s, o)
}

func (n *Node) purged(now time.Duration, id, key string, ref uint64, o *Out) {
	if s := n.sweeps[key]; s != nil && s.no == ref {
		if _, ok := s.wait[id]; ok {
			delete(s.wait, id)
			n.swept(now, s, o)
		}
	}
}

// swept finishes a sweep that waits for nobody any more.
func (n *Node) swept(now time.Duration, s *sweep, o *Out) {
	if len(s.wait) > 0 {
		return
	}
	delete(n.sweeps, s.key)
	for _, up := range s.ups {
		o.Sends = append(o.Sends, form.Send{Addr: up.seat.Addr, Note: form.Note{Kind: form.Purged, Part: n.part, Key: s.key, Ref: up.ref, Mark: up.mark, To: up.seat.Ident}})
	}
	o.Purged = append(o.Purged, s.tags...)
	if !n.root && n.pins[s.key] {
		if _, ok := n.Get(now, s.key); !ok {
			n.fetch(now, s.key)
			n.renew(now, o)
		}
	}
	n.serve(now, s.key, o)
}

// Tick lets time pass: renewals, resends, lapses.
//
// Example: out := n.Tick(now)
func (n *Node) Tick(now time.Duration) (o Out) {
	for _, key := range sorted(n.sweeps) {
		s := n.sweeps[key]
		if s == nil {
			continue
		}
		for _, id := range sorted(s.wait) {
			at, k := s.wait[id], n.kids[id]
			switch {
			case k == nil:
				delete(s.wait, id)
			case now >= k.till:
				k.list()
				delete(s.wait, id)
			case now-at >= n.cfg.Beat:
				s.wait[id] = now
				n.tell(k, form.Note{Kind: form.Purge, Key: key, Ref: s.no}, &o)
			}
		}
		n.swept(now, s, &o)
	}
	for _, id := range sorted(n.kids) {
		k := n.kids[id]
		if k.ask != nil && now-k.askAt > n.cfg.Vol {
			k.ask = nil
			n.tell(k, form.Note{Kind: form.Deny, Why: "lease lapsed"}, &o)
		}
		if now-k.seen > 8*n.cfg.Vol && now >= k.till && !n.owes(id) {
			delete(n.kids, id)
		}
	}
	n.reshape(now, &o)
	if n.root || n.parent.Ident == "" {
		return o
	}
	for key := range n.pins {
		if c, ok := n.objs[key]; (!ok || now >= c.till-n.cfg.Obj/4) && n.sweeps[key] == nil {
			n.fetch(now, key)
		}
	}
	for _, key := range sorted(n.objs) {
		if now >= n.objs[key].till {
			n.sweep(now, key, nil, 0, &o)
		}
	}
	if now-n.sentAt >= n.cfg.Beat {
		n.renew(now, &o)
	}
	if now-n.backAt > n.cfg.Vol {
		o.Orphan = true
		n.backAt = now
	}
	return o
}

// KidView is what a node knows of one child.
type KidView struct {
	Seat   form.Seat `json:"seat"`
	Left   int64     `json:"left_ms"`
	Objs   int       `json:"objs"`
	Listed bool      `json:"listed"`
}

// View is the node as the query shell shows it.
type View struct {
	Part   int               `json:"part"`
	Root   bool              `json:"root"`
	Parent form.Seat         `json:"parent"`
	Left   int64             `json:"left_ms"`
	Objs   map[string]string `json:"objs"`
	Kids   []KidView         `json:"kids"`
	Sweeps []string          `json:"sweeps,omitempty"`
}

// View snapshots the node.
//
// Example: json.Marshal(n.View(now))
func (n *Node) View(now time.Duration) View {
	v := View{Part: n.part, Root: n.root, Parent: n.parent, Left: (n.Till() - now).Milliseconds(), Objs: map[string]string{}, Sweeps: sorted(n.sweeps)}
	for key, c := range n.objs {
		v.Objs[key] = c.rec.Ver.String()
	}
	for _, id := range sorted(n.kids) {
		k := n.kids[id]
		v.Kids = append(v.Kids, KidView{k.seat, (k.till - now).Milliseconds(), len(k.objs), k.listed})
	}
	return v
}
