package fleetconfig

import (
	"encoding/json"
	"fmt"
	"strings"

	v "github.com/go-ozzo/ozzo-validation/v4"
)

// MaxRoutes bounds the routes of a plan.
const MaxRoutes = 100000

// Kinds of a route: what may be done with a request whose end is not known.
const (
	Safe   = "safe"   // it may run more than once
	Unsafe = "unsafe" // it runs at most once for each attempt of its client
	Stream = "stream" // as unsafe, and the answer is a series of events
)

// Share is a service's part of a route.
type Share struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"` // against the sum over the route; 0 or more
}

// Route says which service gets the requests for a host and a path.
type Route struct {
	Name         string          `json:"name"`
	Host         string          `json:"host"`                // compared without its port and in lower case
	Prefix       string          `json:"prefix"`              // begins the path; the longest counts
	Kind         string          `json:"kind"`                // Safe, Unsafe or Stream
	GiveUpMillis int             `json:"give_up_ms"`          // longest that a request is held; 1 or more
	TargetMillis int             `json:"target_ms,omitempty"` // an answer within it earns its full worth
	GapMillis    int             `json:"gap_ms,omitempty"`    // longest pause between a stream's events that is in time
	Urgency      int             `json:"urgency"`             // 0 is the most urgent
	MaxAttempts  int             `json:"tries,omitempty"`     // servers that one request may be sent to
	Sticky       bool            `json:"sticky,omitempty"`    // requests that share a prompt should meet at a server
	Resume       bool            `json:"resume,omitempty"`    // a stream may be resumed in its middle
	Services     []Share         `json:"services"`
	Regions      []string        `json:"homes,omitempty"`  // that its requests may go to; none: all
	Public       bool            `json:"public,omitempty"` // its requests need no key
	Raw          json.RawMessage `json:"raw,omitempty"`    // the item as its operator sent it
}

// Limits bound what a client may send and how long it may take; 0 is no bound.
type Limits struct {
	HeaderBytes         int             `json:"header_bytes,omitempty"`
	BodyBytes           int             `json:"body_bytes,omitempty"`
	HeaderTimeoutMillis int             `json:"header_wait_ms,omitempty"` // until the header has come
	IdleTimeoutMillis   int             `json:"idle_ms,omitempty"`        // of a connection between requests
	Raw                 json.RawMessage `json:"raw,omitempty"`            // as the operator sent them
}

// IsZero tells that nothing is bounded and nothing was sent.
//
// Example: fleetconfig.Limits{}.IsZero() == true
func (l Limits) IsZero() bool {
	isUnbounded := l.HeaderBytes == 0 && l.BodyBytes == 0 && l.HeaderTimeoutMillis == 0 && l.IdleTimeoutMillis == 0
	return isUnbounded && len(l.Raw) == 0
}

// Place is what no two routes share: the host as it is compared, and the prefix.
//
// Example: fleetconfig.Route{Host: "A.example:80", Prefix: "/x/"}.Place() == [2]string{"a.example", "/x/"}
func (r Route) Place() [2]string { return [2]string{NormalizeHost(r.Host), r.Prefix} }

// NormalizeHost brings a host to the form in which hosts are compared: lower case and
// without a port.
//
// Example: fleetconfig.NormalizeHost("A.example:8080") == "a.example"
func NormalizeHost(s string) string {
	if i := strings.LastIndexByte(s, ':'); i >= 0 && strings.IndexByte(s[i:], ']') < 0 {
		if strings.IndexByte(s, ':') == i || s[0] == '[' { // else a bare IPv6 address, which has no port
			s = s[:i]
		}
	}
	return strings.ToLower(s)
}

// validateRoutes lists every fault of the routes; services are the plan's.
func (p Plan) validateRoutes(services map[string]bool, f *Faults) {
	if len(p.Routes) > MaxRoutes {
		f.Add("plan.routes: %d, at most %d are taken", len(p.Routes), MaxRoutes)
	}
	names, places := make(map[string]int, len(p.Routes)), make(map[[2]string]int, len(p.Routes))
	for i := range p.Routes {
		r := &p.Routes[i]
		r.validateFields(i, f)
		if j, ok := names[r.Name]; ok {
			f.Add("routes[%d].name: %q stands already in routes[%d]", i, r.Name, j)
		}
		names[r.Name] = i
		place := r.Place()
		if j, ok := places[place]; ok {
			f.Add("routes[%d].prefix: host %q and prefix %q stand already in routes[%d]", i, r.Host, r.Prefix, j)
		}
		places[place] = i
		r.validateShares(i, services, f)
	}
}

// validateFields lists the faults of a route's own fields; it stands at a place of the plan.
func (r *Route) validateFields(place int, f *Faults) {
	isKnownKind := r.Kind == Safe || r.Kind == Unsafe || r.Kind == Stream
	if hasFault := r.Name == "" || !isKnownKind || r.GiveUpMillis < 1; !hasFault {
		return // the leader waits meanwhile: the slow validation is for faults only
	}
	f.addError(fmt.Sprintf("routes[%d]", place), v.ValidateStruct(r,
		v.Field(&r.Name, v.Required),
		v.Field(&r.Kind, v.Required, v.In(Safe, Unsafe, Stream).Error("expected safe, unsafe or stream")),
		v.Field(&r.GiveUpMillis, v.Required, v.Min(1))))
}

// validateShares lists the faults of a route's services; it stands at a place of the plan.
func (r *Route) validateShares(place int, services map[string]bool, f *Faults) {
	sum := 0.0
	for j, share := range r.Services {
		if !services[share.Service] {
			f.Add("routes[%d].services[%d]: no service %q in the plan", place, j, share.Service)
		}
		if share.Weight < 0 {
			f.Add("routes[%d].services[%d].weight: %v: expected 0 or more", place, j, share.Weight)
		}
		sum += max(0, share.Weight)
	}
	if sum == 0 {
		f.Add("routes[%d].services: the weights sum to 0", place)
	}
}
