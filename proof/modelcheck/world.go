// Package modelcheck explores the production state machines of elections, membership changes
// and partition writes: every order of events within bounds, breadth-first, or long seeded
// random walks. It delivers the machines' messages and saves, advances time, injects faults,
// and checks the invariants after each event.
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
	leaderLease     = time.Second // all other times are multiples of it
	partitionNumber = 1
	key             = "plan/now"
	timeStep        = leaderLease / 12 // granularity of time, and the spacing between candidates
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

// Setup configures a model.
type Setup struct {
	Replicas       int          // daemons in the first group
	Standbys       int          // daemons with a disk that are not in the first group
	Caches         int          // daemons without a disk
	Tree           bool         // daemons that don't lead hold leases granted by the leader
	Skew           bool         // clock rates differ by nearly as much as allowed
	Copies         bool         // disks are copied, and copies are restored or started as second daemons
	DuplicateStart bool         // two processes start from copies of one folder at the same time
	Fault          plantedFault // a planted fault
}

// disk is the synced content of a daemon's disk. It is never modified in place.
type disk struct {
	meta    quorum.Meta
	records map[string]message.Record
}

// with returns the content after a save.
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

// daemon is the state of one daemon. Worlds share daemons, so it is copied before a change.
type daemon struct {
	self            message.Replica
	epoch           uint64
	hasDisk         bool
	isUp            bool
	isStalled       bool // its disk completes no writes
	disk            disk
	diskAtLastStart disk // content at the last start, for a planted fault
	diskCopy        *disk
	isStale         bool // started from an older copy; counts as a lost disk until it is replaced
	pendingSaves    []quorum.Save
	partition       *partition.Partition
	clockRate       float64 // relative to true time
	cachedHash      uint64  // hash as of cachedAt; 0: unknown
	cachedAt        time.Duration
}

func (d *daemon) local(now time.Duration) time.Duration {
	return time.Duration(float64(now) * d.clockRate)
}

func (d *daemon) isLeader(now time.Duration) bool {
	return d.isUp && d.partition.IsLeader(d.local(now))
}

// packet is a message in flight. A delayed one is delivered only by an event.
type packet struct {
	from, to  int
	isDelayed bool
	message   message.Message
	hash      uint64
}

// change is a requested write. It appends its tag to the list under the key if the length of
// the list still equals its base.
type change struct {
	tag     byte
	base    int
	outcome partition.Outcome // 0: pending
}

// grant records until when leases granted by a leader in one term may be valid.
type grant struct {
	daemon int
	epoch  uint64
	term   uint64
	end    time.Duration
}

// world is one state of the model. Events are applied to forks of it.
type world struct {
	setup          *Setup
	now            time.Duration
	daemons        []*daemon
	packets        []packet
	cuts           [][2]int
	used           Bounds
	changes        []change
	grants         []grant
	leaders        map[uint64]string // term -> the incarnation that was leader in it
	wantedReplicas []message.Replica
	identities     int
	starts         int    // starts of all daemons; nonces for their incarnations
	lastRead       string // longest list read or acknowledged
	violation      string // the invariant that the last event violated; "": none
	trace          func(format string, args ...any)
}

// newWorld returns a fleet with a complete first group and a leader.
func newWorld(s *Setup) *world {
	w := &world{setup: s, now: 100 * leaderLease, leaders: map[uint64]string{}}
	var members []message.Replica
	for i := range s.Replicas + s.Standbys + s.Caches {
		d := &daemon{hasDisk: i < s.Replicas+s.Standbys, clockRate: 1}
		if s.Skew && i%2 == 1 {
			d.clockRate += quorumConfig.Drift * 0.9
		}
		if s.Fault == slowClock && i == 0 {
			d.clockRate = 0.5
		}
		w.daemons = append(w.daemons, d)
		w.assignIdentity(i)
		w.start(i)
		if i < s.Replicas {
			members = append(members, d.self)
		}
	}
	w.wantedReplicas = members
	for i := range members {
		w.input(i, func(d *daemon, now time.Duration) partition.Out {
			return d.partition.Bootstrap(now, message.Group{Number: 1, Replicas: members})
		})
	}
	for n := 0; n < 2000 && !w.isSettled(); n++ {
		w.step()
	}
	if !w.isSettled() {
		panic("modelcheck: no leader was elected at the start")
	}
	w.used = Bounds{}
	if s.DuplicateStart {
		w.copyDisk(0)
		w.restoreCopy(0)
		w.startCopy(0)
	}
	return w
}

// isSettled reports whether there is a leader whose group is not changing and whose members
// all have its state on disk.
func (w *world) isSettled() bool {
	for _, d := range w.daemons {
		if !d.isLeader(w.now) {
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

// fork returns a copy of the world that can be modified independently.
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

// mutable replaces a daemon of this world by a copy that may be modified, and returns it.
func (w *world) mutable(i int) *daemon {
	d := *w.daemons[i]
	d.cachedHash = 0
	if d.partition != nil {
		d.partition = copyPartition(d.partition)
		w.setup.Fault.setWritesFrom(d.partition)
	}
	d.pendingSaves = slices.Clone(d.pendingSaves)
	w.daemons[i] = &d
	return &d
}

// assignIdentity gives a daemon a new unique identity.
func (w *world) assignIdentity(i int) {
	w.identities++
	ident, addr := fmt.Sprintf("%c%d", 'A'+i, w.identities), fmt.Sprintf("addr-%c", 'a'+i)
	w.daemons[i].self = message.Replica{Ident: ident, Addr: addr}
}

// start starts a new incarnation of a daemon from its disk.
func (w *world) start(i int) {
	d := *w.daemons[i]
	w.daemons[i] = &d
	d.cachedHash, d.isUp, d.pendingSaves, d.isStalled = 0, true, nil, false
	d.epoch = incarnation.Number(incarnation.Starts(d.epoch)+1, uint32(w.starts+1))
	w.starts++
	if w.setup.Fault == rolledBackDisk {
		d.disk, d.diskAtLastStart = d.diskAtLastStart, d.disk
	}
	now := d.local(w.now)
	var replica *quorum.Replica
	if d.hasDisk {
		records := digest.NewRecords()
		for _, r := range d.disk.records {
			records.Put(r)
		}
		meta, isNew := w.setup.Fault.atStart(d.disk.meta)
		replica = quorum.New(quorumConfig, quorum.InitialState{
			Partition: partitionNumber, Self: d.self, Folder: w.setup.Fault.guard(d.epoch, meta),
			Meta: meta, Records: records, IsNew: isNew,
		}, now)
	}
	cfg := leaseConfig
	w.setup.Fault.leases(&cfg)
	node := lease.New(cfg, partitionNumber, d.self, d.epoch)
	d.partition = partition.New(partitionNumber, d.self, d.epoch, replica, node)
	w.setup.Fault.setWritesFrom(d.partition)
	if w.setup.Tree {
		w.inputInPlace(i, func(d *daemon, now time.Duration) partition.Out { return d.partition.Pin(now, key) })
	}
}

// input copies a daemon, applies one input to it and carries out its output.
func (w *world) input(i int, f func(*daemon, time.Duration) partition.Out) {
	w.mutable(i)
	w.inputInPlace(i, f)
}

// inputInPlace is input for a daemon that this world doesn't share.
func (w *world) inputInPlace(i int, f func(*daemon, time.Duration) partition.Out) {
	d := w.daemons[i]
	w.handleOutput(i, f(d, d.local(w.now)))
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
	w.handleOutput(i, d.partition.Saved(d.local(w.now), s.Ticket))
}

// handleOutput carries out the output of a daemon's partition.
func (w *world) handleOutput(i int, o partition.Out) {
	d := w.daemons[i]
	d.pendingSaves = append(d.pendingSaves, o.Saves...)
	for _, m := range o.Sends {
		w.send(i, m)
	}
	for _, r := range o.Results {
		w.checkAcknowledged(i, r)
	}
	if o.Won {
		w.checkElected(i)
	}
	if early := w.setup.Fault.savedEarly(d, d.local(w.now), o.Saves); len(early.Sends)+len(early.Saves) > 0 || early.Won {
		w.handleOutput(i, early)
	}
}

// tick runs a daemon's periodic work. A leader also moves its group towards the wanted one,
// as the production leader does.
func (w *world) tick(i int) {
	w.input(i, func(d *daemon, now time.Duration) partition.Out { return d.partition.Tick(now) })
	w.restartSuperseded(i)
	if w.daemons[i].isLeader(w.now) {
		w.changeGroup(i)
	}
	if w.setup.Tree {
		w.chooseParent(i)
	}
}

// changeGroup makes a leader update its standbys, continue a change in progress, and start
// the next change towards the wanted group.
func (w *world) changeGroup(i int) {
	var standbys []message.Replica
	for _, d := range w.daemons {
		if d.hasDisk && d.isUp {
			standbys = append(standbys, d.self)
		}
	}
	w.inputInPlace(i, func(d *daemon, now time.Duration) partition.Out { return d.partition.SetLearners(now, standbys) })
	w.inputInPlace(i, func(d *daemon, now time.Duration) partition.Out { return d.partition.ContinueChange(now) })
	g := w.daemons[i].partition.Replica.Group()
	for _, out := range g.Replicas {
		for _, in := range w.wantedReplicas {
			if !(message.Group{Replicas: w.wantedReplicas}).Has(out.Ident) && !g.Has(in.Ident) {
				w.inputInPlace(i, func(d *daemon, now time.Duration) partition.Out {
					return d.partition.ReplaceReplica(now, out.Ident, in)
				})
				return
			}
		}
	}
}

// chooseParent makes the leader with the highest term the parent of a daemon that doesn't
// lead.
func (w *world) chooseParent(i int) {
	best, term := -1, uint64(0)
	for k, d := range w.daemons {
		if d.isLeader(w.now) && d.partition.Replica.Term() > term {
			best, term = k, d.partition.Replica.Term()
		}
	}
	if best < 0 || best == i {
		return
	}
	if node := w.daemons[i].partition.Node; !node.IsRoot() && node.Parent() != w.daemons[best].self {
		w.inputInPlace(i, func(d *daemon, now time.Duration) partition.Out {
			return d.partition.SetParent(now, w.daemons[best].self)
		})
	}
}

// step advances the model without faults: all messages in flight arrive in order or, if
// there are none, time passes until a daemon sends one.
func (w *world) step() {
	due := 0
	for _, p := range w.packets {
		if !p.isDelayed {
			due++
		}
	}
	if due > 0 {
		for range due {
			k := w.nextPacket()
			w.log("deliver %s", w.describe(w.packets[k]))
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
