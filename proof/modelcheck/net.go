package modelcheck

import (
	"fmt"
	"slices"
	"time"

	"mulleinmast/control/partition"
	"mulleinmast/wire/message"
)

// emit puts a message on the line, unless that is cut.
func (w *world) emit(from int, m message.Envelope) {
	d := w.daemons[from]
	m.Message.From, m.Message.Epoch, m.Message.Addr = d.self.Ident, d.epoch, d.self.Addr
	for to, o := range w.daemons { // where two bear one identity each hears what is meant for either
		if o.self.Ident != m.Message.To || slices.Contains(w.cuts, [2]int{from, to}) {
			continue
		}
		for _, n := range w.setup.Plant.message(w, to, m.Message) {
			w.packets = append(w.packets, packet{from: from, to: to, message: n, hash: packetSum(from, to, n)})
		}
	}
}

// deliver takes a message off the line and hands it to its daemon, if that is
// still the one it was meant for.
func (w *world) deliver(k int) {
	p := w.packets[k]
	w.packets = slices.Delete(w.packets, k, k+1)
	if d := w.daemons[p.to]; d.isUp && d.self.Ident == p.message.To {
		w.do(p.to, func(d *daemon, now time.Duration) partition.Out { return d.partition.Step(now, p.message) })
	}
}

// head is the message that arrives next if nothing goes wrong, or -1.
func (w *world) head() int {
	return slices.IndexFunc(w.packets, func(p packet) bool { return !p.isHeld })
}

func (w *world) show(p packet) string {
	n := p.message
	extra := ""
	if n.Op != "" {
		extra = " " + n.Op
	}
	if n.Group.Number > 0 {
		extra += fmt.Sprintf(" group %d %s", n.Group.Number, names(n.Group))
	}
	if len(n.Records) > 0 {
		extra += fmt.Sprintf(" %q", n.Records[0].Value)
	}
	return fmt.Sprintf("%s#%d -> %s: %s term %d%s", n.From, n.Epoch, n.To, n.Kind, n.Term, extra)
}

func names(g message.Group) (s string) {
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
