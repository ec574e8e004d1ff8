package sim

import (
	"encoding/json"
	"fmt"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/incarnation"
	"mulleinmast/control/leader"
	"mulleinmast/control/leadercall"
	"mulleinmast/control/lease"
	"mulleinmast/control/membership"
	"mulleinmast/control/partition"
	"mulleinmast/control/quorum"
	"mulleinmast/proof/history"
	"mulleinmast/wire/message"
)

// node is a simulated daemon.
type node struct {
	world           *world
	name            string
	addr            string
	zone            string
	disk            *folder
	hasDisk         bool
	onlySeed        string // if set, the only seed in its settings
	starts          int    // number of starts and kills; events scheduled before the last one are dropped
	up              bool
	removed         bool          // permanently
	leaving         bool          // told to stop permanently
	frozenUntil     time.Duration // in simulated time
	awakeAt         time.Duration // end of the last or current freeze
	rate            float64
	base            time.Duration
	diskDelay       time.Duration
	slowUntil       time.Duration
	busy            bool          // the disk is writing
	pendingSaves    []quorum.Save // saves waiting for the disk
	savesInProgress []quorum.Save // the batch being written
	blockedUntil    time.Duration // the disk completes no write until then

	ident          string
	epoch          uint64
	controllers    []*leader.Controller
	parentChoosers []membership.ParentChooser
	members        *membership.Table
	view           *membership.View
	ticks          int

	calls          *leadercall.Calls
	onResult       map[uint64]func(leadercall.Result)
	queues         map[string]*serviceQueue
	requests       map[string]*requestState
	waitingForPlan map[int]*caller           // requests waiting for a readable plan
	lastRead       map[string]message.Record // stale records that a sabotaged daemon keeps reading

	forgotInTerm uint64 // the term in which a sabotaged leader lost its memory of changes
}

func (n *node) partition(p int) *partition.Partition { return n.controllers[p].Partition() }

// local returns the time of the node's own monotonic clock.
func (n *node) local() time.Duration { return n.base + time.Duration(float64(n.world.now)*n.rate) }

func (n *node) seeds() []string {
	if n.onlySeed != "" {
		return []string{n.onlySeed}
	}
	var out []string
	for _, m := range n.world.nodes {
		if m.hasDisk != n.world.options.DisklessSeeds && !m.removed && len(out) < 3 {
			out = append(out, m.addr)
		}
	}
	return out
}

// schedule runs f after d, or when the node wakes if it is frozen then. If the node is
// killed or restarted before, f doesn't run.
func (n *node) schedule(d time.Duration, f func()) {
	starts := n.starts
	var run func()
	run = func() {
		if !n.up || n.starts != starts {
			return
		}
		if n.frozenUntil > n.world.now {
			n.world.schedule(n.frozenUntil-n.world.now+time.Duration(n.world.rng.Intn(1000)), run)
			return
		}
		f()
	}
	n.world.schedule(d, run)
}

// start starts a new incarnation of the daemon, unless it is running or removed.
func (n *node) start() {
	if n.up || n.removed {
		return
	}
	w := n.world
	n.up, n.frozenUntil = true, 0
	n.starts++
	w.ids++
	now := n.local()
	n.openDisk()
	n.resetMemory()
	n.startCalls()
	n.startMembership()
	var disk *quorum.Folder
	if n.hasDisk && w.options.Sabotage != "unguarded" {
		disk = quorum.OpenFolder(n.epoch, n.disk.metas()...)
	}
	for p := 0; p <= w.options.Partitions; p++ {
		n.startPartition(now, p, disk)
	}
	w.trace("%s starts as %s", n.name, n.ident)
	n.schedule(0, n.tick)
	n.schedule(w.exp(w.options.ReadPeriod), n.read)
}

// openDisk sets the daemon's identity and incarnation from its disk. Without a disk the
// identity is new for this start.
func (n *node) openDisk() {
	w := n.world
	n.ident, n.epoch = fmt.Sprintf("%s-%d", n.name, w.ids), 1
	if !n.hasDisk {
		return
	}
	if n.disk == nil {
		n.disk = newFolder(n.ident)
		if w.options.Sabotage == "samename" {
			n.disk.ident = n.name
		}
	}
	n.disk.epoch++
	n.ident, n.epoch = n.disk.ident, incarnation.Number(n.disk.epoch, uint32(w.ids))
}

// resetMemory resets the in-memory state of the previous incarnation.
func (n *node) resetMemory() {
	n.controllers, n.parentChoosers, n.onResult = nil, nil, map[uint64]func(leadercall.Result){}
	n.queues, n.requests = map[string]*serviceQueue{}, map[string]*requestState{}
	n.waitingForPlan, n.lastRead = map[int]*caller{}, map[string]message.Record{}
}

func (n *node) startCalls() {
	w := n.world
	starts := incarnation.Starts(n.epoch)
	if w.options.Sabotage == "samenumbers" {
		starts = 0
	}
	n.calls = leadercall.New(leadercall.Config{
		TryTimeout:    w.cfg.VolumeLease() / 2,
		RetryInterval: w.cfg.VolumeLease() / 32,
		RetryAfter:    w.cfg.Bounds.Plan,
	}, starts)
}

func (n *node) startMembership() {
	w := n.world
	config := w.cfg.MembershipConfig()
	if w.options.Flat {
		config.MinRelayMembers = len(w.nodes) + 1
	}
	config.ToleratedLosses, config.FirstStartOnce = max(1, w.options.Losses), w.options.saysFirstStart()
	config.FirstStart = !config.FirstStartOnce || n.isFirstStart()
	n.members = membership.New(config, n.member(), n.seeds())
	if n.hasDisk {
		n.members.Restore(n.disk.vote)
		n.disk.vote = n.members.Vote()
		n.members.VoteSaved(n.disk.vote)
	}
	n.view = n.members.View()
}

// startPartition starts the daemon's state machines for a partition and pins the records
// that it reads. disk is nil if there is no disk or the incarnation guard is sabotaged.
func (n *node) startPartition(now time.Duration, p int, disk *quorum.Folder) {
	w := n.world
	self := n.self()
	var replica *quorum.Replica
	if n.hasDisk {
		replica = n.newReplica(now, p, disk)
	}
	part := partition.New(p, self, n.epoch, replica, n.newLeaseNode(p))
	if w.options.Sabotage == "nocalm" {
		part.WritesFrom = func() time.Duration { return 0 }
	}
	controller := leader.New(leader.Config{
		Placement:        w.placementConfig(),
		OnceKeyRetention: w.cfg.OnceKeyRetention(),
	}, p, self, part)
	n.controllers = append(n.controllers, controller)
	n.parentChoosers = append(n.parentChoosers, membership.ParentChooser{Partition: p, VolumeLease: w.cfg.VolumeLease()})
	for _, key := range n.pinnedKeys(p) {
		n.apply(p, controller.Pin(now, key))
	}
}

// self returns the daemon's identity and address.
func (n *node) self() message.Replica { return message.Replica{Ident: n.ident, Addr: n.addr} }

func (n *node) newReplica(now time.Duration, p int, disk *quorum.Folder) *quorum.Replica {
	w := n.world
	meta, records := n.loadReplica(p)
	if w.options.Sabotage == "forget" {
		meta.VotedTerm, meta.VotedFor = 0, ""
	}
	config := w.cfg.QuorumConfig()
	if w.options.Sabotage == "lategone" {
		config.LostAfter = w.cfg.Bounds.Recover * 3 / 2
	}
	return quorum.New(config, quorum.InitialState{
		Partition: p, Self: n.self(), Folder: disk, Meta: meta, Records: records,
		IsNew: meta.Group.Number == 0 || w.options.Sabotage == "nowaitvote",
	}, now)
}

func (n *node) newLeaseNode(p int) *lease.Node {
	w := n.world
	config := w.cfg.LeaseConfig()
	if w.options.Sabotage == "nowait" {
		config.Drift, config.Margin = -0.6, 0
	}
	if w.options.StaticTree {
		config.LoadInterval = 0
	}
	tree := lease.New(config, p, n.self(), n.epoch)
	if codec := w.codec(); codec != nil {
		tree.UseCodec(codec, 1)
	}
	tree.RelayOf = func(id string) message.Replica {
		if m, ok := n.view.Find(id); ok {
			return n.view.Relay(p, m.Zone)
		}
		return message.Replica{}
	}
	return tree
}

// pinnedKeys returns the keys of a partition that every daemon reads. In the
// configuration partition they include those of the fleet configuration.
func (n *node) pinnedKeys(p int) (keys []string) {
	for k := range n.world.options.Keys {
		keys = append(keys, key(k))
	}
	if p != 0 {
		return keys
	}
	if n.hasDisk {
		keys = append(keys, fleetconfig.ReplicaKey)
	}
	return append(keys, fleetconfig.PlanKey, fleetconfig.ZoneKey)
}

func key(k int) string { return fmt.Sprintf("plan/%d", k) }

func (n *node) member() message.Member {
	empty := n.hasDisk
	for p := range n.controllers {
		if s := n.partition(p); s.Replica != nil && s.Replica.Group().Number > 0 {
			empty = false
		}
	}
	if n.controllers == nil && n.disk != nil {
		for _, m := range n.disk.metaOf {
			if m.Group.Number > 0 {
				empty = false
			}
		}
	}
	return message.Member{
		Ident: n.ident, Epoch: n.epoch, Addr: n.addr, Zone: n.zone,
		HasDisk: n.hasDisk, Ready: true, Empty: empty,
	}
}

// tick runs the node's periodic work, as the daemon's tickers do.
func (n *node) tick() {
	w := n.world
	now := n.local()
	n.ticks++
	for p, m := range n.controllers {
		n.apply(p, m.Tick(now))
		tree := m.Partition().Node
		if to := n.parentChoosers[p].Parent(now, n.view); to != tree.Parent() && !tree.IsRoot() {
			n.apply(p, m.SetParent(now, to))
		}
		for _, m := range n.parentChoosers[p].ReturnRedirects(tree.HasVolumeLease(now), tree.VolumeEpoch(), n.view) {
			n.send(m)
		}
	}
	n.applyCalls(n.calls.Tick(now, func(p int) message.Replica { return n.view.Leaderships[p].Leader }))
	if n.ticks%4 == 0 {
		n.tickMembership(now)
		n.reconcile(now)
	}
	n.schedule(15*time.Millisecond+time.Duration(w.rng.Intn(int(10*time.Millisecond))), n.tick)
}

func (n *node) tickMembership(now time.Duration) {
	out := n.members.Tick(now, n.member(), n.knownLeaderships(now))
	n.view = n.members.View()
	n.applyMembership(now, out)
}

// applyMembership carries out what a step of the session table requests, as the daemon does.
func (n *node) applyMembership(now time.Duration, out membership.Out) {
	n.sendAll(out.Sends)
	if out.SaveVote {
		n.schedule(200*time.Microsecond+n.world.exp(time.Millisecond), func() {
			n.disk.vote = n.members.Vote()
			n.members.VoteSaved(n.disk.vote)
			n.sendAll(out.VoteSends)
		})
	} else {
		n.sendAll(out.VoteSends)
	}
	n.bootstrap(now, out.Bootstrap)
}

func (n *node) sendAll(list []message.Envelope) {
	for _, m := range list {
		n.send(m)
	}
}

// knownLeaderships returns the daemon's own leaderships and those that its replicas know of.
func (n *node) knownLeaderships(now time.Duration) (known []message.Leadership) {
	for p, m := range n.controllers {
		replica := m.Partition().Replica
		if m.IsLeader(now) {
			known = append(known, message.Leadership{Partition: p, Term: replica.Term(), Leader: n.self()})
		} else if replica != nil && replica.KnownLeader().Term > 0 {
			known = append(known, replica.KnownLeader())
		}
	}
	return known
}

// bootstrap creates the first replica group, as the daemon does.
func (n *node) bootstrap(now time.Duration, replicas []message.Replica) {
	if replicas == nil {
		return
	}
	n.world.trace("%s bootstraps the first group", n.name)
	var all []quorum.Save
	for _, m := range n.controllers {
		out := m.Bootstrap(now, message.Group{Number: 1, Replicas: replicas})
		all = append(all, out.Saves...)
		for _, m := range out.Sends {
			n.send(m)
		}
	}
	n.save(all)
}

// reconcile runs the leaders' periodic work, as the daemon does.
func (n *node) reconcile(now time.Duration) {
	get := func(key string) (message.Record, bool) { return n.partition(0).Node.Get(now, key) }
	var s leader.ClusterView
	s.Plan, s.PlanValid = get(fleetconfig.PlanKey)
	s.Zones, s.ZonesValid = get(fleetconfig.ZoneKey)
	if n.hasDisk {
		s.Replicas, s.ReplicasValid = get(fleetconfig.ReplicaKey)
	}
	s.ControlDaemons = n.view.ControlDaemons()
	for p, m := range n.controllers {
		if !m.IsLeader(now) {
			m.Reconcile(now, s)
			continue
		}
		o := m.Reconcile(now, s)
		term := m.Term()
		n.apply(p, o)
		for _, key := range o.Polls {
			n.poll(m, term, key)
		}
		for _, ord := range o.Orders {
			n.sendOrder(m, ord)
		}
	}
}

// apply carries out the output of a controller.
func (n *node) apply(p int, o leader.Out) {
	if len(o.Saves) > 0 {
		n.save(o.Saves)
	}
	for _, m := range o.Sends {
		n.send(m)
	}
	now := n.local()
	if o.Orphaned {
		n.parentChoosers[p].FallBackToLeader(now)
	}
	if o.Redirect.Ident != "" {
		n.parentChoosers[p].FollowRedirect(now, o.Redirect)
	}
	if o.Superseded != "" {
		n.superseded(o.Superseded)
	}
	if o.Lost {
		n.world.trace("%s lost partition %d", n.name, p)
	}
	for _, l := range o.Events {
		n.world.trace("%s %s: %s", n.name, l.Kind, l.Text)
	}
}

// read reads a record, as request handling does.
func (n *node) read() {
	w := n.world
	p, k := w.rng.Intn(len(n.controllers)), key(w.rng.Intn(w.options.Keys))
	if r, ok := n.partition(p).Node.Get(n.local(), k); ok {
		w.result.Reads++
		w.recordEvent(Event{Kind: RecordServed, Node: n.name, Partition: p, Key: fmt.Sprintf("%d/%s", p, k), Tags: tags(r)})
	}
	if rec, ok := n.readUnderLease(0, fleetconfig.PlanKey); ok && w.options.RequestInterval > 0 {
		p := fleetconfig.MustReadPlan(rec)
		w.writeJournal(history.Event{Who: n.name, Ev: "serves", Plan: p.ID, Ver: p.Version})
		w.writeJournal(history.Event{Who: n.name, Ev: "read", Plan: p.ID, Ver: p.Version})
	}
	w.recordLeaders()
	whileSlow := w.options.SlowRelayDelay > 0 && w.now > 25*time.Second && w.now < 55*time.Second
	if whileSlow && n.zone == w.nodes[len(w.nodes)-1].zone && !w.isSlowRelay(n) {
		w.renewalTime += n.partition(p).Node.RenewCost()
		w.renewals++
	}
	n.schedule(w.exp(w.options.ReadPeriod), n.read)
}

func tags(r message.Record) []string {
	var out []string
	if !r.Deleted && len(r.Value) > 0 {
		if err := json.Unmarshal(r.Value, &out); err != nil {
			panic(err)
		}
	}
	return out
}
