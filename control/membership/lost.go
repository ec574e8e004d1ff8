package membership

import (
	"cmp"
	"slices"
	"time"

	"mulleinmast/wire/message"
)

// A daemon that is cut off loses the others from its view within a session, and
// the seeds and the groups that it knows may be of long ago. So control daemons
// that were in the view are remembered for a while: they are called now and
// then, named to who has its session here, and told to callers who are to go on.

const (
	remember = 100 // sessions
	seldom   = 4   // beats between two calls to a daemon that is lost
	mostLost = 8
	together = 2 // sessions within which those are lost that one cut takes away
)

// LostDaemon is a control daemon that the view had, and when it went.
type LostDaemon struct {
	message.Member
	At time.Duration
}

// miss notes what a new view lacks.
func (r *Table) miss(next []message.Member) {
	here := map[string]bool{r.me.Addr: true}
	for _, m := range next {
		here[m.Addr] = true
		delete(r.lost, m.Addr)
	}
	for _, m := range r.view {
		if m.HasDisk && !here[m.Addr] {
			r.lost[m.Addr] = LostDaemon{m, r.now}
		}
	}
}

// forget drops what was lost long ago, and the longest lost beyond a number.
func (r *Table) forget() {
	list := r.missed()
	for i, l := range list {
		if i >= mostLost || r.now-l.At > remember*r.cfg.SessionTimeout {
			delete(r.lost, l.Addr)
		}
	}
}

// missed lists the lost, the last ones first.
func (r *Table) missed() []LostDaemon {
	if len(r.lost) == 0 {
		return nil
	}
	out := make([]LostDaemon, 0, len(r.lost))
	for _, l := range r.lost {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b LostDaemon) int { return cmp.Or(cmp.Compare(b.At, a.At), cmp.Compare(a.Addr, b.Addr)) })
	return out
}

// astray lists the addresses of the lost that nothing else names.
func (r *Table) astray() (out []string) {
	known := r.controls()
	for _, l := range r.missed() {
		if !slices.Contains(known, l.Addr) {
			out = append(out, l.Addr)
		}
	}
	return out
}

// cutOff tells whether this control daemon hears of too few others for any
// group's majority.
func (r *Table) cutOff(now time.Duration) bool {
	return len(r.lost) > 0 && r.near(now) <= int64(r.cfg.ToleratedLosses)
}

// PartitionedFrom lists the control daemons that were lost last, together.
//
// Example: for _, l := range view.PartitionedFrom() { sendOnTo(l.Addr) }
func (v *View) PartitionedFrom() []LostDaemon {
	n := 0
	for n < len(v.Lost) && v.Lost[n].At >= v.Lost[0].At-v.torn {
		n++
	}
	return v.Lost[:n]
}

// strand names the lost to a daemon that may know nobody else.
func (r *Table) strand(to message.Member, o *Out) {
	n := message.Message{Kind: message.KindWelcome, Op: refer}
	for _, l := range r.View().PartitionedFrom() {
		n.Members = append(n.Members, l.Member)
	}
	o.Sends = append(o.Sends, message.Envelope{Addr: to.Addr, Message: n})
}
