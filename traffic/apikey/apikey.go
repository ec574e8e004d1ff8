// Package apikey finds the tenant that a client's key belongs to. Keys are secrets: an
// index holds keyed hashes of them, and what it returns never has one.
package apikey

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"

	"mulleinmast/control/fleetconfig"
)

// secretBytes is the length of the secret that keys are hashed with.
const secretBytes = 32

// hash is the keyed hash of a client's key.
type hash [sha256.Size]byte

// Hasher makes the hashes of one process: its secret is drawn at the start and never
// leaves the process, so that nobody can make keys whose hashes collide, or learn a key by
// how long a look-up takes.
type Hasher struct{ secret [secretBytes]byte }

// NewHasher draws a secret.
//
// Example: h := apikey.NewHasher()
func NewHasher() *Hasher {
	h := &Hasher{}
	_, _ = rand.Read(h.secret[:]) // it never fails
	return h
}

// of is the hash of a key.
func (h *Hasher) of(key string) (out hash) {
	mac := hmac.New(sha256.New, h.secret[:])
	_, _ = mac.Write([]byte(key)) // a hash takes all
	mac.Sum(out[:0])
	return out
}

// Tenant is what requests are served by of a tenant.
type Tenant struct {
	Name    string
	Urgency *int // of its requests, before that of their route; nil: the route's
	Rate    float64
	Burst   float64
}

// IsLimited tells whether the tenant's requests have a limit.
//
// Example: if t.IsLimited() { acquire(t) }
func (t *Tenant) IsLimited() bool { return t.Rate > 0 }

// Index finds the tenants of one plan by their keys. It doesn't change and may be used by
// many at once.
type Index struct {
	hasher   *Hasher
	tenants  map[hash]*Tenant
	required bool
}

// NewIndex lays out the tenants of a plan; do it once a version.
//
// Example: index := apikey.NewIndex(plan, hasher)
func NewIndex(plan fleetconfig.Plan, hasher *Hasher) *Index {
	index := &Index{hasher: hasher, tenants: map[hash]*Tenant{}, required: plan.NeedsKeys()}
	for _, t := range plan.Tenants {
		tenant := &Tenant{Name: t.Name, Urgency: t.Urgency, Rate: t.Rate, Burst: t.Burst}
		for _, key := range t.Keys {
			index.tenants[hasher.of(key)] = tenant
		}
	}
	return index
}

// Required tells whether clients need keys at all, on routes that aren't public.
//
// Example: if index.Required() && !route.Public { look() }
func (i *Index) Required() bool { return i.required }

// Find is the tenant that has a key; nil: nobody has it.
//
// Example: if tenant := index.Find(key); tenant == nil { refuse(401) }
func (i *Index) Find(key string) *Tenant {
	if key == "" {
		return nil
	}
	return i.tenants[i.hasher.of(key)]
}
