// Package fleetconfig implements the operators' configuration of the fleet: plans, named
// changes to them, the lists of model servers and the evacuated zones. A plan is validated
// completely before anything is written, and it is a single record, so it takes effect
// completely or not at all.
package fleetconfig

import "encoding/json"

//go:generate go tool msgp -tests=false -io=false -file . -o fleetconfig_gen.go
//msgp:tag json
//msgp:replace json.RawMessage with:[]byte
//msgp:ignore AcceptedChanges Change Changes Codec Faults List PlanReader Server Verdict draft itemList

// Bounds on a plan's size.
const (
	MaxTenants  = 20000
	MaxServices = 5000
)

// Plan is a complete configuration of tenants, services, routes and limits.
type Plan struct {
	Version  uint64    `json:"version"` // increases with each accepted change
	ID       string    `json:"id"`      // of the change that created this plan, chosen by the operator
	Base     uint64    `json:"base"`    // version that the change applied to
	Tenants  []Tenant  `json:"tenants"`
	Services []Service `json:"services"`
	Routes   []Route   `json:"routes,omitempty"`
	Limits   Limits    `json:"limits,omitzero"`
	// KeysRequired means that clients need keys although no tenant is identified by keys: the operator's list
	// of such tenants is there and empty. Routes that aren't public are then open to nobody.
	KeysRequired bool `json:"keys_required,omitempty"`
	// Number is the version that the operator chose for the plan, above the current version;
	// 0: the current version plus one. It is 0 in an accepted plan.
	Number uint64 `json:"number,omitempty"`
	// Needs is the format that a build must read to serve requests by this plan, at most 1000; 0: any.
	Needs int `json:"needs,omitempty"`
	// Raw is an object of further fields that the operator sent.
	Raw json.RawMessage `json:"raw,omitempty"`
	// PastChanges holds accepted changes in plans of older builds. This build stores them as AcceptedChanges.
	PastChanges []AcceptedChange `json:"past,omitempty"`
}

// Tenant is the configuration of a tenant. Template returns an example.
type Tenant struct {
	Name          string   `json:"name"`               // 1 to 64 letters, digits, '.', '_' or '-'
	Priority      int      `json:"priority"`           // 0 is the most urgent, 9 the least
	Services      []string `json:"services,omitempty"` // services that it may use; none: all
	TimeoutMillis int      `json:"budget_ms"`          // timeout of requests that set none; 1 to 600,000
	QueueFraction float64  `json:"queue"`              // maximum fraction of a daemon's queue that it may fill; 0.001 to 1

	// The fields below are for tenants whose clients are identified by keys.
	ByKey bool `json:"by_key,omitempty"` // its clients need keys, even while Keys is empty
	// Keys are secrets: they appear only in the plan and in operators' reads of it.
	Keys    []string        `json:"keys,omitempty"`
	Urgency *int            `json:"urgency,omitempty"` // overrides the urgency of the route; nil: the route's urgency
	Rate    float64         `json:"rate,omitempty"`    // requests a second over all daemons; 0: no limit
	Burst   float64         `json:"burst,omitempty"`   // requests allowed in excess of the rate
	Raw     json.RawMessage `json:"raw,omitempty"`     // the tenant as sent by the operator
}

// IsLimited reports whether the rate of the tenant's requests is limited.
//
// Example: fleetconfig.Tenant{Rate: 20}.IsLimited() == true
func (t Tenant) IsLimited() bool { return t.Rate > 0 }

// Service is the configuration of the servers of a model.
type Service struct {
	Name           string   `json:"name"`              // 1 to 1024 bytes without a '/'
	PrefillServers int      `json:"readers"`           // minimum that the controller keeps; at least 1
	DecodeServers  int      `json:"makers"`            // minimum, as for PrefillServers
	Exclude        []string `json:"exclude,omitempty"` // addresses (IP and port) of servers that get no work

	// The fields below are for services whose servers the platform lists; 0: not set.
	StatusPath     string          `json:"status,omitempty"`      // path at which a server reports its state
	MaxConnections int             `json:"conns,omitempty"`       // maximum for a server, over all daemons
	WarmUpSeconds  float64         `json:"cold_s,omitempty"`      // time after its start during which a server is cold
	WarmUpRate     float64         `json:"cold_rate,omitempty"`   // requests a second that a cold server sustains
	Slots          int             `json:"slots,omitempty"`       // concurrent requests of a server
	MemoryTokens   int             `json:"memory,omitempty"`      // capacity of a server, in tokens
	TokenBytes     int             `json:"token_bytes,omitempty"` // bytes transferred for each token of a hand-over
	LinkMbps       float64         `json:"link_mbps,omitempty"`   // bandwidth of a server for hand-overs, in Mbit/s
	TokensPerEvent int             `json:"stride,omitempty"`      // tokens in each event of a stream
	HandleSeconds  float64         `json:"hold_s,omitempty"`      // time for which a handle of a KV cache is valid
	SwitchSeconds  float64         `json:"switch_s,omitempty"`    // duration of a change of role
	Models         []string        `json:"models,omitempty"`
	Raw            json.RawMessage `json:"raw,omitempty"` // the service as sent by the operator
}

// AcceptedChange is the id of an accepted change and the resulting version. It is kept so
// that a repeated proposal gets the same answer.
type AcceptedChange struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
}

// Template returns an example plan for operators to edit.
//
// Example: json.Marshal(fleetconfig.Template())
func Template() Plan {
	return Plan{
		ID:       "change-me",
		Tenants:  []Tenant{{Name: "tenant", Priority: 5, TimeoutMillis: 30000, QueueFraction: 0.5}},
		Services: []Service{{Name: "model", PrefillServers: 1, DecodeServers: 1}},
	}
}
