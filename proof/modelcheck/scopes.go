package modelcheck

// The models that walks go over.
var (
	three     = Setup{Replicas: 3, Standbys: 1}
	four      = Setup{Replicas: 4, Standbys: 1}
	exchanged = Setup{Replicas: 3, Standbys: 2}
	cached    = Setup{Replicas: 3, Standbys: 1, Caches: 1, Tree: true, Skew: true}
	copied    = Setup{Replicas: 3, Standbys: 1, Copies: true}
)

// Small are scopes that are looked at whole in a few seconds.
var Small = []Scope{
	{
		Name: "two writers, one crash", Setup: Setup{Replicas: 3},
		Most: Bounds{Write: 2, Crash: 1}, Total: 3, Depth: 20,
	},
	{
		Name: "a lapse, a held message", Setup: Setup{Replicas: 3},
		Most: Bounds{Lapse: 1, Hold: 1}, Total: 2, Depth: 26,
	},
	{
		Name: "one change of the group", Setup: Setup{Replicas: 3, Standbys: 1},
		Most: Bounds{Want: 1, Write: 1}, Total: 2, Depth: 30,
	},
	{
		Name: "an older copy in place of a disk, and a crash", Setup: Setup{Replicas: 3, Copies: true},
		Most: Bounds{Copy: 1, Write: 2, PutBack: 1, Crash: 1}, Total: 5, Depth: 26,
	},
	{
		Name: "an older copy beside a daemon", Setup: Setup{Replicas: 3, Copies: true},
		Most: Bounds{Copy: 1, Write: 2, Beside: 1}, Total: 4, Depth: 26,
	},
	{
		Name: "two copies at the same moment", Setup: Setup{Replicas: 3, Twins: true},
		Most: Bounds{Write: 1, Tick: 1, Lapse: 1}, Total: 3, Depth: 30,
	},
}

// Wide are scopes for a run by hand; each ends after so many states.
//
// Example: for _, s := range modelcheck.Wide(1000000) { fmt.Print(modelcheck.Explore(s)) }
func Wide(states int) []Scope {
	return []Scope{
		{
			Name: "two writers, crash, lapse, lost and held messages", Setup: Setup{Replicas: 3},
			Most: Bounds{Write: 2, Crash: 1, Lapse: 1, Drop: 1, Hold: 1}, Total: 4, Depth: 40, States: states,
		},
		{
			Name: "stalled disk, two crashes", Setup: Setup{Replicas: 3},
			Most: Bounds{Stall: 1, Crash: 2, Lapse: 1, Write: 1}, Total: 4, Depth: 40, States: states,
		},
		{
			Name: "change of the group, crash, held and doubled messages", Setup: Setup{Replicas: 3, Standbys: 1},
			Most: Bounds{Want: 1, Write: 1, Crash: 1, Hold: 1, Double: 1}, Total: 3, Depth: 40, States: states,
		},
		{
			Name: "lost disk, change of the group, cuts", Setup: Setup{Replicas: 3, Standbys: 1},
			Most: Bounds{Wipe: 1, Want: 1, Write: 1, Cut: 1, Lapse: 1}, Total: 3, Depth: 40, States: states,
		},
		{
			Name: "four replicas, crash, lapse, held message", Setup: Setup{Replicas: 4},
			Most: Bounds{Crash: 1, Lapse: 1, Hold: 1, Write: 1}, Total: 3, Depth: 40, States: states,
		},
	}
}

// Walks are the walks of one seed, one over each model.
//
// Example: for _, k := range modelcheck.Walks(7, 5000) { fmt.Print(k.Go()) }
func Walks(seed int64, events int) []Walk {
	return []Walk{
		{Name: "three replicas", Setup: three, Seed: seed, Events: events},
		{Name: "four replicas", Setup: four, Seed: seed, Events: events},
		{Name: "two standbys", Setup: exchanged, Seed: seed, Events: events},
		{Name: "leases below", Setup: cached, Seed: seed, Events: events},
		{Name: "older copies", Setup: copied, Seed: seed, Events: events},
	}
}
