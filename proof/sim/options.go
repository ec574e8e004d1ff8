package sim

import (
	"time"

	"mulleinmast/proof/history"
)

// Options configure a run.
type Options struct {
	Seed               int64
	Zones              []int   // daemons in each zone; the first of each zone has a disk
	Disks              int     // daemons with a disk in each zone, if more than one is wanted
	Losses             int     // daemons with a disk that may be lost at once, if more than one
	DisklessSeeds      bool    // the seeds have no disk; the platform marks a daemon's first start
	MarksFirstStart    bool    // the platform marks a daemon's first start, also with seeds that have a disk
	EarlyKillShare     float64 // share of the control daemons whose first process is killed before it writes to its disk
	FormingKills       int     // kills of control daemons in the first seconds, while the fleet forms
	LostSeed           bool    // a seed is lost for good in that time, and an empty machine takes its place
	Partitions         int     // besides the configuration partition
	Length             time.Duration
	Calm               time.Duration      // no faults in this period at the end of a run
	Faults             map[string]float64 // mean number of faults of each kind in a run
	WritePeriod        time.Duration      // mean time between writes
	ReadPeriod         time.Duration      // mean time between a daemon's reads
	Keys               int
	MinChanges         int             // changes acknowledged before the events of many.go start; 0: no such events
	Drift              float64         // actual spread of the clock rates
	Sabotage           string          // a fault planted on purpose, to test the checkers
	Clean              bool            // the network never loses, delays or duplicates messages
	Flat               bool            // no relays: every daemon renews its leases at the leader
	RequestInterval    time.Duration   // mean time between requests; 0: no model servers and no requests
	Servers            []int           // model servers of each service
	OperatorInterval   time.Duration   // mean time between calls of operators and the platform
	ReplacementTimes   []time.Duration // when a control daemon is replaced by an empty one
	LossRounds         int             // permanent losses of control daemons, one after the other
	SecondLoss         bool            // another one fails for a while as soon as a successor must have caught up
	EvacuationInterval time.Duration   // mean time between a zone's return and its next evacuation; 0: by operators only
	// RaceInterval is the mean time between racing changes, which operators resend until the
	// outcome is known, and some of them once more after that; 0: none.
	RaceInterval      time.Duration
	LateCallShare     float64       // share of the calls to leaders that are delivered again seconds later
	LateResponseShare float64       // share of the responses between daemons that are delivered again seconds later
	ZoneDelay         time.Duration // additional one-way delay between zones
	SlowRelayDelay    time.Duration // additional delay to and from the last zone's relays, from 15 s to 55 s
	Back              bool          // a client that is refused retries once, after the time that it is told
	StaticTree        bool          // the lease tree is not reshaped by load and cost
	MutatedShare      float64       // share of the messages repeated with one field changed, from a stranger
	ReadBackInterval  time.Duration // mean time between read-backs of the plan; 0: no read-backs
	HeldShare         float64       // share of the messages stopped by a cut that arrive after it heals
	FullRecords       bool          // changed records are sent in full, not as patches
	Trace             func(string)
}

// Result is the outcome of a run.
type Result struct {
	History                  []Event
	Journal                  []history.Event
	Broken                   []string
	Yes, Never, Maybe, Reads int
	Messages, Invalidations  int
	RootMessages             int             // messages received by leaders
	Gap                      time.Duration   // longest time without a leader of partition 0
	Waits                    []time.Duration // time from requesting a write to its acknowledgement
	Faults                   map[string]int
	RecordCount, RepairCount int
	PatchedCount, FullCount  int            // records sent down the lease tree as patches, and in full
	Superseded               int            // daemons superseded by another one with the same identity
	Returned, Helped         int            // requests retried after a refusal, and those of them served
	Served, Sent             map[string]int // requests by tenant, during crowds
	Steers                   map[string]int // messages that moved a daemon in the lease tree, by reason
	Renewal                  time.Duration  // mean time of a lease renewal while a relay was slow
	Results, Refusals, Plans map[string]int // requests by result, refusals by reason, operators' calls by result
}

// Default returns a run with all the general kinds of faults.
//
// Example: sim.Run(sim.Default(1))
func Default(seed int64) Options {
	return Options{
		Seed: seed, Zones: []int{3, 3, 1}, Partitions: 1, Length: 40 * time.Second, Calm: 14 * time.Second, Keys: 3,
		WritePeriod: 250 * time.Millisecond, ReadPeriod: 60 * time.Millisecond, Drift: 0.02,
		Faults: map[string]float64{
			"kill": 2, "all": 0.15, "wipe": 0.4, "cut": 1.5, "oneway": 1, "alone": 1, "freeze": 2,
			"slow": 1, "stall": 0.5, "ackkill": 1,
		},
	}
}

// Scenarios maps the names of a sweep's scenarios to their options for a seed.
//
// Example: for name, make := range sim.Scenarios { sim.Run(make(seed)) }
var Scenarios = map[string]func(int64) Options{
	"storm":   Default,
	"kills":   faultScenario(map[string]float64{"kill": 6, "all": 0.7, "ackkill": 6}),
	"disks":   faultScenario(map[string]float64{"wipe": 1, "ackkill": 3, "slow": 4, "stall": 2, "kill": 1}),
	"cuts":    faultScenario(map[string]float64{"cut": 3, "oneway": 3, "alone": 4}),
	"freezes": faultScenario(map[string]float64{"freeze": 12, "kill": 1}),
	"rangsit": func(seed int64) Options {
		o := Default(seed)
		o.Zones, o.ReadPeriod = []int{4, 3, 3}, 100*time.Millisecond
		return o
	},
	"traffic": trafficScenario([]int{4, 3, 3}, []int{7, 5}, map[string]float64{
		"kill": 2, "freeze": 1, "cut": 0.7, "oneway": 0.5, "alone": 0.7, "wipe": 0.3, "stall": 0.5, "ackkill": 1,
		"crash": 2, "dark": 1, "lapse": 1, "cross": 1, "break": 2, "skip": 1, "twice": 1,
		"sluggish": 1, "link": 1, "roll": 1, "crowd": 1, "swing": 1,
	}),
	"servers": trafficScenario([]int{3, 3, 3}, []int{5, 4}, map[string]float64{
		"crash": 4, "dark": 2, "lapse": 2, "cross": 3, "break": 4, "skip": 2, "twice": 2,
		"sluggish": 2, "link": 2, "roll": 2, "crowd": 1,
	}),
	// Decode calls are lost after they were sent, before and after their first piece.
	"lost": trafficScenario([]int{3, 3, 3}, []int{5, 4}, map[string]float64{
		"drop": 10, "break": 4, "crash": 6, "dark": 3, "crowd": 1,
	}),
	"zones": trafficScenario([]int{3, 3, 3}, []int{5, 4}, map[string]float64{
		"zone": 1, "kill": 1, "freeze": 1, "crowd": 1, "swing": 1,
	}),
	"reboot": trafficScenario([]int{3, 3, 3}, []int{5, 4}, map[string]float64{
		"all": 1.5, "kill": 4, "ackkill": 3, "freeze": 3,
	}),
	// A zone is evacuated and brought back continuously, and calls are delivered again
	// seconds later, under the same leader or the next one.
	"late": func(seed int64) Options {
		o := trafficScenario([]int{3, 3, 3}, []int{5, 4}, map[string]float64{"kill": 3, "freeze": 2, "alone": 1})(seed)
		o.LateCallShare, o.EvacuationInterval = 0.8, 200*time.Millisecond
		return o
	},
	// Operators race with the same version numbers, with up to eight calls in flight, lost
	// answers and duplicated calls. Calls are sent again later through other daemons, after
	// hundreds of changes and under other leaders. During the run a control daemon is
	// replaced or loses its disk.
	"races": func(seed int64) Options {
		o := trafficScenario([]int{3, 3, 3}, []int{3, 3}, map[string]float64{
			"kill": 4, "core": 1, "alone": 1.5, "oneway": 1, "freeze": 2, "slow": 1, "wipe": 0.5,
		})(seed)
		o.RequestInterval, o.OperatorInterval, o.RaceInterval = 150*time.Millisecond, 4*time.Second, 80*time.Millisecond
		if seed%2 == 0 {
			o.ReplacementTimes = []time.Duration{18 * time.Second}
			delete(o.Faults, "wipe")
		}
		return o
	},
	// Control daemons are cut off from the others, in one or both directions, while
	// operators send changes and read back at any daemon, and other daemons start with a
	// cut-off daemon as their only seed. Some of the messages held up arrive after the cut heals.
	"cutoff": func(seed int64) Options {
		o := trafficScenario([]int{4, 3, 3}, []int{3, 3}, map[string]float64{
			"cutcore": 4, "halfcut": 3, "alone": 1, "freeze": 3, "kill": 0.5,
		})(seed)
		o.RequestInterval, o.ReadBackInterval, o.HeldShare = 100*time.Millisecond, 60*time.Millisecond, 0.3
		return o
	},
	// All control daemons are killed and restarted at once, repeatedly, besides other
	// faults and under continuous writes: leaders are elected while leases of their
	// predecessors are still valid.
	"early": func(seed int64) Options {
		o := Default(seed)
		o.Zones, o.WritePeriod, o.ReadPeriod = []int{4, 3, 3}, 40*time.Millisecond, 20*time.Millisecond
		o.Faults = map[string]float64{"core": 8, "kill": 3, "freeze": 2, "alone": 1, "ackkill": 0.2}
		return o
	},
	// LateResponseShare of all kinds are delivered again seconds later: to a later call, a later
	// incarnation of the same identity, or a later term. Operators call continuously, and
	// control daemons restart repeatedly.
	"answers": func(seed int64) Options {
		o := trafficScenario([]int{3, 3, 3}, []int{4, 3}, map[string]float64{
			"again": 4, "kill": 1, "ackkill": 1, "slow": 2,
		})(seed)
		o.LateResponseShare, o.OperatorInterval = 0.5, 400*time.Millisecond
		return o
	},
	// Five replicas in three zones, and seeds without a disk.
	"five": func(seed int64) Options {
		o := Default(seed)
		o.Zones, o.Disks, o.Losses, o.DisklessSeeds = []int{4, 3, 3}, 2, 2, true
		return o
	},
	// Control daemons are killed while the fleet forms, and in half of the runs one is lost for good.
	"forming": func(seed int64) Options {
		o := Default(seed)
		o.Faults, o.MarksFirstStart, o.FormingKills, o.LostSeed = nil, true, 4, seed%2 == 0
		if seed%3 == 0 { // five replicas
			o.Zones, o.Disks, o.Losses = []int{4, 3, 3}, 2, 2
		}
		return o
	},
	// Control daemons, in a quarter of the runs all of them, are killed at their first start before their votes
	// on the first group are on disk. In another quarter a seed is lost for good as well.
	"earlykills": func(seed int64) Options {
		o := Default(seed)
		o.Faults, o.MarksFirstStart, o.EarlyKillShare, o.FormingKills, o.LostSeed = nil, true, 0.6, 2, seed%4 == 1
		if seed%4 == 0 {
			o.EarlyKillShare = 1
		}
		return o
	},
	// A control daemon is lost or replaced, and another one is lost one catch-up bound
	// after the successor's start.
	"secondloss": lossScenario(3, true),
	// Ten control daemons are replaced, each one catch-up bound after the previous
	// successor's start.
	"successors": lossScenario(10, false),
	// MinChanges records, so that few of them are rewritten after one is corrupted.
	"rot": func(seed int64) Options {
		o := Default(seed)
		o.Keys, o.Faults = 24, map[string]float64{"rot": 3, "slow": 1}
		return o
	},
	// Data folders are copied, and older copies are restored or started next to their originals.
	"copies": func(seed int64) Options {
		o := Default(seed)
		o.WritePeriod, o.ReadPeriod = 100*time.Millisecond, 40*time.Millisecond
		o.Faults = map[string]float64{
			"copyback": 3, "copybeside": 3, "kill": 2, "all": 0.2, "cut": 1, "alone": 1, "freeze": 1,
		}
		return o
	},
	// Hundreds of changes and then, one after another, every event that may hit a control
	// daemon, while changes continue.
	"manychanges": func(seed int64) Options {
		o := Default(seed)
		o.Zones, o.Keys, o.MinChanges = []int{3, 2, 2}, 24, 500
		o.WritePeriod, o.ReadPeriod, o.Length, o.Calm =
			25*time.Millisecond, 150*time.Millisecond, 110*time.Second, 5*time.Second
		o.Faults = nil
		return o
	},
	// All three control daemons are replaced, one after another, under the usual faults.
	"swaps": func(seed int64) Options {
		o := Default(seed)
		o.Length, o.Calm, o.WritePeriod, o.ReadPeriod = 130*time.Second, 34*time.Second, time.Second, 250*time.Millisecond
		o.Faults = map[string]float64{"kill": 1, "freeze": 2, "alone": 0.5, "slow": 1}
		o.ReplacementTimes = []time.Duration{10 * time.Second, 45 * time.Second, 80 * time.Second}
		return o
	},
}

// trafficScenario returns options for a complete fleet with model servers, clients,
// operators and a platform.
func trafficScenario(zones []int, servers []int, f map[string]float64) func(int64) Options {
	return func(seed int64) Options {
		return Options{
			Seed: seed, Zones: zones, Partitions: 2, Length: 56 * time.Second, Calm: 24 * time.Second,
			Keys: 1, WritePeriod: time.Second, ReadPeriod: 250 * time.Millisecond, Drift: 0.02,
			RequestInterval: 45 * time.Millisecond, Servers: servers, OperatorInterval: time.Second, Faults: f,
		}
	}
}

// Tree returns options for a healthy fleet of three distant zones in which the relays of
// one zone become slow for a while. The inequalities of the lease paper then call for a
// join, and for a split once the relays have recovered.
//
// Example: r := sim.Run(sim.Tree(1, false)); r.Steers["join"] > 0
func Tree(seed int64, static bool) Options {
	o := Default(seed)
	o.Zones, o.Faults, o.Length, o.Calm, o.Clean = []int{6, 6, 6}, nil, 130*time.Second, time.Second, true
	o.ZoneDelay, o.SlowRelayDelay, o.StaticTree = 40*time.Millisecond, 90*time.Millisecond, static
	return o
}

func faultScenario(f map[string]float64) func(int64) Options {
	return func(seed int64) Options {
		o := Default(seed)
		o.Faults = f
		return o
	}
}
