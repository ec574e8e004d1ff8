package sim

import (
	"time"

	"mulleinmast/proof/history"
)

// Options shape a run.
type Options struct {
	Seed       int64
	Zones      []int // daemons in each zone; the first of each has a disk
	Disks      int   // daemons with a disk in each zone, if more than one
	Losses     int   // of them that may be lost at once, if more than one
	Bare       bool  // the seeds have no disk, and the platform tells a first start from others
	Partitions int   // beside the configuration part
	Length     time.Duration
	Calm       time.Duration      // at the end nothing fails any more
	Faults     map[string]float64 // mean faults of each kind in a run
	Writes     time.Duration      // mean time between writes
	Reads      time.Duration      // mean time between a daemon's reads
	Keys       int
	Many       int             // changes in force before the events of many.go; 0: none of these
	Drift      float64         // how far clocks really run apart
	Sabotage   string          // a fault put in on purpose, to prove the checker
	Clean      bool            // the network loses, delays and doubles nothing
	Flat       bool            // no relays: every daemon renews at the leader
	Calls      time.Duration   // mean time between requests; 0: no servers and no requests
	Servers    []int           // model servers of each service
	Orders     time.Duration   // mean time between operators' and the platform's calls
	Swaps      []time.Duration // when a core machine is exchanged for an empty one
	Rounds     int             // losses of core machines for good, one after the other
	Second     bool            // another is lost for a while as soon as a successor is to count
	Moves      time.Duration   // mean time until a zone that was brought back is evacuated again; 0: only by Orders
	// Races is the mean time between operators' changes that are sent until their end is
	// clear, and again; 0: none.
	Races     time.Duration
	Late      float64       // part of the calls to leaders that come a second time, seconds later
	Responses float64       // part of the responses between daemons that come a second time, seconds later
	Far       time.Duration // more between zones, one way
	Lame      time.Duration // more to and from one relay, from 15 s to 55 s
	Back      bool          // who is refused comes back when told to, once
	Static    bool          // the tree is not reshaped by load and cost
	Mutate    float64       // part of the messages that come a second time with one field changed, as from a stranger
	Asks      time.Duration // mean time between read-backs of the plan; 0: none
	Held      float64       // part of what a cut stops that comes when it has healed
	Wholes    bool          // records go whole at each change
	Trace     func(string)
}

// Result is what a run came to.
type Result struct {
	History                  []Event
	Journal                  []history.Event
	Broken                   []string
	Yes, Never, Maybe, Reads int
	Messages, Invalidations  int
	RootMessages             int             // messages into leaders
	Gap                      time.Duration   // longest time without a leader of part 0
	Waits                    []time.Duration // time from asking for a write to yes
	Faults                   map[string]int
	Recs, Mended             int
	Patched, Whole           int            // records that went down the tree as what changed, and whole
	Superseded               int            // daemons that lost their voice to another of their identity
	Returned, Helped         int            // requests that came back when told to, and those served then
	Served, Sent             map[string]int // requests by tenant, in crowds
	Steers                   map[string]int // messages that moved a daemon in the tree, by why
	Renewal                  time.Duration  // mean time of a renewal of a lease while a relay was lame
	Results, Refusals, Plans map[string]int // requests by result and by why refused, operators' calls
}

// Default is a run with every kind of failure.
//
// Example: sim.Run(sim.Default(1))
func Default(seed int64) Options {
	return Options{
		Seed: seed, Zones: []int{3, 3, 1}, Partitions: 1, Length: 40 * time.Second, Calm: 14 * time.Second, Keys: 3,
		Writes: 250 * time.Millisecond, Reads: 60 * time.Millisecond, Drift: 0.02,
		Faults: map[string]float64{
			"kill": 2, "all": 0.15, "wipe": 0.4, "cut": 1.5, "oneway": 1, "alone": 1, "freeze": 2,
			"slow": 1, "stall": 0.5, "ackkill": 1,
		},
	}
}

// Scenarios are the runs of a sweep.
//
// Example: for name, make := range sim.Scenarios { sim.Run(make(seed)) }
var Scenarios = map[string]func(int64) Options{
	"storm":   Default,
	"kills":   only(map[string]float64{"kill": 6, "all": 0.7, "ackkill": 6}),
	"disks":   only(map[string]float64{"wipe": 1, "ackkill": 3, "slow": 4, "stall": 2, "kill": 1}),
	"cuts":    only(map[string]float64{"cut": 3, "oneway": 3, "alone": 4}),
	"freezes": only(map[string]float64{"freeze": 12, "kill": 1}),
	"rangsit": func(seed int64) Options {
		o := Default(seed)
		o.Zones, o.Reads = []int{4, 3, 3}, 100*time.Millisecond
		return o
	},
	"traffic": calls([]int{4, 3, 3}, []int{7, 5}, map[string]float64{
		"kill": 2, "freeze": 1, "cut": 0.7, "oneway": 0.5, "alone": 0.7, "wipe": 0.3, "stall": 0.5, "ackkill": 1,
		"crash": 2, "dark": 1, "lapse": 1, "cross": 1, "break": 2, "skip": 1, "twice": 1,
		"sluggish": 1, "link": 1, "roll": 1, "crowd": 1, "swing": 1,
	}),
	"servers": calls([]int{3, 3, 3}, []int{5, 4}, map[string]float64{
		"crash": 4, "dark": 2, "lapse": 2, "cross": 3, "break": 4, "skip": 2, "twice": 2,
		"sluggish": 2, "link": 2, "roll": 2, "crowd": 1,
	}),
	// Decodes that were sent are lost, before and after their first piece.
	"lost": calls([]int{3, 3, 3}, []int{5, 4}, map[string]float64{
		"drop": 10, "break": 4, "crash": 6, "dark": 3, "crowd": 1,
	}),
	"zones": calls([]int{3, 3, 3}, []int{5, 4}, map[string]float64{
		"zone": 1, "kill": 1, "freeze": 1, "crowd": 1, "swing": 1,
	}),
	"reboot": calls([]int{3, 3, 3}, []int{5, 4}, map[string]float64{"all": 1.5, "kill": 4, "ackkill": 3, "freeze": 3}),
	// A zone is evacuated and brought back all the time, and calls come a second
	// time seconds later, under the same leader or the next.
	"late": func(seed int64) Options {
		o := calls([]int{3, 3, 3}, []int{5, 4}, map[string]float64{"kill": 3, "freeze": 2, "alone": 1})(seed)
		o.Late, o.Moves = 0.8, 200*time.Millisecond
		return o
	},
	// Operators race with the same numbers, eight calls under way, answers lost
	// and calls doubled; all are sent again later, through other daemons, with
	// hundreds of changes and other leaders between. A control daemon is replaced
	// meanwhile, or loses its disk.
	"races": func(seed int64) Options {
		o := calls([]int{3, 3, 3}, []int{3, 3}, map[string]float64{
			"kill": 4, "core": 1, "alone": 1.5, "oneway": 1, "freeze": 2, "slow": 1, "wipe": 0.5,
		})(seed)
		o.Calls, o.Orders, o.Races = 150*time.Millisecond, 4*time.Second, 80*time.Millisecond
		if seed%2 == 0 {
			o.Swaps = []time.Duration{18 * time.Second}
			delete(o.Faults, "wipe")
		}
		return o
	},
	// Core machines are cut off from the others, both ways or one, while operators
	// order and read back at any daemon, and others start with seeds that name
	// only those; what was held up comes in the end.
	"cutoff": func(seed int64) Options {
		o := calls([]int{4, 3, 3}, []int{3, 3}, map[string]float64{
			"cutcore": 4, "halfcut": 3, "alone": 1, "freeze": 3, "kill": 0.5,
		})(seed)
		o.Calls, o.Asks, o.Held = 100*time.Millisecond, 60*time.Millisecond, 0.3
		return o
	},
	// The whole core is killed again and again and back at once, beside other
	// trouble, with writes all the time: leaders are elected while leases under
	// the ones before still stand.
	"early": func(seed int64) Options {
		o := Default(seed)
		o.Zones, o.Writes, o.Reads = []int{4, 3, 3}, 40*time.Millisecond, 20*time.Millisecond
		o.Faults = map[string]float64{"core": 8, "kill": 3, "freeze": 2, "alone": 1, "ackkill": 0.2}
		return o
	},
	// Responses of all kinds come a second time, seconds later: to a later call, a
	// later life under the same identity, or a later term. Operators call all the
	// time, and control daemons restart again and again.
	"answers": func(seed int64) Options {
		o := calls([]int{3, 3, 3}, []int{4, 3}, map[string]float64{"again": 4, "kill": 1, "ackkill": 1, "slow": 2})(seed)
		o.Responses, o.Orders = 0.5, 400*time.Millisecond
		return o
	},
	// Five replicas over three zones, and a founder without a disk.
	"five": func(seed int64) Options {
		o := Default(seed)
		o.Zones, o.Disks, o.Losses, o.Bare = []int{4, 3, 3}, 2, 2, true
		return o
	},
	// A control daemon is lost or replaced, and another is lost a catch-up bound
	// after the successor's start.
	"secondloss": successors(3, true),
	// Ten control daemons are replaced, each a catch-up bound after the last
	// successor's start.
	"successors": successors(10, false),
	// Many records, so that few are written anew after one is spoilt.
	"rot": func(seed int64) Options {
		o := Default(seed)
		o.Keys, o.Faults = 24, map[string]float64{"rot": 3, "slow": 1}
		return o
	},
	// Folders are copied, and older copies put back or started beside their originals.
	"copies": func(seed int64) Options {
		o := Default(seed)
		o.Writes, o.Reads = 100*time.Millisecond, 40*time.Millisecond
		o.Faults = map[string]float64{
			"copyback": 3, "copybeside": 3, "kill": 2, "all": 0.2, "cut": 1, "alone": 1, "freeze": 1,
		}
		return o
	},
	// Hundreds of changes and then, one after another, all that may befall a core
	// machine, while changes go on.
	"manychanges": func(seed int64) Options {
		o := Default(seed)
		o.Zones, o.Keys, o.Many = []int{3, 2, 2}, 24, 500
		o.Writes, o.Reads, o.Length, o.Calm = 25*time.Millisecond, 150*time.Millisecond, 110*time.Second, 5*time.Second
		o.Faults = nil
		return o
	},
	// All three control daemons are exchanged, one after another, while the
	// usual trouble goes on.
	"swaps": func(seed int64) Options {
		o := Default(seed)
		o.Length, o.Calm, o.Writes, o.Reads = 130*time.Second, 34*time.Second, time.Second, 250*time.Millisecond
		o.Faults = map[string]float64{"kill": 1, "freeze": 2, "alone": 0.5, "slow": 1}
		o.Swaps = []time.Duration{10 * time.Second, 45 * time.Second, 80 * time.Second}
		return o
	},
}

// calls is a whole fleet with servers, clients, operators and a platform.
func calls(zones []int, servers []int, f map[string]float64) func(int64) Options {
	return func(seed int64) Options {
		return Options{
			Seed: seed, Zones: zones, Partitions: 2, Length: 56 * time.Second, Calm: 24 * time.Second,
			Keys: 1, Writes: time.Second, Reads: 250 * time.Millisecond, Drift: 0.02,
			Calls: 45 * time.Millisecond, Servers: servers, Orders: time.Second, Faults: f,
		}
	}
}

// Tree is a healthy fleet of three far zones in which the relays of one zone
// become slow for a while: the paper's inequalities ask for a join, and for a
// split once they are well again.
//
// Example: r := sim.Run(sim.Tree(1, false)); r.Steers["join"] > 0
func Tree(seed int64, static bool) Options {
	o := Default(seed)
	o.Zones, o.Faults, o.Length, o.Calm, o.Clean = []int{6, 6, 6}, nil, 130*time.Second, time.Second, true
	o.Far, o.Lame, o.Static = 40*time.Millisecond, 90*time.Millisecond, static
	return o
}

func only(f map[string]float64) func(int64) Options {
	return func(seed int64) Options {
		o := Default(seed)
		o.Faults = f
		return o
	}
}
