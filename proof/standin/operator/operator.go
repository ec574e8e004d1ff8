// Package operator simulates the platform's operator: it sends configurations,
// changes and evacuations to the daemons, and retries a call on the next daemon
// until it gets a definite answer.
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
	"mulleinmast/wire/httpresponse"
)

// callTimeout limits the time that one daemon has to answer a call.
const callTimeout = time.Second

// Operator sends administrative calls to the daemons.
type Operator struct {
	log      *record.Log
	daemons  func() []entry.Daemon
	client   *http.Client
	retryFor time.Duration // maximum time for retrying a call
	// Lost reports whether to drop an answer as lost in transit; nil: none is dropped.
	Lost func() bool

	mu           sync.Mutex
	lossRate     float64 // fraction of answers to drop as lost in transit
	rng          *rand.Rand
	next         int
	acknowledged wire.Config // newest acknowledged configuration
}

// New returns an operator of the daemons that list returns. A call without a definite
// answer is retried for up to retryFor.
//
// Example: o := operator.New(log, fleet.Daemons, 8*time.Second)
func New(log *record.Log, daemons func() []entry.Daemon, retryFor time.Duration) *Operator {
	client := httpresponse.NewClient(callTimeout)
	client.CheckRedirect = func(_ *http.Request, via []*http.Request) error { return limitRedirects(len(via)) }
	return &Operator{log: log, daemons: daemons, retryFor: retryFor, client: client}
}

func limitRedirects(n int) error {
	if n > 2 {
		return http.ErrUseLastResponse
	}
	return nil
}

// Now returns the newest acknowledged configuration.
//
// Example: next := o.Now(); next.Version += 3; o.Put(ctx, next)
func (o *Operator) Now() wire.Config {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.acknowledged
}

func (o *Operator) nextDaemon() (entry.Daemon, bool) {
	all := o.daemons()
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(all) == 0 {
		return entry.Daemon{}, false
	}
	o.next++
	return all[o.next%len(all)], true
}

// sendOnce sends a call to one daemon; status 0 means no answer.
func (o *Operator) sendOnce(ctx context.Context, method, addr, path, match string, body []byte) (int, []byte) {
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
	res, err := o.client.Do(req)
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

// try sends a call to one daemon and records the answer if the call changes the
// configuration. It returns 0 if there was no answer or the answer was dropped.
func (o *Operator) try(ctx context.Context, method string, d entry.Daemon, path, match string, body []byte) int {
	sent := o.log.Now()
	code, _ := o.sendOnce(ctx, method, d.Admin, path, match, body)
	if path == wire.ConfigPath {
		base, _ := strconv.Atoi(match)
		var c wire.Config
		_ = json.Unmarshal(body, &c) // a truncated body leaves the version 0
		sum := sha256.Sum256(fmt.Appendf(nil, "%s %s %s", method, match, body))
		call := &record.PlanCall{ID: hex.EncodeToString(sum[:8]), Base: base, Number: c.Version, Sent: sent, Done: o.log.Now(), Status: code}
		o.log.Do(func(a *record.All) { a.PlanCalls = append(a.PlanCalls, call) })
	}
	if o.Lost != nil && o.Lost() || o.dropsAnswer() {
		return 0
	}
	return code
}

// SetLossRate drops a random fraction of the answers from now on.
//
// Example: o.SetLossRate(0.5, seed); o.SetLossRate(0, 0)
func (o *Operator) SetLossRate(fraction float64, seed int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lossRate, o.rng = fraction, rand.New(rand.NewSource(seed))
}

func (o *Operator) dropsAnswer() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lossRate > 0 && o.rng.Float64() < o.lossRate
}

// sendUntilDefinite sends a call to one daemon after another until it gets a definite
// answer. It returns 0 if there was none in time.
func (o *Operator) sendUntilDefinite(ctx context.Context, method, path, match string, body []byte) int {
	deadline := time.Now().Add(o.retryFor)
	pause, rejected := 50*time.Millisecond, 0
	for time.Now().Before(deadline) && ctx.Err() == nil {
		d, ok := o.nextDaemon()
		if !ok {
			return 0
		}
		code := o.try(ctx, method, d, path, match, body)
		switch {
		case code/100 == 2, code == 400, code == 409, code == 412, code == 413, code == 422:
			return code
		case code/100 == 4 && code != 408 && code != 429:
			if rejected++; rejected == 3 {
				return code
			}
		}
		t := time.NewTimer(pause)
		<-t.C
		pause = min(2*pause, time.Second)
	}
	return 0
}

func mustMarshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // the wire types always marshal
	}
	return b
}

// send sends a configuration or a change and records its outcome.
func (o *Operator) send(ctx context.Context, method string, body []byte, full wire.Config, base int, valid bool) *record.Change {
	c := &record.Change{Version: full.Version, Base: base, Sent: o.log.Now(), Valid: valid, Config: mustMarshal(full), Patch: method == http.MethodPatch}
	o.log.Do(func(a *record.All) { a.Changes = append(a.Changes, c) })
	status := o.sendUntilDefinite(ctx, method, wire.ConfigPath, strconv.Itoa(base), body)
	o.log.Do(func(*record.All) {
		if c.Status = status; status != 0 {
			c.Done = o.log.Now()
		}
	})
	if status/100 == 2 {
		o.mu.Lock()
		if full.Version > o.acknowledged.Version {
			o.acknowledged = full
		}
		o.mu.Unlock()
	}
	return c
}

// Put sends a complete configuration based on the given version.
//
// Example: c := o.Put(ctx, config, 5)
func (o *Operator) Put(ctx context.Context, c wire.Config, base int) *record.Change {
	return o.send(ctx, http.MethodPut, mustMarshal(c), c, base, true)
}

// Patch sends a change to the given configuration.
//
// Example: c := o.Patch(ctx, change, o.Now())
func (o *Operator) Patch(ctx context.Context, ch wire.Change, on wire.Config) *record.Change {
	return o.send(ctx, http.MethodPatch, mustMarshal(ch), on.With(ch), on.Version, true)
}

// PutInvalid sends an invalid configuration with an extra route, so that applying it would be
// visible. The fault is selected by kind, from 0 to InvalidKinds-1.
//
// Example: for kind := range operator.InvalidKinds { o.PutInvalid(ctx, kind) }
func (o *Operator) PutInvalid(ctx context.Context, kind int) *record.Change {
	c := o.Now()
	base := c.Version
	c.Version += 5
	c.Routes = append([]wire.Route(nil), c.Routes...)
	extra := c.Routes[0]
	extra.Name, extra.Start = fmt.Sprintf("r-bad-%d", kind), fmt.Sprintf("/bad%d/", kind)
	c.Routes = append(c.Routes, extra)
	last := &c.Routes[len(c.Routes)-1]
	switch kind {
	case 0: // truncated body
		b := mustMarshal(c)
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
	return o.send(ctx, http.MethodPut, mustMarshal(c), c, base, false)
}

// InvalidKinds is the number of invalid configurations that PutInvalid can send.
const InvalidKinds = 6

// Repeat sends an earlier call unchanged to each daemon in turn and returns the
// status codes.
//
// Example: codes := o.Repeat(ctx, http.MethodPost, wire.EvacPath+"north", "", nil)
func (o *Operator) Repeat(ctx context.Context, method, path, match string, body []byte) (codes []int) {
	for _, d := range o.daemons() {
		codes = append(codes, o.try(ctx, method, d, path, match, body))
	}
	return codes
}

// SendTo sends a call without a body once, to one daemon, and returns the status; 0 means that no answer came
// within the operator's timeout.
//
// Example: code := o.SendTo(ctx, http.MethodPost, "front-2", wire.EvacPath+"north")
func (o *Operator) SendTo(ctx context.Context, method, daemon, path string) int {
	for _, d := range o.daemons() {
		if d.Name == daemon {
			return o.try(ctx, method, d, path, "", nil)
		}
	}
	return 0
}

// Evacuate requests that a zone be taken out of service.
//
// Example: e := o.Evacuate(ctx, "north")
func (o *Operator) Evacuate(ctx context.Context, zone string) *record.Evacuation {
	e := &record.Evacuation{Zone: zone, Sent: o.log.Now()}
	o.log.Do(func(a *record.All) { a.Evacuations = append(a.Evacuations, e) })
	if o.sendUntilDefinite(ctx, http.MethodPost, wire.EvacPath+zone, "", nil)/100 == 2 {
		o.log.Do(func(*record.All) { e.Acked = o.log.Now() })
	}
	return e
}

// CancelEvacuation withdraws an evacuation.
//
// Example: o.CancelEvacuation(ctx, e)
func (o *Operator) CancelEvacuation(ctx context.Context, e *record.Evacuation) bool {
	o.log.Do(func(*record.All) { e.Back = o.log.Now() })
	ok := o.sendUntilDefinite(ctx, http.MethodDelete, wire.EvacPath+e.Zone, "", nil)/100 == 2
	if ok {
		o.log.Do(func(*record.All) { e.BackAcked = o.log.Now() })
	}
	return ok
}

// Learn reads the current configuration and uses it as the base of later changes,
// because a change without a definite answer may have been applied. It reports whether
// a configuration could be read.
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
	if c.Version > o.acknowledged.Version {
		o.acknowledged = c
	}
	return true
}

// ReadBack reads the current configuration, retrying for a limited time, and records
// the result.
//
// Example: o.ReadBack(ctx)
func (o *Operator) ReadBack(ctx context.Context) {
	r := o.readBack(ctx)
	o.log.Do(func(a *record.All) { a.Readbacks = append(a.Readbacks, r) })
}

func (o *Operator) readBack(ctx context.Context) *record.Readback {
	deadline := time.Now().Add(o.retryFor)
	r := &record.Readback{}
	for time.Now().Before(deadline) && ctx.Err() == nil && r.Status != http.StatusOK {
		d, ok := o.nextDaemon()
		if !ok {
			break
		}
		if r.Status, r.Body = o.sendOnce(ctx, http.MethodGet, d.Admin, wire.ConfigPath, "", nil); r.Status != http.StatusOK {
			t := time.NewTimer(100 * time.Millisecond)
			<-t.C
		}
	}
	r.At = o.log.Now()
	return r
}
