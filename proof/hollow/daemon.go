package hollow

import (
	"context"
	"io"
	"net/http"
	"time"

	"mulleinmast/control/daemon"
	"mulleinmast/control/eventlog"
	"mulleinmast/control/fleetconfig"
	"mulleinmast/platform"
	"mulleinmast/traffic/forward"
	"mulleinmast/traffic/gateway"
	"mulleinmast/traffic/serverpool"
	"mulleinmast/wire/message"
	"mulleinmast/wire/transport"
)

// Snap is a snapshot of a daemon's counters and roles.
type Snap struct {
	Index   int                            `json:"index"`
	Zone    int                            `json:"zone"`
	Core    bool                           `json:"core"`
	Leads   []int                          `json:"owns,omitempty"`   // partitions
	Relays  []int                          `json:"relays,omitempty"` // partitions that it relays in its zone
	Members int                            `json:"members"`
	Ready   bool                           `json:"ready"`
	Dropped int64                          `json:"lost"`
	Counts  map[string]transport.KindCount `json:"counts"`
	At      time.Duration                  `json:"at"`
}

// hollowDaemon is a running daemon of the fleet.
type hollowDaemon struct {
	Spec
	daemon  *daemon.Daemon
	gateway *gateway.Gateway
	stop    context.CancelFunc
	done    chan struct{}
	lists   []listedServers // as last read, by model
}

// service adapts a function to a supervised service.
type service func(context.Context) error

// Serve runs the function.
//
// Example: c.Add(service(g.Run))
func (s service) Serve(ctx context.Context) error { return s(ctx) }

// start starts a daemon.
func start(s Spec) (*hollowDaemon, error) {
	c, err := daemon.Open(s.Config, eventlog.New(s.Config.EventLogSize, io.Discard))
	if err != nil {
		return nil, err
	}
	if s.List != "" {
		c.ServerSource = platform.NewServerListClient(s.List, s.Config.Bounds.Leave/3)
	}
	if s.Far > 0 {
		c.Transport.Latency = func(addr string) time.Duration {
			if region(zoneOf(addr), s.Regions) != s.Region {
				return s.Far
			}
			return 0
		}
	}
	c.OrderSender = serverpool.NewClient(s.Config.Bounds.Plan / 4) // the servers don't exist
	g := gateway.New(c, fakeEngines{})
	c.Add(service(g.Run))
	ctx, stop := context.WithCancel(context.Background())
	d := &hollowDaemon{Spec: s, daemon: c, gateway: g, stop: stop, done: make(chan struct{}), lists: make([]listedServers, s.Models)}
	go func() {
		defer close(d.done)
		_ = c.Run(ctx) // returns when ctx is cancelled
	}()
	return d, nil
}

// snap returns the daemon's counters and roles.
func (d *hollowDaemon) snap() Snap {
	v := d.daemon.View()
	s := Snap{Index: d.Index, Zone: d.Zone, Core: d.Core, Members: len(v.Members), Ready: d.daemon.Ready(), Dropped: d.daemon.Transport.Dropped.Load(), Counts: d.daemon.Transport.Counts(), At: d.daemon.Now()}
	for p := range d.Config.Partitions + 1 {
		if v.Leaderships[p].Leader.Ident == d.daemon.Ident() {
			s.Leads = append(s.Leads, p)
		}
		if v.Relay(p, d.Config.Zone).Ident == d.daemon.Ident() {
			s.Relays = append(s.Relays, p)
		}
	}
	return s
}

// servers counts the server records that are readable on this daemon now.
func (d *hollowDaemon) servers() (n int) {
	for i := range d.Models {
		partition := d.daemon.Partition(model(i))
		rec, ok := d.daemon.Read(partition, fleetconfig.ListKey(model(i)))
		if !ok {
			continue
		}
		if d.lists[i].ver != rec.Version { // decoding a list is slow: once per version
			d.lists[i] = listedServers{ver: rec.Version}
			for _, s := range fleetconfig.MustReadList(rec).Servers {
				d.lists[i].keys = append(d.lists[i].keys, fleetconfig.ServerRecordKey(model(i), s.Key()))
			}
		}
		for _, key := range d.lists[i].keys {
			if rec, ok := d.daemon.Read(partition, key); ok && !rec.Deleted {
				n++
			}
		}
	}
	return n
}

// listedServers are the record keys of a server list at a version.
type listedServers struct {
	ver  message.Version
	keys []string
}

// reached reports whether every partition has a leader outside the lost zone and a
// valid lease on this daemon.
func (d *hollowDaemon) reached(lost int) bool {
	v := d.daemon.View()
	for p := range d.Config.Partitions + 1 {
		if zoneOf(v.Leaderships[p].Leader.Addr) == lost || d.daemon.ValidUntil(p) <= d.daemon.Now() {
			return false
		}
	}
	return true
}

// fakeEngines answers calls in place of model servers.
type fakeEngines struct{}

// Prefill reports a completed prefill.
//
// Example: h, out, why := fakeEngines{}.Prefill(ctx, q, c, m, may)
func (fakeEngines) Prefill(_ context.Context, _ *gateway.Request, c forward.Request, m forward.Decision, may func() bool) (forward.Handle, forward.Outcome, string) {
	if !may() {
		return forward.Handle{}, forward.Blocked, "barred"
	}
	return forward.Handle{ID: "h", RequestID: c.ID, Attempt: m.Attempt, Server: m.Server, Tokens: c.InputTokens}, forward.OK, ""
}

// Decode returns a complete, empty answer.
//
// Example: a, out, why := fakeEngines{}.Decode(ctx, q, c, m, "", may)
func (fakeEngines) Decode(_ context.Context, _ *gateway.Request, _ forward.Request, _ forward.Decision, _ string, may func() bool) (gateway.Answer, forward.Outcome, string) {
	if !may() {
		return nil, forward.Blocked, "barred"
	}
	return emptyAnswer{}, forward.OK, ""
}

// ReleaseHandle does nothing.
//
// Example: fakeEngines{}.ReleaseHandle(handle)
func (fakeEngines) ReleaseHandle(forward.Handle) {}

// OnLoad does nothing: no server reports its load.
//
// Example: fakeEngines{}.OnLoad(f)
func (fakeEngines) OnLoad(func(service, server string, load forward.Load)) {}

// emptyAnswer is an answer without a body.
type emptyAnswer struct{}

// Status returns 200.
//
// Example: emptyAnswer{}.Status() == 200
func (emptyAnswer) Status() int { return http.StatusOK }

// Header returns an empty header.
//
// Example: len(emptyAnswer{}.Header()) == 0
func (emptyAnswer) Header() http.Header { return http.Header{} }

// Next returns io.EOF.
//
// Example: _, _, err := emptyAnswer{}.Next(); err == io.EOF
func (emptyAnswer) Next() ([]byte, string, error) { return nil, "", io.EOF }

// Close does nothing.
//
// Example: defer emptyAnswer{}.Close()
func (emptyAnswer) Close() {}
