// Package fakeserver is a fake model server: it prefills or decodes as ordered, caches
// prefixes and KV caches, reports its usage, and records the calls it gets. It checks no
// rule of the fleet; proof/judge does that from the records.
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
	"mulleinmast/wire/httpresponse"
)

// Config configures a fake server.
type Config struct {
	Addr               string
	Zone               string
	Capacity           int
	PrefillTimePerChar time.Duration // prefill time per uncached character
	DecodeTimePerPiece time.Duration // decode time per piece
	HandleLifetime     time.Duration // lifetime of a handle
	TransferTime       time.Duration // time to transfer a KV cache from another server
	Prefixes           int           // capacity of the prefix cache
	Warm               time.Duration // warm-up time after the start
	Naive              bool          // decode with any KV cache that a handle refers to, without checking its request
}

// Fault is the misbehavior that a test switches on.
type Fault struct {
	Leaving bool          `json:"leaving"`
	Link    time.Duration `json:"link_ns"`
	Lapse   bool          `json:"lapse"`   // all handles expire immediately
	Break   int           `json:"break"`   // streams break after this number of pieces
	Foreign bool          `json:"foreign"` // return another request's handle as if it belonged to this request
	Crossed bool          `json:"crossed"` // return another request's handle, unchanged
	Twice   bool          `json:"twice"`   // send a piece twice
	Deaf    bool          `json:"deaf"`    // accept requests and never answer
	Slow    int           `json:"slow"`    // factor by which all work is slowed down
	Fast    bool          `json:"fast"`    // send pieces without a pause
	Skip    bool          `json:"skip"`    // skip a piece
}

// cache is the KV cache of a request.
type cache struct {
	request string
	attempt int
	prompt  uint64
	expires time.Time
}

// FakeServer is a fake model server.
type FakeServer struct {
	cfg             Config
	recorder        *history.Recorder
	born            time.Time
	mu              sync.Mutex
	role            string // as ordered
	term            uint64 // of the last order
	orderNo         uint64 // of the last order
	busy            int    // slots in use
	cachedPrefixes  map[uint64]bool
	prefixOrder     []uint64         // cached prefixes, oldest first
	kvCaches        map[string]cache // by handle
	linkTimes       map[string]int   // last transfer time in ms, by prefill server
	currentFault    Fault
	leavingReported bool // a usage report has said that the server is leaving
	client          *http.Client
}

// maxCacheAnswer is the longest answer with a KV cache, in bytes.
const maxCacheAnswer = 64 << 10

// New returns the handler of a fake server. The server has no role until it is ordered one.
//
// Example: http.ListenAndServe(cfg.Addr, fakeserver.New(cfg, records))
func New(cfg Config, recorder *history.Recorder) http.Handler {
	d := &FakeServer{cfg: cfg, recorder: recorder, born: time.Now(), cachedPrefixes: map[uint64]bool{}, kvCaches: map[string]cache{}, linkTimes: map[string]int{}, client: httpresponse.NewClient(10 * time.Second)}
	recorder.Put(history.Event{Who: cfg.Addr, Ev: "boot", N: cfg.Capacity, Zone: cfg.Zone, Warm: cfg.Warm.Nanoseconds()})
	m := http.NewServeMux()
	m.HandleFunc("GET /usage", d.usage)
	m.HandleFunc("POST /order", d.order)
	m.HandleFunc("POST /prefill", d.prefill)
	m.HandleFunc("POST /decode", d.decode)
	m.HandleFunc("GET /kv/{id}", d.sendCache)
	m.HandleFunc("POST /fault", d.fault)
	return m
}

// respond answers with a JSON body.
func respond(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}

// reject records a rejected call and answers it.
func (d *FakeServer) reject(w http.ResponseWriter, code int, result, part, why, req string) {
	d.recorder.Put(history.Event{Who: d.cfg.Addr, Ev: result, Part: part, Request: req, Why: why})
	respond(w, code, map[string]string{"result": result, "why": why})
}

func (d *FakeServer) usage(w http.ResponseWriter, _ *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	links := map[string]int{}
	for a, ms := range d.linkTimes {
		links[a] = ms
	}
	if d.currentFault.Leaving != d.leavingReported { // the first report that tells a daemon
		d.leavingReported = d.currentFault.Leaving
		d.recorder.Put(history.Event{Who: d.cfg.Addr, Ev: map[bool]string{true: "leaving", false: "staying"}[d.leavingReported]})
	}
	up := time.Since(d.born)
	respond(w, 200, map[string]any{"active": d.busy, "uptime_ms": up.Milliseconds(), "leaving": d.currentFault.Leaving, "warming": up < d.cfg.Warm, "links_ms": links})
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
	if o.Term < d.term || o.Term == d.term && o.No <= d.orderNo {
		respond(w, 409, map[string]string{"result": "shed", "why": "an order of an older term"})
		return
	}
	d.term, d.orderNo, d.role = o.Term, o.No, o.Part
	respond(w, 200, map[string]string{"result": "done"})
}

// slowed returns a duration multiplied by the factor of the current fault.
func (d *FakeServer) slowed(t time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return t * time.Duration(max(1, d.currentFault.Slow))
}

// sleep waits and reports whether the context is still valid.
func sleep(ctx context.Context, t time.Duration) bool {
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

// acquireSlot takes a slot for a role, or returns the reason why it cannot.
func (d *FakeServer) acquireSlot(role string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.role != role:
		return "not a " + role
	case d.busy >= d.cfg.Capacity:
		return "full"
	}
	d.busy++
	return ""
}

// releaseSlot returns a slot.
func (d *FakeServer) releaseSlot() {
	d.mu.Lock()
	d.busy--
	d.mu.Unlock()
}

// readCall decodes the body of a call and returns the current fault.
func (d *FakeServer) readCall(w http.ResponseWriter, r *http.Request, call any) (currentFault Fault, ok bool) {
	if err := json.NewDecoder(r.Body).Decode(call); err != nil {
		respond(w, 400, map[string]string{"why": err.Error()})
		return currentFault, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.currentFault, true
}

func (d *FakeServer) prefill(w http.ResponseWriter, r *http.Request) {
	var p serverpool.PrefillRequest
	currentFault, ok := d.readCall(w, r, &p)
	if !ok {
		return
	}
	if currentFault.Deaf {
		<-r.Context().Done()
		return
	}
	if why := d.acquireSlot("reader"); why != "" {
		d.reject(w, 503, "shed", "reader", why, p.Request)
		return
	}
	defer d.releaseSlot()
	chars, cachedParts := 0, 0
	d.mu.Lock()
	n := d.busy
	for i, c := range p.PrefixHashes {
		if d.cachedPrefixes[c] {
			cachedParts = i + 1
		}
	}
	d.mu.Unlock()
	d.recorder.Put(history.Event{Who: d.cfg.Addr, Ev: "prefill", Request: p.Request, Term: p.Term, N: n})
	for _, x := range p.Parts[cachedParts:] {
		chars += len(x.Text)
	}
	if !sleep(r.Context(), d.slowed(time.Duration(chars)*d.cfg.PrefillTimePerChar)) {
		return
	}
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	id := hex.EncodeToString(b)
	d.mu.Lock()
	for _, c := range p.PrefixHashes {
		if !d.cachedPrefixes[c] {
			d.cachedPrefixes[c] = true
			d.prefixOrder = append(d.prefixOrder, c)
		}
	}
	for len(d.prefixOrder) > d.cfg.Prefixes {
		delete(d.cachedPrefixes, d.prefixOrder[0])
		d.prefixOrder = d.prefixOrder[1:]
	}
	for k, c := range d.kvCaches {
		if time.Now().After(c.expires) {
			delete(d.kvCaches, k)
		}
	}
	h := serverpool.Handle{ID: id, Request: p.Request, Attempt: p.Attempt, PrefillServer: d.cfg.Addr, RecordVersion: p.RecordVersion, CachedParts: cachedParts}
	for k, c := range d.kvCaches {
		if c.request != p.Request && (d.currentFault.Foreign || d.currentFault.Crossed) {
			h.ID = k
			if d.currentFault.Crossed {
				h.Request, h.Attempt = c.request, c.attempt
			}
		}
	}
	d.kvCaches[id] = cache{p.Request, p.Attempt, script.Prompt(p.Parts), time.Now().Add(d.cfg.HandleLifetime)}
	d.mu.Unlock()
	respond(w, 200, h)
}

// sendCache transfers a KV cache to a decode server, with the request that it belongs to.
func (d *FakeServer) sendCache(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	c, ok := d.kvCaches[r.PathValue("id")]
	link := d.cfg.TransferTime + d.currentFault.Link
	if ok && (d.currentFault.Lapse || time.Now().After(c.expires)) {
		ok = false
	}
	d.mu.Unlock()
	if !ok {
		respond(w, 404, map[string]string{"why": "no such handle"})
		return
	}
	if r.URL.Query().Get("zone") == d.cfg.Zone {
		link -= d.cfg.TransferTime / 2
	}
	if sleep(r.Context(), link) {
		respond(w, 200, map[string]any{"request": c.request, "attempt": c.attempt, "prompt": c.prompt})
	}
}

func (d *FakeServer) decode(w http.ResponseWriter, r *http.Request) {
	var p serverpool.DecodeRequest
	currentFault, ok := d.readCall(w, r, &p)
	if !ok {
		return
	}
	if currentFault.Deaf {
		d.recorder.Put(history.Event{Who: d.cfg.Addr, Ev: "decode", Request: p.Handle.Request, Run: p.RunID, Once: p.OnceKey, CacheOf: p.Handle.Request})
		<-r.Context().Done()
		return
	}
	if why := d.acquireSlot("maker"); why != "" {
		d.reject(w, 503, "shed", "maker", why, p.Handle.Request)
		return
	}
	defer d.releaseSlot()
	from := time.Now()
	req, _ := http.NewRequestWithContext(r.Context(), "GET", "http://"+p.Handle.PrefillServer+"/kv/"+p.Handle.ID+"?zone="+d.cfg.Zone, nil)
	res, err := d.client.Do(req)
	var kv struct {
		Request string `json:"request"`
		Attempt int    `json:"attempt"`
		Prompt  uint64 `json:"prompt"`
	}
	if err == nil {
		if res.StatusCode == 200 {
			err = httpresponse.ReadJSON(res.Body, maxCacheAnswer, &kv)
		} else {
			err = fmt.Errorf("status %d", res.StatusCode)
		}
		_ = res.Body.Close()
	}
	if err != nil {
		d.reject(w, 409, "lapsed", "maker", "KV cache: "+err.Error(), p.Handle.Request)
		return
	}
	d.mu.Lock()
	d.linkTimes[p.Handle.PrefillServer] = int(time.Since(from).Milliseconds())
	n := d.busy
	d.mu.Unlock()
	if !d.cfg.Naive && (kv.Request != p.Handle.Request || kv.Attempt != p.Handle.Attempt) {
		d.reject(w, 409, "lapsed", "maker", "the KV cache is of another request", p.Handle.Request)
		return
	}
	d.recorder.Put(history.Event{Who: d.cfg.Addr, Ev: "decode", Request: p.Handle.Request, CacheOf: kv.Request, Run: p.RunID, Once: p.OnceKey, Term: p.Term, N: n})
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(200)
	flush := w.(http.Flusher)
	put := func(x serverpool.Piece) { b, _ := json.Marshal(x); _, _ = w.Write(append(b, '\n')); flush.Flush() }
	for i := 0; i < p.Tokens && r.Context().Err() == nil; i++ {
		if !currentFault.Fast && !sleep(r.Context(), d.slowed(d.cfg.DecodeTimePerPiece)) {
			return
		}
		d.mu.Lock()
		stop, skip := d.currentFault.Break > 0 && i >= d.currentFault.Break, d.currentFault.Skip && i == 1
		d.mu.Unlock()
		if stop {
			panic(http.ErrAbortHandler)
		}
		if skip {
			continue
		}
		x := serverpool.Piece{Request: p.Handle.Request, RunID: p.RunID, Number: i, Text: script.Text(kv.Prompt, p.Handle.Request, p.RunID, i)}
		put(x)
		if currentFault.Twice && i == 1 {
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
	d.currentFault = f
	if f.Lapse {
		d.kvCaches = map[string]cache{}
	}
	d.mu.Unlock()
	respond(w, 200, map[string]string{"result": "done"})
}
