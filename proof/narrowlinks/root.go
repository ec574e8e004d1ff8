package narrowlinks

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"mulleinmast/control/digest"
	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leader"
	"mulleinmast/control/leadercall"
	"mulleinmast/control/lease"
	"mulleinmast/control/partition"
	"mulleinmast/control/quorum"
	"mulleinmast/wire/message"
)

const (
	pullRatio          = 0.15 // interval of pulls, as a fraction of the bound on leaving, as in the daemon
	pullTimeouts       = 3    // time-outs of a call within that bound
	reconcilesPerLease = 16   // placement rounds per volume lease
	orderFollowed      = time.Second
)

// root is the leader of the service's partition and its only replica. It also pulls the server
// list.
type root struct {
	sim        *simulation
	self       message.Replica
	controller *leader.Controller
	link       *link
	version    uint64
	calls      uint64
	sentAt     time.Duration // of the pending call; 0: none
	sent       []byte
	accepted   []byte
}

// newRoot returns the leader, with its timers scheduled.
func newRoot(sim *simulation) *root {
	r := &root{sim: sim, self: message.Replica{Ident: "leader", Addr: "10.9.0.1:1"}}
	meta := quorum.Meta{Group: message.Group{Number: 1, Replicas: []message.Replica{r.self}}}
	replica := quorum.New(sim.cfg.QuorumConfig(), quorum.InitialState{
		Partition: partitionNumber, Self: r.self, Meta: meta, Records: digest.NewRecords(), IsNew: true,
	}, sim.now)
	cfg := leader.Config{Placement: sim.cfg.PlacementConfig(), OnceKeyRetention: time.Hour}
	r.controller = leader.New(cfg, partitionNumber, r.self, newPartition(sim, r.self, replica))
	r.link = newLink(sim.ControlMbps, func(m message.Message) { r.carryOut(r.controller.Step(sim.now, m)) })
	sim.byIdent[r.self.Ident] = r.link
	sim.every(sim.cfg.VolumeLease()/stepsPerLease, func() { r.carryOut(r.controller.Tick(sim.now)) })
	sim.every(sim.cfg.VolumeLease()/reconcilesPerLease, r.reconcile)
	sim.every(time.Duration(float64(sim.cfg.Bounds.Leave)*pullRatio), r.pull)
	return r
}

// newPartition returns a partition's state machine on one daemon.
func newPartition(sim *simulation, self message.Replica, replica *quorum.Replica) *partition.Partition {
	tree := lease.New(sim.cfg.LeaseConfig(), partitionNumber, self, 1)
	tree.UseCodec(fleetconfig.Codec{}, lease.MinPatchedLength)
	return partition.New(partitionNumber, self, 1, replica, tree)
}

// carryOut executes the effects of a step; disk writes take no time.
func (r *root) carryOut(out leader.Out) {
	for _, e := range out.Sends {
		if e.Message.Kind == message.KindCallResult {
			r.handleCallResult(e.Message.AsCallResult())
			continue
		}
		r.sim.send(r.self, e)
	}
	for _, save := range out.Saves {
		r.carryOut(r.controller.Saved(r.sim.now, save.Ticket))
	}
	for _, order := range out.Orders {
		r.controller.HandleOrderResult(order, true)
		id := order.Key[strings.LastIndexByte(order.Key, '/')+1:]
		r.sim.after(orderFollowed, func() {
			r.sim.platform.change(id, func(s *fleetconfig.Server) { s.Role = order.Role })
		})
	}
}

// reconcile runs a placement round with an empty plan.
func (r *root) reconcile() {
	none := message.Record{Deleted: true, Version: message.Version{Term: 1, Seq: 1}}
	view := leader.ClusterView{Plan: none, PlanValid: true, Zones: none, ZonesValid: true}
	r.carryOut(r.controller.Reconcile(r.sim.now, view))
}

// pull sends the platform's list to the leader if it has changed, one call at a time.
func (r *root) pull() {
	sim := r.sim
	timeout := sim.cfg.Bounds.Leave / pullTimeouts
	if !r.controller.IsLeader(sim.now) || r.sentAt > 0 && sim.now-r.sentAt < timeout {
		return
	}
	list := fleetconfig.List{Servers: slices.Clone(sim.platform.list)}
	slices.SortFunc(list.Servers, func(a, b fleetconfig.Server) int { return strings.Compare(a.Key(), b.Key()) })
	packed := leadercall.MustMarshal(list)
	if string(packed) == string(r.accepted) {
		return
	}
	r.version++
	r.calls++
	list.Version, r.sent, r.sentAt = r.version, packed, sim.now
	call := message.Call{
		RequestID: r.calls, CallID: r.calls, Op: leadercall.OpServers,
		Body: leadercall.MustMarshal(leader.ServersCall{Service: service, List: list}),
	}
	m := call.Message(partitionNumber)
	m.From, m.Addr, m.Epoch = r.self.Ident, r.self.Addr, 1
	r.carryOut(r.controller.Step(sim.now, m))
}

// handleCallResult handles the leader's answer to a call.
func (r *root) handleCallResult(result message.CallResult) {
	if result.RequestID == r.calls && result.Status == http.StatusOK {
		r.accepted, r.sentAt = r.sent, 0
	}
}
