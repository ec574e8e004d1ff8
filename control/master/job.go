package master

import (
	"encoding/json"
	"fmt"
	"slices"

	"mulleinmast/control/errand"
	"mulleinmast/control/purge"
	"mulleinmast/control/section"
	"mulleinmast/control/tariff"
	"mulleinmast/wire/form"
)

var done = errand.Word{Result: "done"}

// ServersCall is the body of a call that names a service's servers.
type ServersCall struct {
	Service string
	List    tariff.List
}

// SeatCall is the body of a call that gives a seat away.
type SeatCall struct {
	Out   string `json:"out"`
	Ident string `json:"ident"`
	Addr  string `json:"addr"`
}

// ClaimCall is the body of a call that claims or settles a once key.
type ClaimCall struct {
	Key   string
	Claim errand.Claim
}

// keepPast is how many requests that gave a once key back are kept with it.
const keepPast = 16

// OnceKey is the key of a once key's record.
//
// Example: master.OnceKey("express/k-17") == "once/express/k-17"
func OnceKey(key string) string { return "once/" + key }

// job turns a call into a write; fault says what is wrong with its body. call
// names it over all its tries, see onceOnly.
func job(plans *tariff.Reader, call, op string, body []byte) (j section.Job, fault string) {
	read := func(to any) bool {
		if err := json.Unmarshal(body, to); err != nil {
			fault = err.Error()
		}
		return fault == ""
	}
	switch op {
	case "plan", "changes":
		return planJob(plans, op, body)
	case "evacuate", "return":
		return onceOnly(call, cellJob(op, string(body))), ""
	case "seat":
		var in SeatCall
		if read(&in) {
			j = onceOnly(call, seatJob(in))
		}
	case "servers":
		var in ServersCall
		if read(&in) {
			if j = listJob(in); in.List.Version == 0 {
				j = onceOnly(call, j)
			}
		}
	case "claim", "unclaim":
		var in ClaimCall
		if read(&in) {
			j = claimJob(op, in)
		}
	default:
		fault = fmt.Sprintf("unknown call %q", op)
	}
	return j, fault
}

func planJob(plans *tariff.Reader, op string, body []byte) (section.Job, string) {
	var whole tariff.Plan
	var named tariff.Changes
	var f tariff.Faults
	body, err := tariff.Plain(body) // a daemon may pack what it passes on
	if err != nil {
		return section.Job{}, err.Error()
	}
	if op == "plan" {
		f = tariff.Decode(body, &whole)
	} else {
		f = tariff.Decode(body, &named)
	}
	if f.Any() {
		return section.Job{}, f.List[0]
	}
	return section.Job{Keys: []string{tariff.PlanKey}, Make: func(read purge.Source) ([]form.Rec, any) {
		cur := plans.Open(read(tariff.PlanKey))
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
}

func cellJob(op, cell string) section.Job {
	return section.Job{Keys: []string{tariff.CellKey}, Make: func(read purge.Source) ([]form.Rec, any) {
		out := tariff.Cells(read(tariff.CellKey))
		if out[cell] == (op == "evacuate") {
			return nil, done
		}
		out[cell] = op == "evacuate"
		return []form.Rec{{Key: tariff.CellKey, Val: tariff.PackCells(out)}}, done
	}}
}

func seatJob(in SeatCall) section.Job {
	return section.Job{Keys: []string{tariff.SeatKey}, Make: func(read purge.Source) ([]form.Rec, any) {
		seats := openSeats(read(tariff.SeatKey))
		for i := range seats {
			if seats[i].Ident == in.Ident {
				return nil, done
			}
			if seats[i].Ident == in.Out {
				seats[i] = form.Seat{Ident: in.Ident, Addr: in.Addr}
				return []form.Rec{{Key: tariff.SeatKey, Val: errand.Pack(seats)}}, done
			}
		}
		return nil, errand.Word{Result: "not done", Why: fmt.Sprintf("no seat of %q in %v", in.Out, seats)}
	}}
}

// listJob takes a list unless one with a later version is in force: a call
// that was held up on its way must not bring a leaving server back.
func listJob(in ServersCall) section.Job {
	key := tariff.ListKey(in.Service)
	val := errand.Pack(in.List)
	return section.Job{Keys: []string{key}, Make: func(read purge.Source) ([]form.Rec, any) {
		if cur := read(key); !cur.Dead {
			if string(cur.Val) == string(val) {
				return nil, done
			}
			if now := tariff.OpenList(cur); in.List.Version > 0 && in.List.Version <= now.Version {
				return nil, errand.Word{Result: "beaten", Version: now.Version, Why: "a list of a later or the same version is in force"}
			}
		}
		return []form.Rec{{Key: key, Val: val}}, done
	}}
}

// claimJob takes a once key or says what became of it. A key that was settled
// before its claim arrived stays settled: the late claim finds it so, also when
// other requests had the key since.
func claimJob(op string, in ClaimCall) section.Job {
	key := OnceKey(in.Key)
	return section.Job{Keys: []string{key}, Make: func(read purge.Source) ([]form.Rec, any) {
		var cur errand.Claim
		r := read(key)
		if !r.Dead {
			if err := json.Unmarshal(r.Val, &cur); err != nil {
				panic("claim record can't be read: " + err.Error()) // we wrote it ourselves
			}
		}
		mine, next := cur.Request == in.Claim.Request, in.Claim
		next.Past = cur.Past
		over := slices.Contains(cur.Past, in.Claim.Request)
		switch {
		case op == "claim" && mine && cur.State == next.State:
			return nil, done
		case op == "claim" && (mine || over || !r.Dead && cur.State != "shed"):
			cur.Past = nil
			return nil, errand.Word{Result: "duplicate", Claim: &cur}
		case op == "claim" && !r.Dead:
			next.Past = settled(cur.Past, cur.Request)
		case op == "unclaim" && !r.Dead && !mine:
			if over {
				return nil, done
			}
			next, next.Past = cur, settled(cur.Past, in.Claim.Request)
		}
		return []form.Rec{{Key: key, Val: errand.Pack(next)}}, done
	}}
}

// settled adds a request to those that gave a key back; the last are kept.
func settled(past []string, request string) []string {
	past = append(slices.Clone(past), request)
	return past[max(0, len(past)-keepPast):]
}

func openSeats(r form.Rec) (seats []form.Seat) {
	if !r.Dead && len(r.Val) > 0 {
		if err := json.Unmarshal(r.Val, &seats); err != nil {
			panic("seats record can't be read: " + err.Error()) // we wrote it ourselves
		}
	}
	return seats
}
