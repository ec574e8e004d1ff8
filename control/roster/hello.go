package roster

import (
	"slices"
	"time"

	"mulleinmast/wire/form"
)

// hello renews the session at the control daemon that has it; when that is
// silent or cut off from most others, or there is none yet, it asks several at
// once.
func (r *Roster) hello(now time.Duration, o *Out) {
	list := r.controls()
	if now-r.backAt <= r.cfg.Session/2 && slices.Contains(list, r.home) && !r.alone {
		list = []string{r.home}
	}
	for range min(wide, len(list)) {
		r.ctl++
		r.greet(list[r.ctl%len(list)], o)
	}
}

func (r *Roster) greet(addr string, o *Out) {
	o.Sends = append(o.Sends, form.Send{Addr: addr, Note: form.Note{Kind: form.Hello, Self: r.me, Num: r.print(), Set: digest(nil, r.known()), Op: differ}})
}

// near is the number of control daemons that this one heard of just now, and
// itself.
func (r *Roster) near(now time.Duration) int64 {
	n := int64(1)
	for _, h := range r.heard {
		if now-h.at <= r.cfg.Session {
			n++
		}
	}
	return n
}
