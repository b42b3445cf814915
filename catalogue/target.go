package catalogue

import "strings"

// adapterSeparator stands between model and adapter in the model field of callers.
const adapterSeparator = ":"

// Target names a model, or a model with an adapter.
type Target struct {
	// Model is the name of the model.
	Model string `json:"Model"`
	// Adapter is the name of the adapter, or empty.
	Adapter string `json:"Adapter,omitempty"`
}

// ParseTarget splits the model field of a caller at the first colon.
func ParseTarget(field string) Target {
	model, adapter, _ := strings.Cut(field, adapterSeparator)
	return Target{Model: model, Adapter: adapter}
}

// String returns the target as callers write it.
func (target Target) String() string {
	if target.Adapter == "" {
		return target.Model
	}
	return target.Model + adapterSeparator + target.Adapter
}
