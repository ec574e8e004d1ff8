package fleetconfig

import (
	"encoding/json"
	"fmt"

	v "github.com/go-ozzo/ozzo-validation/v4"

	"mulleinmast/wire/message"
)

// Server is one entry of the platform's list.
type Server struct {
	ID       string `json:"id,omitempty"` // of this start of the server, where the platform gives one
	Addr     string `json:"addr"`         // IP address and port
	Zone     string `json:"cell"`
	Capacity int    `json:"capacity"` // requests that it works on at a time; 1 to 4096
	Leaving  bool   `json:"leaving,omitempty"`
	Role     string `json:"part,omitempty"`    // that the platform says it plays; "": it is to be polled and ordered
	Warming  bool   `json:"warming,omitempty"` // the platform says so
}

// Key names a server within its service: the id of its start, else its address.
//
// Example: fleetconfig.Server{Addr: "10.0.0.1:9000"}.Key() == "10.0.0.1:9000"
func (s Server) Key() string {
	if s.ID != "" {
		return s.ID
	}
	return s.Addr
}

// List is a service's servers as the platform names them.
type List struct {
	// Version is the platform's own count; a list with a lower one is in conflict. 0: it doesn't count.
	Version uint64   `json:"version,omitempty"`
	Servers []Server `json:"servers"`
}

// ReadList reads a list record; absence is the empty list. The error is of one
// that this build can't read.
//
// Example: list, err := fleetconfig.ReadList(rec)
func ReadList(r message.Record) (l List, err error) {
	if !r.Deleted && len(r.Value) > 0 {
		err = unreadable(r, json.Unmarshal(r.Value, &l))
	}
	return l, err
}

// OpenList is ReadList for records that were found readable before; it panics on others.
//
// Example: for _, s := range fleetconfig.OpenList(rec).Servers { ... }
func OpenList(r message.Record) List {
	l, err := ReadList(r)
	if err != nil {
		panic(err)
	}
	return l
}

// Validate lists every fault of a server list.
//
// Example: if f := list.Validate(); f.Any() { ... }
func (l List) Validate() (f Faults) {
	places := map[string]int{} // by key
	for i, s := range l.Servers {
		at := fmt.Sprintf("servers[%d]", i)
		f.addError(at, s.validate())
		if j, ok := places[s.Key()]; ok {
			f.Add("%s: %q is listed already in servers[%d]", at, s.Key(), j)
		}
		places[s.Key()] = i
	}
	return f
}

func (s Server) validate() error {
	return v.ValidateStruct(&s,
		v.Field(&s.Addr, v.Required, v.By(validateAddress)),
		v.Field(&s.Zone, v.Required, v.Match(namePattern)),
		v.Field(&s.Capacity, v.Required, v.Min(1), v.Max(4096)))
}
