package membership

import (
	"hash/fnv"
	"slices"
	"sort"
	"strings"
	"time"

	"mulleinmast/wire/message"
)

// founding is how a new fleet gets its first group. The founder is the lowest
// seed that is still in its first life; it may lack a disk. When every seed
// answers, nobody knows of a group and the disks known to the seeds have been
// the same for a session, it proposes replicas. A seed binds itself to the first
// proposal it hears of, for life; once all are bound, the replicas are told. So a
// founder that comes after one that failed can only go on with the same replicas.
type founding struct {
	round     uint64                     // no two lives share one
	responses map[string]message.Message // the latest of each seed
	proposed  bool                       // bound is proposed
	set       string                     // the disks seen last
	since     time.Duration              // and for how long
	bound     []message.Replica
	own       bool // bound is our own proposal
	told      bool // the replicas are told, until a leader is known
}

// late is the number of rounds after which an answer no longer counts.
const late = 3

// firstLife marks a Count of a seed that has not restarted.
const firstLife = "first"

// fresh tells whether this daemon knows of no group, of its own or another's.
func (r *Table) fresh() bool {
	return !r.Formed && len(r.owns) == 0 && (!r.me.HasDisk || r.me.Empty)
}

// meet keeps the address of a control daemon; it tells whether it is new here.
func (r *Table) meet(m message.Member) bool {
	if !m.HasDisk || m.Addr == "" || m.Addr == r.me.Addr || len(r.other) >= 64 || slices.Contains(r.other, m.Addr) {
		return false
	}
	r.AddControlAddrs(m.Addr)
	return true
}

// refer names the control daemons known here to one that can't find any: a
// seed without a disk holds no session, but knows who can.
func (r *Table) refer(to message.Member, o *Out) {
	if list := r.disks(); len(list) > 0 {
		o.Sends = append(o.Sends, message.Envelope{Addr: to.Addr, Message: message.Message{Kind: message.KindWelcome, Op: refer, Members: list}})
	}
}

// kept is a digest of the control daemons known here.
func (r *Table) kept() uint64 {
	h := fnv.New64a()
	for _, m := range r.disks() {
		_, _ = h.Write([]byte(m.Addr + " "))
	}
	return h.Sum64()
}

// disks lists the members with a disk that are known here, by address.
func (r *Table) disks() (out []message.Member) {
	list := r.view
	if !r.me.HasDisk && !r.live {
		list = nil
		for _, h := range r.heard {
			list = append(list, h.list...)
		}
	}
	for _, m := range list {
		if m.HasDisk {
			out = append(out, m)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Addr < out[j].Addr })
	return out
}

// found takes a seed one step further towards the first group.
func (r *Table) found(now time.Duration, o *Out) {
	f := &r.founding
	if len(r.owns) > 0 || !slices.Contains(r.seeds, r.me.Addr) || !r.cfg.FirstStart {
		return
	}
	if f.told {
		r.tell(o)
		return
	}
	if !r.fresh() {
		return
	}
	if r.agreed(now) {
		f.told, r.Formed = true, true
		r.tell(o)
		if (message.Group{Replicas: f.bound}).Has(r.me.Ident) {
			o.Bootstrap = f.bound
		}
		return
	}
	if f.round++; f.responses == nil {
		f.responses, f.round = map[string]message.Message{}, weight(int(r.me.Epoch), r.me.Ident)>>1
	}
	for _, a := range r.seeds {
		if a != r.me.Addr {
			n := message.Message{Kind: message.KindCensus, RequestID: f.round, Self: r.me}
			if f.proposed {
				n.Group = message.Group{Number: 1, Replicas: f.bound}
			}
			o.Sends = append(o.Sends, message.Envelope{Addr: a, Message: n})
		}
	}
}

func (r *Table) tell(o *Out) {
	for _, s := range r.founding.bound {
		if s.Ident != r.me.Ident {
			o.Sends = append(o.Sends, message.Envelope{Addr: s.Addr, Message: message.Message{Kind: message.KindBootstrap, To: s.Ident, Group: message.Group{Number: 1, Replicas: r.founding.bound}}})
		}
	}
}

// agreed looks at the answers to the last round: it proposes replicas when the
// time has come, and says so when every seed is bound to them.
func (r *Table) agreed(now time.Duration) bool {
	f := &r.founding
	calm, bound := true, true
	disks := map[string]message.Member{}
	put := func(list []message.Member) {
		for _, m := range list {
			if old, ok := disks[m.Addr]; ok && (old.Ident != m.Ident || old.Epoch != m.Epoch) || !m.Empty {
				calm = false
			}
			disks[m.Addr] = m
		}
	}
	put(r.disks())
	for _, a := range r.seeds {
		if a == r.me.Addr {
			continue
		}
		n, ok := f.responses[a]
		if !ok || n.ResponseTo+late <= f.round || !n.Self.Empty || n.Op == firstLife && a < r.me.Addr {
			calm = false // silent, or knows of a group, or is itself the founder
			continue
		}
		put(n.Members)
		if n.Op == firstLife && !slices.Equal(n.Group.Replicas, f.bound) {
			bound = false
			if n.Group.Number > 0 && (f.bound == nil || f.own) { // an earlier founder's
				f.bound, f.own = n.Group.Replicas, false
			}
		}
	}
	if !calm {
		f.set, f.proposed = "", false
		return false
	}
	set := make([]string, 0, len(disks))
	list := make([]message.Member, 0, len(disks))
	for _, m := range disks {
		set, list = append(set, m.Ident), append(list, m)
	}
	slices.Sort(set)
	if s := strings.Join(set, " "); s != f.set {
		f.set, f.since, f.proposed = s, now, false
		return false
	}
	if want := 2*r.cfg.ToleratedLosses + 1; now-f.since < r.cfg.SessionTimeout || len(list) < want && f.bound == nil {
		return false
	} else if f.bound == nil {
		f.bound, f.own = Spread(list, r.seeds, want), true
	}
	f.proposed = true
	return bound // a seed that has restarted is bound by nothing: it can be no founder
}

// counted answers to a census, and binds a seed to the founding it proposes.
func (r *Table) counted(n message.Message, o *Out) {
	f := &r.founding
	me := r.me
	me.Empty = r.fresh()
	rep := message.Message{Kind: message.KindCensusAnswer, ResponseTo: n.RequestID, Self: me, Members: r.disks()}
	if r.cfg.FirstStart {
		rep.Op = firstLife
		if f.bound == nil && n.Group.Number > 0 && r.fresh() && slices.Contains(r.seeds, n.Addr) && r.knows(n.Group.Replicas) {
			f.bound = n.Group.Replicas
		}
		if f.bound != nil {
			rep.Group = message.Group{Number: 1, Replicas: f.bound}
		}
	}
	o.Sends = append(o.Sends, message.Envelope{Addr: n.Addr, Message: rep})
}

// knows tells whether all these replicas are disks known here.
func (r *Table) knows(replicas []message.Replica) bool {
	list := r.disks()
	for _, s := range replicas {
		if !slices.ContainsFunc(list, func(m message.Member) bool { return m.Ident == s.Ident }) {
			return false
		}
	}
	return len(replicas) > 0
}

func (r *Table) count(n message.Message) {
	if f := &r.founding; f.responses != nil && n.ResponseTo <= f.round && n.ResponseTo+late > f.round && slices.Contains(r.seeds, n.Addr) {
		f.responses[n.Addr] = n
	}
}

// Spread picks n replicas over the zones: round-robin over the zones in the order
// of their lowest addresses, within a zone the seeds first. No zone gets a
// majority of the replicas if the others have enough disks to fill the rest.
//
// Example: replicas := membership.Spread(disks, seeds, 3)
func Spread(list []message.Member, seeds []string, n int) []message.Replica {
	list = slices.Clone(list)
	sort.Slice(list, func(i, j int) bool { return list[i].Addr < list[j].Addr })
	var zones []string
	in := map[string][]message.Member{}
	for _, m := range list {
		if in[m.Zone] == nil {
			zones = append(zones, m.Zone)
		}
		in[m.Zone] = append(in[m.Zone], m)
	}
	for _, l := range in {
		slices.SortStableFunc(l, func(a, b message.Member) int {
			return rank(seeds, a.Addr) - rank(seeds, b.Addr)
		})
	}
	var out []message.Replica
	for most := n / 2; len(out) < min(n, len(list)); most = n { // the second time without the bound
		out = nil
		for i := 0; i < most; i++ {
			for _, c := range zones {
				if i < len(in[c]) && len(out) < n {
					out = append(out, message.Replica{Ident: in[c][i].Ident, Addr: in[c][i].Addr})
				}
			}
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Addr < out[j].Addr })
	return out
}

func rank(seeds []string, addr string) int {
	if slices.Contains(seeds, addr) {
		return 0
	}
	return 1
}
