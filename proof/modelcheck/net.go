package modelcheck

import (
	"fmt"
	"slices"
	"time"

	"mulleinmast/control/partition"
	"mulleinmast/wire/message"
)

// send puts a message in flight, unless the link is cut.
func (w *world) send(from int, m message.Envelope) {
	d := w.daemons[from]
	m.Message.From, m.Message.Epoch, m.Message.Addr = d.self.Ident, d.epoch, d.self.Addr
	for to, o := range w.daemons { // daemons with the same identity each receive it
		if o.self.Ident != m.Message.To || slices.Contains(w.cuts, [2]int{from, to}) {
			continue
		}
		for _, n := range w.setup.Fault.message(w, to, m.Message) {
			w.packets = append(w.packets, packet{from: from, to: to, message: n, hash: packetSum(from, to, n)})
		}
	}
}

// deliver removes a message in flight and passes it to its receiver, if that is running and
// still has the identity to which it was sent.
func (w *world) deliver(k int) {
	p := w.packets[k]
	w.packets = slices.Delete(w.packets, k, k+1)
	if d := w.daemons[p.to]; d.isUp && d.self.Ident == p.message.To {
		w.input(p.to, func(d *daemon, now time.Duration) partition.Out { return d.partition.Step(now, p.message) })
	}
}

// nextPacket returns the index of the message that arrives next without faults, or -1.
func (w *world) nextPacket() int {
	return slices.IndexFunc(w.packets, func(p packet) bool { return !p.isDelayed })
}

// describe returns a message as a line of a trace.
func (w *world) describe(p packet) string {
	n := p.message
	extra := ""
	if n.Op != "" {
		extra = " " + n.Op
	}
	if n.Group.Number > 0 {
		extra += fmt.Sprintf(" group %d %s", n.Group.Number, groupNames(n.Group))
	}
	if len(n.Records) > 0 {
		extra += fmt.Sprintf(" %q", n.Records[0].Value)
	}
	return fmt.Sprintf("%s#%d -> %s: %s term %d%s", n.From, n.Epoch, n.To, n.Kind, n.Term, extra)
}

// groupNames returns the identities in a group; those of the next group follow a bar.
func groupNames(g message.Group) (s string) {
	for _, x := range g.Replicas {
		s += x.Ident
	}
	for i, x := range g.Next {
		if i == 0 {
			s += "|"
		}
		s += x.Ident
	}
	return s
}
