package daemon

import (
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mulleinmast/control/clock"
	"mulleinmast/control/digest"
	"mulleinmast/control/eventlog"
	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/incarnation"
	"mulleinmast/control/leader"
	"mulleinmast/control/leadercall"
	"mulleinmast/control/lease"
	"mulleinmast/control/membership"
	"mulleinmast/control/partition"
	"mulleinmast/control/quorum"
	"mulleinmast/control/storage"
	"mulleinmast/wire/message"
	"mulleinmast/wire/transport"
)

// Open opens the data folder, listens on both addresses and creates the state machines. It starts
// nothing; Run does.
//
// Example: d, err := daemon.Open(cfg, events)
func Open(cfg Config, events *eventlog.Log) (*Daemon, error) {
	d := &Daemon{
		Cfg:          cfg,
		Events:       events,
		Mux:          http.NewServeMux(),
		Metrics:      metrics.NewSet(),
		LoadPoller:   noDriver{},
		OrderSender:  noDriver{},
		clock:        clock.New(),
		self:         message.Replica{Ident: storage.NewIdent(), Addr: cfg.WireAddr},
		epoch:        1,
		changes:      newChangeNotifier(),
		supersession: newSupersession(),
	}
	d.starting = newStartWaiter(cfg, events, d.Now)
	if err := d.openStore(); err != nil {
		return nil, err
	}
	d.disk = newDiskWriter(d)
	d.members = newMemberTable(d.openMembership(), d.store)
	if err := d.starting.writeVote(cfg.DataFolder, d.members); err != nil {
		d.close()
		return nil, err
	}
	if err := d.listen(); err != nil {
		d.close()
		return nil, err
	}
	d.calls = newCallTracker(d)
	d.openShards()
	d.pinConfiguration()
	d.registerOperatorCalls()
	d.registerMetrics()
	return d, nil
}

// openStore opens the data folder, if there is one, and takes over the identity and epoch stored
// there.
func (d *Daemon) openStore() error {
	if d.Cfg.DataFolder == "" {
		return nil
	}
	store, err := d.starting.openFolder(d.Cfg)
	if err != nil {
		return err
	}
	d.store, d.self.Ident, d.epoch = store, store.Ident, store.Epoch
	d.logStoreState()
	for p := range store.Partitions {
		if p > d.Cfg.Partitions {
			store.Close()
			return storage.Error.New("%s: contains partition %d, but only %d service partitions are configured",
				d.Cfg.DataFolder, p, d.Cfg.Partitions)
		}
	}
	return nil
}

// logStoreState logs problems found in the data folder.
func (d *Daemon) logStoreState() {
	store := d.store
	moved := []any{"moved_to", store.QuarantinePath, "identity", store.Ident}
	switch {
	case store.WasBackup:
		d.Events.Info("disk", "the data folder contains a backup: moved it aside and starting empty; "+
			"the other daemons have newer state. If a majority of the disks is lost, stop all daemons and "+
			"restore the backups, each with an empty file "+storage.MajorityLostFile+" in the same folder", moved...)
	case store.WasSuperseded:
		d.Events.Info("disk", "the stored state was superseded: moved it aside and starting empty", moved...)
	case store.QuarantinePath != "":
		d.Events.Info("disk", "the stored state was corrupt: moved it aside and starting empty", moved...)
	}
	if store.CorruptRecords > 0 {
		d.Events.Info("disk", "ignoring corrupt records; they will be restored from the other replicas",
			"records", store.CorruptRecords)
	}
	if len(store.IncompletePartitions) > 0 {
		d.Events.Info("disk", "partitions are incomplete on disk: they do not vote until the other replicas "+
			"have restored them", "partitions", store.IncompletePartitions)
	}
}

// listen opens the two listeners: one for other daemons, one for HTTP.
func (d *Daemon) listen() error {
	d.Transport = &transport.Transport{
		PeerTimeout: d.Cfg.VolumeLease(),
		Fleet:       d.Cfg.Fleet,
		Self:        d.self,
		Epoch:       d.epoch,
		Receive:     d.receive,
		OnError: func(from string, err error) {
			d.Events.Warn("wire", "bad connection", "from", from, "error", err)
		},
	}
	wireListener, err := d.Listen(d.Cfg.WireAddr)
	if err != nil {
		return err
	}
	d.Transport.UseListener(wireListener)
	if d.httpListener, err = d.Listen(d.Cfg.HTTPAddr); err != nil {
		_ = wireListener.Close()
		return err
	}
	return nil
}

// openMembership creates the session table with the control daemons of the groups stored in the
// data folder.
func (d *Daemon) openMembership() *membership.Table {
	table := membership.New(d.Cfg.MembershipConfig(), d.member(), d.Cfg.Seeds)
	if d.store != nil {
		vote := d.store.FirstGroupVote
		vote.Formed = vote.Formed || d.store.WasSuperseded
		table.Restore(vote)
		for _, state := range d.store.Partitions {
			for _, replica := range state.Meta.Group.All() {
				table.AddControlAddrs(replica.Addr)
			}
		}
	}
	return table
}

// openShards creates the state machine of every partition.
func (d *Daemon) openShards() {
	now, folder := d.Now(), d.quorumFolder()
	for p := 0; p <= d.Cfg.Partitions; p++ {
		replica, node := d.newReplica(p, folder, now), d.newLeaseNode(p)
		cfg := leader.Config{
			Placement:        d.Cfg.PlacementConfig(),
			OnceKeyRetention: d.Cfg.OnceKeyRetention(),
			ReadableFormat:   d.ReadablePlanFormat,
		}
		controller := leader.New(cfg, p, d.self, partition.New(p, d.self, d.epoch, replica, node))
		d.shards = append(d.shards, newShard(p, controller, d.Cfg))
	}
}

// quorumFolder returns the state shared by all replicas of this daemon; nil without a data folder.
func (d *Daemon) quorumFolder() *quorum.Folder {
	if d.store == nil {
		return nil
	}
	var metas []quorum.Meta
	for _, state := range d.store.Partitions {
		metas = append(metas, state.Meta)
	}
	return quorum.OpenFolder(d.epoch, metas...)
}

// newReplica creates a partition's replica from the stored state; nil without a data folder.
func (d *Daemon) newReplica(p int, folder *quorum.Folder, now time.Duration) *quorum.Replica {
	if d.store == nil {
		return nil
	}
	state, ok := d.store.Partitions[p]
	if !ok {
		state = storage.PartitionState{Records: digest.NewRecords()}
	}
	return quorum.New(d.Cfg.QuorumConfig(), quorum.InitialState{
		Partition: p, Self: d.self, Folder: folder,
		Meta: state.Meta, Records: state.Records, IsNew: state.Meta.Group.Number == 0,
	}, now)
}

// newLeaseNode creates a partition's node of the lease tree.
func (d *Daemon) newLeaseNode(p int) *lease.Node {
	node := lease.New(d.Cfg.LeaseConfig(), p, d.self, d.epoch)
	node.UseCodec(fleetconfig.Codec{}, lease.MinPatchedLength)
	node.RelayOf = func(ident string) message.Replica {
		view := d.View()
		if m, ok := view.Find(ident); ok {
			return view.Relay(p, m.Zone)
		}
		return message.Replica{}
	}
	return node
}

// pinConfiguration keeps the configuration records that every daemon needs readable here. Daemons
// with a data folder also need the placement of the replicas.
func (d *Daemon) pinConfiguration() {
	d.Pin(0, fleetconfig.PlanKey)
	d.Pin(0, fleetconfig.ZoneKey)
	if d.store != nil {
		d.Pin(0, fleetconfig.ReplicaKey)
	}
}

// newCalls creates the set of calls in progress. A call may be sent more than once; leaders
// recognize it by its ID, which includes this daemon's start count.
func newCalls(cfg Config, epoch uint64) *leadercall.Calls {
	return leadercall.New(leadercall.Config{
		TryTimeout:    cfg.VolumeLease() / 2,
		RetryInterval: cfg.VolumeLease() / 32,
		RetryAfter:    cfg.Bounds.Plan,
	}, incarnation.Starts(epoch))
}
