package leader

import (
	"slices"
	"testing"
	"time"

	"mulleinmast/wire/message"
)

// told is what a partition's replica says of those that hold copies.
type told struct{ ready, silent, missing, gone, parting []string }

func (t told) LearnerReady(_ time.Duration, id string) bool { return slices.Contains(t.ready, id) }
func (t told) MissedHeartbeats(_ time.Duration, id string) bool {
	return slices.Contains(t.missing, id)
}
func (t told) IsLost(_ time.Duration, id string) bool { return slices.Contains(t.gone, id) }
func (t told) IsTerminating(id string) bool           { return slices.Contains(t.parting, id) }

func (t told) MayLeave(_ time.Duration, id string) bool {
	return len(t.silent)+len(t.missing)+len(t.gone) == 0 || slices.Equal(slices.Concat(t.silent, t.missing, t.gone), []string{id})
}

// core lists daemons named after their zone and number, at an address each.
func core(ids ...string) (out []message.Member) {
	for _, id := range ids {
		out = append(out, message.Member{Ident: id, Addr: "at-" + id, Zone: id[:1], HasDisk: true})
	}
	return out
}

func placed(ids ...string) (out []message.Replica) {
	for _, id := range ids {
		out = append(out, message.Replica{Ident: id, Addr: "at-" + id})
	}
	return out
}

// The leader of a partition puts a standby in the place of a replica whose daemon is gone
// or was told to end: in the zone with the fewest replicas, never in its own place,
// and only one that is at hand. Else nothing is done.
func TestWhoIsReplacedByWhom(t *testing.T) {
	successor := append(core("a1", "b1", "x9"), message.Member{Ident: "n", Addr: "at-c1", Zone: "c", HasDisk: true})
	for what, x := range map[string]struct {
		replicas []string
		core     []message.Member
		told     told
		wanted   []string
		out, in  string
	}{
		"all well":                          {replicas: []string{"a1", "b1", "c1"}, core: core("a1", "b1", "c1", "c2"), told: told{ready: []string{"c2"}}},
		"gone":                              {replicas: []string{"a1", "b1", "c1"}, core: core("a1", "b1", "c2"), told: told{ready: []string{"c2"}, gone: []string{"c1"}}, out: "c1", in: "c2"},
		"gone, and nobody at hand":          {replicas: []string{"a1", "b1", "c1"}, core: core("a1", "b1", "c2"), told: told{gone: []string{"c1"}}},
		"gone, and no standby":              {replicas: []string{"a1", "b1", "c1"}, core: core("a1", "b1"), told: told{ready: []string{"c2"}, gone: []string{"c1"}}},
		"silent for a moment":               {replicas: []string{"a1", "b1", "c1"}, core: core("a1", "b1", "c2"), told: told{ready: []string{"c2"}, missing: []string{"c1"}}},
		"silent, and another at its place":  {replicas: []string{"a1", "b1", "c1"}, core: successor, told: told{ready: []string{"n"}, missing: []string{"c1"}}, out: "c1", in: "n"},
		"another at its place, and answers": {replicas: []string{"a1", "b1", "c1"}, core: successor, told: told{ready: []string{"n"}}},
		"told to end":                       {replicas: []string{"a1", "b1", "c1"}, core: core("a1", "b1", "c1", "c2"), told: told{ready: []string{"c2"}, parting: []string{"c1"}}, out: "c1", in: "c2"},
		"told to end, and no standby":       {replicas: []string{"a1", "b1", "c1"}, core: core("a1", "b1", "c1"), told: told{parting: []string{"c1"}}},
		"itself told to end":                {replicas: []string{"a1", "b1", "c1"}, core: core("a1", "b1", "c1", "c2"), told: told{ready: []string{"c2"}, parting: []string{"a1"}}},
		"the gone before those that end":    {replicas: []string{"a1", "b1", "c1"}, core: core("a1", "b1", "c2"), told: told{ready: []string{"c2"}, parting: []string{"b1"}, gone: []string{"c1"}}, out: "c1", in: "c2"},
		"told to end, another silent":       {replicas: []string{"a1", "b1", "c1"}, core: core("a1", "b1", "c2"), told: told{ready: []string{"c2"}, parting: []string{"b1"}, silent: []string{"c1"}}},
		"told to end, another missing":      {replicas: []string{"a1", "b1", "c1"}, core: core("a1", "b1", "c2"), told: told{ready: []string{"c2"}, parting: []string{"b1"}, missing: []string{"c1"}}, out: "c1", in: "c2"},
		"told to end, and missing":          {replicas: []string{"a1", "b1", "c1"}, core: core("a1", "b1", "c1", "c2"), told: told{ready: []string{"c2"}, parting: []string{"c1"}, missing: []string{"c1"}}, out: "c1", in: "c2"},
		"the zone with the fewest replicas": {replicas: []string{"a1", "a2", "b1", "b2", "c1"}, core: core("a1", "a2", "a3", "b1", "b2", "b3", "c2"), told: told{ready: []string{"a3", "b3", "c2"}, gone: []string{"c1"}}, out: "c1", in: "c2"},
		"a majority in one zone":            {replicas: []string{"a1", "b1", "b2"}, core: core("a1", "b1", "b2", "c1"), told: told{ready: []string{"c1"}}, out: "b1", in: "c1"},
		"a majority, and none elsewhere":    {replicas: []string{"a1", "b1", "b2"}, core: core("a1", "b1", "b2", "a2", "b3"), told: told{ready: []string{"a2", "b3"}}},
		"an operator's wish":                {replicas: []string{"a1", "b1", "c1"}, core: core("a1", "b1", "c1", "c2"), told: told{ready: []string{"c2"}}, wanted: []string{"a1", "b1", "c2"}, out: "c1", in: "c2"},
		"a wish that isn't at hand":         {replicas: []string{"a1", "b1", "c1"}, core: core("a1", "b1", "c1", "c2"), wanted: []string{"a1", "b1", "c2"}},
		"a wish long overtaken":             {replicas: []string{"a1", "b1", "c1"}, core: core("a1", "b1", "c1", "c2", "b2"), told: told{ready: []string{"c2", "b2"}}, wanted: []string{"a1", "b2", "c2"}},
		"a wish against itself":             {replicas: []string{"a1", "b1", "c1"}, core: core("a1", "b1", "c1", "a2"), told: told{ready: []string{"a2"}}, wanted: []string{"a2", "b1", "c1"}},
	} {
		c := change{replica: x.told, group: message.Group{Number: 1, Replicas: placed(x.replicas...)}, core: x.core, wanted: placed(x.wanted...), me: "a1"}
		if out, in := c.pick(); in.Ident != x.in || x.in != "" && out != x.out {
			t.Errorf("%s: %q is replaced by %q, expected %q by %q", what, out, in.Ident, x.out, x.in)
		}
	}
}
