package hollow

import (
	"fmt"
	"time"

	"mulleinmast/control/daemon"
	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leadercall"
	"mulleinmast/control/placement"
	"mulleinmast/traffic/board"
	"mulleinmast/traffic/forward"
	"mulleinmast/traffic/gateway"
	"mulleinmast/wire/message"
)

// records are the records of one model, under leases that last.
type records map[string]message.Record

// Read serves a record.
//
// Example: rec, ok := r.Read(1, key)
func (r records) Read(_ int, key string) (message.Record, bool) {
	rec, ok := r[key]
	if !ok {
		return message.Record{Key: key, Deleted: true}, true
	}
	return rec, true
}

// Gen never changes.
//
// Example: r.Gen(1) == 1
func (records) Gen(int) uint64 { return 1 }

// Until is far off.
//
// Example: now < r.Until(1)
func (records) Until(int) time.Duration { return 1 << 60 }

// hints are a board without other daemons.
type hints struct{ *board.Board }

// Begin records work sent to a server.
//
// Example: h.Begin(server, 1460, 0)
func (h hints) Begin(server string, tokens, writing int) {
	h.Board.Begin(board.Name("", server), tokens, writing)
}

// Load is what is under way at a server.
//
// Example: tokens, writing, pause := h.Load(now, server)
func (h hints) Load(now time.Duration, server string) (tokens, writing int, pause time.Duration) {
	u := h.Board.Load(now, board.Name("", server))
	return u.Tokens, u.Writing, 0
}

// Paused messages nothing.
//
// Example: h.Paused(server, time.Millisecond)
func (hints) Paused(string, time.Duration) {}

// Came records the end of a call.
//
// Example: h.Came(now, server, true)
func (h hints) Came(now time.Duration, server string, answered bool) {
	h.Board.Came(now, board.Name("", server), answered)
}

// Down tells whether a server most likely answers nobody.
//
// Example: h.Down(now, server) == false
func (h hints) Down(now time.Duration, server string) bool {
	return h.Board.Down(now, board.Name("", server))
}

// Keeps records that a server has a prompt.
//
// Example: h.Keeps(prefix, server, 1460)
func (h hints) Keeps(prefix uint64, server string, tokens int) {
	h.Board.Keeps(prefix, board.Name("", server), tokens)
}

// Has tells whether a server keeps a prompt.
//
// Example: if h.Has(prefix, server) { prefer(server) }
func (h hints) Has(prefix uint64, server string) bool {
	return h.Board.Has(prefix, board.Name("", server))
}

// Requests takes a number of hollow requests through one model's decisions on
// one daemon, with so many servers of the model, a number of them under way at
// a time; it tells the processor time of one request.
//
// Example: took := hollow.Requests(422, 0.3, 200, 8)
func Requests(servers int, reading float64, count, abreast int) (time.Duration, error) {
	o := Default(1, servers)
	o.Models, o.Reading = 1, reading
	r := records{}
	var list fleetconfig.List
	for i := range servers {
		part := placement.Decode
		if float64(i%10) < reading*10 {
			part = placement.Prefill
		}
		s := fleetconfig.Server{ID: fmt.Sprintf("srv-%05d-0", i), Addr: fmt.Sprintf("10.1.%d.%d:9000", i/250, 1+i%250), Zone: fmt.Sprintf("zone-%d", i%o.Zones), Capacity: 16, Role: part}
		list.Servers = append(list.Servers, s)
		key := fleetconfig.ServerRecordKey(model(0), s.Key())
		r[key] = message.Record{Key: key, Version: message.Version{Term: 1, Seq: 1}, Value: leadercall.Pack(placement.ServerRecord{Addr: s.Addr, Zone: s.Zone, Capacity: 16, Role: part, Status: placement.Up})}
	}
	r[fleetconfig.ListKey(model(0))] = message.Record{Key: fleetconfig.ListKey(model(0)), Version: message.Version{Term: 1, Seq: 1}, Value: leadercall.Pack(list)}
	l := forward.New(gateway.Config(daemon.Default()), model(0), 1, r, hints{board.New(gateway.BoardConfig(daemon.Default()))})
	type trip struct {
		id   string
		move forward.Move
	}
	var open []trip
	now := time.Second
	begin := used().CPU
	for i := range count {
		now += time.Millisecond
		id := fmt.Sprintf("r-%d", i)
		c := forward.Call{
			ID: id, Service: model(0), Split: true, Tries: 3, Aim: 680 * time.Millisecond, Gap: 26 * time.Millisecond, Due: now + 30*time.Second,
			Parts: []forward.Part{{Key: uint64(i % 50), Tokens: 20000}, {Key: uint64(1000 + i), Tokens: 400}}, In: 20400, Out: 275,
		}
		open = append(open, trip{id, l.Begin(now, c)})
		if len(open) < abreast {
			continue
		}
		t := open[0]
		open = open[1:]
		for !t.move.Kind.Final() {
			switch t.move.Kind {
			case forward.Read:
				t.move = l.ReadDone(now, t.id, forward.OK, forward.Handle{ID: "h", Call: t.id, No: t.move.No, Server: t.move.To, Tokens: 20400}, "")
			case forward.Write:
				t.move = l.WriteDone(now, t.id, forward.OK, "")
			default:
				return 0, fmt.Errorf("hollow: request %s: %s, %s", t.id, t.move.Kind, t.move.Why)
			}
		}
		if t.move.Kind != forward.Done {
			return 0, fmt.Errorf("hollow: request %s ended as %s, %s", t.id, t.move.Kind, t.move.Why)
		}
	}
	return (used().CPU - begin) / time.Duration(max(1, count-abreast+1)), nil
}
