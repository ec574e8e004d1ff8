package fleetconfig

import (
	"encoding/json"
	"fmt"

	v "github.com/go-ozzo/ozzo-validation/v4"

	"mulleinmast/wire/message"
)

// Server is an entry of the platform's list of servers.
type Server struct {
	ID       string `json:"id,omitempty"` // of this start of the server, if the platform assigns one
	Addr     string `json:"addr"`         // IP address and port
	Zone     string `json:"cell"`
	Capacity int    `json:"capacity"` // concurrent requests; 1 to 4096
	Leaving  bool   `json:"leaving,omitempty"`
	Role     string `json:"part,omitempty"`    // reported by the platform; "": the server is polled and given orders
	Warming  bool   `json:"warming,omitempty"` // as reported by the platform
}

// Key identifies a server within its service: by ID, or by the address if the platform assigns no ID.
//
// Example: fleetconfig.Server{Addr: "10.0.0.1:9000"}.Key() == "10.0.0.1:9000"
func (s Server) Key() string {
	if s.ID != "" {
		return s.ID
	}
	return s.Addr
}

// List holds the servers of a service as listed by the platform.
type List struct {
	// Version is the platform's version of the list; 0: unversioned. A list with a lower version than the current
	// list is refused as a conflict.
	Version uint64   `json:"version,omitempty"`
	Servers []Server `json:"servers"`
}

// ReadList decodes a list record; a missing record is an empty list. It returns an error if
// this build can't read the record.
//
// Example: list, err := fleetconfig.ReadList(rec)
func ReadList(r message.Record) (l List, err error) {
	if !r.Deleted && len(r.Value) > 0 {
		err = unreadableError(r, json.Unmarshal(r.Value, &l))
	}
	return l, err
}

// MustReadList is like ReadList for records known to be readable; it panics on others.
//
// Example: for _, s := range fleetconfig.MustReadList(rec).Servers { ... }
func MustReadList(r message.Record) List {
	l, err := ReadList(r)
	if err != nil {
		panic(err)
	}
	return l
}

// Validate returns all faults of a server list.
//
// Example: if f := list.Validate(); f.Any() { ... }
func (l List) Validate() (f Faults) {
	indexes := map[string]int{} // by key
	for i, s := range l.Servers {
		at := fmt.Sprintf("servers[%d]", i)
		f.addError(at, s.validate())
		if j, ok := indexes[s.Key()]; ok {
			f.Add("%s: %q is listed already in servers[%d]", at, s.Key(), j)
		}
		indexes[s.Key()] = i
	}
	return f
}

func (s Server) validate() error {
	return v.ValidateStruct(&s,
		v.Field(&s.Addr, v.Required, v.By(validateAddress)),
		v.Field(&s.Zone, v.Required, v.Match(namePattern)),
		v.Field(&s.Capacity, v.Required, v.Min(1), v.Max(4096)))
}
