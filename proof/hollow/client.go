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

// staticRecords serves the records of one model under leases that never expire.
type staticRecords map[string]message.Record

// Read returns a record.
//
// Example: rec, ok := r.Read(1, key)
func (r staticRecords) Read(_ int, key string) (message.Record, bool) {
	rec, ok := r[key]
	if !ok {
		return message.Record{Key: key, Deleted: true}, true
	}
	return rec, true
}

// Generation returns a constant, since the records never change.
//
// Example: r.Generation(1) == 1
func (staticRecords) Generation(int) uint64 { return 1 }

// Until returns a time that is never reached.
//
// Example: now < r.Until(1)
func (staticRecords) Until(int) time.Duration { return 1 << 60 }

// loadHints are the load hints of a daemon without peers.
type loadHints struct{ *loadreport.Reporter }

// AddLoad records work sent to a server.
//
// Example: h.AddLoad(server, 1460, 0)
func (h loadHints) AddLoad(server string, tokens, writing int) {
	h.Reporter.AddLoad(loadreport.ServerID("", server), tokens, writing)
}

// Load returns the load in progress at a server.
//
// Example: tokens, writing, pause := h.Load(now, server)
func (h loadHints) Load(now time.Duration, server string) (tokens, writing int, pause time.Duration) {
	u := h.Reporter.Load(now, loadreport.ServerID("", server))
	return u.Tokens, u.Decoding, 0
}

// ObserveInterTokenLatency ignores the observation.
//
// Example: h.ObserveInterTokenLatency(server, time.Millisecond)
func (loadHints) ObserveInterTokenLatency(string, time.Duration) {}

// CallEnded records the end of a call.
//
// Example: h.CallEnded(now, server, true)
func (h loadHints) CallEnded(now time.Duration, server string, answered bool) {
	h.Reporter.CallEnded(now, loadreport.ServerID("", server), answered)
}

// IsDown reports whether a server is believed to be down.
//
// Example: h.IsDown(now, server) == false
func (h loadHints) IsDown(now time.Duration, server string) bool {
	return h.Reporter.IsDown(now, loadreport.ServerID("", server))
}

// RecordPrefix records that a server caches a prompt prefix.
//
// Example: h.RecordPrefix(prefix, server, 1460)
func (h loadHints) RecordPrefix(prefix uint64, server string, tokens int) {
	h.Reporter.RecordPrefix(prefix, loadreport.ServerID("", server), tokens)
}

// HasPrefix reports whether a server caches a prompt prefix.
//
// Example: if h.HasPrefix(prefix, server) { prefer(server) }
func (h loadHints) HasPrefix(prefix uint64, server string) bool {
	return h.Reporter.HasPrefix(prefix, loadreport.ServerID("", server))
}

// Requests runs count simulated requests through the dispatcher of one model, with
// the given number of servers and concurrent requests. It returns the processor time
// per request.
//
// Example: took := hollow.Requests(422, 0.3, 200, 8)
func Requests(servers int, prefillShare float64, count, concurrent int) (time.Duration, error) {
	o := Default(1, servers)
	o.Models, o.PrefillShare = 1, prefillShare
	r := staticRecords{}
	var list fleetconfig.List
	for i := range servers {
		part := placement.Decode
		if float64(i%10) < prefillShare*10 {
			part = placement.Prefill
		}
		s := fleetconfig.Server{ID: fmt.Sprintf("srv-%05d-0", i), Addr: fmt.Sprintf("10.1.%d.%d:9000", i/250, 1+i%250), Zone: fmt.Sprintf("zone-%d", i%o.Zones), Capacity: 16, Role: part}
		list.Servers = append(list.Servers, s)
		key := fleetconfig.ServerRecordKey(model(0), s.Key())
		r[key] = message.Record{Key: key, Version: message.Version{Term: 1, Seq: 1}, Value: leadercall.MustMarshal(placement.ServerRecord{Addr: s.Addr, Zone: s.Zone, Capacity: 16, Role: part, Status: placement.Up})}
	}
	r[fleetconfig.ListKey(model(0))] = message.Record{Key: fleetconfig.ListKey(model(0)), Version: message.Version{Term: 1, Seq: 1}, Value: leadercall.MustMarshal(list)}
	dispatcher := forward.New(gateway.Config(daemon.Default()), model(0), 1, r, loadHints{loadreport.New(gateway.LoadReportConfig(daemon.Default()))})
	type openRequest struct {
		id       string
		decision forward.Decision
	}
	var open []openRequest
	now := time.Second
	begin := processUsage().CPU
	for i := range count {
		now += time.Millisecond
		id := fmt.Sprintf("r-%d", i)
		c := forward.Request{
			ID: id, Service: model(0), Disaggregated: true, MaxAttempts: 3, TTFTTarget: 680 * time.Millisecond, InterTokenTarget: 26 * time.Millisecond, Deadline: now + 30*time.Second,
			Parts: []forward.Part{{Key: uint64(i % 50), Tokens: 20000}, {Key: uint64(1000 + i), Tokens: 400}}, InputTokens: 20400, MaxOutputTokens: 275,
		}
		open = append(open, openRequest{id, dispatcher.Start(now, c)})
		if len(open) < concurrent {
			continue
		}
		t := open[0]
		open = open[1:]
		for !t.decision.Action.Final() {
			switch t.decision.Action {
			case forward.Prefill:
				t.decision = dispatcher.PrefillDone(now, t.id, forward.OK, forward.Handle{ID: "h", RequestID: t.id, Attempt: t.decision.Attempt, Server: t.decision.Server, Tokens: 20400}, "")
			case forward.Decode:
				t.decision = dispatcher.DecodeDone(now, t.id, forward.OK, "")
			default:
				return 0, fmt.Errorf("hollow: request %s: unexpected action %s, %s", t.id, t.decision.Action, t.decision.Reason)
			}
		}
		if t.decision.Action != forward.Done {
			return 0, fmt.Errorf("hollow: request %s ended as %s, %s", t.id, t.decision.Action, t.decision.Reason)
		}
	}
	return (processUsage().CPU - begin) / time.Duration(max(1, count-concurrent+1)), nil
}
