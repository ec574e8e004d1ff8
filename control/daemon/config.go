package daemon

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/lease"
	"mulleinmast/control/membership"
	"mulleinmast/control/placement"
	"mulleinmast/control/quorum"
)

// Bounds are the promises to the users; every length below is a ratio to one.
type Bounds struct {
	Plan     time.Duration // an acknowledged plan is in force everywhere within this
	Leave    time.Duration // a leaving server gets nothing after this
	Evacuate time.Duration
	Swap     time.Duration // holders of a server never swap within this
	Recover  time.Duration
}

// Config is what a daemon is told of its place.
type Config struct {
	Fleet        string
	WireAddr     string // address for other daemons
	HTTPAddr     string // address for clients, the platform and operators
	Zone         string
	Seeds        []string
	DataFolder   string // empty: this machine holds no state
	Partitions   int    // service partitions, beside the configuration partition
	Drift        float64
	Bounds       Bounds
	QueueLimit   int
	TestSwitches bool // opens the switches for tests
	EventLogSize int
	Losses       int           // machines with state that may be lost at once
	FirstStart   bool          // the whole fleet starts for the first time; else a group is joined, never founded
	InTouchAfter time.Duration // for how long a machine is well before bounds hold for it
	CatchUpBound time.Duration // after this a successor counts like the machine that it replaced
	AckBound     time.Duration // an operator's order is acknowledged within this
	GracePeriod  time.Duration // from the signal to stop until the process is killed
	Cores        int           // processors to use; 0: all
	CPUShare     float64       // the share of a processor that this daemon gets
	MemoryLimit  int64         // bytes, at most; 0: no bound
	Retry        Retry         // of opaque requests, over the whole fleet
	AdmitRatio   float64       // a request is refused at once that would wait for others beyond so many times its aim; 0: none is
	WarmUp       WarmUp
}

// Retry bounds what the daemons together send beyond the first call of each
// request: Ratio of the requests of a Window, and Slack more.
type Retry struct {
	Ratio  float64
	Window time.Duration
	Slack  int
}

// WarmUp bounds what a warming server gets in a second, from all daemons: what
// it bears times Over, and Slack more.
type WarmUp struct {
	Over  float64
	Slack float64
}

// Default is the config before the file and the flags.
//
// Example: c := daemon.Default()
func Default() Config {
	return Config{
		Fleet: "mulleinmast", Zone: "zone-1", Partitions: 8, Drift: 0.02, QueueLimit: 512, EventLogSize: 4096, Losses: 1, FirstStart: true,
		InTouchAfter: 3 * time.Second, CatchUpBound: 4 * time.Second, AckBound: 4 * time.Second, GracePeriod: 12 * time.Second, CPUShare: 1, AdmitRatio: 3, Retry: Retry{Ratio: 0.2, Window: 12 * time.Second}, WarmUp: WarmUp{Over: 1},
		Bounds: Bounds{Plan: 2 * time.Second, Leave: 3 * time.Second, Evacuate: 5 * time.Second, Swap: 3 * time.Second, Recover: 12 * time.Second},
	}
}

type file struct {
	Fleet      *string  `json:"fleet"`
	Wire       *string  `json:"wire"`
	Web        *string  `json:"web"`
	Zone       *string  `json:"zone"`
	Seeds      []string `json:"seeds"`
	Data       *string  `json:"data"`
	Partitions *int     `json:"partitions"`
	Drift      *float64 `json:"drift"`
	Queue      *int     `json:"queue"`
	Ring       *int     `json:"ring"`
	Losses     *int     `json:"losses"`
	First      *bool    `json:"first"`
	Admit      *float64 `json:"admit"`
	Plan       *string  `json:"bound_plan"`
	Leave      *string  `json:"bound_leave"`
	Evacuate   *string  `json:"bound_evacuate"`
	Swap       *string  `json:"bound_swap"`
	Recover    *string  `json:"bound_recover"`
}

func set[T any](to *T, from *T) {
	if from != nil {
		*to = *from
	}
}

// ErrHelp means that the usage text was asked for and shown.
var ErrHelp = flag.ErrHelp

// ReadConfig reads the config file, if one is named, then the flags, which
// win; it reports every fault at once.
//
// Example: c, err := daemon.ReadConfig("mulleinmast", os.Args[1:], os.Stderr)
func ReadConfig(prog string, args []string, w io.Writer) (Config, error) {
	c := Default()
	fs := flag.NewFlagSet(prog, flag.ContinueOnError)
	fs.SetOutput(w)
	path := fs.String("config", "", "config `file` (JSON); flags win over it")
	fleet := fs.String("fleet", c.Fleet, "`name` of the fleet; all its daemons say the same")
	wire := fs.String("wire", "", "`ip:port` for other daemons")
	web := fs.String("web", "", "`ip:port` for clients, the platform and operators (HTTP)")
	zone := fs.String("zone", c.Zone, "`name` of this machine's zone")
	seeds := fs.String("seeds", "", "up to three `ip:port,ip:port,ip:port` of daemons' -wire")
	data := fs.String("data", "", "data `folder`; a daemon with one holds state")
	partitions := fs.Int("partitions", c.Partitions, "partitions of the services; the same on all daemons, for good")
	drift := fs.Float64("drift", c.Drift, "most by which one clock outruns another")
	losses := fs.Int("losses", c.Losses, "daemons with a data folder that may be lost at once; the first group has twice as many replicas, and one")
	first := fs.Bool("first", c.FirstStart, "the fleet may start for the first time; say false once it has, where a seed has no data folder")
	admit := fs.Float64("admit", c.AdmitRatio, "a request is refused at once that would wait for others beyond so many times its route's aim; 0: none is")
	queue := fs.Int("queue", c.QueueLimit, "most requests waiting, per service")
	test := fs.Bool("test-switches", false, "open the switches that tests use (never in production)")
	fs.Usage = func() {
		_, _ = fmt.Fprintf(w, "usage: %s [flags]\n\nRuns one daemon of a router fleet. SIGTERM lets it finish its streams and go.\nExit codes: 0 stopped as asked, 1 failed while running, 2 bad flags or config, 3 bad data folder, 4 an address can't be used, 5 the state in the data folder is superseded (started again it begins empty).\n\n", prog)
		fs.PrintDefaults()
	}
	if err := fs.Parse(args); err != nil {
		return c, err
	}
	var f fleetconfig.Faults
	if fs.NArg() > 0 {
		f.Add("flags: %q is not a flag", fs.Arg(0))
	}
	if *path != "" {
		readFile(*path, &c, &f)
	}
	fs.Visit(func(g *flag.Flag) {
		switch g.Name {
		case "fleet":
			c.Fleet = *fleet
		case "wire":
			c.WireAddr = *wire
		case "web":
			c.HTTPAddr = *web
		case "zone":
			c.Zone = *zone
		case "seeds":
			c.Seeds = strings.Split(*seeds, ",")
		case "data":
			c.DataFolder = *data
		case "partitions":
			c.Partitions = *partitions
		case "drift":
			c.Drift = *drift
		case "losses":
			c.Losses = *losses
		case "first":
			c.FirstStart = *first
		case "admit":
			c.AdmitRatio = *admit
		case "queue":
			c.QueueLimit = *queue
		case "test-switches":
			c.TestSwitches = *test
		}
	})
	c.check(&f)
	if f.Any() {
		return c, errors.New(strings.Join(f.List, "\n"))
	}
	return c, nil
}

func readFile(path string, c *Config, f *fleetconfig.Faults) {
	b, err := os.ReadFile(path)
	if err != nil {
		f.Add("config: %v", err)
		return
	}
	var in file
	if bad := fleetconfig.Decode(b, &in); bad.Any() {
		f.Add("config %s: %s", path, strings.Join(bad.List, "; "))
		return
	}
	set(&c.Fleet, in.Fleet)
	set(&c.WireAddr, in.Wire)
	set(&c.HTTPAddr, in.Web)
	set(&c.Zone, in.Zone)
	set(&c.DataFolder, in.Data)
	set(&c.Partitions, in.Partitions)
	set(&c.Drift, in.Drift)
	set(&c.QueueLimit, in.Queue)
	set(&c.EventLogSize, in.Ring)
	set(&c.Losses, in.Losses)
	set(&c.FirstStart, in.First)
	set(&c.AdmitRatio, in.Admit)
	if in.Seeds != nil {
		c.Seeds = in.Seeds
	}
	for _, x := range []struct {
		name string
		from *string
		to   *time.Duration
	}{
		{"bound_plan", in.Plan, &c.Bounds.Plan},
		{"bound_leave", in.Leave, &c.Bounds.Leave},
		{"bound_evacuate", in.Evacuate, &c.Bounds.Evacuate},
		{"bound_swap", in.Swap, &c.Bounds.Swap},
		{"bound_recover", in.Recover, &c.Bounds.Recover},
	} {
		if x.from == nil {
			continue
		}
		d, err := time.ParseDuration(*x.from)
		if err != nil {
			f.Add("config %s: %s: %v", path, x.name, err)
			continue
		}
		*x.to = d
	}
}

// Check lists every fault of a config at once.
//
// Example: f := c.Check(); f.Any() == false
func (c Config) Check() (f fleetconfig.Faults) {
	c.check(&f)
	return f
}

func (c Config) check(f *fleetconfig.Faults) {
	addr := func(what, s string) {
		p, err := netip.ParseAddrPort(s)
		if err != nil {
			f.Add("%s: %q: expected an IP address and port, such as 10.0.0.1:7000", what, s)
		} else if p.Addr().IsUnspecified() {
			f.Add("%s: %q: expected the address that others reach, not a wildcard", what, s)
		}
	}
	addr("wire", c.WireAddr)
	addr("web", c.HTTPAddr)
	if c.WireAddr != "" && c.WireAddr == c.HTTPAddr {
		f.Add("wire and web: both are %s", c.WireAddr)
	}
	if len(c.Seeds) < 1 || len(c.Seeds) > 3 {
		f.Add("seeds: %d given, expected one to three", len(c.Seeds))
	}
	seen := map[string]bool{}
	for _, s := range c.Seeds {
		addr("seeds", s)
		if seen[s] {
			f.Add("seeds: %q stands twice", s)
		}
		seen[s] = true
	}
	if !fleetconfig.IsValidName(c.Zone) {
		f.Add("zone: %q: expected 1 to 64 letters, digits, '.', '_' or '-'", c.Zone)
	}
	if !fleetconfig.IsValidName(c.Fleet) {
		f.Add("fleet: %q: expected 1 to 64 letters, digits, '.', '_' or '-'", c.Fleet)
	}
	if c.Partitions < 1 || c.Partitions > 64 {
		f.Add("partitions: %d: expected 1 to 64", c.Partitions)
	}
	if c.Drift < 0 || c.Drift > 0.2 {
		f.Add("drift: %v: expected 0 to 0.2", c.Drift)
	}
	if !(c.AdmitRatio >= 0 && c.AdmitRatio <= 100) {
		f.Add("admit: %v: expected 0 to 100", c.AdmitRatio)
	}
	if c.QueueLimit < 1 || c.QueueLimit > 1<<20 {
		f.Add("queue: %d: expected 1 to %d", c.QueueLimit, 1<<20)
	}
	if c.Losses < 0 || c.Losses > 4 {
		f.Add("losses: %d: expected 0 to 4", c.Losses)
	}
	if c.EventLogSize < 16 || c.EventLogSize > 1<<20 {
		f.Add("ring: %d: expected 16 to %d", c.EventLogSize, 1<<20)
	}
	for _, b := range []struct {
		name string
		d    time.Duration
	}{{"bound_plan", c.Bounds.Plan}, {"bound_leave", c.Bounds.Leave}, {"bound_evacuate", c.Bounds.Evacuate}, {"bound_swap", c.Bounds.Swap}, {"bound_recover", c.Bounds.Recover}} {
		if b.d < 100*time.Millisecond || b.d > time.Hour {
			f.Add("%s: %v: expected 100ms to 1h", b.name, b.d)
		}
	}
}

func fraction(d time.Duration, r float64) time.Duration { return time.Duration(float64(d) * r) }

// VolumeLease is the volume lease.
//
// Example: c.VolumeLease() == 800*time.Millisecond for a plan bound of 2 s
func (c Config) VolumeLease() time.Duration { return fraction(c.Bounds.Plan, 0.4) }

func (c Config) margin() time.Duration { return fraction(c.Bounds.Plan, 0.01) }

// MaxStaleness is how long after its leases lapsed a daemon that can't reach a leader
// goes on routing requests by the records that it last held.
//
// Example: c.MaxStaleness() == 12*time.Second for a recovery bound of 12 s
func (c Config) MaxStaleness() time.Duration { return c.Bounds.Recover }

// LeaseConfig is the config of the lease tree.
//
// Example: node := lease.New(c.LeaseConfig(), 0, me, epoch)
func (c Config) LeaseConfig() lease.Config {
	return lease.Config{
		VolumeLease: c.VolumeLease(), ObjectLease: 600 * c.VolumeLease(), Drift: c.Drift, Margin: c.margin(), RenewInterval: c.VolumeLease() / 3,
		MinGain: fraction(c.Bounds.Plan, 0.01), LoadInterval: 5 * c.VolumeLease(), MaxRenewals: 2000,
	}
}

// goneRatio is the part of the catch-up bound after which a silent replica goes to
// a standby: longer than a restart takes, and what is left of the bound is more
// than an election and a step take.
const goneRatio = 0.5

// QuorumConfig is the config of the leaders' replicas.
//
// Example: replica := quorum.New(c.QuorumConfig(), 0, me, folder, meta, records, now, false)
func (c Config) QuorumConfig() quorum.Config {
	d := c.Bounds.Plan / 2
	return quorum.Config{LeaderLease: d, Drift: c.Drift, Margin: c.margin(), HeartbeatInterval: d / 3, LostAfter: max(fraction(c.CatchUpBound, goneRatio), d+d/2)}
}

// OnceKeyRetention is how long a once key is kept; no request's timeout is longer than half.
//
// Example: c.OnceKeyRetention() == 20*time.Minute for a recovery bound of 12 s
func (c Config) OnceKeyRetention() time.Duration { return 100 * c.Bounds.Recover }

// ResendWindow is for how long after it was taken an operator may send an order again:
// as long as it waits for an acknowledgement, and what a try may be held up.
//
// Example: c.ResendWindow() == 5*time.Second for an acknowledgement within 4 s
func (c Config) ResendWindow() time.Duration { return fraction(c.AckBound, 1.25) }

// MembershipConfig is the config of the membership table.
//
// Example: r := membership.New(c.MembershipConfig(), me, c.Seeds)
func (c Config) MembershipConfig() membership.Config {
	return membership.Config{SessionTimeout: fraction(c.Bounds.Plan, 0.6), HeartbeatInterval: fraction(c.Bounds.Plan, 0.1), MinRelayZone: 3, ToleratedLosses: c.Losses, FirstStart: c.FirstStart}
}

// PlacementConfig is the config of the servers' holder.
//
// Example: h := placement.New(c.PlacementConfig(), term, since)
func (c Config) PlacementConfig() placement.Config {
	b := c.Bounds
	return placement.Config{
		SwapBound: b.Swap, PollInterval: fraction(b.Leave, 0.08), WarmUp: b.Swap, ShareLength: fraction(b.Leave, 0.25), Drift: c.Drift, Margin: c.margin(),
		Dwell: 2 * b.Evacuate, UsageWindow: fraction(b.Leave, 0.8), DrainTimeout: 2 * b.Recover, SlowLink: fraction(b.Plan, 0.05), MaxFailures: 3, HighUsage: 0.9, LowUsage: 0.6,
		ListedDwell: b.Swap, PressWindow: b.Swap / 8,
	}
}
