// Package operator is a stand-in for the platform's operator: it sends
// configurations, changes and evacuations to daemons, moves on after a failure
// and sends a call again until its end is clear.
package operator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strconv"
	"sync"
	"time"

	"mulleinmast/proof/standin/entry"
	"mulleinmast/proof/standin/record"
	"mulleinmast/proof/standin/wire"
)

// Operator sends calls.
type Operator struct {
	log  *record.Log
	list func() []entry.Daemon
	web  *http.Client
	most time.Duration // a call is sent again for so long
	// Lost tells whether an answer is lost on its way; none: no answer is.
	Lost func() bool

	mu   sync.Mutex
	lose float64 // part of the answers that are lost on their way
	dice *rand.Rand
	next int
	now  wire.Config // the newest that was acknowledged
}

// New makes an operator of the daemons that list names; a call without a clear
// answer is sent again for at most some time.
//
// Example: o := operator.New(log, fleet.Daemons, 8*time.Second)
func New(log *record.Log, list func() []entry.Daemon, most time.Duration) *Operator {
	return &Operator{log: log, list: list, most: most, web: &http.Client{
		Timeout:       time.Second,
		CheckRedirect: func(_ *http.Request, via []*http.Request) error { return tooFar(len(via)) },
	}}
}

func tooFar(n int) error {
	if n > 2 {
		return http.ErrUseLastResponse
	}
	return nil
}

// Now is the newest configuration that was acknowledged.
//
// Example: next := o.Now(); next.Version += 3; o.Put(ctx, next)
func (o *Operator) Now() wire.Config {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.now
}

func (o *Operator) daemon() (entry.Daemon, bool) {
	all := o.list()
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(all) == 0 {
		return entry.Daemon{}, false
	}
	o.next++
	return all[o.next%len(all)], true
}

// once sends a call to one daemon; status 0 is no answer.
func (o *Operator) once(ctx context.Context, method, addr, path, match string, body []byte) (int, []byte) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if match != "" {
		req.Header.Set("If-Match", match)
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := o.web.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, b
}

// try sends one try to a daemon, and writes down what it answered where the call
// changes the configuration; 0 also where the answer was lost.
func (o *Operator) try(ctx context.Context, method string, d entry.Daemon, path, match string, body []byte) int {
	from := o.log.Now()
	code, _ := o.once(ctx, method, d.Steer, path, match, body)
	if path == wire.ConfigPath {
		base, _ := strconv.Atoi(match)
		var c wire.Config
		_ = json.Unmarshal(body, &c) // one that is cut short has no number
		sum := sha256.Sum256(fmt.Appendf(nil, "%s %s %s", method, match, body))
		call := &record.PlanCall{ID: hex.EncodeToString(sum[:8]), Base: base, Number: c.Version, Sent: from, Done: o.log.Now(), Status: code}
		o.log.Do(func(a *record.All) { a.PlanCalls = append(a.PlanCalls, call) })
	}
	if o.Lost != nil && o.Lost() || o.loses() {
		return 0
	}
	return code
}

// Lose has a part of the answers lost on their way from now on, by chance.
//
// Example: o.Lose(0.5, seed); o.Lose(0, 0)
func (o *Operator) Lose(part float64, seed int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lose, o.dice = part, rand.New(rand.NewSource(seed))
}

func (o *Operator) loses() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lose > 0 && o.dice.Float64() < o.lose
}

// settle sends a call to one daemon after another until its end is clear; 0:
// it never was.
func (o *Operator) settle(ctx context.Context, method, path, match string, body []byte) int {
	end := time.Now().Add(o.most)
	pause, odd := 50*time.Millisecond, 0
	for time.Now().Before(end) && ctx.Err() == nil {
		d, ok := o.daemon()
		if !ok {
			return 0
		}
		code := o.try(ctx, method, d, path, match, body)
		switch {
		case code/100 == 2, code == 400, code == 409, code == 412, code == 413, code == 422:
			return code
		case code/100 == 4 && code != 408 && code != 429:
			if odd++; odd == 3 {
				return code
			}
		}
		t := time.NewTimer(pause)
		<-t.C
		pause = min(2*pause, time.Second)
	}
	return 0
}

func pack(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // our own shapes always pack
	}
	return b
}

// send sends a configuration or a change, and writes down its fate.
func (o *Operator) send(ctx context.Context, method string, body []byte, whole wire.Config, base int, valid bool) *record.Change {
	c := &record.Change{Version: whole.Version, Base: base, Sent: o.log.Now(), Valid: valid, Config: pack(whole), Patch: method == http.MethodPatch}
	o.log.Do(func(a *record.All) { a.Changes = append(a.Changes, c) })
	status := o.settle(ctx, method, wire.ConfigPath, strconv.Itoa(base), body)
	o.log.Do(func(*record.All) {
		if c.Status = status; status != 0 {
			c.Done = o.log.Now()
		}
	})
	if status/100 == 2 {
		o.mu.Lock()
		if whole.Version > o.now.Version {
			o.now = whole
		}
		o.mu.Unlock()
	}
	return c
}

// Put sends a whole configuration on top of a version.
//
// Example: c := o.Put(ctx, config, 5)
func (o *Operator) Put(ctx context.Context, c wire.Config, base int) *record.Change {
	return o.send(ctx, http.MethodPut, pack(c), c, base, true)
}

// Patch sends a change on top of a configuration.
//
// Example: c := o.Patch(ctx, change, o.Now())
func (o *Operator) Patch(ctx context.Context, ch wire.Change, on wire.Config) *record.Change {
	return o.send(ctx, http.MethodPatch, pack(ch), on.With(ch), on.Version, true)
}

// Bad sends a configuration that is invalid in some way, whose routes would
// lead elsewhere; kind is counted up.
//
// Example: for kind := range operator.Kinds { o.Bad(ctx, kind) }
func (o *Operator) Bad(ctx context.Context, kind int) *record.Change {
	c := o.Now()
	base := c.Version
	c.Version += 5
	c.Routes = append([]wire.Route(nil), c.Routes...)
	extra := c.Routes[0]
	extra.Name, extra.Start = fmt.Sprintf("r-bad-%d", kind), fmt.Sprintf("/bad%d/", kind)
	c.Routes = append(c.Routes, extra)
	last := &c.Routes[len(c.Routes)-1]
	switch kind {
	case 0: // cut short
		b := pack(c)
		return o.send(ctx, http.MethodPut, b[:len(b)-7], c, base, false)
	case 1:
		last.Service, last.Weighted = "nobody-knows", nil
	case 2:
		again := *last
		again.Name += "-again"
		c.Routes = append(c.Routes, again)
	case 3:
		last.Service, last.Weighted = "", []wire.Weighted{{Service: c.Services[0].Name, Share: 0}}
	case 4:
		last.GiveUpMs = 0
	case 5:
		c.Version = base
	}
	return o.send(ctx, http.MethodPut, pack(c), c, base, false)
}

// Kinds is the number of ways to be invalid.
const Kinds = 6

// Repeat sends a call of an earlier time once more, as it was, to each daemon in
// turn, and gives their answers.
//
// Example: codes := o.Repeat(ctx, http.MethodPost, wire.EvacPath+"north", "", nil)
func (o *Operator) Repeat(ctx context.Context, method, path, match string, body []byte) (codes []int) {
	for _, d := range o.list() {
		codes = append(codes, o.try(ctx, method, d, path, match, body))
	}
	return codes
}

// Evacuate takes a zone out of service.
//
// Example: e := o.Evacuate(ctx, "north")
func (o *Operator) Evacuate(ctx context.Context, zone string) *record.Evacuation {
	e := &record.Evacuation{Zone: zone, Sent: o.log.Now()}
	o.log.Do(func(a *record.All) { a.Evacuations = append(a.Evacuations, e) })
	if o.settle(ctx, http.MethodPost, wire.EvacPath+zone, "", nil)/100 == 2 {
		o.log.Do(func(*record.All) { e.Acked = o.log.Now() })
	}
	return e
}

// Return withdraws an evacuation.
//
// Example: o.Return(ctx, e)
func (o *Operator) Return(ctx context.Context, e *record.Evacuation) bool {
	o.log.Do(func(*record.All) { e.Back = o.log.Now() })
	ok := o.settle(ctx, http.MethodDelete, wire.EvacPath+e.Zone, "", nil)/100 == 2
	if ok {
		o.log.Do(func(*record.All) { e.BackAcked = o.log.Now() })
	}
	return ok
}

// Learn reads the newest configuration and builds on it from now on: a change
// without a clear answer may be in force. It tells whether one came.
//
// Example: if c.Status == 0 && !o.Learn(ctx) { report("no configuration came") }
func (o *Operator) Learn(ctx context.Context) bool {
	r := o.readBack(ctx)
	var c wire.Config
	if r.Status != http.StatusOK || json.Unmarshal(r.Body, &c) != nil {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if c.Version > o.now.Version {
		o.now = c
	}
	return true
}

// ReadBack asks for the newest configuration until it comes, or for some time,
// and writes down what came.
//
// Example: o.ReadBack(ctx)
func (o *Operator) ReadBack(ctx context.Context) {
	r := o.readBack(ctx)
	o.log.Do(func(a *record.All) { a.Readbacks = append(a.Readbacks, r) })
}

func (o *Operator) readBack(ctx context.Context) *record.Readback {
	end := time.Now().Add(o.most)
	r := &record.Readback{}
	for time.Now().Before(end) && ctx.Err() == nil && r.Status != http.StatusOK {
		d, ok := o.daemon()
		if !ok {
			break
		}
		if r.Status, r.Body = o.once(ctx, http.MethodGet, d.Steer, wire.ConfigPath, "", nil); r.Status != http.StatusOK {
			t := time.NewTimer(100 * time.Millisecond)
			<-t.C
		}
	}
	r.At = o.log.Now()
	return r
}
