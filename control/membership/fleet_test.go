package membership

import (
	"fmt"
	"time"

	"mulleinmast/wire/message"
)

// smallFleet runs tables whose messages arrive at once, but for those between control
// daemons on two sides of a cut.
type smallFleet struct {
	cfg         Config
	now         time.Duration
	tables      map[string]*Table // by address; nil: its machine is lost
	members     map[string]message.Member
	isCutOff    map[string]bool                 // addresses of control daemons
	leaderships map[string][]message.Leadership // address -> those that it claims
}

func newSmallFleet(cfg Config, seeds func(i int) []string, members ...message.Member) *smallFleet {
	f := &smallFleet{
		cfg: cfg, tables: map[string]*Table{}, members: map[string]message.Member{},
		isCutOff: map[string]bool{}, leaderships: map[string][]message.Leadership{},
	}
	for i, m := range members {
		f.join(m, seeds(i))
	}
	return f
}

func (f *smallFleet) join(m message.Member, seeds []string) {
	f.tables[m.Addr], f.members[m.Addr] = New(f.cfg, m, seeds), m
}

// lead has one control daemon, and no other, claim partition 0.
func (f *smallFleet) lead(addr string, term uint64) {
	clear(f.leaderships)
	f.leaderships[addr] = []message.Leadership{{Partition: 0, Term: term, Leader: f.members[addr].Replica()}}
}

// isDropped tells whether the cut lies between two daemons. It is within the control
// daemons: the others reach all.
func (f *smallFleet) isDropped(a, b string) bool {
	return f.members[a].HasDisk && f.members[b].HasDisk && f.isCutOff[a] != f.isCutOff[b]
}

func (f *smallFleet) carry(from message.Member, sends []message.Envelope) {
	for _, s := range sends {
		to := f.tables[s.Addr]
		if to == nil || f.isDropped(from.Addr, s.Addr) {
			continue
		}
		s.Message.From, s.Message.Addr = from.Ident, from.Addr
		f.carry(f.members[s.Addr], to.Step(f.now, s.Message).Sends)
	}
}

func (f *smallFleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += f.cfg.HeartbeatInterval / 4 {
		for i := 1; i <= len(f.members); i++ {
			addr := addrOf(i)
			if table := f.tables[addr]; table != nil {
				f.carry(f.members[addr], table.Tick(f.now, f.members[addr], f.leaderships[addr]).Sends)
			}
		}
	}
}

// addrOf is the address of the daemon of a number, from 1.
func addrOf(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

// controlDaemons are the first daemons, named by the letters.
func controlDaemons(count int) (members []message.Member) {
	for i := 1; i <= count; i++ {
		members = append(members, disk(string(rune('a'+i-1)), addrOf(i)))
	}
	return members
}
