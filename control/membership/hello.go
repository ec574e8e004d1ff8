package membership

import (
	"slices"
	"time"

	"mulleinmast/wire/message"
)

// hello renews the session at the control daemon that has it; when that is
// silent or cut off from most others, or there is none yet, it asks several at
// once.
func (r *Table) hello(now time.Duration, o *Out) {
	list := r.controls()
	if !r.live {
		list = append(list, r.astray()...)
	}
	if now-r.backAt <= r.cfg.SessionTimeout/2 && slices.Contains(list, r.home) && !r.alone {
		list = []string{r.home}
	}
	for range min(wide, len(list)) {
		r.ctl++
		r.greet(list[r.ctl%len(list)], o)
	}
}

func (r *Table) greet(addr string, o *Out) {
	o.Sends = append(o.Sends, message.Envelope{Addr: addr, Message: message.Message{Kind: message.KindHello, Self: r.me, Term: r.print(), LastComplete: digest(nil, r.known()), Op: differ}})
}

// near is the number of control daemons that this one heard of just now, and
// itself.
func (r *Table) near(now time.Duration) int64 {
	n := int64(1)
	for _, h := range r.heard {
		if now-h.at <= r.cfg.SessionTimeout {
			n++
		}
	}
	return n
}
