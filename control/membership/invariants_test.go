package membership

import (
	"testing"

	"mulleinmast/wire/message"
)

// Claims by two leaders in one term count as a violation of the invariant.
func TestTwoLeadersInOneTermAreCounted(t *testing.T) {
	table := &Table{leaderships: map[int]message.Leadership{}}
	claim := func(term uint64, ident string) message.Leadership {
		return message.Leadership{Partition: 3, Term: term, Leader: message.Replica{Ident: ident}}
	}
	for _, c := range []message.Leadership{claim(4, "a"), claim(4, "a"), claim(5, "b"), claim(4, "a")} {
		table.learnLeadership(c)
	}
	before := oneLeaderPerTerm.Count()
	if table.learnLeadership(claim(5, "a")); oneLeaderPerTerm.Count() != before+1 {
		t.Errorf("%d violations counted, expected 1", oneLeaderPerTerm.Count()-before)
	}
	oneLeaderPerTerm.Discount(1)
}
