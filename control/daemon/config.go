package daemon

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"mulleinmast/control/fleetconfig"
)

// Bounds are the time limits guaranteed to users. All intervals and timeouts are ratios of these
// bounds. Each bound is 100 ms to 1 h. In the config file the names have the prefix "bound_".
type Bounds struct {
	Plan     time.Duration // until an acknowledged plan is active on every daemon; default 2 s
	Leave    time.Duration // until a leaving server receives no more requests; default 3 s
	Evacuate time.Duration // until an evacuated zone receives no more requests; default 5 s
	Swap     time.Duration // minimum time between role changes of a server by different leaders; default 3 s
	Recover  time.Duration // until service is fully restored after a failure; default 12 s
}

// Config is the configuration of one daemon. The config file and the flags set the first group of
// fields; the platform driver also sets the others.
type Config struct {
	Fleet        string   // fleet name, the same on all daemons: 1 to 64 of [A-Za-z0-9._-]; default "mulleinmast"
	WireAddr     string   // ip:port at which other daemons reach this one; required
	HTTPAddr     string   // ip:port for clients, the platform and operators; required
	Zone         string   // name of this machine's zone, same format as Fleet; default "zone-1"
	Seeds        []string // WireAddr of one to three daemons to contact first; required
	DataFolder   string   // state of a control daemon; default empty: the daemon stores no state
	Partitions   int      // service partitions, in addition to the configuration's; same on all daemons, fixed: 1 to 64; default 8
	Drift        float64  // maximum relative clock drift between daemons: 0 to 0.2; default 0.02
	Bounds       Bounds
	QueueLimit   int  // maximum queued requests per service: 1 to 1,048,576; default 512
	TestSwitches bool // enables the fault injection endpoints used by tests; default false
	EventLogSize int  // capacity of the event log's ring buffer, in entries: 16 to 1,048,576; default 4,096
	Losses       int  // tolerated concurrent losses of control daemons: 0 to 4; a first group has 2*Losses+1; default 1
	FirstStart   bool // whether the fleet may be bootstrapped; false: only join an existing group; default true
	// AdmitRatio limits the queueing delay: a request is rejected immediately if it would wait
	// behind other requests longer than this ratio times its route's latency target. It is 0 to
	// 100; 0 rejects no request; default 3.
	AdmitRatio float64

	FirstStartOnce bool // FirstStart is never set at a later start of a daemon; default false

	InTouchAfter time.Duration // how long a machine must be healthy before the bounds apply to it; default 3 s
	CatchUpBound time.Duration // until a replacement machine counts like the replaced one; default 4 s
	AckBound     time.Duration // until an operator's order is acknowledged; default 4 s
	StartWait    time.Duration // how long a start waits for a port or folder that another process has; default 12 s
	GracePeriod  time.Duration // from the stop signal until the process is killed; default 12 s
	Cores        int           // CPU cores to use; default 0: all
	CPUShare     float64       // fraction of a CPU core available to this daemon; default 1
	MemoryLimit  int64         // bytes; default 0: unlimited
	Retry        Retry         // of opaque requests, fleet-wide; default 20% in 12 s
	WarmUp       WarmUp        // default: what a server can take, no slack
	Limit        Limit         // of tenants, fleet-wide; default 10% overrun in 5 s
}

// Retry limits the calls that all daemons together send in addition to the first call of each
// request. The limit is Ratio times the number of requests in a Window, plus Slack.
type Retry struct {
	Ratio  float64
	Window time.Duration
	Slack  int
}

// WarmUp limits the load that a warming server receives per second from all daemons. The limit is
// Over times what the server can take, plus Slack.
type WarmUp struct {
	Over  float64
	Slack float64
}

// Limit caps a tenant's usage in every Window at 1+Overrun times what its rate limit allows in
// that time, plus Slack.
type Limit struct {
	Window  time.Duration
	Overrun float64
	Slack   float64
}

// Default returns the configuration before the config file and the flags are applied.
//
// Example: cfg := daemon.Default()
func Default() Config {
	return Config{
		Fleet:        "mulleinmast",
		Zone:         "zone-1",
		Partitions:   8,
		Drift:        0.02,
		QueueLimit:   512,
		EventLogSize: 4096,
		Losses:       1,
		FirstStart:   true,
		AdmitRatio:   3,
		InTouchAfter: 3 * time.Second,
		CatchUpBound: 4 * time.Second,
		AckBound:     4 * time.Second,
		StartWait:    12 * time.Second,
		GracePeriod:  12 * time.Second,
		CPUShare:     1,
		Retry:        Retry{Ratio: 0.2, Window: 12 * time.Second},
		WarmUp:       WarmUp{Over: 1},
		Limit:        Limit{Window: 5 * time.Second, Overrun: 0.1},
		Bounds: Bounds{
			Plan:     2 * time.Second,
			Leave:    3 * time.Second,
			Evacuate: 5 * time.Second,
			Swap:     3 * time.Second,
			Recover:  12 * time.Second,
		},
	}
}

// ErrHelp reports that the usage text was requested and has been printed.
var ErrHelp = flag.ErrHelp

// ReadConfig reads the config file, if one is given, and then the flags, which take precedence. It
// reports all faults together.
//
// Example: cfg, err := daemon.ReadConfig("mulleinmast", os.Args[1:], os.Stderr)
func ReadConfig(program string, args []string, w io.Writer) (Config, error) {
	cfg := Default()
	var path string
	flags := cfg.flags(program, w, &path)
	if err := flags.Parse(args); err != nil {
		return Default(), err
	}
	var faults fleetconfig.Faults
	if flags.NArg() > 0 {
		faults.Add("flags: %q is not a flag", flags.Arg(0))
	}
	if path != "" {
		cfg.readFile(path, &faults)
		_ = flags.Parse(args) // parse again so that the flags take precedence; the first parse succeeded
	}
	cfg.check(&faults)
	if faults.Any() {
		return cfg, errors.New(strings.Join(faults.List, "\n"))
	}
	return cfg, nil
}

// flags returns the daemon's flag set. Parsing it sets the fields of c, and path to the config
// file's path.
func (c *Config) flags(program string, w io.Writer, path *string) *flag.FlagSet {
	f := flag.NewFlagSet(program, flag.ContinueOnError)
	f.SetOutput(w)
	f.StringVar(path, "config", "", "config `file` (JSON); flags win over it")
	f.StringVar(&c.Fleet, "fleet", c.Fleet, "`name` of the fleet; all its daemons say the same")
	f.StringVar(&c.WireAddr, "wire", "", "`ip:port` for other daemons")
	f.StringVar(&c.HTTPAddr, "web", "", "`ip:port` for clients, the platform and operators (HTTP)")
	f.StringVar(&c.Zone, "zone", c.Zone, "`name` of this machine's zone")
	f.Func("seeds", "up to three `ip:port,ip:port,ip:port` of daemons' -wire", func(list string) error {
		c.Seeds = strings.Split(list, ",")
		return nil
	})
	f.StringVar(&c.DataFolder, "data", "", "data `folder`; a daemon with one holds state")
	f.IntVar(&c.Partitions, "partitions", c.Partitions, "partitions of the services; the same on all daemons, for good")
	f.Float64Var(&c.Drift, "drift", c.Drift, "most by which one clock outruns another")
	f.IntVar(&c.Losses, "losses", c.Losses,
		"daemons with a data folder that may be lost at once; the first group has twice as many replicas, and one")
	f.BoolVar(&c.FirstStart, "first", c.FirstStart,
		"the fleet may start for the first time; say false once it has, where a seed has no data folder")
	f.Float64Var(&c.AdmitRatio, "admit", c.AdmitRatio,
		"a request is refused at once that would wait for others beyond so many times its route's aim; 0: none is")
	f.IntVar(&c.QueueLimit, "queue", c.QueueLimit, "most requests waiting, per service")
	f.BoolVar(&c.TestSwitches, "test-switches", false, "open the switches that tests use (never in production)")
	f.Usage = func() {
		_, _ = fmt.Fprintf(w, "usage: %s [flags]\n\n"+
			"Runs one daemon of a router fleet. SIGTERM lets it finish its streams and go.\n"+
			"Exit codes: 0 stopped as asked, 1 failed while running, 2 bad flags or config, 3 bad data folder, "+
			"4 an address can't be used, 5 the state in the data folder is superseded (started again it begins empty).\n\n",
			program)
		f.PrintDefaults()
	}
	return f
}

// configFile is the format of the config file. Settings that it omits keep their values.
type configFile struct {
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

// setIfGiven sets a field that is present in the config file.
func setIfGiven[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}

func (c *Config) readFile(path string, faults *fleetconfig.Faults) {
	text, err := os.ReadFile(path)
	if err != nil {
		faults.Add("config: %v", err)
		return
	}
	var file configFile
	if wrong := fleetconfig.Decode(text, &file); wrong.Any() {
		faults.Add("config %s: %s", path, strings.Join(wrong.List, "; "))
		return
	}
	setIfGiven(&c.Fleet, file.Fleet)
	setIfGiven(&c.WireAddr, file.Wire)
	setIfGiven(&c.HTTPAddr, file.Web)
	setIfGiven(&c.Zone, file.Zone)
	setIfGiven(&c.DataFolder, file.Data)
	setIfGiven(&c.Partitions, file.Partitions)
	setIfGiven(&c.Drift, file.Drift)
	setIfGiven(&c.QueueLimit, file.Queue)
	setIfGiven(&c.EventLogSize, file.Ring)
	setIfGiven(&c.Losses, file.Losses)
	setIfGiven(&c.FirstStart, file.First)
	setIfGiven(&c.AdmitRatio, file.Admit)
	if file.Seeds != nil {
		c.Seeds = file.Seeds
	}
	given := []*string{file.Plan, file.Leave, file.Evacuate, file.Swap, file.Recover}
	for i, bound := range c.Bounds.named() {
		if given[i] == nil {
			continue
		}
		length, err := time.ParseDuration(*given[i])
		if err != nil {
			faults.Add("config %s: %s: %v", path, bound.name, err)
			continue
		}
		*bound.length = length
	}
}

// namedBound is a bound with its name in the config file and in fault messages.
type namedBound struct {
	name   string
	length *time.Duration
}

// named returns the bounds in the order of the fields.
func (b *Bounds) named() []namedBound {
	return []namedBound{
		{"bound_plan", &b.Plan},
		{"bound_leave", &b.Leave},
		{"bound_evacuate", &b.Evacuate},
		{"bound_swap", &b.Swap},
		{"bound_recover", &b.Recover},
	}
}
