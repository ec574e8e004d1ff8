// Package sim runs the real state machines of many daemons over a simulated
// network, disks and clocks, with seeded failures, and records a history for
// the checker. Same seed, same run.
package sim

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand"
	"sort"
	"time"

	"mulleinmast/control/cabin"
	"mulleinmast/control/notary"
	"mulleinmast/control/purge"
	"mulleinmast/control/roster"
	"mulleinmast/control/section"
	"mulleinmast/control/survey"
	"mulleinmast/control/tariff"
	"mulleinmast/wire/form"
)

// Options shape a run.
type Options struct {
	Seed     int64
	Cells    []int // daemons in each cell; the first of each has a disk
	Parts    int   // beside the configuration part
	Length   time.Duration
	Calm     time.Duration      // at the end nothing fails any more
	Faults   map[string]float64 // mean faults of each kind in a run
	Writes   time.Duration      // mean time between writes
	Reads    time.Duration      // mean time between a daemon's reads
	Keys     int
	Drift    float64         // how far clocks really run apart
	Sabotage string          // a fault put in on purpose, to prove the checker
	Clean    bool            // the network loses, delays and doubles nothing
	Flat     bool            // no relays: every daemon renews at the owner
	Swaps    []time.Duration // when a core machine is exchanged for an empty one
	Trace    func(string)
}

// Result is what a run came to.
type Result struct {
	History                  []Event
	Broken                   []string
	Yes, Never, Maybe, Reads int
	Notes, Purges            int
	RootNotes                int             // notes into owners
	Gap                      time.Duration   // longest time without an owner of part 0
	Waits                    []time.Duration // time from asking for a write to yes
	Faults                   map[string]int
	Recs                     int
}

type item struct {
	at time.Duration
	no int
	f  func()
}

type queue []item

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].no < q[j].no
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is for container/heap.
//
// Example: heap.Push(&q, it)
func (q *queue) Push(x any) { *q = append(*q, x.(item)) }

// Pop is for container/heap.
//
// Example: it := heap.Pop(&q).(item)
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	old[len(old)-1] = item{}
	*q = old[:len(old)-1]
	return x
}

// folder is what a simulated disk holds, synced.
type folder struct {
	ident string
	epoch uint64
	meta  map[int]notary.Meta
	recs  map[int]map[string]form.Rec
}

type node struct {
	w       *world
	name    string
	addr    string
	cell    string
	disk    *folder
	hasDisk bool
	life    int // counts starts; old events of a past life are dropped
	up      bool
	gone    bool          // for good
	frozen  time.Duration // until this true time
	rate    float64
	base    time.Duration
	slow    time.Duration
	slowTil time.Duration
	diskAt  time.Duration // when the disk is free

	ident  string
	epoch  uint64
	secs   []*section.Section
	guides []roster.Guide
	rost   *roster.Roster
	view   *roster.View
	acts   map[uint64]func(section.Result)
	ticks  int
}

type world struct {
	o     Options
	cfg   cabin.Config
	rng   *rand.Rand
	now   time.Duration
	q     queue
	no    int
	nodes []*node
	cut   map[[2]string]bool
	res   Result
	tags  uint64
	ids   int
	lost  bool
	owned time.Duration
	calm  bool
}

// Run makes one run.
//
// Example: r := sim.Run(sim.Default(42)); len(r.Broken) == 0
func Run(o Options) Result {
	w := &world{o: o, cfg: cabin.Default(), rng: rand.New(rand.NewSource(o.Seed)), cut: map[[2]string]bool{}}
	w.cfg.Parts, w.cfg.Test = o.Parts, true
	w.res.Faults = map[string]int{}
	if o.Sabotage == "drift" {
		o.Drift, w.o.Drift = 0.5, 0.5
	}
	i := 0
	for c, n := range o.Cells {
		for j := 0; j < n; j++ {
			w.add(fmt.Sprintf("cell-%d", c), j == 0, i)
			i++
		}
	}
	for _, n := range w.nodes {
		n := n
		w.at(time.Duration(w.rng.Int63n(int64(500*time.Millisecond))), n.start)
	}
	w.plan()
	for len(w.q) > 0 && w.now < o.Length {
		it := heap.Pop(&w.q).(item)
		w.now = it.at
		it.f()
		if len(w.res.History) > 400000 {
			break
		}
	}
	w.last()
	w.res.Broken = Check(w.res.History)
	return w.res
}

// Default is a run with every kind of failure.
//
// Example: sim.Run(sim.Default(1))
func Default(seed int64) Options {
	return Options{Seed: seed, Cells: []int{3, 3, 1}, Parts: 1, Length: 40 * time.Second, Calm: 14 * time.Second, Keys: 3,
		Writes: 250 * time.Millisecond, Reads: 60 * time.Millisecond, Drift: 0.02,
		Faults: map[string]float64{"kill": 2, "all": 0.15, "wipe": 0.4, "cut": 1.5, "oneway": 1, "alone": 1, "freeze": 2, "slow": 1, "stall": 0.5, "ackkill": 1}}
}

// Scenarios are the runs of a sweep.
//
// Example: for name, make := range sim.Scenarios { sim.Run(make(seed)) }
var Scenarios = map[string]func(int64) Options{
	"storm":   Default,
	"kills":   only(map[string]float64{"kill": 6, "all": 0.7, "ackkill": 6}),
	"disks":   only(map[string]float64{"wipe": 1, "ackkill": 3, "slow": 4, "stall": 2, "kill": 1}),
	"cuts":    only(map[string]float64{"cut": 3, "oneway": 3, "alone": 4}),
	"freezes": only(map[string]float64{"freeze": 12, "kill": 1}),
	"rangsit": func(seed int64) Options {
		o := Default(seed)
		o.Cells, o.Reads = []int{4, 3, 3}, 100*time.Millisecond
		return o
	},
	// All three core machines are exchanged, one after another, while the
	// usual trouble goes on.
	"swaps": func(seed int64) Options {
		o := Default(seed)
		o.Length, o.Calm, o.Writes, o.Reads = 130*time.Second, 34*time.Second, time.Second, 250*time.Millisecond
		o.Faults = map[string]float64{"kill": 1, "freeze": 2, "alone": 0.5, "slow": 1}
		o.Swaps = []time.Duration{10 * time.Second, 45 * time.Second, 80 * time.Second}
		return o
	},
}

func only(f map[string]float64) func(int64) Options {
	return func(seed int64) Options {
		o := Default(seed)
		o.Faults = f
		return o
	}
}

func (w *world) add(cell string, disk bool, i int) *node {
	n := &node{w: w, name: fmt.Sprintf("n%d", i), addr: fmt.Sprintf("10.0.0.%d:1", i+1), cell: cell, hasDisk: disk,
		rate: 1 + (w.rng.Float64()-0.5)*w.o.Drift, base: time.Duration(w.rng.Int63n(int64(time.Hour)))}
	w.nodes = append(w.nodes, n)
	return n
}

func (w *world) at(d time.Duration, f func()) {
	w.no++
	heap.Push(&w.q, item{w.now + d, w.no, f})
}

func (w *world) exp(mean time.Duration) time.Duration {
	return time.Duration(w.rng.ExpFloat64() * float64(mean))
}

func (w *world) note(e Event) {
	e.At = w.now
	w.res.History = append(w.res.History, e)
}

func (w *world) trace(how string, args ...any) {
	if w.o.Trace != nil {
		w.o.Trace(fmt.Sprintf("%v ", w.now) + fmt.Sprintf(how, args...))
	}
}

// local is a node's own monotonic time.
func (n *node) local() time.Duration { return n.base + time.Duration(float64(n.w.now)*n.rate) }

func (n *node) seeds() []string {
	var out []string
	for _, m := range n.w.nodes {
		if m.hasDisk && !m.gone && len(out) < 3 {
			out = append(out, m.addr)
		}
	}
	return out
}

// in runs f in this life of the node, once it isn't frozen.
func (n *node) in(d time.Duration, f func()) {
	life := n.life
	var run func()
	run = func() {
		if !n.up || n.life != life {
			return
		}
		if n.frozen > n.w.now {
			n.w.at(n.frozen-n.w.now+time.Duration(n.w.rng.Intn(1000)), run)
			return
		}
		f()
	}
	n.w.at(d, run)
}

func (n *node) start() {
	if n.up || n.gone {
		return
	}
	w := n.w
	n.up, n.frozen = true, 0
	n.life++
	w.ids++
	n.ident, n.epoch = fmt.Sprintf("%s-%d", n.name, w.ids), 1
	now := n.local()
	if n.hasDisk {
		if n.disk == nil {
			n.disk = &folder{ident: n.ident, meta: map[int]notary.Meta{}, recs: map[int]map[string]form.Rec{}}
			if w.o.Sabotage == "samename" {
				n.disk.ident = n.name
			}
		}
		n.disk.epoch++
		n.ident, n.epoch = n.disk.ident, n.disk.epoch
	}
	n.secs, n.guides, n.acts = nil, nil, map[uint64]func(section.Result){}
	me := form.Seat{Ident: n.ident, Addr: n.addr}
	leases := w.cfg.Leases()
	if w.o.Sabotage == "nowait" {
		leases.Drift, leases.Margin = -0.6, 0
	}
	sess := w.cfg.Sessions()
	if w.o.Flat {
		sess.Small = len(w.nodes) + 1
	}
	n.rost = roster.New(sess, n.member(), n.seeds())
	n.view = n.rost.View()
	for p := 0; p <= w.o.Parts; p++ {
		var seat *notary.Seat
		if n.hasDisk {
			book := survey.NewBook()
			for _, r := range n.disk.recs[p] {
				book.Put(r)
			}
			meta := n.disk.meta[p]
			if w.o.Sabotage == "forget" {
				meta.Promised, meta.To = 0, ""
			}
			seat = notary.New(w.cfg.Duty(), p, me, meta, book, now, meta.Group.Num == 0 || w.o.Sabotage == "nowaitvote")
		}
		tree := purge.New(leases, p, me, n.epoch)
		p := p
		tree.Relay = func(id string) form.Seat {
			if m, ok := n.view.Find(id); ok {
				return n.view.Relay(p, m.Cell)
			}
			return form.Seat{}
		}
		s := section.New(p, me, n.epoch, seat, tree)
		n.secs = append(n.secs, s)
		n.guides = append(n.guides, roster.Guide{Part: p, Vol: w.cfg.Vol()})
		for k := 0; k < w.o.Keys; k++ {
			n.carry(p, s.Pin(now, key(k)))
		}
		if p == 0 && n.hasDisk {
			n.carry(0, s.Pin(now, tariff.SeatKey))
		}
	}
	w.trace("%s starts as %s", n.name, n.ident)
	n.in(0, n.tick)
	n.in(w.exp(w.o.Reads), n.read)
}

func key(k int) string { return fmt.Sprintf("plan/%d", k) }

func (n *node) member() form.Member {
	empty := n.hasDisk
	for _, s := range n.secs {
		if s.Seat != nil && s.Seat.Group().Num > 0 {
			empty = false
		}
	}
	if n.secs == nil && n.disk != nil {
		for _, m := range n.disk.meta {
			if m.Group.Num > 0 {
				empty = false
			}
		}
	}
	return form.Member{Ident: n.ident, Epoch: n.epoch, Addr: n.addr, Cell: n.cell, Disk: n.hasDisk, Ready: true, Empty: empty}
}

// tick lets time pass at a node, as the daemon's tickers do.
func (n *node) tick() {
	w := n.w
	now := n.local()
	n.ticks++
	for p, s := range n.secs {
		n.carry(p, s.Tick(now))
		if to := n.guides[p].Parent(now, n.view); to != s.Node.Parent() && !s.Node.Root() {
			n.carry(p, s.Adopt(now, to))
		}
		for _, m := range n.guides[p].Hints(s.Node.Live(now), s.Node.Mark(), n.view) {
			n.send(m)
		}
	}
	if n.ticks%4 == 0 {
		var owns []form.Own
		for p, s := range n.secs {
			if s.Owner(now) {
				owns = append(owns, form.Own{Part: p, Num: s.Seat.Num(), Seat: form.Seat{Ident: n.ident, Addr: n.addr}})
			} else if s.Seat != nil && s.Seat.Hint().Num > 0 {
				owns = append(owns, s.Seat.Hint())
			}
		}
		o := n.rost.Tick(now, n.member(), owns)
		n.view = n.rost.View()
		for _, m := range o.Sends {
			n.send(m)
		}
		if o.Found != nil {
			w.trace("%s founds the fleet", n.name)
			var all []notary.Save
			for _, s := range n.secs {
				out := s.Found(now, form.Group{Num: 1, Seats: o.Found})
				all = append(all, out.Saves...)
				for _, m := range out.Sends {
					n.send(m)
				}
			}
			n.save(all)
		}
		n.seats(now)
	}
	n.in(15*time.Millisecond+time.Duration(w.rng.Intn(int(10*time.Millisecond))), n.tick)
}

// seats keeps the wanted seats and moves the groups towards them.
func (n *node) seats(now time.Duration) {
	rec, ok := n.secs[0].Node.Get(now, tariff.SeatKey)
	if !ok || !n.hasDisk {
		return
	}
	var want []form.Seat
	if !rec.Dead {
		if err := json.Unmarshal(rec.Val, &want); err != nil {
			panic(err)
		}
	}
	for p, s := range n.secs {
		if !s.Owner(now) {
			continue
		}
		if p == 0 {
			next, change := want, false
			if len(want) == 0 {
				next, change = s.Seat.Group().Seats, true
			} else if len(s.Seat.Group().Next) == 0 {
				next, change = n.rost.Vacant(now, want, n.w.cfg.Bounds.Recover*3/2)
			}
			if change {
				val, _ := json.Marshal(next)
				n.w.trace("%s wants seats %v", n.name, next)
				n.w.tags++
				n.carry(0, s.Do(now, n.w.tags, section.Job{Keys: []string{tariff.SeatKey}, Make: func(read purge.Source) ([]form.Rec, any) {
					if read(tariff.SeatKey).Ver != rec.Ver {
						return nil, nil
					}
					return []form.Rec{{Key: tariff.SeatKey, Val: val}}, nil
				}}))
				continue
			}
		}
		if len(want) == 3 {
			n.carry(p, s.Regroup(now, want))
		}
	}
}

func (n *node) carry(p int, o section.Out) {
	if len(o.Saves) > 0 {
		n.save(o.Saves)
	}
	for _, m := range o.Sends {
		n.send(m)
	}
	for _, r := range o.Results {
		if f := n.acts[r.Tag]; f != nil {
			delete(n.acts, r.Tag)
			f(r)
		}
	}
	now := n.local()
	if o.Orphan {
		n.guides[p].Orphaned(now)
	}
	if o.Steer.Ident != "" {
		n.guides[p].Steered(now, o.Steer)
	}
	if o.Won {
		n.w.trace("%s owns part %d at %d", n.name, p, n.secs[p].Seat.Num())
	}
	if o.Lost {
		n.w.trace("%s lost part %d", n.name, p)
	}
}

// save syncs a batch after the disk's time; a crash before that loses it.
func (n *node) save(list []notary.Save) {
	w := n.w
	d := 200*time.Microsecond + w.exp(time.Millisecond)
	if w.now < n.slowTil {
		d += n.slow
	}
	n.diskAt = max(n.diskAt, w.now) + d
	life := n.life
	sync := func() {
		for _, s := range list {
			n.disk.meta[s.Part] = s.Meta
			if n.disk.recs[s.Part] == nil {
				n.disk.recs[s.Part] = map[string]form.Rec{}
			}
			for _, sp := range s.Wipe {
				for k := range n.disk.recs[s.Part] {
					if survey.Span(k) == sp {
						delete(n.disk.recs[s.Part], k)
					}
				}
			}
			for _, k := range s.Drop {
				delete(n.disk.recs[s.Part], k)
			}
			for _, r := range s.Recs {
				n.disk.recs[s.Part][r.Key] = r
			}
		}
	}
	told := func() {
		for _, s := range list {
			n.carry(s.Part, n.secs[s.Part].Saved(n.local(), s.Ticket))
		}
	}
	if w.o.Sabotage == "nosync" { // says saved, and writes only much later
		n.in(0, told)
		w.at(n.diskAt-w.now+time.Second, func() {
			if n.up && n.life == life && n.disk != nil {
				sync()
			}
		})
		return
	}
	w.at(n.diskAt-w.now, func() {
		if !n.up || n.life != life || n.disk == nil {
			return
		}
		sync()
		n.in(0, told)
	})
}

func (n *node) send(m form.Send) {
	w := n.w
	m.Note.From, m.Note.Epoch, m.Note.Addr = n.ident, n.epoch, n.addr
	w.res.Notes++
	if m.Note.Kind == form.Purge {
		w.res.Purges++
	}
	for _, to := range w.nodes {
		if to.addr == m.Addr {
			w.carry(n, to, m.Note)
		}
	}
}

func (w *world) carry(from, to *node, m form.Note) {
	if w.cut[[2]string{from.name, to.name}] {
		return
	}
	if w.o.Sabotage == "ackpurge" && m.Kind == form.Purge {
		w.carry(to, from, form.Note{Kind: form.Purged, Part: m.Part, Key: m.Key, Ref: m.Ref, From: to.ident, Epoch: to.epoch, Addr: to.addr, To: from.ident})
		return
	}
	d := 100*time.Microsecond + w.exp(400*time.Microsecond)
	if !w.calm && !w.o.Clean {
		switch x := w.rng.Float64(); {
		case x < 0.005:
			return // lost
		case x < 0.02:
			d += w.exp(200 * time.Millisecond) // late, overtaken by others
		case x < 0.025:
			w.at(w.exp(300*time.Millisecond), func() { w.land(to, m) }) // twice
		}
	}
	w.at(d, func() { w.land(to, m) })
}

// land hands a note over; one that waits at a frozen node is read on waking.
func (w *world) land(to *node, m form.Note) {
	to.in(0, func() {
		if m.To != "" && m.To != to.ident {
			return
		}
		now := to.local()
		if m.Kind >= form.Hello && m.Kind <= form.Count {
			for _, s := range to.rost.Hear(now, m).Sends {
				to.send(s)
			}
			return
		}
		s := to.secs[m.Part]
		if w.o.Trace != nil && m.Kind < form.Ask {
			w.trace("  %s<-%s part %d %s key=%s no=%d ref=%d len=%v mark=%v keys=%v recs=%d", to.name, m.From, m.Part, m.Kind, m.Key, m.No, m.Ref, time.Duration(m.Len), m.Mark, m.Keys, len(m.Recs))
		}
		if w.o.Trace != nil && m.Kind >= form.Ask && m.Kind < form.Hello {
			w.trace("  %s<-%s part %d %s num=%d set=%d no=%d ref=%d group=%d recs=%d len=%v", to.name, m.From, m.Part, m.Kind, m.Num, m.Set, m.No, m.Ref, m.Group.Num, len(m.Recs), time.Duration(m.Len))
		}
		if s.Node.Root() {
			w.res.RootNotes++
		}
		to.carry(m.Part, s.Hear(now, m))
	})
}

// read is a daemon using a record, as traffic does.
func (n *node) read() {
	w := n.w
	p, k := w.rng.Intn(len(n.secs)), key(w.rng.Intn(w.o.Keys))
	if r, ok := n.secs[p].Node.Get(n.local(), k); ok {
		w.res.Reads++
		w.note(Event{Kind: Served, Node: n.name, Part: p, Key: fmt.Sprintf("%d/%s", p, k), Tags: tags(r)})
	}
	w.owners()
	n.in(w.exp(w.o.Reads), n.read)
}

func tags(r form.Rec) []string {
	var out []string
	if !r.Dead && len(r.Val) > 0 {
		if err := json.Unmarshal(r.Val, &out); err != nil {
			panic(err)
		}
	}
	return out
}

// owners notes every daemon that takes itself for an owner at this moment.
func (w *world) owners() {
	for p := 0; p <= w.o.Parts; p++ {
		any := false
		for _, n := range w.nodes {
			if n.up && p < len(n.secs) && n.frozen <= w.now && n.secs[p].Owner(n.local()) {
				w.note(Event{Kind: Owning, Node: n.name, Part: p})
				any = true
			}
		}
		if p == 0 {
			if any {
				w.owned = w.now
			} else if w.owned > 0 {
				w.res.Gap = max(w.res.Gap, w.now-w.owned)
			}
		}
	}
}

// write asks some daemon that takes itself for the owner to append a tag.
func (w *world) write() {
	if !w.calm {
		w.at(w.exp(w.o.Writes), w.write)
	}
	p, k := w.rng.Intn(w.o.Parts+1), key(w.rng.Intn(w.o.Keys))
	var own []*node
	for _, n := range w.nodes {
		if n.up && n.frozen <= w.now && n.secs[p].Owner(n.local()) {
			own = append(own, n)
		}
	}
	if len(own) > 0 {
		w.ask(own[w.rng.Intn(len(own))], p, k)
	}
}

func (w *world) ask(n *node, p int, k string) {
	w.tags++
	tag, at := fmt.Sprintf("w%d", w.tags), w.now
	name := fmt.Sprintf("%d/%s", p, k)
	w.note(Event{Kind: Asked, Node: n.name, Part: p, Key: name, Tag: tag})
	n.acts[w.tags] = func(r section.Result) {
		e := Event{Node: n.name, Part: p, Key: name, Tag: tag}
		switch r.Fate {
		case section.Done:
			e.Kind = Yes
			w.res.Yes++
			w.res.Waits = append(w.res.Waits, w.now-at)
			if !w.calm && w.rng.Float64() < w.o.Faults["ackkill"]/40 {
				w.fault("ackkill", n)
			}
		case section.NotOwner, section.Unchanged:
			e.Kind = Never
			w.res.Never++
		default:
			e.Kind = Maybe
			w.res.Maybe++
		}
		w.note(e)
	}
	n.carry(p, n.secs[p].Do(n.local(), w.tags, section.Job{Keys: []string{k}, Make: func(read purge.Source) ([]form.Rec, any) {
		val, _ := json.Marshal(append(tags(read(k)), tag))
		return []form.Rec{{Key: k, Val: val}}, nil
	}}))
}

// plan lays out a run's failures.
func (w *world) plan() {
	w.at(5*time.Second, w.write)
	end := w.o.Length - w.o.Calm
	for _, kind := range kinds(w.o.Faults) {
		if kind == "ackkill" {
			continue
		}
		mean := w.o.Faults[kind]
		for x := w.rng.ExpFloat64(); x < mean; x += w.rng.ExpFloat64() {
			at := 6*time.Second + time.Duration(w.rng.Float64()*float64(end-7*time.Second))
			w.at(at, func() { w.fault(kind, w.nodes[w.rng.Intn(len(w.nodes))]) })
		}
	}
	for _, at := range w.o.Swaps {
		w.at(at, w.swap)
	}
	w.at(end, func() {
		w.calm = true
		w.cut = map[[2]string]bool{}
		w.trace("calm")
		for _, n := range w.nodes {
			n.frozen = min(n.frozen, w.now)
			n.slowTil = 0
			n.diskAt = min(n.diskAt, w.now)
			n.start()
		}
	})
}

// swap exchanges a core machine once the last exchange is mended: the fleet
// bears the loss of one disk at a time.
func (w *world) swap() {
	for p := 0; p <= w.o.Parts; p++ {
		whole := false
		for _, n := range w.nodes {
			if !n.up || !n.secs[p].Owner(n.local()) {
				continue
			}
			g := n.secs[p].Seat.Group()
			whole = len(g.Next) == 0
			for _, m := range w.nodes {
				whole = whole && (!m.gone || !g.Has(m.ident))
			}
			for _, s := range g.Seats {
				found := false
				for _, m := range w.nodes {
					found = found || m.up && m.ident == s.Ident && m.disk != nil && m.disk.meta[p].Set == n.secs[p].Seat.Num()
				}
				whole = whole && found
			}
		}
		if !whole {
			w.at(time.Second, w.swap)
			return
		}
	}
	w.fault("swap", w.nodes[0])
}

func kinds(m map[string]float64) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

func (n *node) kill() {
	n.up = false
	n.life++
	n.diskAt = 0
}

func (w *world) back(n *node) {
	w.at(200*time.Millisecond+w.exp(2*time.Second), n.start)
}

// fault brings one failure about.
func (w *world) fault(kind string, n *node) {
	if w.calm {
		return
	}
	w.res.Faults[kind]++
	w.trace("FAULT %s %s", kind, n.name)
	heal := func(f func()) { w.at(200*time.Millisecond+w.exp(2500*time.Millisecond), f) }
	switch kind {
	case "kill":
		n.kill()
		w.back(n)
	case "all":
		for _, m := range w.nodes {
			m.kill()
			w.back(m)
		}
	case "ackkill": // right after an acknowledgement, sometimes with its disk
		n.kill()
		if !w.lost && w.rng.Intn(3) == 0 {
			w.lost, n.disk = true, nil
			w.res.Faults["wipe"]++
		}
		w.back(n)
	case "wipe":
		if w.lost {
			return
		}
		for _, m := range w.nodes {
			if m.hasDisk && m.disk != nil {
				n = m
				if w.rng.Intn(2) == 0 {
					break
				}
			}
		}
		w.lost = true
		n.kill()
		n.disk = nil
		w.back(n)
	case "cut", "oneway":
		side := map[string]bool{}
		for _, m := range w.nodes {
			side[m.name] = w.rng.Intn(2) == 0
		}
		var made [][2]string
		for _, a := range w.nodes {
			for _, b := range w.nodes {
				if side[a.name] != side[b.name] && (kind == "cut" || side[a.name]) {
					made = append(made, [2]string{a.name, b.name})
				}
			}
		}
		w.sever(made, heal)
	case "alone":
		var made [][2]string
		for _, b := range w.nodes {
			made = append(made, [2]string{n.name, b.name}, [2]string{b.name, n.name})
		}
		w.sever(made, heal)
	case "swap": // a core machine is replaced by an empty one at a new address
		for _, m := range w.nodes {
			if m.hasDisk && !m.gone {
				n = m
				break
			}
		}
		n.kill()
		n.gone = true
		m := w.add(n.cell, true, len(w.nodes))
		w.at(w.exp(time.Second), m.start)
	case "freeze":
		was := max(n.frozen, w.now)
		n.frozen = max(n.frozen, w.now+50*time.Millisecond+w.exp(1500*time.Millisecond))
		if w.o.Sabotage == "standstill" { // a clock that stops while the machine is suspended
			n.base -= time.Duration(float64(n.frozen-was) * n.rate)
		}
	case "slow", "stall":
		n.slow, n.slowTil = w.exp(40*time.Millisecond), w.now+w.exp(3*time.Second)
		if kind == "stall" {
			n.slow = 2 * time.Second
		}
	}
}

func (w *world) sever(made [][2]string, heal func(func())) {
	for _, c := range made {
		w.cut[c] = true
	}
	heal(func() {
		for _, c := range made {
			delete(w.cut, c)
		}
	})
}

// last looks whether the fleet, long whole again, serves every record.
func (w *world) last() {
	for _, n := range w.nodes {
		if n.gone {
			continue
		}
		for p := range n.secs {
			for k := 0; k < w.o.Keys; k++ {
				r, ok := n.secs[p].Node.Get(n.local(), key(k))
				if !ok {
					v := n.secs[p].Node.View(n.local())
					w.note(Event{Kind: Silent, Node: n.name, Tag: fmt.Sprintf("serves no part %d, %v after the last failure (lease %d ms, parent %s, live %v, owner %v)", p, w.o.Calm, v.Left, v.Parent.Addr, n.view.Live, n.view.Owns[p])})
					continue
				}
				w.note(Event{Kind: Served, Node: n.name, Part: p, Key: fmt.Sprintf("%d/%s", p, key(k)), Tags: tags(r)})
			}
			if s := n.secs[p]; s.Seat != nil {
				w.res.Recs = max(w.res.Recs, s.Seat.Book().Size())
			}
		}
	}
}
