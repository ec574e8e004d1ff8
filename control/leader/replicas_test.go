package leader

import (
	"slices"
	"testing"
	"time"

	"mulleinmast/wire/message"
)

// reportedHealth is what a partition's replica says of those that hold copies, by identity.
type reportedHealth struct{ ready, silent, missing, lost, terminating []string }

func (h reportedHealth) LearnerReady(_ time.Duration, id string) bool {
	return slices.Contains(h.ready, id)
}

func (h reportedHealth) MissedHeartbeats(_ time.Duration, id string) bool {
	return slices.Contains(h.missing, id)
}

func (h reportedHealth) IsLost(_ time.Duration, id string) bool { return slices.Contains(h.lost, id) }

func (h reportedHealth) IsTerminating(id string) bool { return slices.Contains(h.terminating, id) }

func (h reportedHealth) MayLeave(_ time.Duration, id string) bool {
	return len(h.silent)+len(h.missing)+len(h.lost) == 0 || slices.Equal(
		slices.Concat(h.silent, h.missing, h.lost), []string{id},
	)
}

// controlDaemons lists daemons named after their zone and number, at an address each.
func controlDaemons(ids ...string) (out []message.Member) {
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

// The leader of a partition replaces a replica whose daemon is lost or terminating by a
// learner: from the zone with the fewest replicas, never its own replica,
// and only by a learner that is ready. Else nothing is done.
func TestWhichReplicaIsReplacedByWhichLearner(t *testing.T) {
	successor := append(
		controlDaemons("a1", "b1", "x9"), message.Member{Ident: "n", Addr: "at-c1", Zone: "c", HasDisk: true},
	)
	for name, test := range map[string]struct {
		replicas []string
		daemons  []message.Member
		health   reportedHealth
		desired  []string
		out, in  string
	}{
		"nothing amiss": {
			replicas: []string{"a1", "b1", "c1"}, daemons: controlDaemons("a1", "b1", "c1", "c2"),
			health: reportedHealth{ready: []string{"c2"}},
		},
		"lost": {
			replicas: []string{"a1", "b1", "c1"}, daemons: controlDaemons("a1", "b1", "c2"),
			health: reportedHealth{ready: []string{"c2"}, lost: []string{"c1"}}, out: "c1", in: "c2",
		},
		"lost, and no learner ready": {
			replicas: []string{"a1", "b1", "c1"}, daemons: controlDaemons("a1", "b1", "c2"),
			health: reportedHealth{lost: []string{"c1"}},
		},
		"lost, and no learner": {
			replicas: []string{"a1", "b1", "c1"}, daemons: controlDaemons("a1", "b1"),
			health: reportedHealth{ready: []string{"c2"}, lost: []string{"c1"}},
		},
		"silent for a moment": {
			replicas: []string{"a1", "b1", "c1"}, daemons: controlDaemons("a1", "b1", "c2"),
			health: reportedHealth{ready: []string{"c2"}, missing: []string{"c1"}},
		},
		"silent, and another at its place": {
			replicas: []string{"a1", "b1", "c1"}, daemons: successor,
			health: reportedHealth{ready: []string{"n"}, missing: []string{"c1"}}, out: "c1", in: "n",
		},
		"another at its place, and answers": {
			replicas: []string{"a1", "b1", "c1"}, daemons: successor,
			health: reportedHealth{ready: []string{"n"}},
		},
		"terminating": {
			replicas: []string{"a1", "b1", "c1"}, daemons: controlDaemons("a1", "b1", "c1", "c2"),
			health: reportedHealth{ready: []string{"c2"}, terminating: []string{"c1"}}, out: "c1", in: "c2",
		},
		"terminating, and no learner": {
			replicas: []string{"a1", "b1", "c1"}, daemons: controlDaemons("a1", "b1", "c1"),
			health: reportedHealth{terminating: []string{"c1"}},
		},
		"itself terminating": {
			replicas: []string{"a1", "b1", "c1"}, daemons: controlDaemons("a1", "b1", "c1", "c2"),
			health: reportedHealth{ready: []string{"c2"}, terminating: []string{"a1"}},
		},
		"the lost before the terminating": {
			replicas: []string{"a1", "b1", "c1"}, daemons: controlDaemons("a1", "b1", "c2"),
			health: reportedHealth{
				ready: []string{"c2"}, terminating: []string{"b1"}, lost: []string{"c1"},
			}, out: "c1", in: "c2",
		},
		"terminating, another silent": {
			replicas: []string{"a1", "b1", "c1"}, daemons: controlDaemons("a1", "b1", "c2"),
			health: reportedHealth{ready: []string{"c2"}, terminating: []string{"b1"}, silent: []string{"c1"}},
		},
		"terminating, another missing": {
			replicas: []string{"a1", "b1", "c1"}, daemons: controlDaemons("a1", "b1", "c2"),
			health: reportedHealth{
				ready: []string{"c2"}, terminating: []string{"b1"}, missing: []string{"c1"},
			}, out: "c1", in: "c2",
		},
		"terminating, and missing": {
			replicas: []string{"a1", "b1", "c1"}, daemons: controlDaemons("a1", "b1", "c1", "c2"),
			health: reportedHealth{
				ready: []string{"c2"}, terminating: []string{"c1"}, missing: []string{"c1"},
			}, out: "c1", in: "c2",
		},
		"the zone with the fewest replicas": {
			replicas: []string{"a1", "a2", "b1", "b2", "c1"}, daemons: controlDaemons("a1", "a2", "a3", "b1", "b2", "b3", "c2"),
			health: reportedHealth{ready: []string{"a3", "b3", "c2"}, lost: []string{"c1"}}, out: "c1", in: "c2",
		},
		"a majority in one zone": {
			replicas: []string{"a1", "b1", "b2"}, daemons: controlDaemons("a1", "b1", "b2", "c1"),
			health: reportedHealth{ready: []string{"c1"}}, out: "b1", in: "c1",
		},
		"a majority, and none elsewhere": {
			replicas: []string{"a1", "b1", "b2"}, daemons: controlDaemons("a1", "b1", "b2", "a2", "b3"),
			health: reportedHealth{ready: []string{"a2", "b3"}},
		},
		"an operator's wish": {
			replicas: []string{"a1", "b1", "c1"}, daemons: controlDaemons("a1", "b1", "c1", "c2"),
			health: reportedHealth{ready: []string{"c2"}}, desired: []string{"a1", "b1", "c2"}, out: "c1", in: "c2",
		},
		"a wish that isn't ready": {
			replicas: []string{"a1", "b1", "c1"}, daemons: controlDaemons("a1", "b1", "c1", "c2"),
			desired: []string{"a1", "b1", "c2"},
		},
		"a wish long overtaken": {
			replicas: []string{"a1", "b1", "c1"}, daemons: controlDaemons("a1", "b1", "c1", "c2", "b2"),
			health: reportedHealth{ready: []string{"c2", "b2"}}, desired: []string{"a1", "b2", "c2"},
		},
		"a wish against itself": {
			replicas: []string{"a1", "b1", "c1"}, daemons: controlDaemons("a1", "b1", "c1", "a2"),
			health: reportedHealth{ready: []string{"a2"}}, desired: []string{"a2", "b1", "c1"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			choice := replicaChoice{
				health: test.health, group: message.Group{Number: 1, Replicas: placed(test.replicas...)},
				controlDaemons: test.daemons, desired: placed(test.desired...), self: "a1",
			}
			leaving, joining := choice.next()
			if joining.Ident != test.in || test.in != "" && leaving != test.out {
				t.Errorf("%q is replaced by %q, expected %q by %q", leaving, joining.Ident, test.out, test.in)
			}
		})
	}
}
