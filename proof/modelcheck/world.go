// Package modelcheck explores the real state machines of voting, membership
// change and partition writes: every order of events within bounds, shortest
// first, or long seeded walks. The machines are the daemon's own; this package
// only carries their messages and saves, lets time pass, breaks things, and
// looks after each event whether an invariant is broken.
package modelcheck

import (
	"fmt"
	"slices"
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/control/incarnation"
	"mulleinmast/control/lease"
	"mulleinmast/control/partition"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

const (
	lead = time.Second // length of the leader's lease; all other times are ratios to it
	part = 1
	key  = "plan/now"
	grid = lead / 12 // time passes in steps of this; candidates are spaced by as much
)

var (
	votes = quorum.Config{LeaderLease: lead, Drift: 0.02, Margin: lead / 50, HeartbeatInterval: lead / 3, LostAfter: 3 * lead}
	tree  = lease.Config{VolumeLease: lead * 4 / 5, ObjectLease: 60 * lead, Drift: votes.Drift, Margin: votes.Margin, RenewInterval: lead * 4 / 15}
)

// Setup is what a model consists of.
type Setup struct {
	Replicas int   // daemons with a vote from the start
	Standbys int   // daemons with a disk and no vote
	Caches   int   // daemons without a disk
	Tree     bool  // daemons that don't lead hold leases below the leader's
	Skew     bool  // clocks run as differently as is allowed
	Copies   bool  // disks are copied, and copies are put back or started beside
	Twins    bool  // two processes are started from one folder at the same moment
	Plant    plant // a fault planted on purpose
}

// disk is what a daemon's disk holds, synced; it is never changed in place.
type disk struct {
	meta quorum.Meta
	recs map[string]message.Record
}

func (d disk) with(s quorum.Save) disk {
	out := disk{meta: s.Meta, recs: map[string]message.Record{}}
	for k, r := range d.recs {
		if !slices.Contains(s.WipeRanges, digest.RangeOf(k)) && !slices.Contains(s.Delete, k) {
			out.recs[k] = r
		}
	}
	for _, r := range s.Records {
		out.recs[r.Key] = r
	}
	return out
}

// daemon is one daemon. It is copied before it is changed.
type daemon struct {
	me      message.Replica
	epoch   uint64
	store   bool // has a disk
	up      bool
	stalled bool // its disk completes nothing for now
	disk    disk
	first   disk // what it held at the last start, for a planted fault
	copied  *disk
	stale   bool // it was started from an older copy and is no loss that is made good yet
	pend    []quorum.Save
	sec     *partition.Partition
	rate    float64 // of its clock
	sum     uint64  // hash of sec as of sumAt; 0: unknown
	sumAt   time.Duration
}

func (d *daemon) local(now time.Duration) time.Duration {
	return time.Duration(float64(now) * d.rate)
}

func (d *daemon) leads(now time.Duration) bool { return d.up && d.sec.IsLeader(d.local(now)) }

// packet is a message on its way. One that is held is delivered only when an
// event says so.
type packet struct {
	from, to int
	held     bool
	note     message.Message
	sum      uint64
}

// change is a write that somebody asked for: its tag is appended to the list
// under the key if that list is still as long as its base.
type change struct {
	tag  byte
	base int
	fate partition.Outcome // 0: open
}

// grant is how long leases handed out by one leader's term may stand.
type grant struct {
	daemon int
	epoch  uint64
	term   uint64
	end    time.Duration
}

// world is one state of the model; events make new ones and leave it as it is.
type world struct {
	setup   *Setup
	now     time.Duration
	daemons []*daemon
	net     []packet
	cut     [][2]int
	spent   Bounds
	changes []change
	grants  []grant
	leads   map[uint64]string // term -> the life that was leader under it
	want    []message.Replica
	ids     int
	starts  int    // of all daemons: nonces of their incarnations
	seen    string // longest list that was read or acknowledged
	broken  string // the invariant that the last event broke
	trace   func(format string, args ...any)
}

// begin makes a fleet whose first group is formed and has a leader.
func begin(s *Setup) *world {
	w := &world{setup: s, now: 100 * lead, leads: map[uint64]string{}}
	var members []message.Replica
	for i := range s.Replicas + s.Standbys + s.Caches {
		d := &daemon{store: i < s.Replicas+s.Standbys, rate: 1}
		if s.Skew && i%2 == 1 {
			d.rate += votes.Drift * 0.9
		}
		if s.Plant == slowClock && i == 0 {
			d.rate = 0.5
		}
		w.daemons = append(w.daemons, d)
		w.rename(i)
		w.start(i)
		if i < s.Replicas {
			members = append(members, d.me)
		}
	}
	w.want = members
	for i := range members {
		w.do(i, func(d *daemon, now time.Duration) partition.Out {
			return d.sec.Bootstrap(now, message.Group{Number: 1, Replicas: members})
		})
	}
	for n := 0; n < 2000 && !w.settled(); n++ {
		w.step()
	}
	if !w.settled() {
		panic("modelcheck: no leader at the start")
	}
	w.spent = Bounds{}
	if s.Twins {
		w.copyDisk(0)
		w.putBack(0)
		w.beside(0)
	}
	return w
}

// settled tells whether a leader stands whose group is not changing and whose
// members all hold its state on disk.
func (w *world) settled() bool {
	for _, d := range w.daemons {
		if !d.leads(w.now) {
			continue
		}
		g := d.sec.Replica.Group()
		whole := len(g.Next) == 0 && len(w.net) == 0
		for _, s := range g.Replicas {
			m := w.find(s.Ident)
			whole = whole && m >= 0 && w.daemons[m].disk.meta.LastComplete == d.sec.Replica.Term()
		}
		return whole
	}
	return false
}

func (w *world) find(ident string) int {
	return slices.IndexFunc(w.daemons, func(d *daemon) bool { return d.me.Ident == ident })
}

func (w *world) say(format string, args ...any) {
	if w.trace != nil {
		w.trace(format, args...)
	}
}

// fork makes a world that can be changed without changing this one.
func (w *world) fork() *world {
	out := *w
	out.daemons = slices.Clone(w.daemons)
	out.net = slices.Clone(w.net)
	out.cut = slices.Clone(w.cut)
	out.changes = slices.Clone(w.changes)
	out.grants = slices.Clone(w.grants)
	leads := make(map[uint64]string, len(w.leads)+1)
	for t, l := range w.leads {
		leads[t] = l
	}
	out.leads = leads
	return &out
}

// own readies a daemon of this world for a change.
func (w *world) own(i int) *daemon {
	d := *w.daemons[i]
	d.sum = 0
	if d.sec != nil {
		d.sec = copyPartition(d.sec)
		w.setup.Plant.calm(d.sec)
	}
	d.pend = slices.Clone(d.pend)
	w.daemons[i] = &d
	return &d
}

// rename gives a daemon an identity that nobody had before.
func (w *world) rename(i int) {
	w.ids++
	w.daemons[i].me = message.Replica{Ident: fmt.Sprintf("%c%d", 'A'+i, w.ids), Addr: fmt.Sprintf("addr-%c", 'a'+i)}
}

// start begins a new life of a daemon with what its disk holds.
func (w *world) start(i int) {
	d := *w.daemons[i]
	w.daemons[i] = &d
	d.sum, d.up, d.pend, d.stalled = 0, true, nil, false
	d.epoch = incarnation.Number(incarnation.Starts(d.epoch)+1, uint32(w.starts+1))
	w.starts++
	if w.setup.Plant == rolledBack {
		d.disk, d.first = d.first, d.disk
	}
	now := d.local(w.now)
	var replica *quorum.Replica
	if d.store {
		book := digest.NewRecords()
		for _, r := range d.disk.recs {
			book.Put(r)
		}
		meta, fresh := w.setup.Plant.atStart(d.disk.meta)
		replica = quorum.New(votes, part, d.me, w.setup.Plant.guard(d.epoch, meta), meta, book, now, fresh)
	}
	cfg := tree
	w.setup.Plant.leases(&cfg)
	d.sec = partition.New(part, d.me, d.epoch, replica, lease.New(cfg, part, d.me, d.epoch))
	w.setup.Plant.calm(d.sec)
	if w.setup.Tree {
		w.run(i, func(d *daemon, now time.Duration) partition.Out { return d.sec.Pin(now, key) })
	}
}

// do copies a daemon, runs one input through it and carries out what it asks for.
func (w *world) do(i int, f func(*daemon, time.Duration) partition.Out) {
	w.own(i)
	w.run(i, f)
}

// run is do for a daemon that is this world's own already.
func (w *world) run(i int, f func(*daemon, time.Duration) partition.Out) {
	d := w.daemons[i]
	w.carry(i, f(d, d.local(w.now)))
	for !d.stalled && len(d.pend) > 0 {
		w.sync(i)
	}
}

// sync completes the oldest write to a daemon's disk.
func (w *world) sync(i int) {
	d := w.daemons[i]
	s := d.pend[0]
	d.pend = d.pend[1:]
	d.disk = d.disk.with(s)
	w.carry(i, d.sec.Saved(d.local(w.now), s.Ticket))
}

func (w *world) carry(i int, o partition.Out) {
	d := w.daemons[i]
	d.pend = append(d.pend, o.Saves...)
	for _, m := range o.Sends {
		w.emit(i, m)
	}
	for _, r := range o.Results {
		w.told(i, r)
	}
	if o.Won {
		w.won(i)
	}
	if early := w.setup.Plant.early(d, d.local(w.now), o.Saves); len(early.Sends)+len(early.Saves) > 0 || early.Won {
		w.carry(i, early)
	}
}

// tick lets time pass in a daemon, which also moves the group towards what is
// wanted, as the leader's works do.
func (w *world) tick(i int) {
	w.do(i, func(d *daemon, now time.Duration) partition.Out { return d.sec.Tick(now) })
	w.empty(i)
	if w.daemons[i].leads(w.now) {
		w.regroup(i)
	}
	if w.setup.Tree {
		w.adopt(i)
	}
}

// regroup has a leader keep the standbys up, go on with a step that is under way,
// and begin the next one towards the wanted group.
func (w *world) regroup(i int) {
	var standbys []message.Replica
	for _, d := range w.daemons {
		if d.store && d.up {
			standbys = append(standbys, d.me)
		}
	}
	w.run(i, func(d *daemon, now time.Duration) partition.Out { return d.sec.SetLearners(now, standbys) })
	w.run(i, func(d *daemon, now time.Duration) partition.Out { return d.sec.ContinueChange(now) })
	g := w.daemons[i].sec.Replica.Group()
	for _, out := range g.Replicas {
		for _, in := range w.want {
			if !(message.Group{Replicas: w.want}).Has(out.Ident) && !g.Has(in.Ident) {
				w.run(i, func(d *daemon, now time.Duration) partition.Out { return d.sec.ReplaceReplica(now, out.Ident, in) })
				return
			}
		}
	}
}

// adopt gives a daemon that doesn't lead the leader with the highest term as parent.
func (w *world) adopt(i int) {
	best, term := -1, uint64(0)
	for k, d := range w.daemons {
		if d.leads(w.now) && d.sec.Replica.Term() > term {
			best, term = k, d.sec.Replica.Term()
		}
	}
	if d := w.daemons[i]; best >= 0 && best != i && !d.sec.Node.IsRoot() && d.sec.Node.Parent() != w.daemons[best].me {
		w.run(i, func(d *daemon, now time.Duration) partition.Out { return d.sec.SetParent(now, w.daemons[best].me) })
	}
}

// step is what happens when nothing goes wrong: all messages that are on their
// way arrive in their order, or else time passes until somebody does something.
func (w *world) step() {
	due := 0
	for _, p := range w.net {
		if !p.held {
			due++
		}
	}
	if due > 0 {
		for range due {
			k := w.head()
			w.say("deliver %s", w.show(w.net[k]))
			w.deliver(k)
		}
		return
	}
	before := len(w.net)
	for range 12 {
		w.now += grid
		for i := range w.daemons {
			if w.daemons[i].up {
				w.tick(i)
			}
		}
		if len(w.net) != before {
			break
		}
	}
	w.say("time passes until %v", w.now-100*lead)
}
