package roster

import (
	"hash/fnv"
	"slices"
	"sort"
	"strings"
	"time"

	"mulleinmast/wire/form"
)

// founding is how a new fleet gets its first group. The founder is the lowest
// seed that is still in its first life; it may lack a disk. When every seed
// answers, nobody knows of a group and the disks known to the seeds have been
// the same for a session, it proposes seats. A seed binds itself to the first
// proposal it hears of, for life; once all are bound, the seats are told. So a
// founder that comes after one that failed can only go on with the same seats.
type founding struct {
	round    uint64               // no two lives share one
	replies  map[string]form.Note // the latest of each seed
	proposed bool                 // bound is proposed
	set      string               // the disks seen last
	since    time.Duration        // and for how long
	bound    []form.Seat
	own      bool // bound is our own proposal
	told     bool // the seats are told, until an owner is known
}

// late is the number of rounds after which a reply no longer counts.
const late = 3

// firstLife marks a Count of a seed that has not restarted.
const firstLife = "first"

// fresh tells whether this daemon knows of no group, of its own or another's.
func (r *Roster) fresh() bool {
	return !r.Formed && len(r.owns) == 0 && (!r.me.Disk || r.me.Empty)
}

// meet keeps the address of a control daemon; it tells whether it is new here.
func (r *Roster) meet(m form.Member) bool {
	if !m.Disk || m.Addr == "" || m.Addr == r.me.Addr || len(r.other) >= 64 || slices.Contains(r.other, m.Addr) {
		return false
	}
	r.Know(m.Addr)
	return true
}

// refer names the control daemons known here to one that can't find any: a
// seed without a disk holds no session, but knows who can.
func (r *Roster) refer(to form.Member, o *Out) {
	if list := r.disks(); len(list) > 0 {
		o.Sends = append(o.Sends, form.Send{Addr: to.Addr, Note: form.Note{Kind: form.Welcome, Op: refer, Members: list}})
	}
}

// kept is a digest of the control daemons known here.
func (r *Roster) kept() uint64 {
	h := fnv.New64a()
	for _, m := range r.disks() {
		_, _ = h.Write([]byte(m.Addr + " "))
	}
	return h.Sum64()
}

// disks lists the members with a disk that are known here, by address.
func (r *Roster) disks() (out []form.Member) {
	list := r.view
	if !r.me.Disk && !r.live {
		list = nil
		for _, h := range r.heard {
			list = append(list, h.list...)
		}
	}
	for _, m := range list {
		if m.Disk {
			out = append(out, m)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Addr < out[j].Addr })
	return out
}

// found takes a seed one step further towards the first group.
func (r *Roster) found(now time.Duration, o *Out) {
	f := &r.founding
	if len(r.owns) > 0 || !slices.Contains(r.seeds, r.me.Addr) || !r.cfg.First {
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
		if (form.Group{Seats: f.bound}).Has(r.me.Ident) {
			o.Found = f.bound
		}
		return
	}
	if f.round++; f.replies == nil {
		f.replies, f.round = map[string]form.Note{}, weight(int(r.me.Epoch), r.me.Ident)>>1
	}
	for _, a := range r.seeds {
		if a != r.me.Addr {
			n := form.Note{Kind: form.Census, No: f.round, Self: r.me}
			if f.proposed {
				n.Group = form.Group{Num: 1, Seats: f.bound}
			}
			o.Sends = append(o.Sends, form.Send{Addr: a, Note: n})
		}
	}
}

func (r *Roster) tell(o *Out) {
	for _, s := range r.founding.bound {
		if s.Ident != r.me.Ident {
			o.Sends = append(o.Sends, form.Send{Addr: s.Addr, Note: form.Note{Kind: form.Found, To: s.Ident, Group: form.Group{Num: 1, Seats: r.founding.bound}}})
		}
	}
}

// agreed looks at the replies to the last round: it proposes seats when the
// time has come, and says so when every seed is bound to them.
func (r *Roster) agreed(now time.Duration) bool {
	f := &r.founding
	calm, bound := true, true
	disks := map[string]form.Member{}
	put := func(list []form.Member) {
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
		n, ok := f.replies[a]
		if !ok || n.Ref+late <= f.round || !n.Self.Empty || n.Op == firstLife && a < r.me.Addr {
			calm = false // silent, or knows of a group, or is itself the founder
			continue
		}
		put(n.Members)
		if n.Op == firstLife && !slices.Equal(n.Group.Seats, f.bound) {
			bound = false
			if n.Group.Num > 0 && (f.bound == nil || f.own) { // an earlier founder's
				f.bound, f.own = n.Group.Seats, false
			}
		}
	}
	if !calm {
		f.set, f.proposed = "", false
		return false
	}
	set := make([]string, 0, len(disks))
	list := make([]form.Member, 0, len(disks))
	for _, m := range disks {
		set, list = append(set, m.Ident), append(list, m)
	}
	slices.Sort(set)
	if s := strings.Join(set, " "); s != f.set {
		f.set, f.since, f.proposed = s, now, false
		return false
	}
	if want := 2*r.cfg.Losses + 1; now-f.since < r.cfg.Session || len(list) < want && f.bound == nil {
		return false
	} else if f.bound == nil {
		f.bound, f.own = Spread(list, r.seeds, want), true
	}
	f.proposed = true
	return bound // a seed that has restarted is bound by nothing: it can be no founder
}

// counted replies to a census, and binds a seed to the founding it proposes.
func (r *Roster) counted(n form.Note, o *Out) {
	f := &r.founding
	me := r.me
	me.Empty = r.fresh()
	rep := form.Note{Kind: form.Count, Ref: n.No, Self: me, Members: r.disks()}
	if r.cfg.First {
		rep.Op = firstLife
		if f.bound == nil && n.Group.Num > 0 && r.fresh() && slices.Contains(r.seeds, n.Addr) && r.knows(n.Group.Seats) {
			f.bound = n.Group.Seats
		}
		if f.bound != nil {
			rep.Group = form.Group{Num: 1, Seats: f.bound}
		}
	}
	o.Sends = append(o.Sends, form.Send{Addr: n.Addr, Note: rep})
}

// knows tells whether all these seats are disks known here.
func (r *Roster) knows(seats []form.Seat) bool {
	list := r.disks()
	for _, s := range seats {
		if !slices.ContainsFunc(list, func(m form.Member) bool { return m.Ident == s.Ident }) {
			return false
		}
	}
	return len(seats) > 0
}

func (r *Roster) count(n form.Note) {
	if f := &r.founding; f.replies != nil && n.Ref <= f.round && n.Ref+late > f.round && slices.Contains(r.seeds, n.Addr) {
		f.replies[n.Addr] = n
	}
}

// Spread picks n seats over the cells: round-robin over the cells in the order
// of their lowest addresses, within a cell the seeds first. No cell gets a
// majority of the seats if the others have enough disks to fill the rest.
//
// Example: seats := roster.Spread(disks, seeds, 3)
func Spread(list []form.Member, seeds []string, n int) []form.Seat {
	list = slices.Clone(list)
	sort.Slice(list, func(i, j int) bool { return list[i].Addr < list[j].Addr })
	var cells []string
	in := map[string][]form.Member{}
	for _, m := range list {
		if in[m.Cell] == nil {
			cells = append(cells, m.Cell)
		}
		in[m.Cell] = append(in[m.Cell], m)
	}
	for _, l := range in {
		slices.SortStableFunc(l, func(a, b form.Member) int {
			return rank(seeds, a.Addr) - rank(seeds, b.Addr)
		})
	}
	var out []form.Seat
	for most := n / 2; len(out) < min(n, len(list)); most = n { // the second time without the bound
		out = nil
		for i := 0; i < most; i++ {
			for _, c := range cells {
				if i < len(in[c]) && len(out) < n {
					out = append(out, form.Seat{Ident: in[c][i].Ident, Addr: in[c][i].Addr})
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
