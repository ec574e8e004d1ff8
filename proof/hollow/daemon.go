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

// Snap is one daemon's counters and place at a moment.
type Snap struct {
	Index   int                            `json:"index"`
	Zone    int                            `json:"zone"`
	Core    bool                           `json:"core"`
	Owns    []int                          `json:"owns,omitempty"`   // parts
	Relays  []int                          `json:"relays,omitempty"` // parts that it relays in its zone
	Members int                            `json:"members"`
	Ready   bool                           `json:"ready"`
	Lost    int64                          `json:"lost"`
	Counts  map[string]transport.KindCount `json:"counts"`
	At      time.Duration                  `json:"at"`
}

// hollowDaemon is a running one.
type hollowDaemon struct {
	Spec
	c     *daemon.Daemon
	g     *gateway.Gateway
	stop  context.CancelFunc
	done  chan struct{}
	lists []listed // by model
}

// service has the supervisor run a function.
type service func(context.Context) error

// Serve runs it.
//
// Example: c.Add(service(g.Run))
func (s service) Serve(ctx context.Context) error { return s(ctx) }

// start brings a daemon up.
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
	c.OrderSender = serverpool.NewClient(s.Config.Bounds.Plan / 4) // to servers that aren't there
	g := gateway.New(c, engines{})
	c.Add(service(g.Run))
	ctx, stop := context.WithCancel(context.Background())
	d := &hollowDaemon{Spec: s, c: c, g: g, stop: stop, done: make(chan struct{}), lists: make([]listed, s.Models)}
	go func() {
		defer close(d.done)
		_ = c.Run(ctx) // it ends when it is stopped
	}()
	return d, nil
}

// snap reads the daemon's counters.
func (d *hollowDaemon) snap() Snap {
	v := d.c.View()
	s := Snap{Index: d.Index, Zone: d.Zone, Core: d.Core, Members: len(v.Members), Ready: d.c.Ready(), Lost: d.c.Transport.Dropped.Load(), Counts: d.c.Transport.Counts(), At: d.c.Now()}
	for p := range d.Config.Partitions + 1 {
		if v.Leaderships[p].Leader.Ident == d.c.Ident() {
			s.Owns = append(s.Owns, p)
		}
		if v.Relay(p, d.Config.Zone).Ident == d.c.Ident() {
			s.Relays = append(s.Relays, p)
		}
	}
	return s
}

// servers counts the records of servers that may be read here now.
func (d *hollowDaemon) servers() (n int) {
	for i := range d.Models {
		partition := d.c.Partition(model(i))
		rec, ok := d.c.Read(partition, fleetconfig.ListKey(model(i)))
		if !ok {
			continue
		}
		if d.lists[i].ver != rec.Version { // a list is long: it is read once a version
			d.lists[i] = listed{ver: rec.Version}
			for _, s := range fleetconfig.MustReadList(rec).Servers {
				d.lists[i].keys = append(d.lists[i].keys, fleetconfig.ServerRecordKey(model(i), s.Key()))
			}
		}
		for _, key := range d.lists[i].keys {
			if rec, ok := d.c.Read(partition, key); ok && !rec.Deleted {
				n++
			}
		}
	}
	return n
}

// listed is a list of servers as it was read last.
type listed struct {
	ver  message.Version
	keys []string
}

// reached tells whether every part has a leader outside a zone and a valid
// lease here.
func (d *hollowDaemon) reached(lost int) bool {
	v := d.c.View()
	for p := range d.Config.Partitions + 1 {
		if zoneOf(v.Leaderships[p].Leader.Addr) == lost || d.c.ValidUntil(p) <= d.c.Now() {
			return false
		}
	}
	return true
}

// engines answer for servers that aren't there.
type engines struct{}

// Prefill says that a prompt was read.
//
// Example: h, out, why := engines{}.Prefill(ctx, q, c, m, may)
func (engines) Prefill(_ context.Context, _ *gateway.Request, c forward.Request, m forward.Decision, may func() bool) (forward.Handle, forward.Outcome, string) {
	if !may() {
		return forward.Handle{}, forward.Blocked, "barred"
	}
	return forward.Handle{ID: "h", RequestID: c.ID, Attempt: m.Attempt, Server: m.Server, Tokens: c.InputTokens}, forward.OK, ""
}

// Decode says that an answer came whole, with nothing in it.
//
// Example: a, out, why := engines{}.Decode(ctx, q, c, m, "", may)
func (engines) Decode(_ context.Context, _ *gateway.Request, _ forward.Request, _ forward.Decision, _ string, may func() bool) (gateway.Answer, forward.Outcome, string) {
	if !may() {
		return nil, forward.Blocked, "barred"
	}
	return empty{}, forward.OK, ""
}

// ReleaseHandle does nothing.
//
// Example: engines{}.ReleaseHandle(handle)
func (engines) ReleaseHandle(forward.Handle) {}

// OnLoad does nothing: no server tells its load.
//
// Example: engines{}.OnLoad(f)
func (engines) OnLoad(func(service, server string, load forward.Load)) {}

// empty is an answer without a body.
type empty struct{}

// Status is that of success.
//
// Example: empty{}.Status() == 200
func (empty) Status() int { return http.StatusOK }

// Header has nothing.
//
// Example: len(empty{}.Header()) == 0
func (empty) Header() http.Header { return http.Header{} }

// Next is at the end.
//
// Example: _, _, err := empty{}.Next(); err == io.EOF
func (empty) Next() ([]byte, string, error) { return nil, "", io.EOF }

// Close does nothing.
//
// Example: defer empty{}.Close()
func (empty) Close() {}
