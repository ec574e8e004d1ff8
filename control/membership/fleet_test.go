package membership

import (
	"fmt"
	"time"

	"mulleinmast/wire/message"
)

// smallFleet runs the tables of a fleet. It delivers messages immediately, except between control
// daemons on different sides of a network partition, where it drops them.
type smallFleet struct {
	cfg         Config
	now         time.Duration
	tables      map[string]*Table // by address; nil: the machine is down
	members     map[string]message.Member
	isCutOff    map[string]bool                 // control daemons on one side of the partition, by address
	leaderships map[string][]message.Leadership // claimed leaderships by address
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

// setLeader makes one control daemon, and no other, claim partition 0.
func (f *smallFleet) setLeader(addr string, term uint64) {
	clear(f.leaderships)
	f.leaderships[addr] = []message.Leadership{{Partition: 0, Term: term, Leader: f.members[addr].Replica()}}
}

// isDropped reports whether the network partition separates two daemons. It separates only control
// daemons; daemons without a disk reach all others.
func (f *smallFleet) isDropped(a, b string) bool {
	return f.members[a].HasDisk && f.members[b].HasDisk && f.isCutOff[a] != f.isCutOff[b]
}

func (f *smallFleet) send(from message.Member, sends []message.Envelope) {
	for _, s := range sends {
		to := f.tables[s.Addr]
		if to == nil || f.isDropped(from.Addr, s.Addr) {
			continue
		}
		s.Message.From, s.Message.Addr = from.Ident, from.Addr
		f.send(f.members[s.Addr], to.Step(f.now, s.Message).Sends)
	}
}

func (f *smallFleet) advance(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += f.cfg.HeartbeatInterval / 4 {
		for i := 1; i <= len(f.members); i++ {
			addr := addrOf(i)
			if table := f.tables[addr]; table != nil {
				f.send(f.members[addr], table.Tick(f.now, f.members[addr], f.leaderships[addr]).Sends)
			}
		}
	}
}

// addrOf returns the address of the i-th daemon, counted from 1.
func addrOf(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

// controlDaemons returns the first count daemons as control daemons with the identities a, b and so on.
func controlDaemons(count int) (members []message.Member) {
	for i := 1; i <= count; i++ {
		members = append(members, diskMember(string(rune('a'+i-1)), addrOf(i)))
	}
	return members
}
