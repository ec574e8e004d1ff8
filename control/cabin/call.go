package cabin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"mulleinmast/control/interlock"
	"mulleinmast/control/purge"
	"mulleinmast/control/section"
	"mulleinmast/control/tariff"
	"mulleinmast/wire/form"
)

// Codes of control replies beside those of HTTP.
const (
	codeOther     = http.StatusMisdirectedRequest // not the owner
	codeUncertain = http.StatusGatewayTimeout
)

// Claim is a once key's record: who has it and what is known.
type Claim struct {
	Request string `json:"request"`
	Daemon  string `json:"daemon"`
	State   string `json:"state"` // claimed, shed, done
}

// Word is a control reply that is not a verdict.
type Word struct {
	Result string   `json:"result"`
	Why    string   `json:"why,omitempty"`
	Faults []string `json:"faults,omitempty"`
	After  int64    `json:"retry_after_ms,omitempty"`
	Claim  *Claim   `json:"claim,omitempty"`
}

func pack(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // our own types
	}
	return b
}

// Ask settles a call at the owner of a part, wherever that is. It waits out a
// change of owner while the context lasts. What was sent and not answered is
// "uncertain"; what was never taken is "not done".
//
// Example: code, rep := c.Ask(ctx, 0, "plan", body)
func (c *Cabin) Ask(ctx context.Context, part int, op string, body []byte) (int, []byte) {
	sent := false
	try := 2 * c.Cfg.Vol() // a purge may wait out a volume lease
	for {
		own := c.View().Owns[part].Seat
		code, rep := codeOther, []byte(nil)
		switch {
		case own.Ident == c.me.Ident:
			code, rep = c.settle(ctx, part, op, c.me.Ident, body)
		case own.Ident != "":
			var ok bool
			one, done := context.WithTimeout(ctx, try)
			code, rep, ok = c.pass(one, own, part, op, body)
			done()
			if !ok {
				sent = true
				code = codeOther
			}
		}
		if code == codeUncertain {
			sent = true
		} else if code != codeOther {
			return code, rep
		}
		if op == "want" || !pause(ctx, c.Cfg.Vol()/32) || code == codeUncertain {
			after := part2(c.Cfg)
			if sent {
				return codeUncertain, pack(Word{Result: "uncertain", Why: "no word from the owner of part " + fmt.Sprint(part) + "; ask again with the same id", After: after})
			}
			return http.StatusServiceUnavailable, pack(Word{Result: "not done", Why: "part " + fmt.Sprint(part) + " has no owner now", After: after})
		}
	}
}

func part2(c Config) int64 { return c.Bounds.Plan.Milliseconds() }

func (c *Cabin) pass(ctx context.Context, to form.Seat, part int, op string, body []byte) (int, []byte, bool) {
	no := c.tags.Add(1)
	ch := make(chan form.Note, 1)
	c.cmu.Lock()
	c.calls[no] = ch
	c.cmu.Unlock()
	c.Line.Send(form.Send{Addr: to.Addr, Note: form.Note{Kind: form.Call, Part: part, To: to.Ident, No: no, Op: op, Body: body}})
	select {
	case n := <-ch:
		return n.Code, n.Body, true
	case <-ctx.Done():
		c.cmu.Lock()
		delete(c.calls, no)
		c.cmu.Unlock()
		return 0, nil, false
	}
}

func (c *Cabin) called(n form.Note) {
	if n.Part < 0 || n.Part >= len(c.shards) {
		return
	}
	ctx, done := context.WithTimeout(context.Background(), 2*c.Cfg.Bounds.Plan)
	defer done()
	code, rep := c.settle(ctx, n.Part, n.Op, n.From, n.Body)
	c.Line.Send(form.Send{Addr: n.Addr, Note: form.Note{Kind: form.Back, Part: n.Part, To: n.From, Ref: n.No, Code: code, Body: rep}})
}

// write runs a job at the owner (us) and waits for its fate.
func (c *Cabin) write(ctx context.Context, s *shard, j section.Job) section.Result {
	tag := c.tags.Add(1)
	ch := make(chan section.Result, 1)
	s.mu.Lock()
	s.after[tag] = func(r section.Result) { ch <- r }
	c.carry(s, s.sec.Do(c.Now(), tag, j))
	s.mu.Unlock()
	select {
	case r := <-ch:
		return r
	case <-ctx.Done():
		return section.Result{Tag: tag, Fate: section.Uncertain}
	}
}

// settle carries out a call if we are the owner.
func (c *Cabin) settle(ctx context.Context, p int, op, from string, body []byte) (int, []byte) {
	s := c.shards[p]
	if op == "want" {
		return c.wanted(s, from, body)
	}
	job, fault := c.job(op, from, body)
	if fault != "" {
		return http.StatusBadRequest, pack(Word{Result: "broken", Faults: []string{fault}})
	}
	r := c.write(ctx, s, job)
	switch r.Fate {
	case section.NotOwner:
		return codeOther, nil
	case section.Uncertain:
		return codeUncertain, pack(Word{Result: "uncertain"})
	}
	switch w := r.Word.(type) {
	case tariff.Verdict:
		c.Book.Note("plan", "%s: %s, version %d", op, w.Result, w.Version)
		return map[string]int{"taken": 200, "beaten": 409, "broken": 400}[w.Result], pack(w)
	case Word:
		if w.Result == "duplicate" {
			return http.StatusConflict, pack(w)
		}
		return 200, pack(w)
	}
	panic("job without a word: " + op)
}

func (c *Cabin) job(op, from string, body []byte) (j section.Job, fault string) {
	done := Word{Result: "done"}
	switch op {
	case "plan", "changes":
		var whole tariff.Plan
		var named tariff.Changes
		var f tariff.Faults
		if op == "plan" {
			f = tariff.Decode(body, &whole)
		} else {
			f = tariff.Decode(body, &named)
		}
		if f.Any() {
			return j, f.List[0]
		}
		return section.Job{Keys: []string{tariff.PlanKey}, Make: func(read purge.Source) ([]form.Rec, any) {
			cur := tariff.Open(read(tariff.PlanKey))
			id, base, next := whole.ID, whole.Base, func(tariff.Plan) (tariff.Plan, tariff.Faults) { return whole, whole.Check() }
			if op == "changes" {
				id, base, next = named.ID, named.Base, func(p tariff.Plan) (tariff.Plan, tariff.Faults) { return p.With(named) }
			}
			val, verdict := tariff.Judge(cur, id, base, next)
			if val == nil {
				return nil, verdict
			}
			return []form.Rec{{Key: tariff.PlanKey, Val: val}}, verdict
		}}, ""
	case "evacuate", "return":
		cell := string(body)
		return section.Job{Keys: []string{tariff.CellKey}, Make: func(read purge.Source) ([]form.Rec, any) {
			out := tariff.Cells(read(tariff.CellKey))
			if out[cell] == (op == "evacuate") {
				return nil, done
			}
			out[cell] = op == "evacuate"
			return []form.Rec{{Key: tariff.CellKey, Val: tariff.PackCells(out)}}, done
		}}, ""
	case "seat":
		var in struct{ Out, Ident, Addr string }
		if err := json.Unmarshal(body, &in); err != nil {
			return j, err.Error()
		}
		return section.Job{Keys: []string{tariff.SeatKey}, Make: func(read purge.Source) ([]form.Rec, any) {
			var seats []form.Seat
			if r := read(tariff.SeatKey); !r.Dead {
				if err := json.Unmarshal(r.Val, &seats); err != nil {
					panic(err)
				}
			}
			for i := range seats {
				if seats[i].Ident == in.Ident {
					return nil, done
				}
				if seats[i].Ident == in.Out {
					seats[i] = form.Seat{Ident: in.Ident, Addr: in.Addr}
					return []form.Rec{{Key: tariff.SeatKey, Val: pack(seats)}}, done
				}
			}
			return nil, Word{Result: "not done", Why: fmt.Sprintf("no seat of %q in %v", in.Out, seats)}
		}}, ""
	case "servers":
		var in struct {
			Service string
			List    tariff.List
		}
		if err := json.Unmarshal(body, &in); err != nil {
			return j, err.Error()
		}
		key := tariff.ListKey(in.Service)
		val := pack(in.List)
		return section.Job{Keys: []string{key}, Make: func(read purge.Source) ([]form.Rec, any) {
			if cur := read(key); !cur.Dead && string(cur.Val) == string(val) {
				return nil, done
			}
			return []form.Rec{{Key: key, Val: val}}, done
		}}, ""
	case "claim", "unclaim":
		var in struct {
			Key   string
			Claim Claim
		}
		if err := json.Unmarshal(body, &in); err != nil {
			return j, err.Error()
		}
		key := "once/" + in.Key
		return section.Job{Keys: []string{key}, Make: func(read purge.Source) ([]form.Rec, any) {
			var cur Claim
			r := read(key)
			if !r.Dead {
				if err := json.Unmarshal(r.Val, &cur); err != nil {
					panic(err)
				}
			}
			mine := cur.Request == in.Claim.Request
			if op == "claim" {
				if mine && cur.State == in.Claim.State {
					return nil, done
				}
				if !r.Dead && cur.State != "shed" && !mine || mine {
					return nil, Word{Result: "duplicate", Claim: &cur}
				}
			} else if !mine {
				return nil, done
			}
			return []form.Rec{{Key: key, Val: pack(in.Claim)}}, done
		}}, ""
	}
	return j, fmt.Sprintf("unknown call %q", op)
}

// wanted gives a daemon its share of the slots; shares live in memory only.
func (c *Cabin) wanted(s *shard, from string, body []byte) (int, []byte) {
	var w interlock.Want
	if err := json.Unmarshal(body, &w); err != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := c.Now()
	if !s.sec.Owner(now) || s.holder == nil {
		return codeOther, nil
	}
	return 200, pack(s.holder.Asked(now, from, w, s.sec.Seat.Lease()-now))
}

// Share asks the owner for this daemon's slots; the time it was asked counts.
//
// Example: share, at, ok := c.Share(ctx, p, want)
func (c *Cabin) Share(ctx context.Context, p int, w interlock.Want) (sh interlock.Share, at time.Duration, ok bool) {
	at = c.Now()
	code, rep := c.Ask(ctx, p, "want", pack(w))
	if code != 200 || json.Unmarshal(rep, &sh) != nil {
		return sh, at, false
	}
	return sh, at, true
}
