package sim

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// sweep runs a scenario with a range of seeds and reports every violation.
func sweep(t *testing.T, name string, from, to int64) (yes, reads, ok, taken int) {
	t.Helper()
	for seed := from; seed <= to; seed++ {
		r := Run(Scenarios[name](seed))
		for _, b := range r.Broken {
			t.Errorf("%s seed %d: %s", name, seed, b)
		}
		yes, reads, ok, taken = yes+r.Yes, reads+r.Reads, ok+r.Results["ok"], taken+r.Plans["taken"]
	}
	return yes, reads, ok, taken
}

func TestScenariosKeepRules(t *testing.T) {
	for name := range Scenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := int64(12)
			o := Scenarios[name](1)
			if name == "swaps" || o.MinChanges > 0 || o.LossRounds > 0 || o.RequestInterval > 0 {
				n = 4
			}
			yes, reads, ok, taken := sweep(t, name, 1, n)
			if o.RequestInterval > 0 {
				if ok < 150*int(n) || taken < 4*int(n) {
					t.Errorf("too little activity: %d complete answers, %d plans accepted", ok, taken)
				}
			} else if yes < 20*int(n) || reads < 300*int(n) {
				t.Errorf("too little activity: %d writes acknowledged, %d reads", yes, reads)
			}
		})
	}
}

// Regression test with seeds of runs that once violated a rule.
func TestFormerlyFailingSeedsKeepRules(t *testing.T) {
	for name, seeds := range map[string][]int64{
		"kills":   {568},      // a control daemon was killed just after it ran for election with a term above the leader's
		"rangsit": {120, 262}, // a daemon redirected to a leader or relay stayed there under the next leader
		"servers": {151},      // a server was killed and restarted between two polls
		// a machine that was told to stop did so during a change of its group
		"successors": {7003, 7445},
		"traffic":    {2, 60},
	} {
		for _, seed := range seeds {
			for _, b := range Run(Scenarios[name](seed)).Broken {
				t.Errorf("%s seed %d: %s", name, seed, b)
			}
		}
	}
}

// Two machines of five that are lost at once must be replaced within one catch-up bound
// after their successors' starts, so that two others may be lost then.
func TestTwoLostMachinesAreReplacedWithinBound(t *testing.T) {
	for _, seed := range []int64{7197, 7206, 7269, 7371} {
		for _, b := range Run(Scenarios["successors"](seed)).Broken {
			t.Errorf("successors seed %d: %s", seed, b)
		}
	}
}

// Each sabotage disables one mechanism that safety depends on. The checkers must report the
// rule that it violates.
func TestSabotagesAreDetected(t *testing.T) {
	for sabotage, x := range map[string]struct{ scenario, rule string }{
		"lastread":     {"cutoff", "plan-old:"},      // the last known record is read back without a lease
		"afterlease":   {"cutoff", "plan-old:"},      // a leader reads back after its lease has expired
		"cachedno":     {"cutoff", "plan-old:"},      // a follower refuses a change because of the plan that it knows
		"nosync":       {"kills", "without"},         // saves are reported as done before they are on disk
		"ackpurge":     {"cuts", "without"},          // an invalidation is acknowledged but never delivered
		"drift":        {"cuts", ""},                 // clock rates differ by more than the bound
		"nowait":       {"cuts", ""},                 // a granter doesn't wait until a lease expires
		"nowaitvote":   {"early", ""},                // a restarted voter votes at once
		"nocalm":       {"early", "without"},         // a leader that is elected early writes at once
		"standstill":   {"freezes", ""},              // a clock stops while its machine is suspended
		"nomend":       {"rot", "copy"},              // replicas' copies are not compared
		"double":       {"servers", "once:"},         // a decode goes to two decode servers
		"noclaim":      {"servers", "once:"},         // a once key is not claimed before the decode
		"lostisshed":   {"lost", "refused:"},         // a lost decode is treated as refused
		"nofit":        {"servers", "foreign:"},      // any returned handle is accepted
		"nocount":      {"servers", "stream:"},       // pieces are renumbered to fit
		"splice":       {"servers", "stream:"},       // another run continues a broken stream
		"fakeend":      {"servers", "whole:"},        // a broken stream gets an end piece
		"stale":        {"servers", "leaving:"},      // records are used forever: leaving servers
		"evacuatelate": {"servers", "evacuated:"},    // records are used forever: evacuated zones
		"lapsed":       {"traffic", "plan-late:"},    // leases are never checked
		"fallback":     {"servers", "plan-back:"},    // a daemon goes back to the previous plan
		"nobase":       {"servers", "plan-race:"},    // the base of a change is ignored
		"forgetful":    {"races", "linear:"},         // the record of accepted changes is lost with each new leader
		"again":        {"races", "linear:"},         // a repeated change is applied again
		"refuseagain":  {"races", "linear:"},         // an accepted change is refused when it is repeated
		"nonumber":     {"late", "evacuated:"},       // retries of a call are treated as separate calls
		"sayno":        {"servers", "plan-refused:"}, // a plan is reported as refused but written
		"noretrybound": {"servers", "retries:"},      // retries are unbounded
		"noramp":       {"servers", "flood:"},        // a starting server gets its full share at once
		"lategone":     {"secondloss", "nobody"},     // a lost replica is filled after one and a half recovery bounds
		"nohandover":   {"secondloss", "nobody"},     // a stopping daemon gives no notice and doesn't wait for the handover
		"nocopies":     {"secondloss", "nobody"},     // standbys are sent no copies
		"noswap":       {"reboot", "holders:"},       // a new leader sends placement orders at once
		"noafter":      {"servers", "told:"},         // refusals name no time for a retry
		"samenumbers":  {"answers", "plan"},          // calls of two incarnations use the same numbers
		"lateback":     {"servers", "recovery:"},     // servers take 14 s longer to restart

		"blindpatch": {"cuts", "without"}, // the result of a patch is accepted regardless of its checksum
		"unguarded":  {"copies", ""},      // no replica learns the others' incarnations

		"nochase":  {"manychanges", "is incomplete"}, // a replica that missed writes waits for the periodic comparison
		"cutshort": {"manychanges", "is incomplete"}, // half of a copy is treated as complete
		"rotvote":  {"manychanges", "without"},       // a replica whose disk lost a record keeps its vote
		"oldset":   {"manychanges", "without"},       // a candidate reads only its own copy
	} {
		t.Run(sabotage, func(t *testing.T) {
			t.Parallel()
			for seed := int64(1); seed <= 30; seed++ {
				o := Scenarios[x.scenario](seed)
				o.Sabotage = sabotage
				for _, b := range Run(o).Broken {
					if strings.Contains(b, x.rule) {
						t.Logf("%s seed %d: %s", x.scenario, seed, b)
						return
					}
				}
			}
			t.Errorf("30 seeds without the expected violation")
		})
	}
}

// Changed records are sent as patches, nearly always if there are no faults. Truncated patches
// violate no rule, because the records are then requested in full.
func TestChangesAreSentAsPatches(t *testing.T) {
	o := Default(1)
	o.Zones, o.Faults, o.Clean, o.Length = []int{4, 3, 3}, nil, true, 150*time.Second
	r := Run(o)
	if t.Logf("without faults: %d as patches, %d in full", r.PatchedCount, r.FullCount); r.PatchedCount < 10*r.FullCount {
		t.Errorf("%d records were sent as patches, %d in full", r.PatchedCount, r.FullCount)
	}
	for seed := int64(1); seed <= 6; seed++ {
		o := Scenarios["rangsit"](seed)
		o.Sabotage = "spoiltpatch"
		for _, b := range Run(o).Broken {
			t.Errorf("truncated patches, seed %d: %s", seed, b)
		}
	}
}

// Older copies of folders are started in scenario copies and must be superseded. In the other
// scenarios no daemon may be superseded.
func TestOnlyCopiesAreSuperseded(t *testing.T) {
	started, superseded := 0, 0
	for seed := int64(1); seed <= 12; seed++ {
		r := Run(Scenarios["copies"](seed))
		started += r.Faults["copyback"] + r.Faults["copybeside"]
		superseded += r.Superseded
	}
	if t.Logf("%d copies started, %d daemons superseded", started, superseded); started < 4 || superseded < started {
		t.Errorf("%d copies were started, %d daemons superseded", started, superseded)
	}
	for _, name := range []string{"storm", "kills", "cuts", "early", "answers", "rot", "races"} {
		for seed := int64(1); seed <= 3; seed++ {
			if r := Run(Scenarios[name](seed)); r.Superseded > 0 {
				t.Errorf("%s seed %d: %d daemons were superseded", name, seed, r.Superseded)
			}
		}
	}
}

// Messages of every kind that have one field changed and come from a non-member must violate
// no rule and stop no daemon.
func TestMutatedMessagesFromStrangersAreHarmless(t *testing.T) {
	for _, name := range []string{"storm", "swaps", "traffic"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := int64(1); seed <= 3; seed++ {
				o := Scenarios[name](seed)
				o.MutatedShare = 0.05
				for _, b := range Run(o).Broken {
					t.Errorf("seed %d: %s", seed, b)
				}
			}
		})
	}
}

// When the request rate is several times the servers' capacity, tenants are served by
// priority.
func TestTenantsAreServedByPriorityUnderOverload(t *testing.T) {
	sent, served := map[string]int{}, map[string]int{}
	for seed := int64(1); seed <= 3; seed++ {
		o := Scenarios["servers"](seed)
		o.Faults = map[string]float64{"crowd": 3}
		r := Run(o)
		for _, b := range r.Broken {
			t.Errorf("seed %d: %s", seed, b)
		}
		for k, n := range r.Sent {
			sent[k] += n
			served[k] += r.Served[k]
		}
	}
	share := func(k string) float64 { return float64(served[k]) / float64(max(1, sent[k])) }
	t.Logf("served in crowds: express %.2f, regular %.2f, bulk %.2f", share("express"), share("regular"), share("bulk"))
	if sent["express"] < 200 || share("bulk") > 0.8 {
		t.Fatalf("no overload: sent %v, served %v", sent, served)
	}
	if share("express") < share("regular") || share("regular") < share("bulk") || share("express") < 1.5*share("bulk") {
		t.Errorf("express %.2f, regular %.2f, bulk %.2f", share("express"), share("regular"), share("bulk"))
	}
}

// While a zone's relays are slow, their children join the leader as the inequality of the
// lease paper demands; once the relays have recovered, a split moves them back. No rule is
// violated, and renewals cost less than in the static tree.
func TestTreeIsReshapedByCost(t *testing.T) {
	static, dynamic := Run(Tree(1, true)), Run(Tree(1, false))
	for _, b := range append(static.Broken, dynamic.Broken...) {
		t.Error(b)
	}
	if static.Steers["join"]+static.Steers["split"] > 0 || dynamic.Steers["join"] == 0 || dynamic.Steers["split"] == 0 {
		t.Errorf("redirects in the static tree %v, in the dynamic tree %v", static.Steers, dynamic.Steers)
	}
	if dynamic.Renewal*2 > static.Renewal {
		t.Errorf("a renewal takes %v, in the static tree %v", dynamic.Renewal, static.Renewal)
	}
}

// Two runs with the same seed give the same history and journal.
func TestRunsAreDeterministic(t *testing.T) {
	for _, name := range []string{"storm", "traffic"} {
		a, b := Run(Scenarios[name](3)), Run(Scenarios[name](3))
		if fmt.Sprint(a.History) != fmt.Sprint(b.History) || fmt.Sprint(a.Journal) != fmt.Sprint(b.Journal) {
			t.Errorf("%s: two runs with the same seed differ", name)
		}
	}
}
