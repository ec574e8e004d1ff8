package leader

import (
	"slices"
	"testing"
	"time"

	"mulleinmast/wire/message"
)

// fakeHealth reports the listed identities as ready, silent, missing, lost or terminating. The silent ones only
// prevent other replicas from leaving.
type fakeHealth struct{ ready, silent, missing, lost, terminating []string }

func (h fakeHealth) LearnerReady(_ time.Duration, id string) bool {
	return slices.Contains(h.ready, id)
}

func (h fakeHealth) MissedHeartbeats(_ time.Duration, id string) bool {
	return slices.Contains(h.missing, id)
}

func (h fakeHealth) IsLost(_ time.Duration, id string) bool { return slices.Contains(h.lost, id) }

func (h fakeHealth) IsTerminating(id string) bool { return slices.Contains(h.terminating, id) }

func (h fakeHealth) MayLeave(_ time.Duration, id string) bool {
	return len(h.silent)+len(h.missing)+len(h.lost) == 0 || slices.Equal(
		slices.Concat(h.silent, h.missing, h.lost), []string{id},
	)
}

// controlDaemons returns daemons with the given identities; the first letter of an identity is its zone.
func controlDaemons(ids ...string) (out []message.Member) {
	for _, id := range ids {
		out = append(out, message.Member{Ident: id, Addr: "at-" + id, Zone: id[:1], HasDisk: true})
	}
	return out
}

func replicasOf(ids ...string) (out []message.Replica) {
	for _, id := range ids {
		out = append(out, message.Replica{Ident: id, Addr: "at-" + id})
	}
	return out
}

// The leader replaces a replica whose daemon is lost or terminating by a ready learner
// from the zone with the fewest replicas. It never replaces its own replica, and does
// nothing if no learner is ready.
func TestReplicaChoice(t *testing.T) {
	successor := append(
		controlDaemons("a1", "b1", "x9"), message.Member{Ident: "n", Addr: "at-c1", Zone: "c", HasDisk: true},
	)
	for name, test := range map[string]struct {
		replicas []string
		daemons  []message.Member
		health   fakeHealth
		desired  []string
		out, in  string
	}{
		"all healthy": {
			replicas: []string{"a1", "b1", "c1"}, daemons: controlDaemons("a1", "b1", "c1", "c2"),
			health: fakeHealth{ready: []string{"c2"}},
		},
		"lost": {
			replicas: []string{"a1", "b1", "c1"}, daemons: controlDaemons("a1", "b1", "c2"),
			health: fakeHealth{ready: []string{"c2"}, lost: []string{"c1"}}, out: "c1", in: "c2",
		},
		"lost, and no learner ready": {
			replicas: []string{"a1", "b1", "c1"}, daemons: controlDaemons("a1", "b1", "c2"),
			health: fakeHealth{lost: []string{"c1"}},
		},
		"lost, and no learner": {
			replicas: []string{"a1", "b1", "c1"}, daemons: controlDaemons("a1", "b1"),
			health: fakeHealth{ready: []string{"c2"}, lost: []string{"c1"}},
		},
		"missed heartbeats only": {
			replicas: []string{"a1", "b1", "c1"}, daemons: controlDaemons("a1", "b1", "c2"),
			health: fakeHealth{ready: []string{"c2"}, missing: []string{"c1"}},
		},
		"missed heartbeats, and another daemon at its address": {
			replicas: []string{"a1", "b1", "c1"}, daemons: successor,
			health: fakeHealth{ready: []string{"n"}, missing: []string{"c1"}}, out: "c1", in: "n",
		},
		"another daemon at its address, but still responding": {
			replicas: []string{"a1", "b1", "c1"}, daemons: successor,
			health: fakeHealth{ready: []string{"n"}},
		},
		"terminating": {
			replicas: []string{"a1", "b1", "c1"}, daemons: controlDaemons("a1", "b1", "c1", "c2"),
			health: fakeHealth{ready: []string{"c2"}, terminating: []string{"c1"}}, out: "c1", in: "c2",
		},
		"terminating, and no learner": {
			replicas: []string{"a1", "b1", "c1"}, daemons: controlDaemons("a1", "b1", "c1"),
			health: fakeHealth{terminating: []string{"c1"}},
		},
		"the leader itself terminating": {
			replicas: []string{"a1", "b1", "c1"}, daemons: controlDaemons("a1", "b1", "c1", "c2"),
			health: fakeHealth{ready: []string{"c2"}, terminating: []string{"a1"}},
		},
		"lost replaced before terminating": {
			replicas: []string{"a1", "b1", "c1"}, daemons: controlDaemons("a1", "b1", "c2"),
			health: fakeHealth{
				ready: []string{"c2"}, terminating: []string{"b1"}, lost: []string{"c1"},
			}, out: "c1", in: "c2",
		},
		"terminating, another silent": {
			replicas: []string{"a1", "b1", "c1"}, daemons: controlDaemons("a1", "b1", "c2"),
			health: fakeHealth{ready: []string{"c2"}, terminating: []string{"b1"}, silent: []string{"c1"}},
		},
		"terminating, another missing": {
			replicas: []string{"a1", "b1", "c1"}, daemons: controlDaemons("a1", "b1", "c2"),
			health: fakeHealth{
				ready: []string{"c2"}, terminating: []string{"b1"}, missing: []string{"c1"},
			}, out: "c1", in: "c2",
		},
		"terminating, and missing": {
			replicas: []string{"a1", "b1", "c1"}, daemons: controlDaemons("a1", "b1", "c1", "c2"),
			health: fakeHealth{
				ready: []string{"c2"}, terminating: []string{"c1"}, missing: []string{"c1"},
			}, out: "c1", in: "c2",
		},
		"the zone with the fewest replicas": {
			replicas: []string{"a1", "a2", "b1", "b2", "c1"}, daemons: controlDaemons("a1", "a2", "a3", "b1", "b2", "b3", "c2"),
			health: fakeHealth{ready: []string{"a3", "b3", "c2"}, lost: []string{"c1"}}, out: "c1", in: "c2",
		},
		"a majority in one zone": {
			replicas: []string{"a1", "b1", "b2"}, daemons: controlDaemons("a1", "b1", "b2", "c1"),
			health: fakeHealth{ready: []string{"c1"}}, out: "b1", in: "c1",
		},
		"a majority in one zone, and no learner elsewhere": {
			replicas: []string{"a1", "b1", "b2"}, daemons: controlDaemons("a1", "b1", "b2", "a2", "b3"),
			health: fakeHealth{ready: []string{"a2", "b3"}},
		},
		"an operator's request": {
			replicas: []string{"a1", "b1", "c1"}, daemons: controlDaemons("a1", "b1", "c1", "c2"),
			health: fakeHealth{ready: []string{"c2"}}, desired: []string{"a1", "b1", "c2"}, out: "c1", in: "c2",
		},
		"an operator's request, and its learner not ready": {
			replicas: []string{"a1", "b1", "c1"}, daemons: controlDaemons("a1", "b1", "c1", "c2"),
			desired: []string{"a1", "b1", "c2"},
		},
		"an operator's request that differs in two replicas": {
			replicas: []string{"a1", "b1", "c1"}, daemons: controlDaemons("a1", "b1", "c1", "c2", "b2"),
			health: fakeHealth{ready: []string{"c2", "b2"}}, desired: []string{"a1", "b2", "c2"},
		},
		"an operator's request to replace the leader's replica": {
			replicas: []string{"a1", "b1", "c1"}, daemons: controlDaemons("a1", "b1", "c1", "a2"),
			health: fakeHealth{ready: []string{"a2"}}, desired: []string{"a2", "b1", "c1"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			choice := replicaChoice{
				health: test.health, group: message.Group{Number: 1, Replicas: replicasOf(test.replicas...)},
				controlDaemons: test.daemons, desired: replicasOf(test.desired...), self: "a1",
			}
			leaving, joining := choice.nextChange()
			if joining.Ident != test.in || test.in != "" && leaving != test.out {
				t.Errorf("%q is replaced by %q, expected %q by %q", leaving, joining.Ident, test.out, test.in)
			}
		})
	}
}
