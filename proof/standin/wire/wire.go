// Package wire holds the header names, paths and message types of the platform's
// protocol for the simulation. It is written independently from the platform's
// documentation and shares no code with platform/, so that a misread name there is
// not repeated here.
package wire

import "slices"

// Headers of requests and answers.
const (
	Attempt   = "X-Mulleinmast-Attempt-Id"
	TimeLeft  = "X-Mulleinmast-Time-Left-Ms"
	Expect    = "X-Mulleinmast-Expect-Server"
	Seal      = "X-Mulleinmast-Server-Seal"
	Load      = "X-Mulleinmast-Server-Load"
	NotRun    = "X-Mulleinmast-Not-Run"
	Urgency   = "X-Mulleinmast-Urgency"
	Stage     = "X-Mulleinmast-Stage"
	Memory    = "X-Mulleinmast-Prompt-Memory-From"
	Model     = "X-Mulleinmast-Model"
	Tokens    = "X-Mulleinmast-Token-Count"
	Prefix    = "X-Mulleinmast-Prompt-Prefix"
	ServedBy  = "X-Mulleinmast-Served-By"
	ColdMs    = "X-Mulleinmast-Cold-Ms"
	LastEvent = "Last-Event-Id"
	RetryIn   = "Retry-After"
	Encoding  = "Content-Encoding"
	Tenant    = "X-Mulleinmast-Tenant"
	Key       = "Api-Key"

	Events = "text/event-stream"
)

// Paths of calls to the servers, the server list and the daemons.
const (
	OrderPath  = "/v1/order"
	ReportPath = "/v1/report"
	HandlePath = "/v1/kv-handle/"
	ListPath   = "/servers"
	ReadyPath  = "/v1/ready"
	ConfigPath = "/v1/config"
	EvacPath   = "/v1/evacuation/"
)

// Phases of a server (prefill and decode) and its states on the list.
const (
	Prefill  = "reading"
	Decode   = "writing"
	Ready    = "ready"
	Draining = "draining"
)

// Kinds of routes.
const (
	Safe      = "safe"
	Unsafe    = "unsafe"
	Streaming = "streaming"
)

// Weights describes a model loaded on a server.
type Weights struct {
	Name     string   `json:"name"`
	Version  int      `json:"config-version"`
	Adapters []string `json:"adapter-list"`
}

// Entry is a server's entry on the list.
type Entry struct {
	Service string    `json:"service-name"`
	Address string    `json:"address"`
	Zone    string    `json:"zone"`
	Version string    `json:"config-version"`
	Slots   int       `json:"slot-count"`
	State   string    `json:"server-state"`
	ColdMs  int64     `json:"cold-left-ms"`
	Phase   string    `json:"phase,omitempty"`
	Models  []Weights `json:"model-list,omitempty"`
	ID      string    `json:"id"`
}

// Page is one page of the list.
type Page struct {
	Servers []Entry `json:"servers"`
	Next    *string `json:"next-token"`
}

// Handle is a prefill server's answer.
type Handle struct {
	ID      string `json:"prompt-handle"`
	Tokens  int    `json:"token-count"`
	Version int    `json:"config-version"`
}

// Order is an instruction to a server, such as to change its phase.
type Order struct {
	Operation string `json:"operation"`
	Phase     string `json:"phase"`
	Holder    string `json:"holder"`
	Fence     *int64 `json:"fence-number"`
	Expected  *int   `json:"expected"`
}

// Report is a server's status report.
type Report struct {
	Phase   string    `json:"phase"`
	Models  []Weights `json:"model-list"`
	Busy    bool      `json:"is-busy"`
	Calls   int       `json:"call-count"`
	Queued  int       `json:"queued"`
	Running int       `json:"in-progress"`
	Used    int       `json:"memory-used"`
	Total   int       `json:"memory-total"`
	Handles int       `json:"prompt-handles"`
}

// Weighted is a service with its share of a route's traffic.
type Weighted struct {
	Service string  `json:"service-name"`
	Share   float64 `json:"share"`
}

// Route is a route in a configuration.
type Route struct {
	Name     string     `json:"name"`
	Host     string     `json:"host-name"`
	Start    string     `json:"path-start"`
	Kind     string     `json:"route-kind"`
	GiveUpMs int        `json:"give-up-ms"`
	TargetMs int        `json:"target-ms"`
	Urgency  int        `json:"urgency"`
	Service  string     `json:"service-name,omitempty"`
	Weighted []Weighted `json:"weighted-services,omitempty"`
	Tries    int        `json:"tries"`
	Sticky   bool       `json:"stick-to-server"`
	Resume   bool       `json:"can-resume"`
	GapMs    int        `json:"gap-target-ms,omitempty"`
	Public   bool       `json:"public"`
}

// Services returns the services to which a route may send requests.
//
// Example: if slices.Contains(r.Services(), svc) { allowed() }
func (r Route) Services() (out []string) {
	if r.Service != "" {
		return []string{r.Service}
	}
	for _, w := range r.Weighted {
		if w.Share > 0 {
			out = append(out, w.Service)
		}
	}
	return out
}

// Repeatable reports whether requests of this route may run more than once.
//
// Example: if !r.Repeatable() && runs > 1 { broken() }
func (r Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Streaming && r.Resume }

// Runtime holds a service's settings for model servers.
type Runtime struct {
	Slots      int       `json:"slot-count"`
	Memory     int       `json:"memory-tokens"`
	TokenBytes int       `json:"token-bytes"`
	Mbps       float64   `json:"network-mbps"`
	Interval   int       `json:"interval"`
	HoldS      float64   `json:"hold-s"`
	SwitchS    float64   `json:"switch-time-s"`
	Models     []Weights `json:"model-list"`
}

// Service is a service in a configuration.
type Service struct {
	Name     string   `json:"name"`
	Health   string   `json:"health-path"`
	Conns    int      `json:"max-conns"`
	Protocol string   `json:"protocol"`
	TLS      bool     `json:"use-tls"`
	ColdS    float64  `json:"cold-s"`
	ColdRate float64  `json:"cold-per-s"`
	Runtime  *Runtime `json:"runtime,omitempty"`
}

// Customer is a tenant in a configuration.
type Customer struct {
	Name    string   `json:"name"`
	Keys    []string `json:"api-keys"`
	Urgency *int     `json:"urgency,omitempty"`
	Rate    float64  `json:"rate-per-s,omitempty"` // requests per second; 0: no limit
	Burst   float64  `json:"burst-size,omitempty"`
}

// Limits bounds the size and timing of client requests.
type Limits struct {
	HeaderBytes  int `json:"max-header-bytes"`
	BodyBytes    int `json:"max-body-bytes"`
	HeaderWaitMs int `json:"header-wait-ms"`
	IdleMs       int `json:"idle-limit-ms"`
}

// Config is a complete configuration.
type Config struct {
	Version  int       `json:"config-version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`

	// Customers is nil if the configuration has none; an empty list is sent as such.
	Customers []Customer `json:"customers,omitzero"`
}

// NeedsKeys reports whether requests need a key on routes that aren't public: the configuration has a list of
// customers, even an empty one.
//
// Example: if config.NeedsKeys() && !route.Public { send(key) }
func (c Config) NeedsKeys() bool { return c.Customers != nil }

// CustomerByKey returns the name of the customer that has the API key.
//
// Example: name, ok := config.CustomerByKey("x42q492cqf75rjvz48wu")
func (c Config) CustomerByKey(key string) (name string, ok bool) {
	for _, customer := range c.Customers {
		if slices.Contains(customer.Keys, key) {
			return customer.Name, true
		}
	}
	return "", false
}

// Change replaces, adds and removes named items of a configuration.
type Change struct {
	Version int `json:"config-version"`
	Replace struct {
		Routes   []Route   `json:"routes,omitempty"`
		Services []Service `json:"services,omitempty"`

		Customers []Customer `json:"customers,omitempty"`
	} `json:"replace"`
	Remove struct {
		Routes   []string `json:"routes,omitempty"`
		Services []string `json:"services,omitempty"`

		Customers []string `json:"customers,omitempty"`
	} `json:"remove"`
}

// With returns the configuration after a change: existing items keep their positions
// and new ones are appended.
//
// Example: next := config.With(change)
func (c Config) With(ch Change) Config {
	next := Config{
		Version: ch.Version, Limits: c.Limits,
		Routes:   applyChange(c.Routes, ch.Replace.Routes, ch.Remove.Routes, func(r Route) string { return r.Name }),
		Services: applyChange(c.Services, ch.Replace.Services, ch.Remove.Services, func(s Service) string { return s.Name }),
		Customers: applyChange(c.Customers, ch.Replace.Customers, ch.Remove.Customers,
			func(customer Customer) string { return customer.Name }),
	}
	if c.NeedsKeys() && next.Customers == nil {
		next.Customers = []Customer{} // the list stays when its last customer is removed
	}
	return next
}

// applyChange returns a list of named items with some replaced, appended or removed.
func applyChange[T any](list, replace []T, remove []string, name func(T) string) (out []T) {
	pending := map[string]T{}
	for _, item := range replace {
		pending[name(item)] = item
	}
	for _, item := range list {
		if next, ok := pending[name(item)]; ok {
			item = next
			delete(pending, name(item))
		}
		if !slices.Contains(remove, name(item)) {
			out = append(out, item)
		}
	}
	for _, item := range replace {
		if _, ok := pending[name(item)]; ok {
			out = append(out, item)
		}
	}
	return out
}

// Match returns the route for a host and path: the route of that host with the longest
// matching path prefix.
//
// Example: r, ok := config.Match("nony24.example", "/lohu930/2f")
func (c Config) Match(host, path string) (best Route, ok bool) {
	for _, r := range c.Routes {
		if r.Host == host && len(path) >= len(r.Start) && path[:len(r.Start)] == r.Start && (!ok || len(r.Start) > len(best.Start)) {
			best, ok = r, true
		}
	}
	return best, ok
}
