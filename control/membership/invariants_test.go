package membership

import (
	"testing"

	"mulleinmast/wire/message"
)

// Two leaders of one term are counted, whoever tells of them.
func TestTwoLeadersOfATermAreCounted(t *testing.T) {
	table := &Table{leaderships: map[int]message.Leadership{}}
	own := func(term uint64, ident string) message.Leadership {
		return message.Leadership{Partition: 3, Term: term, Leader: message.Replica{Ident: ident}}
	}
	for _, o := range []message.Leadership{own(4, "a"), own(4, "a"), own(5, "b"), own(4, "a")} {
		table.learnLeadership(o)
	}
	before := oneLeader.Count()
	if table.learnLeadership(own(5, "a")); oneLeader.Count() != before+1 {
		t.Errorf("%d counted", oneLeader.Count()-before)
	}
	oneLeader.Discount(1)
}
