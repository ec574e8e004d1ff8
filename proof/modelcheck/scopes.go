package modelcheck

// The models of the walks.
var (
	threeReplicas = Setup{Replicas: 3, Standbys: 1}
	fourReplicas  = Setup{Replicas: 4, Standbys: 1}
	twoStandbys   = Setup{Replicas: 3, Standbys: 2}
	leased        = Setup{Replicas: 3, Standbys: 1, Caches: 1, Tree: true, Skew: true}
	withCopies    = Setup{Replicas: 3, Standbys: 1, Copies: true}
)

// Small are scopes that are explored completely in a few seconds.
var Small = []Scope{
	{
		Name: "two writers, one crash", Setup: Setup{Replicas: 3},
		Bounds: Bounds{Write: 2, Crash: 1}, Total: 3, Depth: 20,
	},
	{
		Name: "a lapse, a held message", Setup: Setup{Replicas: 3},
		Bounds: Bounds{ExpireLeases: 1, Delay: 1}, Total: 2, Depth: 26,
	},
	{
		Name: "one change of the group", Setup: Setup{Replicas: 3, Standbys: 1},
		Bounds: Bounds{Replace: 1, Write: 1}, Total: 2, Depth: 30,
	},
	{
		Name: "an older copy in place of a disk, and a crash", Setup: Setup{Replicas: 3, Copies: true},
		Bounds: Bounds{Copy: 1, Write: 2, RestoreCopy: 1, Crash: 1}, Total: 5, Depth: 26,
	},
	{
		Name: "an older copy beside a daemon", Setup: Setup{Replicas: 3, Copies: true},
		Bounds: Bounds{Copy: 1, Write: 2, StartCopy: 1}, Total: 4, Depth: 26,
	},
	{
		Name: "two copies at the same moment", Setup: Setup{Replicas: 3, DuplicateStart: true},
		Bounds: Bounds{Write: 1, Tick: 1, ExpireLeases: 1}, Total: 3, Depth: 30,
	},
}

// Wide returns scopes for runs by hand; each stops after the given number of states.
//
// Example: for _, s := range modelcheck.Wide(1000000) { fmt.Print(modelcheck.Explore(s)) }
func Wide(states int) []Scope {
	return []Scope{
		{
			Name: "two writers, crash, lapse, lost and held messages", Setup: Setup{Replicas: 3},
			Bounds: Bounds{Write: 2, Crash: 1, ExpireLeases: 1, Drop: 1, Delay: 1}, Total: 4, Depth: 40, States: states,
		},
		{
			Name: "stalled disk, two crashes", Setup: Setup{Replicas: 3},
			Bounds: Bounds{Stall: 1, Crash: 2, ExpireLeases: 1, Write: 1}, Total: 4, Depth: 40, States: states,
		},
		{
			Name: "change of the group, crash, held and doubled messages", Setup: Setup{Replicas: 3, Standbys: 1},
			Bounds: Bounds{Replace: 1, Write: 1, Crash: 1, Delay: 1, Duplicate: 1}, Total: 3, Depth: 40, States: states,
		},
		{
			Name: "lost disk, change of the group, cuts", Setup: Setup{Replicas: 3, Standbys: 1},
			Bounds: Bounds{Wipe: 1, Replace: 1, Write: 1, Cut: 1, ExpireLeases: 1}, Total: 3, Depth: 40, States: states,
		},
		{
			Name: "four replicas, crash, lapse, held message", Setup: Setup{Replicas: 4},
			Bounds: Bounds{Crash: 1, ExpireLeases: 1, Delay: 1, Write: 1}, Total: 3, Depth: 40, States: states,
		},
	}
}

// Walks returns the walks of one seed, one for each model.
//
// Example: for _, k := range modelcheck.Walks(7, 5000) { fmt.Print(k.Go()) }
func Walks(seed int64, events int) []Walk {
	return []Walk{
		{Name: "three replicas", Setup: threeReplicas, Seed: seed, Events: events},
		{Name: "four replicas", Setup: fourReplicas, Seed: seed, Events: events},
		{Name: "two standbys", Setup: twoStandbys, Seed: seed, Events: events},
		{Name: "leases below", Setup: leased, Seed: seed, Events: events},
		{Name: "older copies", Setup: withCopies, Seed: seed, Events: events},
	}
}
