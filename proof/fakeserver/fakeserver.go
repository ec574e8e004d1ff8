// Package fakeserver is a stand-in model server: it plays prefill server or decode server as
// ordered, keeps prefixes and KV caches, reports its usage, and writes down
// what it was asked to do. It checks no rule of the fleet; the checker does.
package fakeserver

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"mulleinmast/proof/history"
	"mulleinmast/proof/script"
	"mulleinmast/traffic/serverpool"
)

// Config sizes a stand-in.
type Config struct {
	Addr     string
	Zone     string
	Capacity int
	Char     time.Duration // prefill, per character not held
	Token    time.Duration // decode, per piece
	Keep     time.Duration // how long a handle lives
	Link     time.Duration // hand-over from another server
	Prefixes int
	Warm     time.Duration // its own warm-up
	Naive    bool          // a decode server that takes up whatever cache a handle leads to
}

// Fault is what a test switches on.
type Fault struct {
	Leaving bool          `json:"leaving"`
	Link    time.Duration `json:"link_ns"`
	Lapse   bool          `json:"lapse"`   // every handle is gone at once
	Break   int           `json:"break"`   // streams break after so many pieces
	Foreign bool          `json:"foreign"` // hand out somebody else's handle as if it were ours
	Crossed bool          `json:"crossed"` // answer with somebody else's handle, as it is
	Twice   bool          `json:"twice"`   // send a piece twice
	Deaf    bool          `json:"deaf"`    // take requests and never answer
	Slow    int           `json:"slow"`    // everything takes so many times as long
	Fast    bool          `json:"fast"`    // pieces come without a pause
	Skip    bool          `json:"skip"`    // skip a piece
}

type cache struct {
	request string
	attempt int
	prompt  uint64
	till    time.Time
}

// FakeServer is one stand-in server.
type FakeServer struct {
	cfg      Config
	recorder *history.Recorder
	born     time.Time
	mu       sync.Mutex
	part     string
	term     uint64
	no       uint64
	busy     int
	held     map[uint64]bool
	list     []uint64
	kv       map[string]cache
	link     map[string]int
	bad      Fault
	told     bool // a poll has said that it leaves
	web      *http.Client
}

// New makes a stand-in; it plays no part until ordered to.
//
// Example: http.ListenAndServe(cfg.Addr, fakeserver.New(cfg, records))
func New(cfg Config, recorder *history.Recorder) http.Handler {
	d := &FakeServer{cfg: cfg, recorder: recorder, born: time.Now(), held: map[uint64]bool{}, kv: map[string]cache{}, link: map[string]int{}, web: &http.Client{Timeout: 10 * time.Second}}
	recorder.Put(history.Event{Who: cfg.Addr, Ev: "boot", N: cfg.Capacity, Zone: cfg.Zone, Warm: cfg.Warm.Nanoseconds()})
	m := http.NewServeMux()
	m.HandleFunc("GET /usage", d.usage)
	m.HandleFunc("POST /order", d.order)
	m.HandleFunc("POST /prefill", d.prefill)
	m.HandleFunc("POST /decode", d.decode)
	m.HandleFunc("GET /kv/{id}", d.hand)
	m.HandleFunc("POST /fault", d.fault)
	return m
}

func respond(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}

func (d *FakeServer) turnAway(w http.ResponseWriter, code int, result, part, why, req string) {
	d.recorder.Put(history.Event{Who: d.cfg.Addr, Ev: result, Part: part, Request: req, Why: why})
	respond(w, code, map[string]string{"result": result, "why": why})
}

func (d *FakeServer) usage(w http.ResponseWriter, _ *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	links := map[string]int{}
	for a, ms := range d.link {
		links[a] = ms
	}
	if d.bad.Leaving != d.told { // the moment that the first daemon knows
		d.told = d.bad.Leaving
		d.recorder.Put(history.Event{Who: d.cfg.Addr, Ev: map[bool]string{true: "leaving", false: "staying"}[d.told]})
	}
	up := time.Since(d.born)
	respond(w, 200, map[string]any{"active": d.busy, "uptime_ms": up.Milliseconds(), "leaving": d.bad.Leaving, "warming": up < d.cfg.Warm, "links_ms": links})
}

func (d *FakeServer) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Part, Why, Holder string
		Term, No          uint64
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		respond(w, 400, map[string]string{"why": err.Error()})
		return
	}
	d.recorder.Put(history.Event{Who: d.cfg.Addr, Ev: "order", Holder: o.Holder, Term: o.Term, Part: o.Part, Why: o.Why})
	d.mu.Lock()
	defer d.mu.Unlock()
	if o.Term < d.term || o.Term == d.term && o.No <= d.no {
		respond(w, 409, map[string]string{"result": "shed", "why": "an order of an older term"})
		return
	}
	d.term, d.no, d.part = o.Term, o.No, o.Part
	respond(w, 200, map[string]string{"result": "done"})
}

func (d *FakeServer) slow(t time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return t * time.Duration(max(1, d.bad.Slow))
}

func nap(ctx context.Context, t time.Duration) bool {
	if t <= 0 {
		return ctx.Err() == nil
	}
	k := time.NewTimer(t)
	defer k.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-k.C:
		return true
	}
}

// enter takes a slot for a part, or says why not.
func (d *FakeServer) enter(part string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.part != part:
		return "not a " + part
	case d.busy >= d.cfg.Capacity:
		return "full"
	}
	d.busy++
	return ""
}

func (d *FakeServer) exit() {
	d.mu.Lock()
	d.busy--
	d.mu.Unlock()
}

// read takes a call's body and tells how the server is to misbehave now.
func (d *FakeServer) read(w http.ResponseWriter, r *http.Request, call any) (bad Fault, ok bool) {
	if err := json.NewDecoder(r.Body).Decode(call); err != nil {
		respond(w, 400, map[string]string{"why": err.Error()})
		return bad, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bad, true
}

func (d *FakeServer) prefill(w http.ResponseWriter, r *http.Request) {
	var p serverpool.PrefillRequest
	bad, ok := d.read(w, r, &p)
	if !ok {
		return
	}
	if bad.Deaf {
		<-r.Context().Done()
		return
	}
	if why := d.enter("reader"); why != "" {
		d.turnAway(w, 503, "shed", "reader", why, p.Request)
		return
	}
	defer d.exit()
	chars, cached := 0, 0
	d.mu.Lock()
	n := d.busy
	for i, c := range p.PrefixHashes {
		if d.held[c] {
			cached = i + 1
		}
	}
	d.mu.Unlock()
	d.recorder.Put(history.Event{Who: d.cfg.Addr, Ev: "prefill", Request: p.Request, Term: p.Term, N: n})
	for _, x := range p.Parts[cached:] {
		chars += len(x.Text)
	}
	if !nap(r.Context(), d.slow(time.Duration(chars)*d.cfg.Char)) {
		return
	}
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	id := hex.EncodeToString(b)
	d.mu.Lock()
	for _, c := range p.PrefixHashes {
		if !d.held[c] {
			d.held[c] = true
			d.list = append(d.list, c)
		}
	}
	for len(d.list) > d.cfg.Prefixes {
		delete(d.held, d.list[0])
		d.list = d.list[1:]
	}
	for k, c := range d.kv {
		if time.Now().After(c.till) {
			delete(d.kv, k)
		}
	}
	h := serverpool.Handle{ID: id, Request: p.Request, Attempt: p.Attempt, PrefillServer: d.cfg.Addr, RecordVersion: p.RecordVersion, CachedParts: cached}
	for k, c := range d.kv {
		if c.request != p.Request && (d.bad.Foreign || d.bad.Crossed) {
			h.ID = k
			if d.bad.Crossed {
				h.Request, h.Attempt = c.request, c.attempt
			}
		}
	}
	d.kv[id] = cache{p.Request, p.Attempt, script.Prompt(p.Parts), time.Now().Add(d.cfg.Keep)}
	d.mu.Unlock()
	respond(w, 200, h)
}

// hand gives a KV cache to a decode server, saying whose it is.
func (d *FakeServer) hand(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	c, ok := d.kv[r.PathValue("id")]
	link := d.cfg.Link + d.bad.Link
	if ok && (d.bad.Lapse || time.Now().After(c.till)) {
		ok = false
	}
	d.mu.Unlock()
	if !ok {
		respond(w, 404, map[string]string{"why": "no such handle"})
		return
	}
	if r.URL.Query().Get("zone") == d.cfg.Zone {
		link -= d.cfg.Link / 2
	}
	if nap(r.Context(), link) {
		respond(w, 200, map[string]any{"request": c.request, "attempt": c.attempt, "prompt": c.prompt})
	}
}

func (d *FakeServer) decode(w http.ResponseWriter, r *http.Request) {
	var p serverpool.DecodeRequest
	bad, ok := d.read(w, r, &p)
	if !ok {
		return
	}
	if bad.Deaf {
		d.recorder.Put(history.Event{Who: d.cfg.Addr, Ev: "decode", Request: p.Handle.Request, Run: p.RunID, Once: p.OnceKey, CacheOf: p.Handle.Request})
		<-r.Context().Done()
		return
	}
	if why := d.enter("maker"); why != "" {
		d.turnAway(w, 503, "shed", "maker", why, p.Handle.Request)
		return
	}
	defer d.exit()
	from := time.Now()
	req, _ := http.NewRequestWithContext(r.Context(), "GET", "http://"+p.Handle.PrefillServer+"/kv/"+p.Handle.ID+"?zone="+d.cfg.Zone, nil)
	res, err := d.web.Do(req)
	var kv struct {
		Request string `json:"request"`
		Attempt int    `json:"attempt"`
		Prompt  uint64 `json:"prompt"`
	}
	if err == nil {
		if res.StatusCode == 200 {
			err = json.NewDecoder(res.Body).Decode(&kv)
		} else {
			err = fmt.Errorf("status %d", res.StatusCode)
		}
		_ = res.Body.Close()
	}
	if err != nil {
		d.turnAway(w, 409, "lapsed", "maker", "KV cache: "+err.Error(), p.Handle.Request)
		return
	}
	d.mu.Lock()
	d.link[p.Handle.PrefillServer] = int(time.Since(from).Milliseconds())
	n := d.busy
	d.mu.Unlock()
	if !d.cfg.Naive && (kv.Request != p.Handle.Request || kv.Attempt != p.Handle.Attempt) {
		d.turnAway(w, 409, "lapsed", "maker", "the KV cache is of another request", p.Handle.Request)
		return
	}
	d.recorder.Put(history.Event{Who: d.cfg.Addr, Ev: "decode", Request: p.Handle.Request, CacheOf: kv.Request, Run: p.RunID, Once: p.OnceKey, Term: p.Term, N: n})
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(200)
	flush := w.(http.Flusher)
	put := func(x serverpool.Piece) { b, _ := json.Marshal(x); _, _ = w.Write(append(b, '\n')); flush.Flush() }
	for i := 0; i < p.Tokens && r.Context().Err() == nil; i++ {
		if !bad.Fast && !nap(r.Context(), d.slow(d.cfg.Token)) {
			return
		}
		d.mu.Lock()
		stop, skip := d.bad.Break > 0 && i >= d.bad.Break, d.bad.Skip && i == 1
		d.mu.Unlock()
		if stop {
			panic(http.ErrAbortHandler)
		}
		if skip {
			continue
		}
		x := serverpool.Piece{Request: p.Handle.Request, RunID: p.RunID, Number: i, Text: script.Text(kv.Prompt, p.Handle.Request, p.RunID, i)}
		put(x)
		if bad.Twice && i == 1 {
			put(x)
		}
	}
	if r.Context().Err() != nil {
		return
	}
	d.recorder.Put(history.Event{Who: d.cfg.Addr, Ev: "ended", Request: p.Handle.Request, Run: p.RunID, Count: p.Tokens})
	put(serverpool.Piece{Request: p.Handle.Request, RunID: p.RunID, End: true, Count: p.Tokens})
}

func (d *FakeServer) fault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		respond(w, 400, map[string]string{"why": err.Error()})
		return
	}
	d.mu.Lock()
	d.bad = f
	if f.Lapse {
		d.kv = map[string]cache{}
	}
	d.mu.Unlock()
	respond(w, 200, map[string]string{"result": "done"})
}
