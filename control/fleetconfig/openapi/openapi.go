// Package openapi imports services from OpenAPI files: each operation that
// names a model in the extension x-model becomes a named change of the plan.
package openapi

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/getkin/kin-openapi/openapi3"

	"mulleinmast/control/fleetconfig"
)

// Read turns an OpenAPI document into named changes, to be sent with an id and
// the plan's current version as base.
//
// Example: c, f := openapi.Read(file)
func Read(doc []byte) (out fleetconfig.Changes, f fleetconfig.Faults) {
	spec, err := openapi3.NewLoader().LoadFromData(doc)
	if err != nil {
		f.Add("openapi: %v", err)
		return out, f
	}
	models := map[string]string{}
	for path, item := range spec.Paths.Map() {
		for verb, op := range item.Operations() {
			v, ok := op.Extensions["x-model"]
			if !ok {
				continue
			}
			name := ""
			if raw, isRaw := v.(json.RawMessage); isRaw {
				if err := json.Unmarshal(raw, &name); err != nil {
					f.Add("%s %s: x-model: %v", verb, path, err)
				}
			} else {
				name = fmt.Sprint(v)
			}
			if !fleetconfig.IsValidName(name) {
				f.Add("%s %s: x-model: %q: expected 1 to 64 letters, digits, '.', '_' or '-'", verb, path, name)
				continue
			}
			models[name] = path
		}
	}
	names := make([]string, 0, len(models))
	for n := range models {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		out.Changes = append(out.Changes, fleetconfig.Change{Op: "set-service", Service: &fleetconfig.Service{Name: n, PrefillServers: 1, DecodeServers: 1}})
	}
	if len(names) == 0 && !f.Any() {
		f.Add("openapi: no operation names a model (x-model)")
	}
	return out, f
}
