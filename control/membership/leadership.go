package membership

import (
	"cmp"
	"maps"
	"slices"

	"mulleinmast/wire/message"
)

// learnLeaderships records several leadership claims.
func (t *Table) learnLeaderships(claims []message.Leadership) {
	for _, claim := range claims {
		t.learnLeadership(claim)
	}
}

// learnLeadership records a leadership claim if its term is higher than that of the known
// leadership.
func (t *Table) learnLeadership(claim message.Leadership) {
	known := t.leaderships[claim.Partition]
	oneLeaderPerTerm.Hold(claim.Term == 0 || known.Term != claim.Term || known.Leader.Ident == claim.Leader.Ident,
		"partition %d, term %d: %s and %s", claim.Partition, claim.Term, known.Leader.Ident, claim.Leader.Ident)
	if claim.Term > known.Term {
		t.leaderships[claim.Partition] = claim
	}
}

// knownLeaderships returns the known leaderships, sorted by partition.
func (t *Table) knownLeaderships() []message.Leadership {
	list := make([]message.Leadership, 0, len(t.leaderships))
	list = slices.AppendSeq(list, maps.Values(t.leaderships))
	slices.SortFunc(list, func(a, b message.Leadership) int { return cmp.Compare(a.Partition, b.Partition) })
	return list
}
