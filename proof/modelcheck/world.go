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
	leaderLease     = time.Second // length of the leader's lease; all other times are ratios to it
	partitionNumber = 1
	key             = "plan/now"
	timeStep        = leaderLease / 12 // time passes in steps of this; candidates are spaced by as much
)

var (
	quorumConfig = quorum.Config{
		LeaderLease: leaderLease, Drift: 0.02, Margin: leaderLease / 50,
		HeartbeatInterval: leaderLease / 3, LostAfter: 3 * leaderLease,
	}
	leaseConfig = lease.Config{
		VolumeLease: leaderLease * 4 / 5, ObjectLease: 60 * leaderLease,
		Drift: quorumConfig.Drift, Margin: quorumConfig.Margin, RenewInterval: leaderLease * 4 / 15,
	}
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
	meta    quorum.Meta
	records map[string]message.Record
}

func (d disk) with(s quorum.Save) disk {
	out := disk{meta: s.Meta, records: map[string]message.Record{}}
	for k, r := range d.records {
		if !slices.Contains(s.WipeRanges, digest.RangeOf(k)) && !slices.Contains(s.Delete, k) {
			out.records[k] = r
		}
	}
	for _, r := range s.Records {
		out.records[r.Key] = r
	}
	return out
}

// daemon is one daemon. It is copied before it is changed.
type daemon struct {
	self            message.Replica
	epoch           uint64
	hasDisk         bool // has a disk
	isUp            bool
	isStalled       bool // its disk completes nothing for now
	disk            disk
	diskAtLastStart disk // what it held at the last start, for a planted fault
	diskCopy        *disk
	isStale         bool // it was started from an older copy and is no loss that is made good yet
	pendingSaves    []quorum.Save
	partition       *partition.Partition
	clockRate       float64 // of its clock
	cachedHash      uint64  // hash of sec as of sumAt; 0: unknown
	cachedAt        time.Duration
}

func (d *daemon) local(now time.Duration) time.Duration {
	return time.Duration(float64(now) * d.clockRate)
}

func (d *daemon) leads(now time.Duration) bool { return d.isUp && d.partition.IsLeader(d.local(now)) }

// packet is a message on its way. One that is held is delivered only when an
// event says so.
type packet struct {
	from, to int
	isHeld   bool
	message  message.Message
	hash     uint64
}

// change is a write that somebody asked for: its tag is appended to the list
// under the key if that list is still as long as its base.
type change struct {
	tag     byte
	base    int
	outcome partition.Outcome // 0: open
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
	setup          *Setup
	now            time.Duration
	daemons        []*daemon
	packets        []packet
	cuts           [][2]int
	spent          Bounds
	changes        []change
	grants         []grant
	leaders        map[uint64]string // term -> the incarnation that was leader in it
	wantedReplicas []message.Replica
	identities     int
	starts         int    // of all daemons: nonces of their incarnations
	lastRead       string // longest list that was read or acknowledged
	broken         string // the invariant that the last event broke
	trace          func(format string, args ...any)
}

// begin makes a fleet whose first group is formed and has a leader.
func begin(s *Setup) *world {
	w := &world{setup: s, now: 100 * leaderLease, leaders: map[uint64]string{}}
	var members []message.Replica
	for i := range s.Replicas + s.Standbys + s.Caches {
		d := &daemon{hasDisk: i < s.Replicas+s.Standbys, clockRate: 1}
		if s.Skew && i%2 == 1 {
			d.clockRate += quorumConfig.Drift * 0.9
		}
		if s.Plant == slowClock && i == 0 {
			d.clockRate = 0.5
		}
		w.daemons = append(w.daemons, d)
		w.rename(i)
		w.start(i)
		if i < s.Replicas {
			members = append(members, d.self)
		}
	}
	w.wantedReplicas = members
	for i := range members {
		w.do(i, func(d *daemon, now time.Duration) partition.Out {
			return d.partition.Bootstrap(now, message.Group{Number: 1, Replicas: members})
		})
	}
	for n := 0; n < 2000 && !w.isSettled(); n++ {
		w.step()
	}
	if !w.isSettled() {
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

// isSettled reports whether a leader stands whose group is not changing and whose
// members all hold its state on disk.
func (w *world) isSettled() bool {
	for _, d := range w.daemons {
		if !d.leads(w.now) {
			continue
		}
		g := d.partition.Replica.Group()
		isComplete := len(g.Next) == 0 && len(w.packets) == 0
		for _, s := range g.Replicas {
			m := w.daemonOf(s.Ident)
			isComplete = isComplete && m >= 0 && w.daemons[m].disk.meta.LastComplete == d.partition.Replica.Term()
		}
		return isComplete
	}
	return false
}

func (w *world) daemonOf(ident string) int {
	return slices.IndexFunc(w.daemons, func(d *daemon) bool { return d.self.Ident == ident })
}

func (w *world) log(format string, args ...any) {
	if w.trace != nil {
		w.trace(format, args...)
	}
}

// fork makes a world that can be changed without changing this one.
func (w *world) fork() *world {
	out := *w
	out.daemons = slices.Clone(w.daemons)
	out.packets = slices.Clone(w.packets)
	out.cuts = slices.Clone(w.cuts)
	out.changes = slices.Clone(w.changes)
	out.grants = slices.Clone(w.grants)
	leads := make(map[uint64]string, len(w.leaders)+1)
	for t, l := range w.leaders {
		leads[t] = l
	}
	out.leaders = leads
	return &out
}

// mutable readies a daemon of this world for a change.
func (w *world) mutable(i int) *daemon {
	d := *w.daemons[i]
	d.cachedHash = 0
	if d.partition != nil {
		d.partition = copyPartition(d.partition)
		w.setup.Plant.setWritesFrom(d.partition)
	}
	d.pendingSaves = slices.Clone(d.pendingSaves)
	w.daemons[i] = &d
	return &d
}

// rename gives a daemon an identity that nobody had before.
func (w *world) rename(i int) {
	w.identities++
	ident, addr := fmt.Sprintf("%c%d", 'A'+i, w.identities), fmt.Sprintf("addr-%c", 'a'+i)
	w.daemons[i].self = message.Replica{Ident: ident, Addr: addr}
}

// start begins a new incarnation of a daemon with what its disk holds.
func (w *world) start(i int) {
	d := *w.daemons[i]
	w.daemons[i] = &d
	d.cachedHash, d.isUp, d.pendingSaves, d.isStalled = 0, true, nil, false
	d.epoch = incarnation.Number(incarnation.Starts(d.epoch)+1, uint32(w.starts+1))
	w.starts++
	if w.setup.Plant == rolledBackDisk {
		d.disk, d.diskAtLastStart = d.diskAtLastStart, d.disk
	}
	now := d.local(w.now)
	var replica *quorum.Replica
	if d.hasDisk {
		records := digest.NewRecords()
		for _, r := range d.disk.records {
			records.Put(r)
		}
		meta, isNew := w.setup.Plant.atStart(d.disk.meta)
		replica = quorum.New(quorumConfig, quorum.InitialState{
			Partition: partitionNumber, Self: d.self, Folder: w.setup.Plant.guard(d.epoch, meta),
			Meta: meta, Records: records, IsNew: isNew,
		}, now)
	}
	cfg := leaseConfig
	w.setup.Plant.leases(&cfg)
	node := lease.New(cfg, partitionNumber, d.self, d.epoch)
	d.partition = partition.New(partitionNumber, d.self, d.epoch, replica, node)
	w.setup.Plant.setWritesFrom(d.partition)
	if w.setup.Tree {
		w.run(i, func(d *daemon, now time.Duration) partition.Out { return d.partition.Pin(now, key) })
	}
}

// do copies a daemon, runs one input through it and carries out what it asks for.
func (w *world) do(i int, f func(*daemon, time.Duration) partition.Out) {
	w.mutable(i)
	w.run(i, f)
}

// run is do for a daemon that is this world's own already.
func (w *world) run(i int, f func(*daemon, time.Duration) partition.Out) {
	d := w.daemons[i]
	w.carry(i, f(d, d.local(w.now)))
	for !d.isStalled && len(d.pendingSaves) > 0 {
		w.sync(i)
	}
}

// sync completes the oldest write to a daemon's disk.
func (w *world) sync(i int) {
	d := w.daemons[i]
	s := d.pendingSaves[0]
	d.pendingSaves = d.pendingSaves[1:]
	d.disk = d.disk.with(s)
	w.carry(i, d.partition.Saved(d.local(w.now), s.Ticket))
}

func (w *world) carry(i int, o partition.Out) {
	d := w.daemons[i]
	d.pendingSaves = append(d.pendingSaves, o.Saves...)
	for _, m := range o.Sends {
		w.emit(i, m)
	}
	for _, r := range o.Results {
		w.checkAcknowledged(i, r)
	}
	if o.Won {
		w.checkElected(i)
	}
	if early := w.setup.Plant.savedEarly(d, d.local(w.now), o.Saves); len(early.Sends)+len(early.Saves) > 0 || early.Won {
		w.carry(i, early)
	}
}

// tick lets time pass in a daemon, which also moves the group towards what is
// wanted, as the leader's works do.
func (w *world) tick(i int) {
	w.do(i, func(d *daemon, now time.Duration) partition.Out { return d.partition.Tick(now) })
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
		if d.hasDisk && d.isUp {
			standbys = append(standbys, d.self)
		}
	}
	w.run(i, func(d *daemon, now time.Duration) partition.Out { return d.partition.SetLearners(now, standbys) })
	w.run(i, func(d *daemon, now time.Duration) partition.Out { return d.partition.ContinueChange(now) })
	g := w.daemons[i].partition.Replica.Group()
	for _, out := range g.Replicas {
		for _, in := range w.wantedReplicas {
			if !(message.Group{Replicas: w.wantedReplicas}).Has(out.Ident) && !g.Has(in.Ident) {
				w.run(i, func(d *daemon, now time.Duration) partition.Out {
					return d.partition.ReplaceReplica(now, out.Ident, in)
				})
				return
			}
		}
	}
}

// adopt gives a daemon that doesn't lead the leader with the highest term as parent.
func (w *world) adopt(i int) {
	best, term := -1, uint64(0)
	for k, d := range w.daemons {
		if d.leads(w.now) && d.partition.Replica.Term() > term {
			best, term = k, d.partition.Replica.Term()
		}
	}
	if best < 0 || best == i {
		return
	}
	if node := w.daemons[i].partition.Node; !node.IsRoot() && node.Parent() != w.daemons[best].self {
		w.run(i, func(d *daemon, now time.Duration) partition.Out {
			return d.partition.SetParent(now, w.daemons[best].self)
		})
	}
}

// step is what happens when nothing goes wrong: all messages that are on their
// way arrive in their order, or else time passes until somebody does something.
func (w *world) step() {
	due := 0
	for _, p := range w.packets {
		if !p.isHeld {
			due++
		}
	}
	if due > 0 {
		for range due {
			k := w.head()
			w.log("deliver %s", w.show(w.packets[k]))
			w.deliver(k)
		}
		return
	}
	before := len(w.packets)
	for range 12 {
		w.now += timeStep
		for i := range w.daemons {
			if w.daemons[i].isUp {
				w.tick(i)
			}
		}
		if len(w.packets) != before {
			break
		}
	}
	w.log("time passes until %v", w.now-100*leaderLease)
}
