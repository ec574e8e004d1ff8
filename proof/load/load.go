// Package load is the load generator: it sends a request mix at a constant rate, checks
// every stream piece by piece and records the result of each request.
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"mulleinmast/proof/history"
	"mulleinmast/proof/script"
	"mulleinmast/traffic/serverpool"
	"mulleinmast/wire/httpresponse"
)

// Config configures a load run.
type Config struct {
	Targets []string
	Zones   []string // of the clients
	// Pick returns the daemon for a client of a zone. If nil, a random one of Targets is used.
	Pick           func(zone string, dice int) string
	Mix            string  // rangsit or pat
	Rate           float64 // requests per second
	For            time.Duration
	MaxRequests    int // maximum number of requests
	Seed           int64
	Timeout        time.Duration
	OnceKeyShare   float64 // fraction of the requests with a once key
	RepeatOnceKeys bool    // send each request with a once key a second time, to another daemon
	LongShare      float64 // fraction of the first kind of the mix; negative: as in the mix
}

// Mixes are the request mixes of the deployments.
//
// Example: load.Mixes["rangsit"][0].Model == "timetable"
var Mixes = map[string][]Kind{
	"rangsit": {
		{Name: "clearance", Model: "timetable", Part: 0.6, Shared: 6000, Own: 300, Prefixes: 12, Tokens: 12},
		{Name: "note", Model: "yardnotes", Part: 0.4, Shared: 400, Own: 120, Prefixes: 4, Tokens: 8},
	},
	"pat": {
		{Name: "dossier", Model: "dossiers", Part: 0.4, Shared: 1500, Own: 6000, Prefixes: 8, Tokens: 20},
		{Name: "question", Model: "clerk", Part: 0.6, Shared: 300, Own: 150, Prefixes: 4, Tokens: 8},
	},
}

// Kind is a kind of request.
type Kind struct {
	Name, Model string
	Part        float64
	Shared, Own int
	Prefixes    int
	Tokens      int
}

// Tenant is a tenant of the test plans, with its priority.
type Tenant struct {
	Name string
	Prio int
}

// Tenants are the tenants of the test plans, in order of priority.
//
// Example: load.Tenants[0].Prio == 0
var Tenants = []Tenant{{"express", 0}, {"regular", 4}, {"bulk", 8}}

// Run sends the requests and waits for all answers.
//
// Example: load.Run(ctx, cfg, records)
func Run(ctx context.Context, c Config, recorder *history.Recorder) {
	rng := rand.New(rand.NewSource(c.Seed))
	transport := httpresponse.NewTransport(&net.Dialer{})
	transport.MaxIdleConnsPerHost, transport.IdleConnTimeout, transport.DisableCompression = 256, 0, true
	client := &http.Client{Transport: transport}
	kinds := Mixes[c.Mix]
	var wg sync.WaitGroup
	from := time.Now()
	for i := 0; i < c.MaxRequests && time.Since(from) < c.For && ctx.Err() == nil; i++ {
		due := from.Add(time.Duration(float64(i) / c.Rate * 1e9))
		if d := time.Until(due); d > 0 {
			t := time.NewTimer(d)
			select {
			case <-ctx.Done():
			case <-t.C:
			}
			t.Stop()
		}
		kind := kinds[0]
		part := kind.Part
		if c.LongShare >= 0 {
			part = c.LongShare
		}
		if rng.Float64() >= part {
			kind = kinds[1]
		}
		tenant := Tenants[rng.Intn(len(Tenants))]
		prefix := rng.Intn(kind.Prefixes)
		parts := []serverpool.Part{{Key: fmt.Sprintf("%s-%d", kind.Name, prefix), Text: strings.Repeat(string(rune('a'+prefix%26)), kind.Shared)}, {Text: fmt.Sprintf("%d/%d ", c.Seed, i) + strings.Repeat("x", kind.Own)}}
		body := map[string]any{
			"model": kind.Model, "tenant": tenant.Name, "tokens": kind.Tokens, "budget_ms": c.Timeout.Milliseconds(),
			"parts": parts,
		}
		key := ""
		if rng.Float64() < c.OnceKeyShare {
			key = fmt.Sprintf("k%d-%d-%d", c.Seed, from.UnixNano(), i)
			body["once"] = key
		}
		zone := ""
		if len(c.Zones) > 0 {
			zone = c.Zones[rng.Intn(len(c.Zones))]
		}
		pick := func() string {
			if c.Pick != nil {
				return c.Pick(zone, rng.Intn(1<<20))
			}
			return c.Targets[rng.Intn(len(c.Targets))]
		}
		a, b := pick(), pick()
		raw, _ := json.Marshal(body)
		wg.Add(1)
		go func() {
			defer wg.Done()
			e := sendRequest(ctx, client, a, raw, script.Prompt(parts), c.Timeout)
			e.Once, e.Tenant, e.Prio, e.Mix, e.Zone = key, tenant.Name, tenant.Prio, kind.Name, zone
			recorder.Put(e)
			if key != "" && c.RepeatOnceKeys {
				e = sendRequest(ctx, client, b, raw, script.Prompt(parts), c.Timeout)
				e.Once, e.Tenant, e.Prio, e.Mix, e.Zone, e.Again = key, tenant.Name, tenant.Prio, kind.Name, zone, true
				recorder.Put(e)
			}
		}()
	}
	wg.Wait()
}

// maxRefusal is the longest body of a refusal, in bytes.
const maxRefusal = 64 << 10

// sendRequest sends a request and checks its answer.
func sendRequest(ctx context.Context, client *http.Client, to string, raw []byte, prompt uint64, timeout time.Duration) (e history.Event) {
	ctx, done := context.WithTimeout(ctx, timeout+5*time.Second)
	defer done()
	from := time.Now()
	e = history.Event{Who: to, Ev: "reply"}
	defer func() { e.Took = time.Since(from).Nanoseconds() }()
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+to+"/v1/generate", bytes.NewReader(raw))
	if err != nil {
		e.Result, e.Why = "error", err.Error()
		return e
	}
	req.GetBody = nil
	res, err := client.Do(req)
	if err != nil {
		e.Result, e.Why = "error", err.Error()
		if ctx.Err() != nil { // no answer within its timeout plus five seconds
			e.Result = "hung"
		}
		return e
	}
	defer func() { _ = res.Body.Close() }()
	e.Request = res.Header.Get("X-Request")
	if res.StatusCode != 200 {
		var answer struct {
			Result string `json:"result"`
			Why    string `json:"why"`
			After  int64  `json:"retry_after_ms"`
		}
		if err := httpresponse.ReadJSON(res.Body, maxRefusal, &answer); err != nil {
			e.Result, e.Why = "error", err.Error()
			return e
		}
		e.Result, e.Why, e.After = answer.Result, answer.Why, answer.After
		if answer.Result == "shed" && res.Header.Get("Retry-After") == "" {
			e.Result, e.Why = "wrong", "refused without Retry-After"
		}
		return e
	}
	r := bufio.NewReader(res.Body)
	reader := script.Prefill{Prompt: prompt, Request: e.Request}
	for {
		line, err := r.ReadBytes('\n')
		if err != nil {
			if e.Result == "" {
				e.Result, e.Why = "broken", fmt.Sprintf("broke off after %d pieces", reader.N)
			}
			return e
		}
		var p serverpool.Piece
		if err := json.Unmarshal(line, &p); err != nil {
			e.Result, e.Why = "wrong", "piece can't be read"
			return e
		}
		if e.First == 0 {
			e.First = time.Since(from).Nanoseconds()
		}
		end, broken, why := reader.Next(p)
		e.Run, e.Count = reader.Run, reader.N
		switch {
		case why != "":
			e.Result, e.Why = "wrong", why
			return e
		case broken != "":
			e.Result, e.Why = "broken", broken
		case end:
			if rest, _ := r.ReadByte(); rest != 0 {
				e.Result, e.Why = "wrong", "bytes after the end piece"
				return e
			}
			e.Result = "ok"
			return e
		}
	}
}

// Report summarizes a load run.
type Report struct {
	All      int
	Results  map[string]int
	Refusals map[string]int
	P50      map[string]time.Duration // of served requests, by tenant
	P99      map[string]time.Duration
	Served   map[string]float64 // fraction served, by tenant
	First    time.Duration      // median time to first piece
	Refusal  time.Duration      // 99th percentile of the time to a refusal
}

// Sum returns the report of a client's history.
//
// Example: fmt.Print(load.Sum(events))
func Sum(ev []history.Event) Report {
	r := Report{Results: map[string]int{}, Refusals: map[string]int{}, P50: map[string]time.Duration{}, P99: map[string]time.Duration{}, Served: map[string]float64{}}
	took := map[string][]int64{}
	all := map[string]int{}
	var first, refused []int64
	for _, e := range ev {
		if e.Ev != "reply" {
			continue
		}
		r.All++
		r.Results[e.Result]++
		if !e.Again {
			all[e.Tenant]++
		}
		switch e.Result {
		case "ok":
			took[e.Tenant] = append(took[e.Tenant], e.Took)
			first = append(first, e.First)
		case "shed":
			r.Refusals[e.Why]++
			refused = append(refused, e.Took)
		}
	}
	quantile := func(list []int64, q float64) time.Duration {
		if len(list) == 0 {
			return 0
		}
		sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
		return time.Duration(list[int(q*float64(len(list)-1))])
	}
	for t, list := range took {
		r.P50[t], r.P99[t] = quantile(list, 0.5), quantile(list, 0.99)
		r.Served[t] = float64(len(list)) / float64(max(1, all[t]))
	}
	r.First, r.Refusal = quantile(first, 0.5), quantile(refused, 0.99)
	return r
}

// String formats a report.
//
// Example: fmt.Print(load.Sum(events).String())
func (r Report) String() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "requests %d: %v\n", r.All, r.Results)
	for _, t := range Tenants {
		if r.P50[t.Name] > 0 {
			_, _ = fmt.Fprintf(&b, "  %-8s priority %d: served %.3f, median %v, 99th percentile %v\n", t.Name, t.Prio, r.Served[t.Name], r.P50[t.Name].Round(time.Millisecond), r.P99[t.Name].Round(time.Millisecond))
		}
	}
	_, _ = fmt.Fprintf(&b, "  time to first piece: median %v; time to a refusal: 99th percentile %v\n", r.First.Round(time.Millisecond), r.Refusal.Round(time.Millisecond))
	reasons := make([]string, 0, len(r.Refusals))
	for w := range r.Refusals {
		reasons = append(reasons, w)
	}
	sort.Strings(reasons)
	for _, w := range reasons {
		_, _ = fmt.Fprintf(&b, "  refused %d: %s\n", r.Refusals[w], w)
	}
	return b.String()
}

// Stuck sends a request, reads its first piece and then stops reading for a while, like a
// client whose machine hangs. It returns how many bytes it could read afterwards and
// whether the answer was complete.
//
// Example: got, complete := load.Stuck(ctx, addr, body, 8*time.Second)
func Stuck(ctx context.Context, to string, raw []byte, hold time.Duration) (got int64, complete bool) {
	dial := &net.Dialer{}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial.DialContext(ctx, network, addr)
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetReadBuffer(4096)
		}
		return c, err
	}}}
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+to+"/v1/generate", bytes.NewReader(raw))
	if err != nil {
		return 0, false
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, false
	}
	defer func() { _ = res.Body.Close() }()
	r := bufio.NewReaderSize(res.Body, 4096)
	if _, err := r.ReadBytes('\n'); err != nil {
		return 0, false
	}
	t := time.NewTimer(hold)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
	for {
		line, err := r.ReadBytes('\n')
		got += int64(len(line))
		if err != nil {
			return got, complete
		}
		var p serverpool.Piece
		complete = json.Unmarshal(line, &p) == nil && p.End
	}
}
