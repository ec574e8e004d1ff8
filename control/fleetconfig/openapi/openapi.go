// Package openapi imports services from OpenAPI documents: each model that operations name
// in the extension x-model becomes a named change that adds a service to the plan.
package openapi

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/getkin/kin-openapi/openapi3"

	"mulleinmast/control/fleetconfig"
)

// modelExtension is the OpenAPI extension that names the model of an operation.
const modelExtension = "x-model"

// Read converts an OpenAPI document into named changes. The caller must set the id of the
// changes, and set their base to the current version of the plan.
//
// Example: changes, faults := openapi.Read(file)
func Read(doc []byte) (changes fleetconfig.Changes, faults fleetconfig.Faults) {
	spec, err := openapi3.NewLoader().LoadFromData(doc)
	if err != nil {
		faults.Add("openapi: %v", err)
		return changes, faults
	}
	models := readModels(spec, &faults)
	for _, model := range slices.Sorted(maps.Keys(models)) {
		service := &fleetconfig.Service{Name: model, PrefillServers: 1, DecodeServers: 1}
		changes.Changes = append(changes.Changes, fleetconfig.Change{Op: fleetconfig.OpSetService, Service: service})
	}
	if len(models) == 0 && !faults.Any() {
		faults.Add("openapi: no operation names a model (%s)", modelExtension)
	}
	return changes, faults
}

// readModels returns the names of the models of all operations.
func readModels(spec *openapi3.T, faults *fleetconfig.Faults) map[string]bool {
	models := map[string]bool{}
	for path, item := range spec.Paths.Map() {
		for verb, operation := range item.Operations() {
			extension, ok := operation.Extensions[modelExtension]
			if !ok {
				continue
			}
			name, err := modelName(extension)
			if err != nil {
				faults.Add("%s %s: %s: %v", verb, path, modelExtension, err)
			}
			if !fleetconfig.IsValidName(name) {
				faults.Add("%s %s: %s: %q: expected 1 to 64 letters, digits, '.', '_' or '-'", verb, path, modelExtension, name)
				continue
			}
			models[name] = true
		}
	}
	return models
}

// modelName returns the value of the extension, which the loader may have left as raw JSON.
func modelName(extension any) (name string, err error) {
	raw, isRaw := extension.(json.RawMessage)
	if !isRaw {
		return fmt.Sprint(extension), nil
	}
	err = json.Unmarshal(raw, &name)
	return name, err
}
