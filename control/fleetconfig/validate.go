package fleetconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"unicode/utf8"

	v "github.com/go-ozzo/ozzo-validation/v4"
)

// Faults collects all validation errors of an input.
type Faults struct {
	List []string `json:"faults"`
}

// Add records a fault.
//
// Example: f.Add("tenants[%d].name: %v", i, err)
func (f *Faults) Add(format string, args ...any) {
	f.List = append(f.List, fmt.Sprintf(format, args...))
}

// Any reports whether a fault was recorded.
//
// Example: if f.Any() { respond(400, f) }
func (f Faults) Any() bool { return len(f.List) > 0 }

// addError records the validation error of an item. Errors of fields are recorded one by one, in order of name.
func (f *Faults) addError(where string, err error) {
	if err == nil {
		return
	}
	var fields v.Errors
	if !errors.As(err, &fields) {
		f.Add("%s: %v", where, err)
		return
	}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		f.addError(where+"."+name, fields[name])
	}
}

// Decode reads JSON strictly: unknown fields and trailing bytes are faults.
//
// Example: f := fleetconfig.Decode(body, &plan)
func Decode(b []byte, to any) (f Faults) {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(to); err != nil {
		f.Add("body: %v (at byte %d)", err, d.InputOffset())
	} else if d.More() {
		f.Add("body: more than one JSON value (at byte %d)", d.InputOffset())
	}
	return f
}

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,63}$`)

const nameExpected = "expected 1 to 64 letters, digits, '.', '_' or '-'"

// IsValidName reports whether a name may be part of a record's key.
//
// Example: fleetconfig.IsValidName("north") == true
func IsValidName(s string) bool { return namePattern.MatchString(s) && !strings.Contains(s, "/") }

// IsValidServiceName reports whether a service may have that name.
//
// Example: fleetconfig.IsValidServiceName("time table") == true
func IsValidServiceName(s string) bool {
	return s != "" && len(s) <= 1024 && !strings.Contains(s, "/") && utf8.ValidString(s)
}

// Validate returns all faults of the plan.
//
// Example: if f := plan.Validate(); f.Any() { ... }
func (p Plan) Validate() (f Faults) {
	f.addError("plan", v.ValidateStruct(&p,
		v.Field(&p.ID, v.Required, v.Match(namePattern).Error(nameExpected)),
		v.Field(&p.Needs, v.Min(0), v.Max(maxFormat)),
		v.Field(&p.Tenants, v.Length(0, MaxTenants)),
		v.Field(&p.Services, v.Length(0, MaxServices))))
	services := p.validateServices(&f)
	p.validateTenants(services, &f)
	p.validateRoutes(services, &f)
	return f
}

// validateServices adds the faults of the services and returns the names of all services.
func (p Plan) validateServices(f *Faults) (names map[string]bool) {
	names = map[string]bool{}
	for i, s := range p.Services {
		at := fmt.Sprintf("services[%d]", i)
		f.addError(at, s.validate())
		if names[s.Name] {
			f.Add("%s.name: %q stands twice", at, s.Name)
		}
		names[s.Name] = true
	}
	return names
}

func (p Plan) validateTenants(services map[string]bool, f *Faults) {
	indexes := map[string]int{} // by name
	for i, t := range p.Tenants {
		at := fmt.Sprintf("tenants[%d]", i)
		f.addError(at, t.validate())
		if j, ok := indexes[t.Name]; ok {
			f.Add("%s.name: %q stands already in tenants[%d]", at, t.Name, j)
		}
		indexes[t.Name] = i
		for _, service := range t.Services {
			if !services[service] {
				f.Add("%s.services: no service %q in the plan", at, service)
			}
		}
	}
	p.validateKeys(f)
}

func (t Tenant) validate() error {
	return v.ValidateStruct(&t,
		v.Field(&t.Name, v.Required, v.Match(namePattern).Error(nameExpected)),
		v.Field(&t.Priority, v.Min(0), v.Max(9)),
		v.Field(&t.TimeoutMillis, v.Required, v.Min(1), v.Max(600000)),
		v.Field(&t.QueueFraction, v.Required, v.Min(0.001), v.Max(1.0)),
		v.Field(&t.Urgency, v.Min(0), v.Max(9)),
		v.Field(&t.Rate, v.Min(0.0), v.Max(maxRate)),
		v.Field(&t.Burst, v.Min(0.0), v.Max(maxRate)))
}

func (s Service) validate() error {
	return v.ValidateStruct(&s,
		v.Field(&s.Name, v.Required, v.By(validateServiceName)),
		v.Field(&s.PrefillServers, v.Required, v.Min(1)),
		v.Field(&s.DecodeServers, v.Required, v.Min(1)),
		v.Field(&s.Exclude, v.Each(v.By(validateAddress))))
}

// validateServiceName is lenient: a name only has to fit into the keys of records.
func validateServiceName(x any) error {
	if s, _ := x.(string); !IsValidServiceName(s) {
		return fmt.Errorf("%.80q: expected 1 to 1024 bytes without a '/'", s)
	}
	return nil
}

func validateAddress(x any) error {
	s, _ := x.(string)
	if _, err := netip.ParseAddrPort(s); err != nil {
		return fmt.Errorf("%q: expected an IP address and port", s)
	}
	return nil
}
