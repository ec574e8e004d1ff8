package hollow

import (
	"fmt"
	"time"

	"mulleinmast/control/daemon"
	"mulleinmast/control/fleetconfig"
	"mulleinmast/control/leadercall"
	"mulleinmast/control/placement"
	"mulleinmast/traffic/forward"
	"mulleinmast/traffic/gateway"
	"mulleinmast/traffic/loadreport"
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

// Generation never changes.
//
// Example: r.Generation(1) == 1
func (records) Generation(int) uint64 { return 1 }

// Until is far off.
//
// Example: now < r.Until(1)
func (records) Until(int) time.Duration { return 1 << 60 }

// hints are a board without other daemons.
type hints struct{ *loadreport.Reporter }

// AddLoad records work sent to a server.
//
// Example: h.AddLoad(server, 1460, 0)
func (h hints) AddLoad(server string, tokens, writing int) {
	h.Reporter.AddLoad(loadreport.ServerID("", server), tokens, writing)
}

// Load is what is under way at a server.
//
// Example: tokens, writing, pause := h.Load(now, server)
func (h hints) Load(now time.Duration, server string) (tokens, writing int, pause time.Duration) {
	u := h.Reporter.Load(now, loadreport.ServerID("", server))
	return u.Tokens, u.Decoding, 0
}

// ObserveInterTokenLatency messages nothing.
//
// Example: h.ObserveInterTokenLatency(server, time.Millisecond)
func (hints) ObserveInterTokenLatency(string, time.Duration) {}

// CallEnded records the end of a call.
//
// Example: h.CallEnded(now, server, true)
func (h hints) CallEnded(now time.Duration, server string, answered bool) {
	h.Reporter.CallEnded(now, loadreport.ServerID("", server), answered)
}

// IsDown tells whether a server most likely answers nobody.
//
// Example: h.IsDown(now, server) == false
func (h hints) IsDown(now time.Duration, server string) bool {
	return h.Reporter.IsDown(now, loadreport.ServerID("", server))
}

// RecordPrefix records that a server has a prompt.
//
// Example: h.RecordPrefix(prefix, server, 1460)
func (h hints) RecordPrefix(prefix uint64, server string, tokens int) {
	h.Reporter.RecordPrefix(prefix, loadreport.ServerID("", server), tokens)
}

// HasPrefix tells whether a server keeps a prompt.
//
// Example: if h.HasPrefix(prefix, server) { prefer(server) }
func (h hints) HasPrefix(prefix uint64, server string) bool {
	return h.Reporter.HasPrefix(prefix, loadreport.ServerID("", server))
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
		r[key] = message.Record{Key: key, Version: message.Version{Term: 1, Seq: 1}, Value: leadercall.MustMarshal(placement.ServerRecord{Addr: s.Addr, Zone: s.Zone, Capacity: 16, Role: part, Status: placement.Up})}
	}
	r[fleetconfig.ListKey(model(0))] = message.Record{Key: fleetconfig.ListKey(model(0)), Version: message.Version{Term: 1, Seq: 1}, Value: leadercall.MustMarshal(list)}
	l := forward.New(gateway.Config(daemon.Default()), model(0), 1, r, hints{loadreport.New(gateway.LoadReportConfig(daemon.Default()))})
	type trip struct {
		id   string
		move forward.Decision
	}
	var open []trip
	now := time.Second
	begin := used().CPU
	for i := range count {
		now += time.Millisecond
		id := fmt.Sprintf("r-%d", i)
		c := forward.Request{
			ID: id, Service: model(0), Disaggregated: true, MaxAttempts: 3, TTFTTarget: 680 * time.Millisecond, InterTokenTarget: 26 * time.Millisecond, Deadline: now + 30*time.Second,
			Parts: []forward.Part{{Key: uint64(i % 50), Tokens: 20000}, {Key: uint64(1000 + i), Tokens: 400}}, InputTokens: 20400, MaxOutputTokens: 275,
		}
		open = append(open, trip{id, l.Start(now, c)})
		if len(open) < abreast {
			continue
		}
		t := open[0]
		open = open[1:]
		for !t.move.Action.Final() {
			switch t.move.Action {
			case forward.Prefill:
				t.move = l.PrefillDone(now, t.id, forward.OK, forward.Handle{ID: "h", RequestID: t.id, Attempt: t.move.Attempt, Server: t.move.Server, Tokens: 20400}, "")
			case forward.Decode:
				t.move = l.DecodeDone(now, t.id, forward.OK, "")
			default:
				return 0, fmt.Errorf("hollow: request %s: %s, %s", t.id, t.move.Action, t.move.Reason)
			}
		}
		if t.move.Action != forward.Done {
			return 0, fmt.Errorf("hollow: request %s ended as %s, %s", t.id, t.move.Action, t.move.Reason)
		}
	}
	return (used().CPU - begin) / time.Duration(max(1, count-abreast+1)), nil
}
