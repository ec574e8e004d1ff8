// Package fleetconfig is the operators' configuration of the fleet: one template a tenant,
// whole plans, named changes, the lists of model servers and the zones taken out of
// service. A plan is validated in full before anything is written and is one
// record, so all of it is in force or nothing.
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

// Plan is a whole plan as it is in force.
type Plan struct {
	Version  uint64    `json:"version"` // rises with each accepted change
	ID       string    `json:"id"`      // the operator's, of the change that made this plan
	Base     uint64    `json:"base"`    // version that the change was made for
	Tenants  []Tenant  `json:"tenants"`
	Services []Service `json:"services"`
	Routes   []Route   `json:"routes,omitempty"`
	Limits   Limits    `json:"limits,omitzero"`
	// Number is the operator's own for the next version; it must be above the
	// version in force. 0: the next version is one more. A plan in force has none.
	Number uint64 `json:"number,omitempty"`
	// Needs is the format that a build must read to serve by this plan, at most 1000; 0: any build does.
	Needs int `json:"needs,omitempty"`
	// Raw is what else the operator sent, an object of further fields.
	Raw json.RawMessage `json:"raw,omitempty"`
	// PastChanges is what a build before this one remembered; see AcceptedChanges.
	PastChanges []AcceptedChange `json:"past,omitempty"`
}

// Tenant is the template that operators fill in.
type Tenant struct {
	Name          string   `json:"name"`               // 1 to 64 letters, digits, '.', '_' or '-'
	Priority      int      `json:"priority"`           // 0 is the most urgent, 9 the least
	Services      []string `json:"services,omitempty"` // that it may use; none means all
	TimeoutMillis int      `json:"budget_ms"`          // for requests that name none; 1 to 600,000
	QueueFraction float64  `json:"queue"`              // of a daemon's queue that it may fill at most; 0.001 to 1

	// The rest is for tenants whose clients are known by a key.
	ByKey bool `json:"by_key,omitempty"` // its clients come with keys; it may have none just now
	// Keys are secrets: they stand in the plan alone, and in what operators read back.
	Keys    []string        `json:"keys,omitempty"`
	Urgency *int            `json:"urgency,omitempty"` // of its requests, before that of their route; none: the route's
	Rate    float64         `json:"rate,omitempty"`    // requests a second, over all daemons; 0: no limit
	Burst   float64         `json:"burst,omitempty"`   // requests on top of the rate
	Raw     json.RawMessage `json:"raw,omitempty"`     // the item as its operator sent it
}

// IsLimited tells whether the tenant's requests have a limit.
//
// Example: fleetconfig.Tenant{Rate: 20}.IsLimited() == true
func (t Tenant) IsLimited() bool { return t.Rate > 0 }

// Service is what a plan says of one model.
type Service struct {
	Name           string   `json:"name"`              // 1 to 1024 bytes without a '/'
	PrefillServers int      `json:"readers"`           // never fewer by the controller's choice; at least 1
	DecodeServers  int      `json:"makers"`            // likewise
	Exclude        []string `json:"exclude,omitempty"` // addresses (IP and port) of servers that get no work

	// The rest is for services whose servers the platform lists; 0: not given.
	StatusPath     string          `json:"status,omitempty"`      // path at which a server answers with its state
	MaxConnections int             `json:"conns,omitempty"`       // that a server takes from all daemons together
	WarmUpSeconds  float64         `json:"cold_s,omitempty"`      // for so long after its start a server is cold
	WarmUpRate     float64         `json:"cold_rate,omitempty"`   // that a cold server bears, in requests a second
	Slots          int             `json:"slots,omitempty"`       // requests that a server works on at a time
	MemoryTokens   int             `json:"memory,omitempty"`      // of a server, in tokens
	TokenBytes     int             `json:"token_bytes,omitempty"` // moved for each token of a hand-over
	LinkMbps       float64         `json:"link_mbps,omitempty"`   // of a server, for hand-overs, in megabits a second
	TokensPerEvent int             `json:"stride,omitempty"`      // tokens in one event of a stream
	HandleSeconds  float64         `json:"hold_s,omitempty"`      // for so long a handle of a KV cache is valid
	SwitchSeconds  float64         `json:"switch_s,omitempty"`    // that a change of role takes
	Models         []string        `json:"models,omitempty"`
	Raw            json.RawMessage `json:"raw,omitempty"` // the item as its operator sent it
}

// AcceptedChange is the id of an accepted change and the version that it became, so that a
// plan that is sent again gets the same answer.
type AcceptedChange struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
}

// Template is an example for operators to fill in.
//
// Example: json.Marshal(fleetconfig.Template())
func Template() Plan {
	return Plan{
		ID:       "change-me",
		Tenants:  []Tenant{{Name: "tenant", Priority: 5, TimeoutMillis: 30000, QueueFraction: 0.5}},
		Services: []Service{{Name: "model", PrefillServers: 1, DecodeServers: 1}},
	}
}
