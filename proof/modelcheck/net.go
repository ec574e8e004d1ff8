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
	m.Message.From, m.Message.Epoch, m.Message.Addr = d.me.Ident, d.epoch, d.me.Addr
	for to, o := range w.daemons { // where two bear one identity each hears what is meant for either
		if o.me.Ident != m.Message.To || slices.Contains(w.cut, [2]int{from, to}) {
			continue
		}
		for _, n := range w.setup.Plant.message(w, to, m.Message) {
			w.net = append(w.net, packet{from: from, to: to, note: n, sum: packetSum(from, to, n)})
		}
	}
}

// deliver takes a message off the line and hands it to its daemon, if that is
// still the one it was meant for.
func (w *world) deliver(k int) {
	p := w.net[k]
	w.net = slices.Delete(w.net, k, k+1)
	if d := w.daemons[p.to]; d.up && d.me.Ident == p.note.To {
		w.do(p.to, func(d *daemon, now time.Duration) partition.Out { return d.sec.Step(now, p.note) })
	}
}

// head is the message that arrives next if nothing goes wrong, or -1.
func (w *world) head() int {
	return slices.IndexFunc(w.net, func(p packet) bool { return !p.held })
}

func (w *world) show(p packet) string {
	n := p.note
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
