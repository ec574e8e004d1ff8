package daemon

import (
	"net"
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

// Open readies a daemon: data folder, addresses, state machines. Nothing runs yet.
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
	if err := d.openStore(); err != nil {
		return nil, err
	}
	d.disk = newDiskWriter(d)
	if err := d.listen(); err != nil {
		d.close()
		return nil, err
	}
	d.calls = newCallTracker(d)
	d.members = newMemberTable(d.openMembership())
	d.openShards()
	d.pinConfiguration()
	d.registerOperatorCalls()
	d.registerMetrics()
	return d, nil
}

// openStore opens the data folder, if there is one, and takes the identity and the
// epoch that it keeps.
func (d *Daemon) openStore() error {
	if d.Cfg.DataFolder == "" {
		return nil
	}
	store, err := openFolder(d.Cfg, d.Events)
	if err != nil {
		return err
	}
	d.store, d.self.Ident, d.epoch = store, store.Ident, store.Epoch
	d.logStoreState()
	for p := range store.Partitions {
		if p > d.Cfg.Partitions {
			store.Close()
			return storage.Error.New("%s: holds partition %d, but parts is %d", d.Cfg.DataFolder, p, d.Cfg.Partitions)
		}
	}
	return nil
}

// openFolder opens the data folder. A disk that is full or fails is waited for:
// without its epoch on disk a daemon must not speak, and what is on the disk is
// worth more than an early start.
func openFolder(cfg Config, events *eventlog.Log) (*storage.Store, error) {
	for {
		store, err := storage.Open(cfg.DataFolder, cfg.Fleet)
		if err == nil || !storage.IsTransient(err) {
			return store, err
		}
		events.Warn("disk", "the data folder can't be opened; trying again", "error", err)
		time.Sleep(cfg.VolumeLease() / 4)
	}
}

// logStoreState writes out what was wrong with the data folder, if anything.
func (d *Daemon) logStoreState() {
	store := d.store
	moved := []any{"moved_to", store.QuarantinePath, "identity", store.Ident}
	switch {
	case store.WasBackup:
		d.Events.Info("disk", "the state here is a back-up: it is set aside and this daemon starts empty; "+
			"the other disks have what is newer. If a majority of the disks is lost, stop all daemons, "+
			"put the back-ups back, each with an empty file "+storage.MajorityLostFile+" beside it", moved...)
	case store.WasSuperseded:
		d.Events.Info("disk", "the state here was superseded: it is set aside and this daemon starts empty", moved...)
	case store.QuarantinePath != "":
		d.Events.Info("disk", "the state was damaged: it is set aside and this daemon starts empty", moved...)
	}
	if store.CorruptRecords > 0 {
		d.Events.Info("disk", "damaged records count as missing; the other replicas have them",
			"records", store.CorruptRecords)
	}
	if len(store.IncompletePartitions) > 0 {
		d.Events.Info("disk", "partitions are not what was written: they have no vote until the other replicas "+
			"have filled them", "partitions", store.IncompletePartitions)
	}
}

// listen opens the two ports: one for the other daemons, one for HTTP.
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
	if err := d.Transport.Listen(d.Cfg.WireAddr); err != nil {
		return AddressError.Wrap(err)
	}
	listener, err := net.Listen("tcp", d.Cfg.HTTPAddr)
	if err != nil {
		return AddressError.Wrap(err)
	}
	d.httpListener = listener
	return nil
}

// openMembership makes the session table; it knows the control daemons of the
// groups that the data folder names.
func (d *Daemon) openMembership() *membership.Table {
	table := membership.New(d.Cfg.MembershipConfig(), d.member(), d.Cfg.Seeds)
	if d.store != nil {
		for _, state := range d.store.Partitions {
			for _, replica := range state.Meta.Group.All() {
				table.AddControlAddrs(replica.Addr)
			}
		}
	}
	return table
}

// openShards makes the state machine of every partition.
func (d *Daemon) openShards() {
	now, folder := d.Now(), d.quorumFolder()
	for p := 0; p <= d.Cfg.Partitions; p++ {
		replica, node := d.newReplica(p, folder, now), d.newLeaseNode(p)
		cfg := leader.Config{
			Placement:        d.Cfg.PlacementConfig(),
			OnceKeyRetention: d.Cfg.OnceKeyRetention(),
			RepeatWindow:     d.Cfg.ResendWindow(),
			ReadableFormat:   d.planFormatOfFleet,
		}
		controller := leader.New(cfg, p, d.self, partition.New(p, d.self, d.epoch, replica, node))
		d.shards = append(d.shards, newShard(p, controller, d.Cfg))
	}
}

// quorumFolder is what the replicas here share; nil without a data folder.
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

// newReplica makes a partition's replica from what the disk holds; nil without a
// data folder.
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

// newLeaseNode makes a partition's node of the lease tree.
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

// pinConfiguration keeps the records of the configuration here that every daemon
// works by; those with a disk also need where the replicas are.
func (d *Daemon) pinConfiguration() {
	d.Pin(0, fleetconfig.PlanKey)
	d.Pin(0, fleetconfig.ZoneKey)
	if d.store != nil {
		d.Pin(0, fleetconfig.ReplicaKey)
	}
}

// newCalls makes the calls under way. A call may be sent twice: each is known by
// its number.
func newCalls(cfg Config, epoch uint64) *leadercall.Calls {
	return leadercall.New(leadercall.Config{
		TryTimeout:    cfg.VolumeLease() / 2,
		RetryInterval: cfg.VolumeLease() / 32,
		RetryAfter:    cfg.Bounds.Plan,
	}, incarnation.Starts(epoch))
}
