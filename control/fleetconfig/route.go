package fleetconfig

import (
	"encoding/json"
	"fmt"
	"strings"

	v "github.com/go-ozzo/ozzo-validation/v4"
)

// MaxRoutes is the maximum number of routes in a plan.
const MaxRoutes = 100000

// Kinds of a route. They determine whether a request of unknown outcome may be repeated.
const (
	Safe   = "safe"   // the request may run more than once
	Unsafe = "unsafe" // the request runs at most once for each attempt of its client
	Stream = "stream" // like Unsafe, and the answer is a stream of events
)

// Share is the share of a route's requests that a service gets.
type Share struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"` // relative to the sum of the route's weights; 0 or more
}

// Route assigns the requests for a host and a path prefix to services.
type Route struct {
	Name         string          `json:"name"`
	Host         string          `json:"host"`                // compared in lower case and without its port
	Prefix       string          `json:"prefix"`              // of the path; the longest match wins
	Kind         string          `json:"kind"`                // Safe, Unsafe or Stream
	GiveUpMillis int             `json:"give_up_ms"`          // maximum time to hold a request; 1 or more
	TargetMillis int             `json:"target_ms,omitempty"` // answers within this time count in full
	GapMillis    int             `json:"gap_ms,omitempty"`    // events of a stream at most this far apart count as on time
	Urgency      int             `json:"urgency"`             // 0 is the most urgent
	MaxAttempts  int             `json:"tries,omitempty"`     // maximum number of servers that a request is sent to
	Sticky       bool            `json:"sticky,omitempty"`    // send requests with a common prompt to the same server
	Resume       bool            `json:"resume,omitempty"`    // an interrupted stream may be resumed
	Services     []Share         `json:"services"`
	Regions      []string        `json:"homes,omitempty"`  // regions in which its requests may be served; none: all
	Public       bool            `json:"public,omitempty"` // requests need no key
	Raw          json.RawMessage `json:"raw,omitempty"`    // the route as sent by the operator
}

// Limits bound the size and the duration of clients' requests; 0 means no bound.
type Limits struct {
	HeaderBytes         int             `json:"header_bytes,omitempty"`
	BodyBytes           int             `json:"body_bytes,omitempty"`
	HeaderTimeoutMillis int             `json:"header_wait_ms,omitempty"` // for receiving the header
	IdleTimeoutMillis   int             `json:"idle_ms,omitempty"`        // for a connection between requests
	Raw                 json.RawMessage `json:"raw,omitempty"`            // the limits as sent by the operator
}

// IsZero reports whether no limit is set and the operator sent no further fields.
//
// Example: fleetconfig.Limits{}.IsZero() == true
func (l Limits) IsZero() bool {
	isUnbounded := l.HeaderBytes == 0 && l.BodyBytes == 0 && l.HeaderTimeoutMillis == 0 && l.IdleTimeoutMillis == 0
	return isUnbounded && len(l.Raw) == 0
}

// MatchKey returns the normalized host and the prefix, which are unique among the routes of
// a plan.
//
// Example: fleetconfig.Route{Host: "A.example:80", Prefix: "/x/"}.MatchKey() == [2]string{"a.example", "/x/"}
func (r Route) MatchKey() [2]string { return [2]string{NormalizeHost(r.Host), r.Prefix} }

// NormalizeHost returns a host in the form in which hosts are compared: in lower case and
// without a port.
//
// Example: fleetconfig.NormalizeHost("A.example:8080") == "a.example"
func NormalizeHost(s string) string {
	if i := strings.LastIndexByte(s, ':'); i >= 0 && strings.IndexByte(s[i:], ']') < 0 {
		if strings.IndexByte(s, ':') == i || s[0] == '[' { // otherwise it is a bare IPv6 address, which has no port
			s = s[:i]
		}
	}
	return strings.ToLower(s)
}

// validateRoutes adds all faults of the routes. services holds the names of the plan's services.
func (p Plan) validateRoutes(services map[string]bool, f *Faults) {
	if len(p.Routes) > MaxRoutes {
		f.Add("plan.routes: %d, at most %d are taken", len(p.Routes), MaxRoutes)
	}
	names, matchKeys := make(map[string]int, len(p.Routes)), make(map[[2]string]int, len(p.Routes))
	for i := range p.Routes {
		r := &p.Routes[i]
		r.validateFields(i, f)
		if j, ok := names[r.Name]; ok {
			f.Add("routes[%d].name: %q stands already in routes[%d]", i, r.Name, j)
		}
		names[r.Name] = i
		key := r.MatchKey()
		if j, ok := matchKeys[key]; ok {
			f.Add("routes[%d].prefix: host %q and prefix %q stand already in routes[%d]", i, r.Host, r.Prefix, j)
		}
		matchKeys[key] = i
		r.validateShares(i, services, f)
	}
}

// validateFields adds the faults of the name, the kind and the timeout of the route at index i of the plan.
func (r *Route) validateFields(i int, f *Faults) {
	isKnownKind := r.Kind == Safe || r.Kind == Unsafe || r.Kind == Stream
	if hasFault := r.Name == "" || !isKnownKind || r.GiveUpMillis < 1; !hasFault {
		return // the leader blocks during validation, so the slow validator below runs only to describe faults
	}
	f.addError(fmt.Sprintf("routes[%d]", i), v.ValidateStruct(r,
		v.Field(&r.Name, v.Required),
		v.Field(&r.Kind, v.Required, v.In(Safe, Unsafe, Stream).Error("expected safe, unsafe or stream")),
		v.Field(&r.GiveUpMillis, v.Required, v.Min(1))))
}

// validateShares adds the faults of the services of the route at index i of the plan.
func (r *Route) validateShares(i int, services map[string]bool, f *Faults) {
	sum := 0.0
	for j, share := range r.Services {
		if !services[share.Service] {
			f.Add("routes[%d].services[%d]: no service %q in the plan", i, j, share.Service)
		}
		if share.Weight < 0 {
			f.Add("routes[%d].services[%d].weight: %v: expected 0 or more", i, j, share.Weight)
		}
		sum += max(0, share.Weight)
	}
	if sum == 0 {
		f.Add("routes[%d].services: the weights sum to 0", i)
	}
}
