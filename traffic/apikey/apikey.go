// Package apikey maps client API keys to tenants. Keys are secrets: an index stores only
// keyed hashes of them, and no result of a lookup contains a key.
package apikey

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"mulleinmast/control/fleetconfig"
)

// secretBytes is the length of the HMAC secret.
const secretBytes = 32

// hash is the HMAC-SHA256 of a client's key.
type hash [sha256.Size]byte

// Hasher computes keyed hashes for one process. Its secret is generated at start-up and
// never leaves the process, so that an attacker can neither construct keys whose hashes
// collide nor learn a key from the duration of a lookup.
type Hasher struct{ secret [secretBytes]byte }

// NewHasher returns a hasher with a new random secret.
//
// Example: h := apikey.NewHasher()
func NewHasher() *Hasher {
	h := &Hasher{}
	_, _ = rand.Read(h.secret[:]) // crypto/rand.Read never returns an error
	return h
}

// sum returns the keyed hash of a key.
func (h *Hasher) sum(key string) (out hash) {
	mac := hmac.New(sha256.New, h.secret[:])
	_, _ = mac.Write([]byte(key)) // hash.Hash.Write never returns an error
	mac.Sum(out[:0])
	return out
}

// Tenant holds the settings of a tenant that apply to its requests.
type Tenant struct {
	Name    string
	Urgency *int // overrides the urgency of the route; nil if the route's urgency applies
	Rate    float64
	Burst   float64
}

// IsLimited reports whether the tenant's requests are rate-limited.
//
// Example: if t.IsLimited() { acquire(t) }
func (t *Tenant) IsLimited() bool { return t.Rate > 0 }

// Index finds the tenants of one plan by their keys. It is immutable and safe for
// concurrent use.
type Index struct {
	hasher   *Hasher
	tenants  map[hash]*Tenant
	required bool
}

// NewIndex builds the index of a plan's tenants; call it once for each version of the plan.
//
// Example: index := apikey.NewIndex(plan, hasher)
func NewIndex(plan fleetconfig.Plan, hasher *Hasher) *Index {
	index := &Index{hasher: hasher, tenants: map[hash]*Tenant{}, required: plan.NeedsKeys()}
	for _, t := range plan.Tenants {
		tenant := &Tenant{Name: t.Name, Urgency: t.Urgency, Rate: t.Rate, Burst: t.Burst}
		for _, key := range t.Keys {
			index.tenants[hasher.sum(key)] = tenant
		}
	}
	return index
}

// Required reports whether clients need a key on routes that aren't public.
//
// Example: if index.Required() && !route.Public { authenticate() }
func (i *Index) Required() bool { return i.required }

// Find returns the tenant that a key belongs to, or nil if there is none.
//
// Example: if tenant := index.Find(key); tenant == nil { refuse(401) }
func (i *Index) Find(key string) *Tenant {
	if key == "" {
		return nil
	}
	return i.tenants[i.hasher.sum(key)]
}
