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
	pullRatio     = 0.15 // of the bound on leaving, as the daemon pulls the list
	pullTimeouts  = 3    // as many fit into that bound
	reconcileGap  = 16   // rounds of placement in a volume lease
	orderFollowed = time.Second
)

// root is the leader of the service's partition, alone in its group, which also pulls the list.
type root struct {
	w          *world
	self       message.Replica
	controller *leader.Controller
	link       *link
	version    uint64
	calls      uint64
	sentAt     time.Duration // of the call under way; 0: none is
	sent       []byte
	accepted   []byte
}

// newRoot makes the leader and waits until it leads.
func newRoot(w *world) *root {
	r := &root{w: w, self: message.Replica{Ident: "leader", Addr: "10.9.0.1:1"}}
	meta := quorum.Meta{Group: message.Group{Number: 1, Replicas: []message.Replica{r.self}}}
	replica := quorum.New(w.cfg.QuorumConfig(), quorum.InitialState{
		Partition: number, Self: r.self, Meta: meta, Records: digest.NewRecords(), IsNew: true,
	}, w.now)
	cfg := leader.Config{Placement: w.cfg.PlacementConfig(), OnceKeyRetention: time.Hour}
	r.controller = leader.New(cfg, number, r.self, newPartition(w, r.self, replica))
	r.link = newLink(w.Wide, func(m message.Message) { r.carryOut(r.controller.Step(w.now, m)) })
	w.byIdent[r.self.Ident] = r.link
	w.every(w.cfg.VolumeLease()/stepGap, func() { r.carryOut(r.controller.Tick(w.now)) })
	w.every(w.cfg.VolumeLease()/reconcileGap, r.reconcile)
	w.every(time.Duration(float64(w.cfg.Bounds.Leave)*pullRatio), r.pull)
	return r
}

// newPartition makes a partition's state machine on one daemon.
func newPartition(w *world, self message.Replica, replica *quorum.Replica) *partition.Partition {
	tree := lease.New(w.cfg.LeaseConfig(), number, self, 1)
	tree.UseCodec(fleetconfig.Codec{}, lease.MinPatchedLength)
	return partition.New(number, self, 1, replica, tree)
}

// carryOut does what a step asks for; the disk takes no time.
func (r *root) carryOut(out leader.Out) {
	for _, e := range out.Sends {
		if e.Message.Kind == message.KindCallResult {
			r.answered(e.Message.AsCallResult())
			continue
		}
		r.w.send(r.self, e)
	}
	for _, save := range out.Saves {
		r.carryOut(r.controller.Saved(r.w.now, save.Ticket))
	}
	for _, order := range out.Orders {
		r.controller.HandleOrderResult(order, true)
		id := order.Key[strings.LastIndexByte(order.Key, '/')+1:]
		r.w.after(orderFollowed, func() {
			r.w.platform.change(id, func(s *fleetconfig.Server) { s.Role = order.Role })
		})
	}
}

// reconcile runs a round of placement, with an empty plan in force.
func (r *root) reconcile() {
	none := message.Record{Deleted: true, Version: message.Version{Term: 1, Seq: 1}}
	view := leader.ClusterView{Plan: none, PlanValid: true, Zones: none, ZonesValid: true}
	r.carryOut(r.controller.Reconcile(r.w.now, view))
}

// pull takes the platform's list to the leader if it changed, one call at a time.
func (r *root) pull() {
	w := r.w
	timeout := w.cfg.Bounds.Leave / pullTimeouts
	if !r.controller.IsLeader(w.now) || r.sentAt > 0 && w.now-r.sentAt < timeout {
		return
	}
	list := fleetconfig.List{Servers: slices.Clone(w.platform.list)}
	slices.SortFunc(list.Servers, func(a, b fleetconfig.Server) int { return strings.Compare(a.Key(), b.Key()) })
	packed := leadercall.MustMarshal(list)
	if string(packed) == string(r.accepted) {
		return
	}
	r.version++
	r.calls++
	list.Version, r.sent, r.sentAt = r.version, packed, w.now
	call := message.Call{
		RequestID: r.calls, CallID: r.calls, Op: leadercall.OpServers,
		Body: leadercall.MustMarshal(leader.ServersCall{Service: service, List: list}),
	}
	m := call.Message(number)
	m.From, m.Addr, m.Epoch = r.self.Ident, r.self.Addr, 1
	r.carryOut(r.controller.Step(w.now, m))
}

// answered takes the leader's answer to a call.
func (r *root) answered(result message.CallResult) {
	if result.RequestID == r.calls && result.Status == http.StatusOK {
		r.accepted, r.sentAt = r.sent, 0
	}
}
